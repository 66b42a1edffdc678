#ifndef GALENAFLOW_FORWARDING_FORWARDER_H
#define GALENAFLOW_FORWARDING_FORWARDER_H

#include "coordination/forward_execution.h"
#include "forwarding/forward_protocol.h"

#include <functional>
#include <memory>

namespace galenaflow::forwarding {

/// The result of a forwarded request.
struct ForwardResult {
  std::variant<coordination::BackendResponse, coordination::MergedAnswer,
               coordination::ForwardFailure>
      Outcome;
  coordination::ForwardCounts Counts;
  state::Duration Elapsed{0};
  state::Duration Remaining{0}; ///< until the caller's deadline

  /// Address of the daemon that executed the request; empty: this daemon.
  std::string Executor;
};

using ForwardCallback = std::function<void(ForwardResult)>;

/// Identifies an open request. Zero: none.
using ForwardId = std::uint64_t;

/// A request of a caller with its route.
struct ForwardCall {
  std::shared_ptr<const ForwardedRequest> Message;
  state::RouteTablePtr Table;
  const state::Route *Route = nullptr; ///< owned by the table

  /// The services that the request is sent to: one, or the shard set.
  std::vector<std::string> Services;

  state::Duration Remaining{0}; ///< until the caller's deadline

  /// Expected time in which the answer gets from this daemon to the one that
  /// received the caller's request. Zero when that is the same daemon.
  state::Duration ReturnTime{0};

  /// See coordination::ForwardOptions.
  bool IsSuspect = false;
};

/// Memory of an open request over this number of services, in bytes, without
/// the request itself: its parts, their attempts, and their places in queues.
constexpr std::size_t recordBytes(std::size_t services) {
  constexpr std::size_t bytesOfOne = 256;
  return (1 + services) * bytesOfOne;
}

/// Requests over fewer shards are not delegated to executors: delegating one
/// costs as much as a few sub-requests.
constexpr std::size_t MinDelegatedParts = 16;

/// Whether requests on the route are delegated when the fleet has executors.
inline bool isDelegable(const state::Route &route) {
  return route.isSharded() && route.IsIdempotent &&
         route.Shards.Services.size() >= MinDelegatedParts;
}

/// Executes requests of callers at replicas or through another daemon.
class Forwarder {
public:
  virtual ~Forwarder() = default;

  /// Starts a request. The callback runs once, after this call has returned;
  /// it does not run when the request is cancelled.
  virtual ForwardId forward(ForwardCall call, ForwardCallback callback) = 0;

  /// Cancels a request whose caller has disconnected, with its attempts at
  /// replicas.
  virtual void cancel(ForwardId id) = 0;

  /// This process exits at `exitAt`. Each request, open or new, gets its result
  /// by then, and one that cannot end in that time as soon as this is known.
  virtual void startDrain(state::TimePoint exitAt) = 0;
};

} // namespace galenaflow::forwarding

#endif
