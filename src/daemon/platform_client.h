#ifndef GALENAFLOW_DAEMON_PLATFORM_CLIENT_H
#define GALENAFLOW_DAEMON_PLATFORM_CLIENT_H

#include "transport/http_client.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace galenaflow::daemon {

/// A value of the platform's configuration service.
struct PlatformValue {
  std::uint64_t Version = 0;
  std::string Text;
};

/// An empty optional means that no newer version appeared while waiting.
using PlatformResult = state::Result<std::optional<PlatformValue>>;
using PlatformCallback = std::function<void(PlatformResult)>;

/// Reads and watches values of the platform, with one connection and at most
/// one outstanding call for each key.
class PlatformClient {
public:
  PlatformClient(transport::EventLoop &loop,
                 const transport::SocketAddress &address);

  /// Reads `key`. With `after` above zero, waits up to `wait` for a higher
  /// version. The key "vms" reads the VM list, whose version stands in the
  /// document, and never waits. Errors: Unavailable, DeadlineExceeded.
  void read(std::string_view key, std::uint64_t after, state::Duration wait,
            PlatformCallback callback);

  /// Whether a call for `key` is outstanding.
  bool isReading(std::string_view key) const;

  /// Calls sent so far.
  std::uint64_t reads() const { return Reads; }

private:
  transport::HttpConnection &connectionFor(std::string_view key);

  transport::EventLoop &Loop;
  transport::SocketAddress Address;
  std::map<std::string, std::unique_ptr<transport::HttpConnection>, std::less<>>
      Connections;
  std::uint64_t Reads = 0;
};

} // namespace galenaflow::daemon

#endif
