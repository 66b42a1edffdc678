#include "forwarding/forward_task.h"

#include "state/log.h"
#include "state/request_limit.h"

#include <algorithm>

// Request limits and pauses that replicas have stated, and the budget of extra
// attempts.

namespace galenaflow::forwarding {

using state::Duration;
using state::TimePoint;

// A daemon that has lost its relays still shares the replicas with the fleet
// that it last knew.
coordination::LimitShare ForwardTask::limitShare(const Replica &replica) const {
  coordination::FleetComposition fleet = fleetComposition();
  if (Fleet.Daemons == 0)
    fleet.Daemons = std::max(Options.AssumedDaemons, LastKnownDaemons);
  const bool isDelegated = DelegatedServices.contains(replica.Record.Service);
  return {coordination::limitFraction(fleet, isDelegated), replica.Rank};
}

bool ForwardTask::allowsRequest(Replica &replica) {
  return !isPaused(replica) &&
         (!replica.Limiter ||
          replica.Limiter->available(limitShare(replica), Loop.now()) != 0);
}

bool ForwardTask::isPaused(const Replica &replica) const {
  return replica.PausedUntil > Loop.now();
}

void ForwardTask::recordPause(Replica &replica, Duration pause) {
  const TimePoint until = Loop.now() + pause;
  if (until <= replica.PausedUntil)
    return;
  state::log::info("replica_paused", {{"replica", replica.Record.Id},
                                      {"service", replica.Record.Service},
                                      {"pause_ms", pause.count() / 1000}});
  replica.PausedUntil = until;
  LastPauseEnd = std::max(LastPauseEnd, until);
}

// Returns the time until each of the services has an allowed replica that is
// not paused; nothing when they have one now.
std::optional<Duration>
ForwardTask::pauseOf(const state::Route &route,
                     const std::vector<std::string> &services) const {
  Duration longest(0);
  for (const std::string &service : services) {
    const auto replicas = ReplicasByService.find(service);
    if (replicas == ReplicasByService.end())
      continue;
    TimePoint first = TimePoint::max();
    for (const ReplicaPtr &replica : replicas->second)
      if (!replica->Record.Draining &&
          Options.Regions.allowsReplica(route, replica->Record.DataCentre))
        first = std::min(first, replica->PausedUntil);
    // The smallest time, of a replica that had no pause, allows no subtraction.
    if (first > Loop.now() && first != TimePoint::max())
      longest = std::max(longest, first - Loop.now());
  }
  return longest > Duration(0) ? std::optional(longest) : std::nullopt;
}

void ForwardTask::setRequestLimit(std::string_view replica, double perSecond) {
  const auto it = Replicas.find(replica);
  if (it == Replicas.end()) {
    const auto unlisted = UnlistedLimits.find(replica);
    if (unlisted != UnlistedLimits.end() && perSecond == 0)
      unlisted->second.Limiter.reset();
    dropEndedPauses();
    return;
  }
  Replica &limited = *it->second;
  const double before = limited.Limiter ? limited.Limiter->perSecond() : 0;
  if (perSecond == before)
    return;
  if (perSecond == 0) {
    limited.Limiter.reset();
    state::log::info(
        "replica_limit_ended",
        {{"replica", replica}, {"service", limited.Record.Service}});
    scheduleDispatch(limited.Record.Service);
  } else {
    if (limited.Limiter)
      limited.Limiter->setLimit(perSecond);
    else
      limited.Limiter.emplace(perSecond, Options.Seed, Loop.now());
    state::log::info("replica_limited",
                     {{"replica", replica},
                      {"service", limited.Record.Service},
                      {"per_second", perSecond},
                      {"daemons", Fleet.Daemons},
                      {"fraction", limitShare(limited).Fraction}});
  }
  countLimited();
}

// A registration can expire during an outage of the directory's source, and the
// replica registers again afterwards. Without its limiter each daemon would
// send it a request more.
void ForwardTask::keepLimit(const Replica &replica) {
  dropEndedPauses();
  if ((replica.Limiter || isPaused(replica)) &&
      UnlistedLimits.size() < MaxUnlistedLimits)
    UnlistedLimits.insert_or_assign(
        replica.Record.Id, UnlistedLimit{replica.Record.Incarnation,
                                         replica.Limiter, replica.PausedUntil});
}

void ForwardTask::dropEndedPauses() {
  std::erase_if(UnlistedLimits, [this](const auto &it) {
    return !it.second.Limiter && it.second.PausedUntil <= Loop.now();
  });
}

void ForwardTask::restoreLimit(Replica &replica) {
  const auto node = UnlistedLimits.extract(replica.Record.Id);
  if (node.empty() || node.mapped().Incarnation != replica.Record.Incarnation)
    return;
  replica.Limiter = node.mapped().Limiter;
  replica.PausedUntil = node.mapped().PausedUntil;
}

void ForwardTask::countLimited() {
  LimitedReplicas = static_cast<std::size_t>(
      std::count_if(Replicas.begin(), Replicas.end(), [](const auto &it) {
        return it.second->Limiter.has_value();
      }));
}

void ForwardTask::recordLimit(const Replica &replica,
                              const ReplicaResult &result) {
  if (!result.IsLimitKnown || (!result.RequestLimit && !replica.Limiter))
    return;
  const std::string id = replica.Record.Id;
  const double perSecond =
      result.RequestLimit
          ? std::max(*result.RequestLimit, state::MinRequestLimit)
          : 0;
  setRequestLimit(id, perSecond);
  if (LimitStatedCallback)
    LimitStatedCallback(id, perSecond);
}

double ForwardTask::fleetExtraShare() const {
  return Fleet.Daemons == 0 ? 0 : Options.FleetExtraAttempts / Fleet.Daemons;
}

bool ForwardTask::tryTakeExtra(std::string_view service) {
  const auto it = Budgets.find(service);
  const bool taken =
      it != Budgets.end() && it->second.tryTake(fleetExtraShare(), Loop.now());
  if (!taken)
    BudgetRefusals.add();
  return taken;
}

bool ForwardTask::hasOther(std::string_view service,
                           std::span<const state::ReplicaId> tried) {
  return Placement.hasOther(
      service, tried,
      [this](std::string_view id) {
        const auto it = Replicas.find(id);
        return it == Replicas.end() || allowsRequest(*it->second);
      },
      Loop.now());
}

// Attempts that wait for a connection have not used their tokens yet.
bool ForwardTask::isAtLimit(std::string_view service) {
  return isAtLimit(service, {});
}

bool ForwardTask::isAtLimit(std::string_view service,
                            std::span<const state::ReplicaId> excluded) {
  if (LimitedReplicas == 0 && LastPauseEnd <= Loop.now())
    return false;
  const auto queue = WaitingAttempts.find(service);
  const std::size_t waiting =
      queue == WaitingAttempts.end() ? 0 : queue->second.size();
  std::size_t tokens = 0;
  bool isUsable = false;
  const bool hasRoom = Placement.hasOther(
      service, excluded,
      [&](std::string_view id) {
        isUsable = true;
        const auto it = Replicas.find(id);
        if (it == Replicas.end())
          return true;
        Replica &replica = *it->second;
        if (isPaused(replica))
          return false;
        if (!replica.Limiter)
          return true;
        tokens += replica.Limiter->available(limitShare(replica), Loop.now());
        return tokens > waiting;
      },
      Loop.now());
  return isUsable && !hasRoom;
}

} // namespace galenaflow::forwarding
