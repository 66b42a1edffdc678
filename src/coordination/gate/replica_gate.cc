#include "coordination/gate/replica_gate.h"

#include <algorithm>
#include <utility>

// Each replica has at most one limiter, one pause and one cold time. A replica
// of an evacuated data centre is never allowed, whatever it has stated.
//
// A registration can expire during an outage of the directory's source, and the
// replica registers again afterwards. Without its limiter each daemon would
// send it a request more, so statements outlive the registration.
//
// After its cold time a replica is used by a growing fraction of the turns of
// each daemon, while its service has others, so that the daemons do not all
// return to it in the same moment.

namespace galenaflow::coordination::gate {

namespace {

/// Most replicas whose statements are kept while they are not listed. A
/// deployment has fewer replicas.
constexpr std::size_t MaxUnlisted = 10'000;

/// Replicas of a data centre may start while its evacuation ends. Their
/// registrations arrive up to this time later.
constexpr Duration RegistrationDelay = std::chrono::seconds(2);

/// The largest number of daemons in one to two of these periods is used for
/// cold replicas: daemons that cannot be counted may still send requests.
constexpr Duration CountPeriod = std::chrono::minutes(5);

/// A number of daemons that grows by more than GrowthFactor is still being
/// counted: reports arrive once a second, over at most three relays.
constexpr double GrowthFactor = 1.25;
constexpr Duration GrowthSettleTime = std::chrono::seconds(4);

/// The use of a replica grows for this part of its cold time, within limits.
constexpr int RampDivisor = 2;
constexpr Duration MinRamp = std::chrono::seconds(1);
constexpr Duration MaxRamp = std::chrono::seconds(5);

} // namespace

std::string_view coldReasonName(ColdReason reason) {
  switch (reason) {
  case ColdReason::Registration:
    return "registration";
  case ColdReason::Response:
    return "response";
  case ColdReason::Restart:
    return "restart";
  case ColdReason::LostConnection:
    return "lost_connection";
  case ColdReason::EvacuationEnded:
    return "evacuation_ended";
  case ColdReason::None:
    break;
  }
  return "none";
}

void ReplicaGate::setServices(const Services &services,
                              const ServiceNames &delegated) {
  for (auto &[name, it] : ServiceStates) {
    const auto service = services.find(name);
    const bool isKnown = service != services.end();
    it.ColdDuration = isKnown ? service->second.ColdDuration : Duration(0);
    it.ColdRate = isKnown ? service->second.ColdRequestRate : 0;
    it.IsDelegated = delegated.contains(name);
  }
  std::erase_if(ServiceStates, [&services](const auto &it) {
    return it.second.Replicas.empty() && !services.contains(it.first);
  });
  for (const auto &[name, service] : services) {
    ServiceState &it = ServiceStates[name];
    it.ColdDuration = service.ColdDuration;
    it.ColdRate = service.ColdRequestRate;
    it.IsDelegated = delegated.contains(name);
  }
  ShareDaemons = 0;
}

void ReplicaGate::setFleet(const FleetComposition &fleet, TimePoint now) {
  if (now >= CountPeriodEnd) {
    MostDaemonsBefore = MostDaemons;
    MostDaemons = 0;
    CountPeriodEnd = now + CountPeriod;
  }
  const std::uint32_t most = std::max(MostDaemons, MostDaemonsBefore);
  if (fleet.Daemons > GrowthFactor * most)
    CountSettledAt = now + GrowthSettleTime;
  MostDaemons = std::max(MostDaemons, fleet.Daemons);
  Fleet = fleet;
  if (fleet.Daemons != 0)
    LastKnownDaemons = fleet.Daemons;
  ShareDaemons = 0;
}

std::uint32_t ReplicaGate::coldDaemons(TimePoint now) const {
  const std::uint32_t counted = std::max(MostDaemons, MostDaemonsBefore);
  return counted == 0 || now < CountSettledAt
             ? std::max(counted, Options.UncountedDaemons)
             : counted;
}

void ReplicaGate::updateColdShares(TimePoint now) {
  const std::uint32_t daemons = coldDaemons(now);
  if (daemons == ShareDaemons)
    return;
  ShareDaemons = daemons;
  FleetComposition fleet = Fleet;
  fleet.Daemons = daemons;
  // Services have few different rates, and the computation is long.
  std::map<std::pair<std::uint32_t, bool>, ColdShare> shares;
  for (auto &[name, it] : ServiceStates) {
    if (it.ColdRate <= 0)
      continue;
    const std::uint32_t most = maxColdArrivals(it.ColdRate, Options.Cold);
    const auto [share, isNew] =
        shares.try_emplace({most, it.IsDelegated}, ColdShare());
    if (isNew)
      share->second = coldShare(most, fleet, it.IsDelegated);
    it.Share = share->second;
  }
}

void ReplicaGate::setEvacuated(DataCentres evacuated, TimePoint now) {
  for (auto &[id, replica] : Replicas) {
    const std::string &place = replica.DataCentre;
    const ServiceState *service = serviceOf(replica);
    if (Evacuated.contains(place) && !evacuated.contains(place) &&
        service != nullptr)
      makeCold(replica, now + service->ColdDuration + RegistrationDelay,
               ColdReason::EvacuationEnded);
  }
  Evacuated = std::move(evacuated);
}

void ReplicaGate::setReplicas(const Records &records, TimePoint now) {
  std::set<std::string, std::less<>> restarted;
  for (auto it = Replicas.begin(); it != Replicas.end();) {
    const auto record = records.find(it->first);
    if (record != records.end() &&
        record->second.Incarnation == it->second.Incarnation) {
      ++it;
      continue;
    }
    if (record != records.end())
      restarted.insert(it->first);
    keep(it->first, it->second, now);
    it = Replicas.erase(it);
  }
  for (auto &[name, service] : ServiceStates)
    service.Replicas.clear();
  for (const auto &[id, record] : records) {
    const auto [it, isNew] = Replicas.try_emplace(id);
    ReplicaState &replica = it->second;
    replica.Service = record.Service;
    replica.DataCentre = record.DataCentre;
    replica.Incarnation = record.Incarnation;
    replica.IsDraining = record.Draining;
    if (isNew)
      restore(id, replica);
    ServiceState &service = ServiceStates[record.Service];
    if (restarted.contains(id))
      makeCold(replica, now + service.ColdDuration, ColdReason::Restart);
    if (record.ColdUntil > now)
      makeCold(replica, record.ColdUntil, ColdReason::Registration);
    replica.Rank = static_cast<std::uint32_t>(service.Replicas.size());
    service.Replicas.push_back(id);
  }
  countLimited();
}

ReplicaGate::ReplicaState *ReplicaGate::find(std::string_view id,
                                             std::uint64_t incarnation) {
  const auto it = Replicas.find(id);
  return it == Replicas.end() || it->second.Incarnation != incarnation
             ? nullptr
             : &it->second;
}

const ReplicaGate::ServiceState *
ReplicaGate::serviceOf(const ReplicaState &replica) const {
  const auto it = ServiceStates.find(replica.Service);
  return it == ServiceStates.end() ? nullptr : &it->second;
}

// A daemon that has lost its relays still shares the replicas with the fleet
// that it last knew.
LimitShare ReplicaGate::share(const ReplicaState &replica) const {
  FleetComposition fleet = Fleet;
  if (fleet.Daemons == 0)
    fleet.Daemons = std::max(Options.AssumedDaemons, LastKnownDaemons);
  const ServiceState *service = serviceOf(replica);
  return {coordination::limitFraction(fleet, service != nullptr &&
                                                 service->IsDelegated),
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
  const bool isRestricted = isRationed(id, replica, now);
  if (isRestricted) {
    updateColdShares(now);
    if (!allowsCold(replica, now))
      return 0;
  }
  if (!replica.Stated.Limiter)
    return isRestricted ? std::optional(1U) : std::nullopt;
  const std::uint32_t limit =
      replica.Stated.Limiter->available(share(replica), now);
  return isRestricted ? std::min(1U, limit) : limit;
}

// Most replicas have not been cold for long; they must cost little here.
bool ReplicaGate::isRationed(std::string_view id, const ReplicaState &replica,
                             TimePoint now) const {
  if (!replica.Stated.IsLost && replica.Stated.ColdUntil <= now - MaxRamp)
    return false;
  return isCold(replica, now) ||
         (drawColdTurn(Options.Seed, id, now) >= warmFraction(replica, now) &&
          hasWarm(replica, now));
}

bool ReplicaGate::isAnyRestricted(TimePoint now) const {
  return LimitedReplicas != 0 || LostReplicas != 0 || LastPauseEnd > now ||
         LastColdEnd > now || !Evacuated.empty();
}

bool ReplicaGate::onSent(std::string_view id, TimePoint now) {
  const auto it = Replicas.find(id);
  if (it == Replicas.end())
    return false;
  Statements &stated = it->second.Stated;
  stated.Allowance.onSent(now);
  if (!stated.Limiter)
    return false;
  stated.Limiter->onSent(share(it->second), now);
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
  ReplicaState *replica = find(id, incarnation);
  const TimePoint until = now + pause;
  if (replica == nullptr || until <= replica->Stated.PausedUntil)
    return false;
  replica->Stated.PausedUntil = until;
  LastPauseEnd = std::max(LastPauseEnd, until);
  return true;
}

std::optional<Duration>
ReplicaGate::pauseOf(std::span<const std::string> services, TimePoint now,
                     const DataCentreFilter &allowed) const {
  Duration longest(0);
  for (const std::string &name : services) {
    const auto service = ServiceStates.find(name);
    if (service == ServiceStates.end())
      continue;
    TimePoint first = TimePoint::max();
    for (const std::string &id : service->second.Replicas) {
      const ReplicaState &replica = Replicas.find(id)->second;
      if (replica.IsDraining || Evacuated.contains(replica.DataCentre) ||
          (allowed && !allowed(replica.DataCentre)))
        continue;
      TimePoint usableAt = replica.Stated.PausedUntil;
      if (isCold(replica, now))
        usableAt = std::max(usableAt, replica.Stated.IsLost
                                          ? now + MaxColdWait
                                          : std::min(replica.Stated.ColdUntil,
                                                     now + MaxColdWait));
      first = std::min(first, usableAt);
    }
    // The smallest time, of a replica that had no pause, allows no subtraction.
    if (first > now && first != TimePoint::max())
      longest = std::max(longest, first - now);
  }
  return longest > Duration(0) ? std::optional(longest) : std::nullopt;
}

void ReplicaGate::makeCold(ReplicaState &replica, TimePoint until,
                           ColdReason reason) {
  Statements &it = replica.Stated;
  if (until <= it.ColdUntil)
    return;
  it.ColdUntil = until;
  if (!it.IsLost)
    it.WhyCold = reason;
  LastColdEnd = std::max(LastColdEnd, until + MaxRamp);
}

void ReplicaGate::onResponse(std::string_view id, std::uint64_t incarnation,
                             std::optional<Duration> coldRemaining,
                             TimePoint now) {
  ReplicaState *replica = find(id, incarnation);
  if (replica == nullptr)
    return;
  endLoss(*replica, now);
  if (coldRemaining)
    makeCold(*replica, now + *coldRemaining, ColdReason::Response);
}

// A replica that accepts connections has started by then, so its cold time is
// over at the latest when the service's cold time has passed since.
void ReplicaGate::onConnected(std::string_view id, TimePoint now) {
  const auto it = Replicas.find(id);
  if (it != Replicas.end())
    endLoss(it->second, now);
}

void ReplicaGate::endLoss(ReplicaState &replica, TimePoint now) {
  if (!std::exchange(replica.Stated.IsLost, false))
    return;
  --LostReplicas;
  if (const ServiceState *service = serviceOf(replica))
    makeCold(replica, now + service->ColdDuration, ColdReason::LostConnection);
}

void ReplicaGate::onMisdirected(std::string_view id, TimePoint sentAt) {
  const auto it = Replicas.find(id);
  if (it != Replicas.end())
    it->second.Stated.Allowance.onReturned(sentAt);
}

void ReplicaGate::onConnectionLost(std::string_view id,
                                   std::uint64_t incarnation, TimePoint now) {
  ReplicaState *replica = find(id, incarnation);
  if (replica == nullptr || replica->Stated.IsLost)
    return;
  const ServiceState *service = serviceOf(*replica);
  if (service == nullptr || service->ColdRate <= 0)
    return;
  replica->Stated.IsLost = true;
  ++LostReplicas;
  if (replica->Stated.ColdUntil <= now)
    replica->Stated.WhyCold = ColdReason::LostConnection;
}

bool ReplicaGate::isCold(const ReplicaState &replica, TimePoint now) const {
  if (!replica.Stated.IsLost && replica.Stated.ColdUntil <= now)
    return false;
  const ServiceState *service = serviceOf(replica);
  return service != nullptr && service->ColdRate > 0;
}

bool ReplicaGate::isCold(std::string_view id, TimePoint now) const {
  const auto it = Replicas.find(id);
  return it != Replicas.end() && isCold(it->second, now);
}

// One, or less for some time after the cold time.
double ReplicaGate::warmFraction(const ReplicaState &replica,
                                 TimePoint now) const {
  const TimePoint end = replica.Stated.ColdUntil;
  const ServiceState *service = serviceOf(replica);
  if (end == TimePoint::min() || service == nullptr || service->ColdRate <= 0)
    return 1;
  const Duration ramp =
      std::clamp(service->ColdDuration / RampDivisor, MinRamp, MaxRamp);
  return std::clamp(std::chrono::duration<double>(now - end) /
                        std::chrono::duration<double>(ramp),
                    0.0, 1.0);
}

// Whether the service has another replica that is used without restriction.
bool ReplicaGate::hasWarm(const ReplicaState &replica, TimePoint now) const {
  const ServiceState *service = serviceOf(replica);
  return service != nullptr &&
         std::any_of(service->Replicas.begin(), service->Replicas.end(),
                     [this, now](const std::string &id) {
                       const ReplicaState &it = Replicas.find(id)->second;
                       return !it.IsDraining && !isCold(it, now) &&
                              warmFraction(it, now) >= 1 &&
                              it.Stated.PausedUntil <= now &&
                              !Evacuated.contains(it.DataCentre);
                     });
}

// The replicas of a data centre are drawn together: a request over many shards
// needs most of them at the same time.
bool ReplicaGate::allowsCold(const ReplicaState &replica, TimePoint now) const {
  const ServiceState *service = serviceOf(replica);
  const bool hasJustStarted = Options.StartedAt != TimePoint::min() &&
                              now - Options.StartedAt <= ColdWindow;
  return service != nullptr && !hasJustStarted &&
         replica.Stated.Allowance.allows(service->Share, replica.DataCentre,
                                         Options.Seed, now);
}

std::optional<ColdStatus>
ReplicaGate::withheldCold(std::string_view name, TimePoint now,
                          const DataCentreFilter &allowed) const {
  const auto service = ServiceStates.find(name);
  if (service == ServiceStates.end() || service->second.ColdRate <= 0)
    return std::nullopt;
  ColdStatus status;
  bool isWithheld = false;
  for (const std::string &id : service->second.Replicas) {
    const ReplicaState &it = Replicas.find(id)->second;
    if (it.IsDraining || Evacuated.contains(it.DataCentre) ||
        (allowed && !allowed(it.DataCentre)))
      continue;
    ++status.Replicas;
    if (!isCold(it, now))
      continue;
    ++status.Cold;
    isWithheld |= !allowsCold(it, now);
  }
  if (!isWithheld)
    return std::nullopt;
  status.MaxArrivals = maxColdArrivals(service->second.ColdRate, Options.Cold);
  status.Daemons = coldDaemons(now);
  return status;
}

std::size_t ReplicaGate::coldReplicas(TimePoint now) const {
  return static_cast<std::size_t>(std::count_if(
      Replicas.begin(), Replicas.end(),
      [this, now](const auto &it) { return isCold(it.second, now); }));
}

std::vector<ColdChange> ReplicaGate::takeColdChanges(TimePoint now) {
  std::vector<ColdChange> changes;
  for (auto &[id, replica] : Replicas) {
    const bool isColdNow = isCold(replica, now);
    if (std::exchange(replica.WasCold, isColdNow) == isColdNow)
      continue;
    const Statements &it = replica.Stated;
    changes.push_back(
        {id, replica.Service, isColdNow ? it.WhyCold : ColdReason::None,
         isColdNow && it.ColdUntil > now ? it.ColdUntil - now : Duration(0)});
  }
  return changes;
}

void ReplicaGate::keep(const std::string &id, const ReplicaState &replica,
                       TimePoint now) {
  dropEndedPauses(now);
  const Statements &it = replica.Stated;
  if ((it.Limiter || it.IsLost || it.PausedUntil > now || it.ColdUntil > now) &&
      Unlisted.size() < MaxUnlisted)
    Unlisted.insert_or_assign(id, UnlistedState{replica.Incarnation, it});
}

void ReplicaGate::restore(const std::string &id, ReplicaState &replica) {
  const auto node = Unlisted.extract(id);
  if (!node.empty() && node.mapped().Incarnation == replica.Incarnation)
    replica.Stated = node.mapped().Stated;
}

void ReplicaGate::dropEndedPauses(TimePoint now) {
  std::erase_if(Unlisted, [now](const auto &it) {
    const Statements &stated = it.second.Stated;
    return !stated.Limiter && !stated.IsLost && stated.PausedUntil <= now &&
           stated.ColdUntil <= now;
  });
}

void ReplicaGate::countLimited() {
  LimitedReplicas = 0;
  LostReplicas = 0;
  for (const auto &[id, it] : Replicas) {
    LimitedReplicas += it.Stated.Limiter ? 1 : 0;
    LostReplicas += it.Stated.IsLost ? 1 : 0;
  }
}

} // namespace galenaflow::coordination::gate
