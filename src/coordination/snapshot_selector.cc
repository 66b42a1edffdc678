#include "coordination/snapshot_selector.h"

#include <algorithm>
#include <set>

namespace galenaflow::coordination {

namespace {

bool sameSnapshots(const std::vector<ServedSnapshot> &a,
                   const std::vector<ServedSnapshot> &b) {
  return std::ranges::equal(a, b, [](const auto &x, const auto &y) {
    return x.Snapshot == y.Snapshot && x.Layout == y.Layout;
  });
}

} // namespace

void LoadReportSnapshotSelector::setTopology(state::TopologyPtr topology) {
  Topology = std::move(topology);
  Cache.clear();
}

void LoadReportSnapshotSelector::onLoadReport(
    std::string_view replica, const std::vector<ServedSnapshot> &snapshots) {
  ReplicaState &it = Replicas[std::string(replica)];
  if (sameSnapshots(it.Snapshots, snapshots))
    return; // most reports repeat the previous one
  it.Snapshots = snapshots;
  Cache.clear();
}

void LoadReportSnapshotSelector::setUsable(std::string_view replica,
                                           bool usable) {
  ReplicaState &it = Replicas[std::string(replica)];
  if (it.Usable == usable)
    return;
  it.Usable = usable;
  Cache.clear();
}

bool LoadReportSnapshotSelector::serves(std::string_view replica,
                                        state::SnapshotId snapshot,
                                        state::LayoutId layout) const {
  const auto it = Replicas.find(replica);
  if (it == Replicas.end() || !it->second.Usable)
    return false;
  return std::ranges::any_of(it->second.Snapshots, [&](const auto &served) {
    return served.Snapshot == snapshot && served.Layout == layout;
  });
}

std::size_t
LoadReportSnapshotSelector::coveredShards(const state::Layout &layout,
                                          state::SnapshotId snapshot) const {
  return static_cast<std::size_t>(
      std::ranges::count_if(layout.Shards, [&](const state::Shard &shard) {
        return std::ranges::any_of(shard.Replicas, [&](const auto &replica) {
          return serves(replica, snapshot, layout.Id);
        });
      }));
}

std::vector<LoadReportSnapshotSelector::Ranked>
LoadReportSnapshotSelector::rank(const state::Service &service) const {
  std::set<std::pair<state::SnapshotId, state::LayoutId>> served;
  for (const state::Replica &replica : service.Replicas)
    if (const auto it = Replicas.find(replica.Id); it != Replicas.end())
      for (const ServedSnapshot &snapshot : it->second.Snapshots)
        served.emplace(snapshot.Snapshot, snapshot.Layout);
  std::vector<Ranked> ranked;
  for (const auto &[snapshot, layoutId] : served) {
    const state::Layout *layout = service.findLayout(layoutId);
    if (!layout || layout->Shards.empty())
      continue;
    const std::size_t covered = coveredShards(*layout, snapshot);
    if (covered > 0)
      ranked.push_back({snapshot,
                        covered,
                        covered == layout->Shards.size(),
                        {Topology, layout}});
  }
  std::ranges::sort(ranked, [](const Ranked &a, const Ranked &b) {
    if (a.Complete != b.Complete)
      return a.Complete;
    if (!a.Complete && a.Covered != b.Covered)
      return a.Covered > b.Covered;
    return a.Snapshot > b.Snapshot;
  });
  return ranked;
}

std::optional<SnapshotChoice> LoadReportSnapshotSelector::select(
    std::string_view service, std::span<const state::SnapshotId> excluded) {
  auto cached = Cache.find(service);
  if (cached == Cache.end()) {
    const state::Service *listed =
        Topology ? Topology->findService(service) : nullptr;
    if (!listed)
      return std::nullopt;
    cached = Cache.emplace(std::string(service), rank(*listed)).first;
  }
  for (const Ranked &it : cached->second)
    if (std::ranges::find(excluded, it.Snapshot) == excluded.end())
      return SnapshotChoice{it.Snapshot, it.Layout};
  return std::nullopt;
}

} // namespace galenaflow::coordination
