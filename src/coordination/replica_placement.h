#ifndef GALENAFLOW_COORDINATION_REPLICA_PLACEMENT_H
#define GALENAFLOW_COORDINATION_REPLICA_PLACEMENT_H

#include "coordination/outlier_detector.h"
#include "state/replica_directory.h"

#include <functional>
#include <optional>
#include <random>
#include <span>

namespace galenaflow::coordination {

/// The load that a replica reports in its responses. It includes the load by
/// other callers but not the request that was answered, and it is as old as the
/// response.
struct ServerLoad {
  std::uint32_t Running = 0;
  std::uint32_t Waiting = 0;
  std::uint32_t Slots = 1;
  double SlowdownFactor = 1; ///< present duration of work / usual duration
};

struct PlacementOptions {
  /// A load report older than this is ignored, since the load of the hosts
  /// changes many times a second.
  Duration LoadReportTtl = std::chrono::milliseconds(300);

  /// An attempt that is open for this many times its expected latency, plus
  /// StallSlack, indicates that its replica is paused or has departed.
  double StallFactor = 3;
  Duration StallSlack = std::chrono::milliseconds(10);

  /// Cost factor of a stalled replica. It is used only when the others have far
  /// higher costs.
  double StallPenalty = 20;

  /// Cost factor while a replica is cold after its start.
  double ColdPenalty = 1.6;

  /// Added to the cost of replicas in other data centres, for a round trip
  /// between data centres and its bytes, relative to a few milliseconds of
  /// work.
  double RemotePenalty = 0.25;

  /// Weight of a new sample in the mean of relative latencies.
  double SampleWeight = 0.25;

  /// A failed attempt counts as a sample of at least this many times the
  /// expected latency. Otherwise a replica that does not respond, or that
  /// breaks connections, would have the same cost as before once its failed
  /// attempt has ended.
  double FailureLatencyFactor = 8;

  /// The same for an attempt that the replica rejected. Replicas reject work
  /// when they are full, some even while they report good health.
  double RejectionLatencyFactor = 4;

  /// A mean without new samples loses half its distance from 1 in this time, so
  /// that a replica that was slow is used again.
  Duration DecayHalfLife = std::chrono::milliseconds(1500);

  OutlierOptions Outliers{3, 5, 20, std::chrono::milliseconds(400),
                          std::chrono::seconds(3)};
};

/// Chooses the replica of a service that is expected to respond first, based on
/// this process's own open attempts and relative latencies, and on load
/// reports.
class ReplicaPlacement {
public:
  ReplicaPlacement(std::string dataCentre, std::mt19937_64 random,
                   PlacementOptions options = {});

  /// Replaces the records of all replicas. Draining replicas get no new work,
  /// but their state is kept until they are removed from the directory.
  void setReplicas(
      const std::map<std::string, state::ReplicaRecord, std::less<>> &records,
      TimePoint now);

  /// States whether the owner can send a request to the replica.
  using ReplicaPredicate = std::function<bool(std::string_view replica)>;

  /// Returns the replica for a new attempt, or nothing if `canSend` is true for
  /// no usable replica besides `tried`.
  std::optional<state::ReplicaId>
  choose(std::string_view service, std::span<const state::ReplicaId> tried,
         const ReplicaPredicate &canSend, TimePoint now);

  /// Whether a usable replica besides `tried` exists for which `accepts` is
  /// true.
  bool hasOther(std::string_view service,
                std::span<const state::ReplicaId> tried,
                const ReplicaPredicate &accepts, TimePoint now) const;

  /// Whether a usable replica besides `tried` exists.
  bool hasOther(std::string_view service,
                std::span<const state::ReplicaId> tried, TimePoint now) const;

  /// An attempt was sent. `expected` is the usual latency of such attempts.
  void onSent(std::string_view replica, Duration expected, TimePoint now);

  /// Ends the attempt that was sent at `sentAt`.
  void onEnded(std::string_view replica, TimePoint sentAt, Duration expected,
               AttemptOutcome outcome, TimePoint now);
  void onLoad(std::string_view replica, const ServerLoad &load, TimePoint now);

  /// Another replica responds at this replica's address. The replica is not
  /// used again until the directory lists a new incarnation or address for it.
  void onMisdirected(std::string_view replica);

  /// Whether an attempt at the replica has been open for too long.
  bool isStalled(std::string_view replica, TimePoint now) const;

private:
  struct OpenAttempt {
    TimePoint SentAt;
    TimePoint StalledAt;
  };

  struct ReplicaState {
    state::ReplicaRecord Record;
    bool IsLocal = false;
    bool IsMisdirected = false;
    TimePoint ColdUntil = TimePoint::min();
    double RelativeLatency = 1; ///< mean of latency / expected latency
    TimePoint SampleAt = TimePoint::min();
    std::vector<OpenAttempt> Open;
    ServerLoad Load;
    TimePoint LoadAt = TimePoint::min();
  };

  bool isUsable(const ReplicaState &replica, TimePoint now) const;
  bool isStalled(const ReplicaState &replica, TimePoint now) const;
  double relativeLatency(const ReplicaState &replica, TimePoint now) const;
  double cost(const ReplicaState &replica, TimePoint now) const;

  std::string DataCentre;
  std::mt19937_64 Random;
  PlacementOptions Options;
  OutlierDetector Outliers;
  StringMap<ReplicaState> Replicas;
  StringMap<std::vector<state::ReplicaId>> Services; ///< not draining
};

} // namespace galenaflow::coordination

#endif
