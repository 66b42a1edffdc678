#ifndef GALENAFLOW_COORDINATION_OUTLIER_DETECTOR_H
#define GALENAFLOW_COORDINATION_OUTLIER_DETECTOR_H

#include "coordination/query_policies.h"
#include "coordination/string_map.h"

namespace galenaflow::coordination {

struct OutlierOptions {
  std::uint32_t ConsecutiveFailures = 5;
  double LatencyFactor = 5;      ///< multiple of the median of the service
  std::uint32_t MinSamples = 20; ///< samples before latency is compared
  Duration BaseEjection = std::chrono::seconds(1);
  Duration MaxEjection = std::chrono::seconds(60);
};

/// Ejects replicas that fail or are far slower than the others of their
/// service. At most half of the replicas of a shard or pool are ejected at a
/// time. After the ejection time, the replica is probed with one request at a
/// time: a success re-admits it, and a failure ejects it for twice as long.
class OutlierDetector {
public:
  explicit OutlierDetector(OutlierOptions options = {}) : Options(options) {}

  /// Sets the services and their replicas. The state of replicas that are still
  /// listed is kept.
  void setTopology(const state::Topology &topology);

  void onSent(std::string_view replica, TimePoint now);
  void onEnded(std::string_view replica, AttemptOutcome outcome,
               Duration elapsed, TimePoint now);

  /// Ejects the replicas whose mean latency exceeds LatencyFactor times the
  /// median of their service. Call about once a second.
  void ejectSlowReplicas(TimePoint now);

  /// False while the replica is ejected, and while a probe of it is open.
  bool mayUse(std::string_view replica, TimePoint now) const;
  bool isEjected(std::string_view replica) const;

private:
  struct ReplicaState {
    std::uint32_t Failures = 0; ///< consecutive
    std::uint32_t Samples = 0;
    double EwmaMicros = 0;
    std::uint32_t Ejections = 0; ///< exponent of the ejection time
    bool IsEjected = false;
    bool IsProbeOpen = false;
    TimePoint EjectedUntil;
    std::vector<std::uint32_t> Groups;
  };

  void eject(ReplicaState &replica, TimePoint now);
  void readmit(ReplicaState &replica);
  bool isEjectionAllowed(const ReplicaState &replica) const;
  void addGroup(const std::vector<state::ReplicaId> &replicas,
                const StringMap<ReplicaState> &old);

  OutlierOptions Options;
  StringMap<ReplicaState> Replicas;
  std::vector<std::vector<const ReplicaState *>> Groups;
  std::vector<std::vector<ReplicaState *>> Services;
};

} // namespace galenaflow::coordination

#endif
