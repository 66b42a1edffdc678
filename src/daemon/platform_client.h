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

/// An empty optional: no newer version appeared during the wait.
using PlatformResult = state::Result<std::optional<PlatformValue>>;
using PlatformCallback = std::function<void(PlatformResult)>;

/// Reads and watches values of the platform's configuration service, with one
/// connection and at most one outstanding call per key.
class PlatformClient {
public:
  PlatformClient(transport::EventLoop &loop,
                 const transport::SocketAddress &address);

  /// Reads `key`. If `after` is above zero, waits up to `wait` for a version
  /// above it. The key "vms" reads the VM list, whose version is part of the
  /// document, and never waits. Errors: Unavailable, DeadlineExceeded.
  void read(std::string_view key, std::uint64_t after, state::Duration wait,
            PlatformCallback callback);

  /// Whether a call for `key` is outstanding.
  bool isReading(std::string_view key) const;

  /// The number of calls sent so far.
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
