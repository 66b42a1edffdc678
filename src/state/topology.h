#ifndef GALENAFLOW_STATE_TOPOLOGY_H
#define GALENAFLOW_STATE_TOPOLOGY_H

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace galenaflow::state {

using ReplicaId = std::string;
using ShardNumber = std::uint32_t;
using SnapshotId = std::uint64_t;
using LayoutId = std::uint64_t;

/// A replica of a backend service, as the services document lists it.
struct Replica {
  ReplicaId Id;
  std::string Address; ///< IP:PORT
  std::string DataCentre;
};

/// The replicas of one shard under one layout.
struct Shard {
  ShardNumber Number = 0;
  std::vector<ReplicaId> Replicas;
};

/// A shard map. Every snapshot of an index is built under exactly one layout.
struct Layout {
  LayoutId Id = 0;
  std::vector<Shard> Shards; ///< ordered by number

  /// Null when the layout has no such shard.
  const Shard *findShard(ShardNumber number) const;
};

enum class ServiceKind {
  Sharded, ///< a query is sent to every shard
  Pool,    ///< any single replica can execute a request
};

struct Service {
  std::string Name;
  ServiceKind Kind = ServiceKind::Pool;
  std::uint32_t Slots = 1;           ///< requests executed at once per replica
  std::uint32_t ConnectionLimit = 1; ///< open connections per replica
  std::vector<Layout> Layouts;       ///< empty for a pool
  std::vector<Replica> Replicas;

  const Layout *findLayout(LayoutId id) const;
  const Replica *findReplica(std::string_view id) const;
};

/// All services of a deployment at one version. Immutable once published.
struct Topology {
  std::uint64_t Version = 0;
  std::map<std::string, Service, std::less<>> Services;

  const Service *findService(std::string_view name) const;
};

using TopologyPtr = std::shared_ptr<const Topology>;

} // namespace galenaflow::state

#endif
