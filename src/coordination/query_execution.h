#ifndef GALENAFLOW_COORDINATION_QUERY_EXECUTION_H
#define GALENAFLOW_COORDINATION_QUERY_EXECUTION_H

#include "coordination/query_policies.h"
#include "state/error.h"
#include "state/plan_catalog.h"

#include <string>
#include <variant>

namespace galenaflow::coordination {

struct QueryOptions {
  std::string Service;
  state::Preference Prefer = state::Preference::Latency;
  double MinCoverage = 0;   ///< 0 to 1
  std::uint32_t Limit = 10; ///< hits in the answer
  Duration Deadline{0};     ///< from the start
};

using MissingShard = protocol::MissingShard;

struct Coverage {
  std::uint32_t Asked = 0;
  std::uint32_t Answered = 0;
  std::vector<MissingShard> Missing; ///< ordered by shard
};

struct AttemptCounts {
  std::uint32_t Primaries = 0;
  std::uint32_t Hedges = 0;
  std::uint32_t Retries = 0;
  /// Retries at another replica that take no token, since the first replica did
  /// no work: after `snapshot_gone`, or without a connection.
  std::uint32_t Redirects = 0;
  std::uint32_t Discarded = 0; ///< late, repeated, unknown or invalid responses
  std::uint32_t Duplicates = 0; ///< hits removed because of an equal id
  std::uint32_t Restarts = 0;   ///< rounds on another snapshot, at most 1
};

/// The result of a query. `Error` is set when the caller gets no answer.
struct QueryOutcome {
  std::optional<state::Error> Error;
  ExecutionState Ran = ExecutionState::NotRun;
  state::SnapshotId Snapshot = 0;
  coordination::Coverage Coverage;
  std::vector<Hit> Hits;
  std::vector<std::shared_ptr<const void>> Bodies; ///< keep the hits valid
  AttemptCounts Counts;
};

/// The outcome is held by pointer to keep the other, more frequent actions
/// small.
struct FinishQuery {
  std::unique_ptr<QueryOutcome> Outcome;
};

using QueryAction =
    std::variant<SendSubRequest, CancelSubRequest, SetTimer, FinishQuery>;
using QueryActions = std::vector<QueryAction>;

/// Executes one query: sends sub-requests to every shard of one snapshot,
/// hedges and retries them within the budgets, and merges the responses.
///
/// The owner calls start() once and onTimer() at the time of the last SetTimer.
/// Each event returns actions, which the owner executes in order. Every
/// sub-request ends with one onResponse() or onFailure(), or with
/// CancelSubRequest, after which no event is expected. After FinishQuery,
/// events return no actions.
class QueryExecution {
public:
  QueryExecution(QueryOptions options, QueryPolicies policies);

  QueryActions start(TimePoint now);
  QueryActions onResponse(SubResponse response, TimePoint now);
  QueryActions onFailure(const SubFailure &failure, TimePoint now);
  QueryActions onTimer(TimePoint now);
  QueryActions onCallerCancel(TimePoint now);

  bool finished() const { return Finished; }

  /// Includes responses that arrive after FinishQuery.
  const AttemptCounts &counts() const { return Counts; }

private:
  enum class ShardStatus : std::uint8_t { Pending, Answered, Missing };

  struct Attempt {
    std::uint32_t ShardIndex = 0;
    std::uint8_t ReplicaIndex = 0;
    bool Open = true;
    TimePoint SentAt;
  };

  struct ShardState {
    ShardStatus Status = ShardStatus::Pending;
    FailureReason Reason = FailureReason::Timeout;
    std::uint8_t OpenAttempts = 0;
    std::uint8_t Retries = 0;
    std::uint8_t Hedges = 0;
    std::uint8_t Waits = 0;
    std::uint64_t Tried = 0; ///< bit i: Replicas[i] got a sub-request
    /// Bit i: Replicas[i] responded with snapshot_gone.
    std::uint64_t WithoutSnapshot = 0;
    TimePoint WakeAt = TimePoint::max(); ///< next hedge, or retry if none open
    std::vector<Hit> Hits;
    std::shared_ptr<const void> Body;
  };

  void beginRound(SnapshotChoice choice, TimePoint now);
  bool restart(TimePoint now);
  bool send(std::size_t shard, AttemptKind kind, std::uint64_t excluded,
            TimePoint now);
  void endAttempt(Attempt &attempt, AttemptOutcome outcome, TimePoint now);
  void cancelOpen(std::size_t shard, TimePoint now);
  void cancelAll(TimePoint now);
  void cancel(SubRequestNumber number, TimePoint now);
  void failAttempt(Attempt &attempt, FailureReason reason, bool mayHaveRun,
                   TimePoint now);
  void retry(std::size_t shard, TimePoint now);
  bool redirect(std::size_t shard, TimePoint now);
  void waitOrMarkMissing(std::size_t shard, FailureReason reason,
                         TimePoint now);
  void markMissing(std::size_t shard, FailureReason reason);
  void hedge(std::size_t shard, TimePoint now);
  std::optional<AttemptKind> takeHedgeToken(TimePoint now);
  bool trySend(std::size_t shard, bool hasUntried, TimePoint now);
  void wakeShards(TimePoint now);
  void wakeShardAt(ShardState &shard, TimePoint at);
  Attempt *openAttempt(SubRequestNumber number);
  bool coverageReached() const;
  TimePoint cutOff() const;
  QueryActions completeEvent(TimePoint now);
  void armTimer();
  void finish(std::optional<state::Error> error, TimePoint now);
  void finishByCoverage(TimePoint now);
  void fillCoverage(QueryOutcome &outcome) const;
  void fillHits(QueryOutcome &outcome);
  ExecutionState ranState() const;
  bool prefersCoverage() const {
    return Options.Prefer == state::Preference::Coverage;
  }

  QueryOptions Options;
  QueryPolicies Policies;
  TimePoint StartedAt;
  TimePoint DeadlineAt;
  SnapshotChoice Choice;
  std::vector<std::shared_ptr<const state::Layout>> EarlierLayouts;
  std::vector<Attempt> Attempts; ///< indexed by sub-request number
  std::vector<ShardState> Shards;
  std::size_t Pending = 0;
  std::size_t AnsweredShards = 0;
  TimePoint NextWake = TimePoint::max();
  TimePoint TimerAt = TimePoint::max();
  AttemptCounts Counts;
  QueryActions Actions;
  bool AnyRan = false;
  bool AnyMayHaveRun = false;
  bool RestartWanted = false;
  bool Finished = false;
};

} // namespace galenaflow::coordination

#endif
