// Sends one request on one connection; the loop runs until the callback of the
// request has run.
#include "ctl/operator_client.h"

#include "transport/http_client.h"

#include <optional>

namespace galenaflow::ctl {

state::Result<transport::HttpResponse> getFromDaemon(const std::string &daemon,
                                                     const std::string &path,
                                                     state::Duration timeout) {
  const auto address = transport::parseSocketAddress(daemon);
  if (!address)
    return tl::unexpected(address.error());
  transport::EventLoop loop;
  transport::HttpConnection connection(loop, *address);
  std::optional<transport::HttpResult> result;
  connection.send(
      {"GET", path, {}, ""}, timeout,
      [&result](transport::HttpResult r) { result = std::move(r); });
  // The exchange has its own timeout; the timeout here only ends a loop that is
  // stuck.
  loop.runUntil([&result] { return result.has_value(); }, 2 * timeout);
  if (!result)
    return state::makeError(state::ErrorCode::DeadlineExceeded,
                            "no answer from " + daemon);
  if (!*result)
    return tl::unexpected(result->error().Cause);
  return std::move(**result);
}

} // namespace galenaflow::ctl
