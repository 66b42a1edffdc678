#ifndef GALENAFLOW_COORDINATION_GATE_REPLICA_GATE_H
#define GALENAFLOW_COORDINATION_GATE_REPLICA_GATE_H

#include "coordination/connection_plan.h"
#include "coordination/gate/cold_allowance.h"
#include "coordination/request_limiter.h"
#include "coordination/string_map.h"
#include "state/replica_directory.h"
#include "state/route_table.h"

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

  /// The same for cold replicas, which too many requests crash: the largest
  /// fleet. Also used while the number grows quickly.
  std::uint32_t UncountedDaemons = 12;

  /// Must differ between daemons.
  std::uint64_t Seed = 1;

  ColdBounds Cold;

  /// When this daemon started. An earlier process of it may just have used its
  /// share of a cold replica.
  TimePoint StartedAt = TimePoint::min();
};

enum class LimitChange { None, Set, Ended };

/// Why a replica counts as cold.
enum class ColdReason {
  None,
  Registration,    ///< its registration states a cold time
  Response,        ///< a response states a cold time
  Restart,         ///< it is registered with a new incarnation
  LostConnection,  ///< it refused or lost a connection
  EvacuationEnded, ///< the evacuation of its data centre has ended
};

/// Returns the name of a reason for logs.
std::string_view coldReasonName(ColdReason reason);

/// A replica has become cold or, with ColdReason::None, warm.
struct ColdChange {
  std::string Replica;
  std::string Service;
  ColdReason Reason = ColdReason::None;
  Duration Remaining{0}; ///< zero while it has not responded again
};

/// Why cold replicas of a service get no request.
struct ColdStatus {
  std::uint32_t Cold = 0;        ///< replicas that are cold
  std::uint32_t Replicas = 0;    ///< not draining, not evacuated
  std::uint32_t MaxArrivals = 0; ///< in a second, over all daemons
  std::uint32_t Daemons = 0;     ///< that the rate is divided among
};

/// Decides whether a replica may get a request of this daemon now. Holds what
/// restricts a replica: the request limit and the pause that it has stated, the
/// time for which it is cold, and the evacuation of its data centre. For
/// replicas that accept only part of the load that the fleet could send them.
class ReplicaGate {
public:
  using Records = std::map<std::string, state::ReplicaRecord, std::less<>>;
  using DataCentres = std::set<std::string, std::less<>>;

  /// Whether a request may be sent to a data centre; empty: to all of them.
  using DataCentreFilter = std::function<bool(std::string_view dataCentre)>;

  explicit ReplicaGate(ReplicaGateOptions options) : Options(options) {}

  /// Replaces the listed replicas. What a replica has stated is kept while it
  /// is not listed, and dropped when it is listed with another incarnation.
  void setReplicas(const Records &records, TimePoint now);

  using Services = std::map<std::string, state::RoutedService, std::less<>>;
  using ServiceNames = std::set<std::string, std::less<>>;

  /// Sets the services, and those of them whose requests executors run for the
  /// other daemons. Replicas of a service without a cold rate never count as
  /// cold.
  void setServices(const Services &services, const ServiceNames &delegated);

  /// Sets the daemons that share the replicas. While their number is zero, the
  /// last known one is used; for cold replicas the largest recent one.
  void setFleet(const FleetComposition &fleet, TimePoint now);

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

  /// Returns the time until each of the services has a replica that is neither
  /// paused nor cold, but at most MaxColdWait for cold ones; nothing when they
  /// have one now. Replicas in data centres that are not `allowed` are ignored.
  std::optional<Duration> pauseOf(std::span<const std::string> services,
                                  TimePoint now,
                                  const DataCentreFilter &allowed = {}) const;

  /// Longest time after which a caller is asked to return while all replicas
  /// are cold, since the allowances permit some requests.
  static constexpr Duration MaxColdWait = std::chrono::seconds(1);

  /// A response of the replica itself, which may state that it is cold.
  void onResponse(std::string_view replica, std::uint64_t incarnation,
                  std::optional<Duration> coldRemaining, TimePoint now);

  /// The request that was sent at `sentAt` was not received by this replica.
  void onMisdirected(std::string_view replica, TimePoint sentAt);

  /// The replica refused or lost a connection: it may have restarted. It counts
  /// as cold until its next response or its next new connection, and for the
  /// service's cold time after it.
  void onConnectionLost(std::string_view replica, std::uint64_t incarnation,
                        TimePoint now);

  /// A connection that was opened after the last lost one is established.
  void onConnected(std::string_view replica, TimePoint now);

  /// Whether the replica counts as cold.
  bool isCold(std::string_view replica, TimePoint now) const;

  /// Returns the state of the service's replicas if some of them are cold and
  /// get no request now. Replicas in data centres that are not `allowed` are
  /// ignored.
  std::optional<ColdStatus>
  withheldCold(std::string_view service, TimePoint now,
               const DataCentreFilter &allowed = {}) const;

  std::size_t coldReplicas(TimePoint now) const;

  /// Returns what has changed since the last call.
  std::vector<ColdChange> takeColdChanges(TimePoint now);

private:
  /// What the replica has stated or shown.
  struct Statements {
    std::optional<RequestLimiter> Limiter;
    TimePoint PausedUntil = TimePoint::min();
    TimePoint ColdUntil = TimePoint::min();
    ColdReason WhyCold = ColdReason::None;
    bool IsLost = false; ///< no response since a connection was lost
    ColdAllowance Allowance;
  };

  struct ServiceState {
    std::vector<std::string> Replicas; ///< ids
    Duration ColdDuration{0};
    double ColdRate = 0;
    bool IsDelegated = false;
    ColdShare Share;
  };

  struct ReplicaState {
    std::string Service;
    std::string DataCentre;
    std::uint64_t Incarnation = 0;
    bool IsDraining = false;
    std::uint32_t Rank = 0; ///< position among the replicas of its service
    Statements Stated;
    bool WasCold = false; ///< as last returned by takeColdChanges()
  };

  /// What a replica that has left the directory accepts.
  struct UnlistedState {
    std::uint64_t Incarnation = 0;
    Statements Stated;
  };

  ReplicaState *find(std::string_view id, std::uint64_t incarnation);
  const ServiceState *serviceOf(const ReplicaState &replica) const;
  LimitShare share(const ReplicaState &replica) const;
  void keep(const std::string &id, const ReplicaState &replica, TimePoint now);
  void restore(const std::string &id, ReplicaState &replica);
  void dropEndedPauses(TimePoint now);
  void countLimited();
  std::uint32_t coldDaemons(TimePoint now) const;
  void updateColdShares(TimePoint now);
  void makeCold(ReplicaState &replica, TimePoint until, ColdReason reason);
  void endLoss(ReplicaState &replica, TimePoint now);
  bool isCold(const ReplicaState &replica, TimePoint now) const;
  bool isRationed(std::string_view id, const ReplicaState &replica,
                  TimePoint now) const;
  double warmFraction(const ReplicaState &replica, TimePoint now) const;
  bool hasWarm(const ReplicaState &replica, TimePoint now) const;
  bool allowsCold(const ReplicaState &replica, TimePoint now) const;

  ReplicaGateOptions Options;
  FleetComposition Fleet{0, true, 0, false, false};
  std::uint32_t LastKnownDaemons = 0;

  /// Largest numbers of daemons in the present CountPeriod and the one before.
  std::uint32_t MostDaemons = 0;
  std::uint32_t MostDaemonsBefore = 0;
  TimePoint CountPeriodEnd = TimePoint::min();
  TimePoint CountSettledAt = TimePoint::min();
  std::uint32_t ShareDaemons = 0; ///< number that the cold shares are made for

  DataCentres Evacuated;
  StringMap<ReplicaState> Replicas;
  StringMap<ServiceState> ServiceStates;
  std::size_t LimitedReplicas = 0;
  std::size_t LostReplicas = 0;
  TimePoint LastPauseEnd = TimePoint::min();
  TimePoint LastColdEnd = TimePoint::min();
  StringMap<UnlistedState> Unlisted;
};

} // namespace galenaflow::coordination::gate

#endif
