#ifndef GALENAFLOW_COORDINATION_CONNECTION_PLAN_H
#define GALENAFLOW_COORDINATION_CONNECTION_PLAN_H

#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace galenaflow::coordination {

struct ConnectionPlanOptions {
  /// Maximum number of connections to one replica. While they are all in use,
  /// further requests are queued at the daemon, which sends them to whichever
  /// replica becomes free first, instead of in the queue of a replica that may
  /// be paused. With 6 to 8 daemons, one connection each still fills the two
  /// slots of a replica.
  std::uint32_t MaxPerReplica = 1;
};

/// A replica of one service, as this daemon sees it.
struct PlannedReplica {
  std::string_view Id;
  bool IsLocal = false;

  /// The replica recently refused or lost a new connection, so other replicas
  /// are preferred.
  bool InCooldown = false;
};

/// This daemon's connections to one replica.
struct ConnectionPlan {
  std::uint32_t Limit = 0; ///< maximum number of connections
  bool IsWarm = false;     ///< whether one is opened before it is needed

  bool operator==(const ConnectionPlan &) const = default;
};

/// The daemons that share the connections.
struct FleetComposition {
  std::uint32_t Daemons = 1;

  /// False while the daemons are still being counted; there may be many more.
  bool IsCountStable = true;

  /// Number of daemons that run delegated requests.
  std::uint32_t Executors = 0;

  bool IsExecutor = false;   ///< whether this daemon is an executor
  bool IsDelegating = false; ///< whether this daemon delegates to executors
};

/// Divides the connections that the replicas of a service accept between all
/// daemons. Returns the plan for each replica, in the given order.
///
/// While there is at least one connection for each daemon and replica, all
/// daemons get the same share. Otherwise executors have priority: each gets one
/// connection to every replica, or to as many replicas as the executors' part
/// allows. Every other daemon may connect to some of the replicas: first those
/// of its data centre, then by a hash of both ids, which distributes the
/// daemons evenly without messages between them.
///
/// Only the connection to the first of these replicas is opened before it is
/// needed, and none is by a daemon that delegates. In a large fleet each daemon
/// uses a shard too rarely to keep more connections from becoming idle, and
/// reopening them repeatedly costs more than opening one for a hedge.
///
/// While the daemons are being counted, all replicas may be used, but only the
/// first is connected to before it is needed: when a large fleet starts again
/// after a stop, the replicas would refuse most connections.
std::vector<ConnectionPlan>
planConnections(std::span<const PlannedReplica> replicas,
                std::uint32_t limitPerReplica, const FleetComposition &fleet,
                std::string_view self, ConnectionPlanOptions options = {});

} // namespace galenaflow::coordination

#endif
