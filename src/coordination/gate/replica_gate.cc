#include "coordination/gate/replica_gate.h"

#include <algorithm>

// Each replica has at most one limiter and one pause. A replica of an evacuated
// data centre is never allowed, whatever it has stated.
//
// A registration can expire during an outage of the directory's source, and the
// replica registers again afterwards. Without its limiter each daemon would
// send it a request more, so statements outlive the registration.

namespace galenaflow::coordination::gate {

namespace {

/// Most replicas whose statements are kept while they are not listed. A
/// deployment has fewer replicas.
constexpr std::size_t MaxUnlisted = 10'000;

} // namespace

void ReplicaGate::setFleet(const FleetComposition &fleet) {
  Fleet = fleet;
  if (fleet.Daemons != 0)
    LastKnownDaemons = fleet.Daemons;
}

void ReplicaGate::setEvacuated(DataCentres evacuated, TimePoint /*now*/) {
  Evacuated = std::move(evacuated);
}

void ReplicaGate::setReplicas(const Records &records, TimePoint now) {
  for (auto it = Replicas.begin(); it != Replicas.end();) {
    const auto record = records.find(it->first);
    if (record != records.end() &&
        record->second.Incarnation == it->second.Incarnation) {
      ++it;
      continue;
    }
    keep(it->first, it->second, now);
    it = Replicas.erase(it);
  }
  Services.clear();
  for (const auto &[id, record] : records) {
    const auto [it, isNew] = Replicas.try_emplace(id);
    ReplicaState &replica = it->second;
    replica.Service = record.Service;
    replica.DataCentre = record.DataCentre;
    replica.Incarnation = record.Incarnation;
    replica.IsDraining = record.Draining;
    if (isNew)
      restore(id, replica);
    auto &ids = Services[record.Service];
    replica.Rank = static_cast<std::uint32_t>(ids.size());
    ids.push_back(id);
  }
  countLimited();
}

// A daemon that has lost its relays still shares the replicas with the fleet
// that it last knew.
LimitShare ReplicaGate::share(const ReplicaState &replica) const {
  FleetComposition fleet = Fleet;
  if (fleet.Daemons == 0)
    fleet.Daemons = std::max(Options.AssumedDaemons, LastKnownDaemons);
  return {
      coordination::limitFraction(fleet, Delegated.contains(replica.Service)),
      replica.Rank};
}

std::optional<std::uint32_t> ReplicaGate::available(std::string_view id,
                                                    TimePoint now) {
  const auto it = Replicas.find(id);
  if (it == Replicas.end())
    return std::nullopt;
  ReplicaState &replica = it->second;
  if (replica.Stated.PausedUntil > now ||
      Evacuated.contains(replica.DataCentre))
    return 0;
  if (!replica.Stated.Limiter)
    return std::nullopt;
  return replica.Stated.Limiter->available(share(replica), now);
}

bool ReplicaGate::isAnyRestricted(TimePoint now) const {
  return LimitedReplicas != 0 || LastPauseEnd > now || !Evacuated.empty();
}

bool ReplicaGate::onSent(std::string_view id, TimePoint now) {
  const auto it = Replicas.find(id);
  if (it == Replicas.end() || !it->second.Stated.Limiter)
    return false;
  it->second.Stated.Limiter->onSent(share(it->second), now);
  return true;
}

LimitChange ReplicaGate::setRequestLimit(std::string_view id, double perSecond,
                                         TimePoint now) {
  const auto it = Replicas.find(id);
  if (it == Replicas.end()) {
    const auto unlisted = Unlisted.find(id);
    if (unlisted != Unlisted.end() && perSecond == 0)
      unlisted->second.Stated.Limiter.reset();
    dropEndedPauses(now);
    return LimitChange::None;
  }
  auto &limiter = it->second.Stated.Limiter;
  if (perSecond == (limiter ? limiter->perSecond() : 0))
    return LimitChange::None;
  if (perSecond == 0)
    limiter.reset();
  else if (limiter)
    limiter->setLimit(perSecond);
  else
    limiter.emplace(perSecond, Options.Seed, now);
  countLimited();
  return perSecond == 0 ? LimitChange::Ended : LimitChange::Set;
}

bool ReplicaGate::isLimited(std::string_view id) const {
  const auto it = Replicas.find(id);
  return it != Replicas.end() && it->second.Stated.Limiter.has_value();
}

double ReplicaGate::limitFraction(std::string_view id) const {
  const auto it = Replicas.find(id);
  return it == Replicas.end() ? 0 : share(it->second).Fraction;
}

bool ReplicaGate::onPause(std::string_view id, std::uint64_t incarnation,
                          Duration pause, TimePoint now) {
  const auto it = Replicas.find(id);
  const TimePoint until = now + pause;
  if (it == Replicas.end() || it->second.Incarnation != incarnation ||
      until <= it->second.Stated.PausedUntil)
    return false;
  it->second.Stated.PausedUntil = until;
  LastPauseEnd = std::max(LastPauseEnd, until);
  return true;
}

std::optional<Duration>
ReplicaGate::pauseOf(std::span<const std::string> services,
                     TimePoint now) const {
  Duration longest(0);
  for (const std::string &service : services) {
    const auto ids = Services.find(service);
    if (ids == Services.end())
      continue;
    TimePoint first = TimePoint::max();
    for (const std::string &id : ids->second) {
      const ReplicaState &replica = Replicas.find(id)->second;
      if (!replica.IsDraining && !Evacuated.contains(replica.DataCentre))
        first = std::min(first, replica.Stated.PausedUntil);
    }
    // The smallest time, of a replica that had no pause, allows no subtraction.
    if (first > now && first != TimePoint::max())
      longest = std::max(longest, first - now);
  }
  return longest > Duration(0) ? std::optional(longest) : std::nullopt;
}

void ReplicaGate::keep(const std::string &id, const ReplicaState &replica,
                       TimePoint now) {
  dropEndedPauses(now);
  if ((replica.Stated.Limiter || replica.Stated.PausedUntil > now) &&
      Unlisted.size() < MaxUnlisted)
    Unlisted.insert_or_assign(
        id, UnlistedState{replica.Incarnation, replica.Stated});
}

void ReplicaGate::restore(const std::string &id, ReplicaState &replica) {
  const auto node = Unlisted.extract(id);
  if (!node.empty() && node.mapped().Incarnation == replica.Incarnation)
    replica.Stated = node.mapped().Stated;
}

void ReplicaGate::dropEndedPauses(TimePoint now) {
  std::erase_if(Unlisted, [now](const auto &it) {
    return !it.second.Stated.Limiter && it.second.Stated.PausedUntil <= now;
  });
}

void ReplicaGate::countLimited() {
  LimitedReplicas = static_cast<std::size_t>(
      std::count_if(Replicas.begin(), Replicas.end(), [](const auto &it) {
        return it.second.Stated.Limiter.has_value();
      }));
}

} // namespace galenaflow::coordination::gate
