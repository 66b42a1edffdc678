#ifndef GALENAFLOW_CROWD_CROWD_SITE_H
#define GALENAFLOW_CROWD_CROWD_SITE_H

#include "state/clock.h"
#include "support/process.h"
#include "transport/socket_address.h"

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace galenaflow::crowd {

/// A listener of the program under test.
enum class Listener {
  Callers,
  Health, ///< for the balancer: readiness or the operator listener
};

/// What the settings of the VM state, and what the stand-ins do.
struct SiteOptions {
  /// Memory of the VM. The peak must stay below.
  std::size_t MemoryMb = 64;
  /// Descriptors of the VM, of which 200 are reserved for files.
  std::size_t MaxFds = 600;
  /// Shards of the route over all shards, with two replicas each; zero: no such
  /// route. Only for galenaflow-platform.
  int Shards = 0;
  /// Whether the replicas of the shards read what they are sent.
  bool DoShardsRead = true;
  /// Adds a second VM with more CPU, to which the first one delegates requests
  /// over all shards. Only for galenaflow-platform.
  bool HasExecutor = false;
  /// Only for galenaflowd.
  bool HasTls = false;
};

/// What the clients of a crowd send depends on the program.
struct CrowdTarget {
  std::string HeadStart; ///< request line and headers without the framing
  /// A complete request whose answer is large.
  std::string LargeAnswerRequest;
  /// HeadStart of a request over all shards.
  std::string ShardedHeadStart{};
  /// A complete request that its replica never answers.
  std::string EndlessRequest{};
  /// Fields of the head of a request with HTTP/2.
  std::string Http2Path{};
  std::string Http2Authorization{};
};

/// A process under test and its stand-ins.
class Site {
public:
  virtual ~Site() = default;
  /// The process that the crowd visits.
  virtual support::Process &process() = 0;
  /// All processes under test, that one first.
  virtual std::vector<support::Process *> processes() { return {&process()}; }
  virtual transport::SocketAddress address(Listener listener) const = 0;
  virtual CrowdTarget target() const = 0;
  virtual bool isOrdinaryRequestServed() = 0;
  /// Sends a request with the largest body that the limits allow.
  virtual bool isLargestRequestServed() = 0;
  /// Starts the program again after it has ended.
  virtual void start() = 0;
  /// Whether the source of the program's configuration answers nothing.
  virtual void setStoreAway(bool isAway) = 0;
  /// Runs the loop of the stand-ins.
  virtual void run(state::Duration time) = 0;
};

/// Starts `program` and its stand-ins.
std::unique_ptr<Site> startSite(std::string_view program,
                                const SiteOptions &options);

} // namespace galenaflow::crowd

#endif
