#include "coordination/executor_selector.h"

#include "state/hash.h"

#include <algorithm>

// Every daemon decides on its own, from what it has observed of the executors.
// Executors limit their own load and refuse requests beyond it. A refused
// request has not run, so the daemon runs it itself.

namespace galenaflow::coordination {

std::vector<state::DaemonCapacity>
selectExecutors(const protocol::FleetReport &fleet) {
  std::vector<state::DaemonCapacity> executors = fleet.Strongest;
  std::erase_if(executors, [&fleet](const state::DaemonCapacity &daemon) {
    return fleet.WeakestMillicores == 0 ||
           daemon.Millicores < MinExecutorCpuRatio * fleet.WeakestMillicores;
  });
  return executors;
}

void ExecutorSelector::setExecutors(
    const std::vector<state::DaemonCapacity> &executors) {
  ExecutorCount = executors.size();
  IsExecutor =
      std::any_of(executors.begin(), executors.end(), [this](const auto &it) {
        return it.Address == Self.Address;
      });
  struct Rank {
    bool IsRemote;
    std::uint64_t Hash;
    std::string Address;
    auto operator<=>(const Rank &) const = default;
  };
  // Of many strong daemons, reports list only some. Without this rule, the
  // unlisted ones would run requests themselves and connect to every replica
  // like executors, beyond the number of connections that replicas accept.
  const bool isUnlisted =
      !IsExecutor &&
      std::any_of(executors.begin(), executors.end(), [this](const auto &it) {
        return it.Millicores <= Self.Millicores;
      });
  std::vector<Rank> ranks;
  for (const state::DaemonCapacity &it : executors)
    if (isUnlisted || it.Millicores >= MinExecutorCpuRatio * Self.Millicores)
      ranks.push_back({it.DataCentre != Self.DataCentre,
                       state::hash64(it.Address + Self.Address), it.Address});
  std::sort(ranks.begin(), ranks.end());
  if (ranks.size() > Options.LinkCount)
    ranks.resize(Options.LinkCount);
  std::vector<Executor> linked;
  for (const Rank &rank : ranks) {
    const Executor *known = find(rank.Address);
    linked.push_back(known != nullptr ? *known : Executor{rank.Address});
  }
  LinkTargets = std::move(linked);
}

std::vector<std::string> ExecutorSelector::linkTargets() const {
  std::vector<std::string> addresses;
  for (const Executor &it : LinkTargets)
    addresses.push_back(it.Address);
  return addresses;
}

ExecutorSelector::Executor *ExecutorSelector::find(const std::string &address) {
  const auto it = std::find_if(
      LinkTargets.begin(), LinkTargets.end(),
      [&](const Executor &executor) { return executor.Address == address; });
  return it == LinkTargets.end() ? nullptr : &*it;
}

std::optional<std::string> ExecutorSelector::choose(
    const std::function<bool(const std::string &)> &isLinked, TimePoint now) {
  const Executor *best = nullptr;
  std::uint32_t ties = 0;
  for (const Executor &it : LinkTargets) {
    if (it.CooldownUntil > now || !isLinked(it.Address))
      continue;
    ties =
        best != nullptr && it.OpenRequests == best->OpenRequests ? ties + 1 : 1;
    const bool isBetter =
        best == nullptr || it.OpenRequests < best->OpenRequests;
    // Each of several executors with equally few is chosen with the same
    // probability.
    if (isBetter ||
        (it.OpenRequests == best->OpenRequests && Random() % ties == 0))
      best = &it;
  }
  return best == nullptr ? std::nullopt : std::optional(best->Address);
}

void ExecutorSelector::onSent(const std::string &executor) {
  if (Executor *it = find(executor))
    ++it->OpenRequests;
}

void ExecutorSelector::endRequest(const std::string &executor) {
  Executor *it = find(executor);
  if (it != nullptr && it->OpenRequests != 0)
    --it->OpenRequests;
}

void ExecutorSelector::onCompleted(const std::string &executor) {
  endRequest(executor);
}

void ExecutorSelector::onRefused(const std::string &executor, TimePoint now) {
  endRequest(executor);
  if (Executor *it = find(executor))
    it->CooldownUntil = now + Options.RefusalCooldown;
}

void ExecutorSelector::onTimeout(const std::string &executor, TimePoint now) {
  if (Executor *it = find(executor))
    it->CooldownUntil = now + Options.TimeoutCooldown;
}

} // namespace galenaflow::coordination
