#ifndef GALENAFLOW_COORDINATION_READ_EXECUTION_H
#define GALENAFLOW_COORDINATION_READ_EXECUTION_H

#include "coordination/query_execution.h"

namespace galenaflow::coordination {

struct ReadOptions {
  /// Replicas of the pool service, or of the shard that holds the record.
  std::shared_ptr<const std::vector<state::ReplicaId>> Replicas;
  state::Preference Prefer = state::Preference::Latency;
  Duration Deadline{0};
};

struct ReadResponse {
  SubRequestNumber Number = 0;
  bool Found = true; ///< false for 404, which is a valid response
  state::SnapshotId Snapshot = 0;
  std::string_view Json;            ///< the record as raw JSON text
  std::shared_ptr<const void> Body; ///< keeps the view valid
};

struct ReadOutcome {
  std::optional<state::Error> Error; ///< set when no replica responded
  ExecutionState Ran = ExecutionState::NotRun;
  ReadResponse Response;
  AttemptCounts Counts;
};

struct FinishRead {
  std::unique_ptr<ReadOutcome> Outcome;
};

using ReadAction =
    std::variant<SendSubRequest, CancelSubRequest, SetTimer, FinishRead>;
using ReadActions = std::vector<ReadAction>;

/// Reads one record from one replica, with hedges and retries within the
/// budgets. The first response ends the read. Events and actions follow the
/// contract of QueryExecution.
class ReadExecution {
public:
  ReadExecution(ReadOptions options, QueryPolicies policies);

  ReadActions start(TimePoint now);
  ReadActions onResponse(ReadResponse response, TimePoint now);
  ReadActions onFailure(const SubFailure &failure, TimePoint now);
  ReadActions onTimer(TimePoint now);
  ReadActions onCallerCancel(TimePoint now);

  bool finished() const { return Finished; }
  const AttemptCounts &counts() const { return Counts; }

private:
  struct Attempt {
    std::size_t Replica = 0;
    bool Open = true;
    TimePoint SentAt;
  };

  bool send(AttemptKind kind, TimePoint now);
  bool hasUntriedReplica(TimePoint now) const;
  void endAttempt(Attempt &attempt, AttemptOutcome outcome, TimePoint now);
  void retry(FailureReason reason, TimePoint now);
  void hedge(TimePoint now);
  void fail(state::ErrorCode code, std::string text, TimePoint now);
  void finish(ReadOutcome outcome, TimePoint now);
  ReadActions completeEvent(TimePoint now);

  ReadOptions Options;
  QueryPolicies Policies;
  TimePoint DeadlineAt;
  TimePoint HedgeAt = TimePoint::max();
  TimePoint TimerAt = TimePoint::max();
  std::vector<Attempt> Attempts; ///< indexed by sub-request number
  std::size_t OpenAttempts = 0;
  std::uint64_t Tried = 0;
  AttemptCounts Counts;
  ReadActions Actions;
  bool AnyMayHaveRun = false;
  bool Finished = false;
};

} // namespace galenaflow::coordination

#endif
