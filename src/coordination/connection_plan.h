#ifndef GALENAFLOW_COORDINATION_CONNECTION_PLAN_H
#define GALENAFLOW_COORDINATION_CONNECTION_PLAN_H

#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace galenaflow::coordination {

struct ConnectionPlanOptions {
  /// Most connections to one replica. A request that finds it in use waits at
  /// the daemon, where it goes to whichever replica is free first, instead of
  /// in the queue of a replica that may be paused. With 6 to 8 daemons, one
  /// each still fills the two slots of a replica.
  std::uint32_t MaxPerReplica = 1;
};

/// A replica of one service, as seen by this daemon.
struct PlannedReplica {
  std::string_view Id;
  bool IsLocal = false;

  /// It recently refused or lost a new connection, so others are tried first.
  bool InCooldown = false;
};

/// What this daemon keeps to one replica.
struct ConnectionPlan {
  std::uint32_t Limit = 0; ///< most connections
  bool IsWarm = false;     ///< whether one is opened ahead of need

  bool operator==(const ConnectionPlan &) const = default;
};

/// The daemons that share the connections.
struct FleetComposition {
  std::uint32_t Daemons = 1;

  /// False while the daemons are still being counted: they may be many more.
  bool IsCountStable = true;

  std::uint32_t Executors = 0; ///< of these, that run requests for others
  bool IsExecutor = false;     ///< this daemon does
  bool IsDelegating = false;   ///< this daemon has executors to ask
};

/// Divides the connections that the replicas of a service accept between all
/// daemons. Returns the plan for each replica, in the given order. While there
/// is at least one connection for each daemon and replica, all get the same
/// share. Otherwise executors come first, with one connection to each replica,
/// or to as many as their part allows. Each other daemon may connect to some of
/// the replicas: those of its data centre first, then by a hash of both, so
/// that the daemons spread evenly without a message between them. Only the
/// first of them is opened ahead of need, and none by a daemon that has
/// executors to ask: in a large fleet each daemon asks a shard too seldom to
/// keep more connections from going idle, and opening them again and again
/// costs more than opening one for a hedge. While the daemons are being
/// counted, all replicas may be used, but only the first is connected to ahead
/// of need: after a stop of a large fleet, replicas would refuse most
/// connections.
std::vector<ConnectionPlan>
planConnections(std::span<const PlannedReplica> replicas,
                std::uint32_t limitPerReplica, const FleetComposition &fleet,
                std::string_view self, ConnectionPlanOptions options = {});

} // namespace galenaflow::coordination

#endif
