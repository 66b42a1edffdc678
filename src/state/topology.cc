#include "state/topology.h"

#include <algorithm>

namespace galenaflow::state {

const Shard *Layout::findShard(ShardNumber number) const {
  const auto it = std::lower_bound(
      Shards.begin(), Shards.end(), number,
      [](const Shard &shard, ShardNumber n) { return shard.Number < n; });
  return it != Shards.end() && it->Number == number ? &*it : nullptr;
}

const Layout *Service::findLayout(LayoutId id) const {
  for (const Layout &layout : Layouts)
    if (layout.Id == id)
      return &layout;
  return nullptr;
}

const Replica *Service::findReplica(std::string_view id) const {
  for (const Replica &replica : Replicas)
    if (replica.Id == id)
      return &replica;
  return nullptr;
}

const Service *Topology::findService(std::string_view name) const {
  const auto it = Services.find(name);
  return it == Services.end() ? nullptr : &it->second;
}

} // namespace galenaflow::state
