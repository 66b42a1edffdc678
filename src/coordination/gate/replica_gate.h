#ifndef GALENAFLOW_COORDINATION_GATE_REPLICA_GATE_H
#define GALENAFLOW_COORDINATION_GATE_REPLICA_GATE_H

#include "coordination/connection_plan.h"
#include "coordination/request_limiter.h"
#include "coordination/string_map.h"
#include "state/replica_directory.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace galenaflow::coordination::gate {

struct ReplicaGateOptions {
  /// Number of daemons that share the replicas while the real number has never
  /// been known.
  std::uint32_t AssumedDaemons = 12;

  /// Must differ between daemons.
  std::uint64_t Seed = 1;
};

enum class LimitChange { None, Set, Ended };

/// Decides whether a replica may get a request of this daemon now. Holds what
/// restricts a replica: the request limit and the pause that it has stated, and
/// the evacuation of its data centre. For replicas that accept only part of the
/// load that the fleet could send them.
class ReplicaGate {
public:
  using Records = std::map<std::string, state::ReplicaRecord, std::less<>>;
  using DataCentres = std::set<std::string, std::less<>>;

  explicit ReplicaGate(ReplicaGateOptions options) : Options(options) {}

  /// Replaces the listed replicas. What a replica has stated is kept while it
  /// is not listed, and dropped when it is listed with another incarnation.
  void setReplicas(const Records &records, TimePoint now);

  /// Sets the services whose requests executors run for the other daemons.
  void
  setDelegatedServices(std::set<std::string, std::less<>> delegatedServices) {
    Delegated = std::move(delegatedServices);
  }

  /// Sets the daemons that share the replicas. While their number is zero, the
  /// last known one is used.
  void setFleet(const FleetComposition &fleet);

  /// Replaces the set of evacuated data centres.
  void setEvacuated(DataCentres evacuated, TimePoint now);
  const DataCentres &evacuated() const { return Evacuated; }
  bool isEvacuated(std::string_view dataCentre) const {
    return Evacuated.contains(dataCentre);
  }

  /// Whether a request may be sent to the replica now. True for a replica that
  /// is not listed.
  bool allows(std::string_view replica, TimePoint now) {
    return available(replica, now) != 0U;
  }

  /// Returns how many requests may be sent to the replica now; nothing when it
  /// is not restricted.
  std::optional<std::uint32_t> available(std::string_view replica,
                                         TimePoint now);

  /// Whether any replica may be restricted.
  bool isAnyRestricted(TimePoint now) const;

  /// A request was sent. Returns whether the replica has a request limit.
  bool onSent(std::string_view replica, TimePoint now);

  /// The replica accepts so many requests a second from all daemons together;
  /// zero: it has no limit.
  LimitChange setRequestLimit(std::string_view replica, double perSecond,
                              TimePoint now);
  bool isLimited(std::string_view replica) const;

  /// Returns this daemon's fraction of a request limit of the replica.
  double limitFraction(std::string_view replica) const;

  /// The replica accepts nothing until `now + pause`. Returns whether this
  /// extends its pause. Ignored for a replica that is not listed with this
  /// incarnation.
  bool onPause(std::string_view replica, std::uint64_t incarnation,
               Duration pause, TimePoint now);

  /// Returns the time until each of the services has a replica that is not
  /// paused; nothing when they have one now.
  std::optional<Duration> pauseOf(std::span<const std::string> services,
                                  TimePoint now) const;

private:
  struct Statements {
    std::optional<RequestLimiter> Limiter;
    TimePoint PausedUntil = TimePoint::min();
  };

  struct ReplicaState {
    std::string Service;
    std::string DataCentre;
    std::uint64_t Incarnation = 0;
    bool IsDraining = false;
    std::uint32_t Rank = 0; ///< position among the replicas of its service
    Statements Stated;
  };

  /// What a replica that has left the directory accepts.
  struct UnlistedState {
    std::uint64_t Incarnation = 0;
    Statements Stated;
  };

  LimitShare share(const ReplicaState &replica) const;
  void keep(const std::string &id, const ReplicaState &replica, TimePoint now);
  void restore(const std::string &id, ReplicaState &replica);
  void dropEndedPauses(TimePoint now);
  void countLimited();

  ReplicaGateOptions Options;
  FleetComposition Fleet{0, true, 0, false, false};
  std::uint32_t LastKnownDaemons = 0;
  std::set<std::string, std::less<>> Delegated;
  DataCentres Evacuated;
  StringMap<ReplicaState> Replicas;
  StringMap<std::vector<std::string>> Services; ///< ids by service
  std::size_t LimitedReplicas = 0;
  TimePoint LastPauseEnd = TimePoint::min();
  StringMap<UnlistedState> Unlisted;
};

} // namespace galenaflow::coordination::gate

#endif
