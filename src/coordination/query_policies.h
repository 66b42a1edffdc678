#ifndef GALENAFLOW_COORDINATION_QUERY_POLICIES_H
#define GALENAFLOW_COORDINATION_QUERY_POLICIES_H

#include "coordination/sub_request.h"

#include <memory>
#include <optional>
#include <span>

/// Interfaces of the policies that all executions of one service share.
namespace galenaflow::coordination {

struct SnapshotChoice {
  state::SnapshotId Snapshot = 0;
  std::shared_ptr<const state::Layout> Layout;
};

class SnapshotSelector {
public:
  virtual ~SnapshotSelector() = default;

  /// The snapshot for a new query, or nothing when no snapshot is served.
  virtual std::optional<SnapshotChoice>
  select(std::string_view service,
         std::span<const state::SnapshotId> excluded) = 0;
};

/// The replicas of one shard or pool service, in the order listed. Only the
/// first 64 are considered.
struct ReplicaCandidates {
  std::span<const state::ReplicaId> Replicas;
  std::uint64_t Excluded = 0; ///< bit i excludes Replicas[i]
  /// Replicas that report this snapshot are preferred; 0 means no preference.
  state::SnapshotId Snapshot = 0;
};

/// How an attempt ended, for the statistics of its replica.
enum class AttemptOutcome {
  Succeeded,
  Failed,    ///< timeout, broken connection, invalid response
  NotRun,    ///< refused, shed or snapshot unavailable; the replica is alive,
             ///< but the elapsed time is no latency sample
  Cancelled, ///< the elapsed time is a lower bound of the latency
};

/// Returns the outcome of an attempt that failed for this reason.
AttemptOutcome attemptOutcomeOf(FailureReason reason);

class ReplicaSelector {
public:
  virtual ~ReplicaSelector() = default;

  /// Returns an index into the candidates, or nothing when none is usable.
  virtual std::optional<std::size_t> choose(const ReplicaCandidates &candidates,
                                            TimePoint now) = 0;
  virtual void onSent(std::string_view replica, TimePoint now) = 0;
  virtual void onEnded(std::string_view replica, AttemptOutcome outcome,
                       Duration elapsed, TimePoint now) = 0;
};

/// Decides when to hedge, for one service and operation.
class HedgePolicy {
public:
  virtual ~HedgePolicy() = default;

  /// Refills the budget for `n` primary sub-requests.
  virtual void onPrimariesSent(std::size_t n) = 0;
  virtual void onLatency(Duration latency) = 0;

  /// The estimated 95th percentile of sub-request latency, or nothing before
  /// there are enough samples.
  virtual std::optional<Duration> p95() const = 0;

  /// Takes the token for one hedge. Returns false when the budget is exhausted
  /// or hedging is off.
  virtual bool tryTake() = 0;
};

/// Whether a cancelled sub-request must count as a latency sample, because it
/// took longer than the p95. Without these samples, hedging would truncate the
/// upper part of the distribution, and the p95 would fall with every hedge.
bool exceedsP95(const HedgePolicy &policy, Duration elapsed);

/// Limits the number of retries.
class RetryBudget {
public:
  virtual ~RetryBudget() = default;

  /// Refills the budget for `n` primary sub-requests.
  virtual void onPrimariesSent(std::size_t n) = 0;

  /// Takes the token for one retry. Returns false when the budget is exhausted.
  virtual bool tryTake() = 0;
};

/// The policies for one query; the owner keeps them alive.
struct QueryPolicies {
  SnapshotSelector &Snapshots; ///< unused for pool services
  ReplicaSelector &Replicas;
  HedgePolicy &Hedging;
  RetryBudget &Retries;
};

} // namespace galenaflow::coordination

#endif
