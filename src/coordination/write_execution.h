#ifndef GALENAFLOW_COORDINATION_WRITE_EXECUTION_H
#define GALENAFLOW_COORDINATION_WRITE_EXECUTION_H

#include "coordination/query_execution.h"

namespace galenaflow::coordination {

struct WriteOptions {
  std::shared_ptr<const std::vector<state::ReplicaId>> Replicas;
  Duration Deadline{0};
};

struct WriteResponse {
  SubRequestNumber Number = 0;
  int Status = 200;
  std::string_view Json;            ///< the result as raw JSON text
  std::shared_ptr<const void> Body; ///< keeps the view valid
};

struct WriteOutcome {
  std::optional<state::Error> Error; ///< set when no replica responded
  ExecutionState Ran = ExecutionState::NotRun;
  WriteResponse Response;
  AttemptCounts Counts;
};

struct FinishWrite {
  std::unique_ptr<WriteOutcome> Outcome;
};

using WriteAction =
    std::variant<SendSubRequest, CancelSubRequest, SetTimer, FinishWrite>;
using WriteActions = std::vector<WriteAction>;

/// Sends a write that must run at most once to one replica. The write goes to
/// another replica only after a failure with proof that it did not run
/// (MayHaveRun is false), so at most one sub-request is open or may have run at
/// any time.
///
/// Events and actions follow the contract of QueryExecution, except that a
/// write continues when its caller cancels the request, since a later
/// submission of the same key needs the outcome.
class WriteExecution {
public:
  WriteExecution(WriteOptions options, QueryPolicies policies);

  WriteActions start(TimePoint now);
  WriteActions onResponse(WriteResponse response, TimePoint now);
  WriteActions onFailure(const SubFailure &failure, TimePoint now);
  WriteActions onTimer(TimePoint now);

  bool finished() const { return Finished; }
  const AttemptCounts &counts() const { return Counts; }

private:
  bool isOpen(SubRequestNumber number) const;
  bool send(AttemptKind kind, TimePoint now);
  void endAttempt(AttemptOutcome outcome, TimePoint now);
  void fail(state::ErrorCode code, ExecutionState ran, std::string text);
  void finish(WriteOutcome outcome);

  WriteOptions Options;
  QueryPolicies Policies;
  TimePoint DeadlineAt;
  SubRequestNumber SentCount = 0; ///< SentCount - 1 is the open sub-request
  std::size_t Replica = 0;
  TimePoint SentAt;
  std::uint64_t Tried = 0;
  AttemptCounts Counts;
  WriteActions Actions;
  bool Open = false;
  bool Finished = false;
};

} // namespace galenaflow::coordination

#endif
