#include "coordination/connection_plan.h"

#include "state/hash.h"

#include <algorithm>
#include <numeric>
#include <string>

// Each daemon ranks the replicas by cooldown, locality and a hash of both ids,
// so no messages between daemons are needed. With 78 daemons and 61 connections
// to each of three replicas, there are 2.3 connections per daemon and shard.
// Two of them carry a primary attempt and its hedge; the rest compensates for
// the uneven distribution of the hash.

namespace galenaflow::coordination {

namespace {

/// Returns the indices of the replicas, in this daemon's order of preference.
std::vector<std::size_t> rankReplicas(std::span<const PlannedReplica> replicas,
                                      std::string_view self) {
  struct Rank {
    bool InCooldown;
    bool IsRemote;
    std::uint64_t Hash;
    std::size_t Index;
    auto operator<=>(const Rank &) const = default;
  };
  std::vector<Rank> ranks;
  for (std::size_t i = 0; i != replicas.size(); ++i)
    ranks.push_back({replicas[i].InCooldown, !replicas[i].IsLocal,
                     state::hash64(std::string(replicas[i].Id).append(self)),
                     i});
  std::sort(ranks.begin(), ranks.end());
  std::vector<std::size_t> order;
  order.reserve(ranks.size());
  for (const Rank &rank : ranks)
    order.push_back(rank.Index);
  return order;
}

} // namespace

std::vector<ConnectionPlan>
planConnections(std::span<const PlannedReplica> replicas,
                std::uint32_t limitPerReplica, const FleetComposition &fleet,
                std::string_view self, ConnectionPlanOptions options) {
  std::vector<ConnectionPlan> plans(replicas.size());
  if (replicas.empty())
    return plans;
  const std::uint32_t daemons = std::max(1U, fleet.Daemons);
  const std::uint32_t share = limitPerReplica / daemons;
  if (share >= 1) {
    std::fill(plans.begin(), plans.end(),
              ConnectionPlan{std::min(share, options.MaxPerReplica),
                             fleet.IsCountStable});
    if (!fleet.IsCountStable && !fleet.IsDelegating)
      plans[rankReplicas(replicas, self).front()].IsWarm = true;
    return plans;
  }
  // At most half of the connections are reserved for executors, so that the
  // other daemons can still serve when all executors fail at once.
  const std::uint32_t reserved = std::min(fleet.Executors, limitPerReplica / 2);
  const std::vector<std::size_t> order = rankReplicas(replicas, self);
  if (fleet.IsExecutor) {
    const std::size_t perExecutor =
        std::max<std::size_t>(1, std::size_t{reserved} * replicas.size() /
                                     std::max(1U, fleet.Executors));
    for (std::size_t i = 0; i != std::min(perExecutor, replicas.size()); ++i)
      plans[order[i]] = {1, true};
    return plans;
  }
  const std::uint64_t perDaemon =
      std::uint64_t{limitPerReplica - reserved} * replicas.size() /
      std::max(1U, daemons - std::min(daemons, reserved));
  const std::size_t n = std::min<std::size_t>(
      replicas.size(), std::max<std::uint64_t>(1, perDaemon));
  for (std::size_t i = 0; i != n; ++i)
    plans[order[i]] = {1, i == 0 && !fleet.IsDelegating};
  return plans;
}

} // namespace galenaflow::coordination
