#ifndef GALENAFLOW_FORWARDING_FORWARDER_H
#define GALENAFLOW_FORWARDING_FORWARDER_H

#include "coordination/forward_execution.h"
#include "forwarding/forward_protocol.h"

#include <functional>
#include <memory>

namespace galenaflow::forwarding {

/// How a request has ended.
struct ForwardResult {
  std::variant<coordination::BackendResponse, coordination::MergedAnswer,
               coordination::ForwardFailure>
      Outcome;
  coordination::ForwardCounts Counts;
  state::Duration Elapsed{0};
  state::Duration Remaining{0}; ///< until the caller's deadline

  /// Address of the daemon that ran the request; empty: this one.
  std::string Executor;
};

using ForwardCallback = std::function<void(ForwardResult)>;

/// Identifies an open request. Zero names none.
using ForwardId = std::uint64_t;

/// A request of a caller that has found its route.
struct ForwardCall {
  std::shared_ptr<const ForwardedRequest> Message;
  state::RouteTablePtr Table;
  const state::Route *Route = nullptr; ///< of the table

  /// Where to: one service, or the shard set.
  std::vector<std::string> Services;

  state::Duration Remaining{0}; ///< until the caller's deadline

  /// Time that the answer takes from here to the daemon which the caller asked.
  state::Duration ReturnTime{0};
};

/// Gets answers to requests, from replicas or from another daemon.
class Forwarder {
public:
  virtual ~Forwarder() = default;

  /// The callback runs once, unless the request is cancelled, and not before
  /// this returns.
  virtual ForwardId forward(ForwardCall call, ForwardCallback callback) = 0;

  /// The caller has left: its work at replicas ends.
  virtual void cancel(ForwardId id) = 0;
};

} // namespace galenaflow::forwarding

#endif
