#ifndef GALENAFLOW_COORDINATION_SUB_REQUEST_H
#define GALENAFLOW_COORDINATION_SUB_REQUEST_H

#include "protocol/caller_api.h"
#include "state/clock.h"
#include "state/execution_state.h"
#include "state/topology.h"

#include <cstdint>
#include <memory>
#include <string_view>
#include <vector>

/// Requests to single replicas: the types that the execution classes share. No
/// I/O.
namespace galenaflow::coordination {

using state::Duration;
using state::TimePoint;

/// Why a sub-request ended without a usable response, or why a shard is
/// missing from an answer.
using FailureReason = protocol::MissingReason;

using ExecutionState = state::ExecutionState;

/// Number of a sub-request; unique within its execution, and never reused.
using SubRequestNumber = std::uint32_t;

enum class AttemptKind { Primary, Hedge, Retry };

/// One hit. The views point into the body of the response, which
/// SubResponse::Body and later QueryOutcome::Bodies keep alive.
struct Hit {
  std::string_view Id;
  double Score = 0;
  std::string_view Json; ///< the hit as raw JSON text
};

struct SubResponse {
  SubRequestNumber Number = 0;
  state::ShardNumber Shard = 0;
  state::SnapshotId Snapshot = 0;
  std::vector<Hit> Hits;            ///< by descending score, then ascending id
  std::shared_ptr<const void> Body; ///< keeps the views valid
};

struct SubFailure {
  SubRequestNumber Number = 0;
  FailureReason Reason = FailureReason::ConnectionFailed;
  bool MayHaveRun = true; ///< false only with proof that it did not run
};

/// Action: send a sub-request to one replica. `Replica` stays valid as long as
/// the execution.
struct SendSubRequest {
  SubRequestNumber Number = 0;
  state::ShardNumber Shard = 0;
  std::string_view Replica;
  state::SnapshotId Snapshot = 0;
  Duration Timeout{0};
  AttemptKind Kind = AttemptKind::Primary;
};

/// Action: cancel the open sub-request.
struct CancelSubRequest {
  SubRequestNumber Number = 0;
};

/// Action: call onTimer() at this time. Replaces the previous timer.
struct SetTimer {
  TimePoint At;
};

} // namespace galenaflow::coordination

#endif
