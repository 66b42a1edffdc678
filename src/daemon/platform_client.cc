#include "daemon/platform_client.h"

#include <charconv>

// A watch is a long poll that occupies its connection, so each key has its own
// connection.

namespace galenaflow::daemon {

using state::ErrorCode;
using state::makeError;

namespace {

/// Timeout of a call, in addition to the waiting time of a watch.
constexpr state::Duration CallTimeout = std::chrono::seconds(2);

constexpr std::string_view VmListKey = "vms";

std::string pathOf(std::string_view key, std::uint64_t after,
                   state::Duration wait) {
  if (key == VmListKey)
    return "/v1/vms";
  std::string path = "/v1/values/" + std::string(key);
  if (after == 0)
    return path;
  const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(wait);
  return path + "?after=" + std::to_string(after) +
         "&wait_ms=" + std::to_string(ms.count());
}

PlatformResult decode(std::string_view key, transport::HttpResult result) {
  if (!result)
    return tl::unexpected(result.error().Cause);
  if (result->Status == 304)
    return std::optional<PlatformValue>();
  if (result->Status != 200)
    return makeError(ErrorCode::Unavailable,
                     "the platform returned status " +
                         std::to_string(result->Status));
  PlatformValue value;
  if (key != VmListKey) {
    const auto text = result->Headers.find("x-version").value_or("");
    const char *end = text.data() + text.size();
    const auto [ptr, ec] = std::from_chars(text.data(), end, value.Version);
    if (ec != std::errc() || ptr != end || value.Version == 0)
      return makeError(ErrorCode::Unavailable,
                       "the platform's response has no valid X-Version header");
  }
  value.Text = std::move(result->Body);
  return std::optional<PlatformValue>(std::move(value));
}

} // namespace

PlatformClient::PlatformClient(transport::EventLoop &loop,
                               const transport::SocketAddress &address)
    : Loop(loop), Address(address) {}

void PlatformClient::read(std::string_view key, std::uint64_t after,
                          state::Duration wait, PlatformCallback callback) {
  ++Reads;
  const state::Duration timeout = after == 0 ? CallTimeout : wait + CallTimeout;
  connectionFor(key).send(
      {"GET", pathOf(key, after, wait), {}, ""}, timeout,
      [key = std::string(key),
       callback = std::move(callback)](transport::HttpResult result) {
        callback(decode(key, std::move(result)));
      });
}

bool PlatformClient::isReading(std::string_view key) const {
  const auto it = Connections.find(key);
  return it != Connections.end() && it->second->isBusy();
}

transport::HttpConnection &PlatformClient::connectionFor(std::string_view key) {
  auto it = Connections.find(key);
  if (it == Connections.end())
    it =
        Connections
            .emplace(std::string(key),
                     std::make_unique<transport::HttpConnection>(Loop, Address))
            .first;
  return *it->second;
}

} // namespace galenaflow::daemon
