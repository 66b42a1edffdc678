#ifndef GALENAFLOW_COORDINATION_SNAPSHOT_SELECTOR_H
#define GALENAFLOW_COORDINATION_SNAPSHOT_SELECTOR_H

#include "coordination/replica_selector.h"

#include <map>

namespace galenaflow::coordination {

/// Chooses the newest snapshot that every shard of its layout can serve
/// according to the latest load reports; if there is none, the newest of those
/// that the greatest number of shards can serve. Results are cached until the
/// snapshots in a report, the topology, or the usability of a replica change.
class LoadReportSnapshotSelector final : public SnapshotSelector {
public:
  std::optional<SnapshotChoice>
  select(std::string_view service,
         std::span<const state::SnapshotId> excluded) override;

  void setTopology(state::TopologyPtr topology);
  void onLoadReport(std::string_view replica,
                    const std::vector<ServedSnapshot> &snapshots);

  /// Unusable replicas (draining, ejected, starting) count as serving nothing.
  void setUsable(std::string_view replica, bool usable);

private:
  struct ReplicaState {
    std::vector<ServedSnapshot> Snapshots;
    bool Usable = true;
  };

  struct Ranked {
    state::SnapshotId Snapshot = 0;
    std::size_t Covered = 0;
    bool Complete = false;
    std::shared_ptr<const state::Layout> Layout;
  };

  std::vector<Ranked> rank(const state::Service &service) const;
  std::size_t coveredShards(const state::Layout &layout,
                            state::SnapshotId snapshot) const;
  bool serves(std::string_view replica, state::SnapshotId snapshot,
              state::LayoutId layout) const;

  state::TopologyPtr Topology;
  StringMap<ReplicaState> Replicas;
  StringMap<std::vector<Ranked>> Cache; ///< by service, best first
};

} // namespace galenaflow::coordination

#endif
