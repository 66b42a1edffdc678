#ifndef GALENAFLOW_COORDINATION_REPLICA_SELECTOR_H
#define GALENAFLOW_COORDINATION_REPLICA_SELECTOR_H

#include "coordination/outlier_detector.h"

#include <random>

namespace galenaflow::coordination {

enum class ReplicaHealth { Unknown, Starting, Serving, Draining };

struct ServedSnapshot {
  state::SnapshotId Snapshot = 0;
  state::LayoutId Layout = 0;
};

/// The latest response of a replica's load endpoint. It may be stale.
struct LoadReport {
  std::uint32_t InFlight = 0;
  std::uint32_t Queued = 0;
  std::uint32_t Slots = 1;
  std::vector<ServedSnapshot> Snapshots;
};

struct ReplicaSelectorOptions {
  /// With more candidates than this, two random ones are compared (power of two
  /// choices).
  std::size_t MaxFullScan = 4;
  /// After a cold start, the cost factor falls from RampPenalty to 1 in this
  /// time.
  Duration RampTime = std::chrono::seconds(10);
  double RampPenalty = 4;
  /// An estimate without new samples loses half its distance from the best
  /// candidate in this time, so that a recovered replica is used again.
  Duration DecayHalfLife = std::chrono::seconds(5);
  /// The queue in the load report is used only when there has been no own
  /// sample for this time.
  Duration OwnSampleTtl = std::chrono::seconds(2);
};

/// Chooses the replica with the lowest latency EWMA times (in-flight + 1), from
/// this process's own measurements, among the replicas that are healthy and not
/// ejected.
class AdaptiveReplicaSelector final : public ReplicaSelector {
public:
  AdaptiveReplicaSelector(OutlierDetector &outliers, std::mt19937_64 random,
                          ReplicaSelectorOptions options = {});

  std::optional<std::size_t> choose(const ReplicaCandidates &candidates,
                                    TimePoint now) override;
  void onSent(std::string_view replica, TimePoint now) override;
  void onEnded(std::string_view replica, AttemptOutcome outcome,
               Duration elapsed, TimePoint now) override;

  void onHealth(std::string_view replica, ReplicaHealth health, TimePoint now);
  void onLoadReport(std::string_view replica, LoadReport report, TimePoint now);

  /// Any sign of draining stops new work immediately: a health poll, a header,
  /// a rejection, or the VM list. New work starts again when a later health
  /// poll reports Serving and the VM list does not report leaving.
  void onDraining(std::string_view replica);
  void setLeaving(std::string_view replica, bool leaving);

  /// Whether new work may be sent to the replica.
  bool usable(std::string_view replica, TimePoint now) const;
  std::uint32_t inFlight(std::string_view replica) const;

  /// Removes the state of replicas that no service lists.
  void setTopology(const state::Topology &topology);

private:
  struct ReplicaState {
    double EwmaMicros = 0;
    bool HasSample = false;
    TimePoint SampleAt;
    std::uint32_t InFlight = 0;
    ReplicaHealth Health = ReplicaHealth::Unknown;
    bool Draining = false;
    bool Leaving = false;
    TimePoint RampUntil = TimePoint::min();
    LoadReport Report;
  };

  ReplicaState &stateOf(std::string_view replica);
  const ReplicaState *find(std::string_view replica) const;
  struct Candidate {
    std::size_t Index = 0;
    const ReplicaState *State = nullptr;
  };

  void collect(const ReplicaCandidates &candidates, TimePoint now);
  double bestEstimate() const;
  bool isUsable(const ReplicaState &it, std::string_view replica,
                TimePoint now) const;
  double cost(const ReplicaState &it, double best, TimePoint now) const;
  double estimate(const ReplicaState &it, double best, TimePoint now) const;

  OutlierDetector &Outliers;
  std::mt19937_64 Random;
  ReplicaSelectorOptions Options;
  StringMap<ReplicaState> Replicas;
  std::vector<Candidate> Usable; ///< scratch space of choose
};

/// Chooses every candidate in turn, whatever its state. A baseline for
/// measurements.
class RoundRobinReplicaSelector final : public ReplicaSelector {
public:
  std::optional<std::size_t> choose(const ReplicaCandidates &candidates,
                                    TimePoint now) override;
  void onSent(std::string_view, TimePoint) override {}
  void onEnded(std::string_view, AttemptOutcome, Duration, TimePoint) override {
  }

private:
  StringMap<std::size_t> NextIndexes; ///< by first candidate
};

} // namespace galenaflow::coordination

#endif
