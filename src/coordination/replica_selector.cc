#include "coordination/replica_selector.h"

#include <algorithm>
#include <cmath>
#include <limits>

// Own measurements take precedence over the load report, which is stale by a
// poll interval or more: in-flight counts are exact for this process, and a
// slow replica shows in the latency of one response. A cancelled sub-request
// counts as a sample if it took longer than the estimate, since otherwise a
// replica that always responds later than the hedge would keep its low
// estimate.

namespace galenaflow::coordination {

namespace {

constexpr double SampleWeight = 0.2;
constexpr double DefaultLatencyMicros = 1000;
constexpr std::size_t MaxCandidates = 64;

} // namespace

AdaptiveReplicaSelector::AdaptiveReplicaSelector(OutlierDetector &outliers,
                                                 std::mt19937_64 random,
                                                 ReplicaSelectorOptions options)
    : Outliers(outliers), Random(random), Options(options) {}

AdaptiveReplicaSelector::ReplicaState &
AdaptiveReplicaSelector::stateOf(std::string_view replica) {
  const auto it = Replicas.find(replica);
  if (it != Replicas.end())
    return it->second;
  return Replicas.try_emplace(std::string(replica)).first->second;
}

const AdaptiveReplicaSelector::ReplicaState *
AdaptiveReplicaSelector::find(std::string_view replica) const {
  const auto it = Replicas.find(replica);
  return it == Replicas.end() ? nullptr : &it->second;
}

bool AdaptiveReplicaSelector::isUsable(const ReplicaState &it,
                                       std::string_view replica,
                                       TimePoint now) const {
  return !it.Draining && !it.Leaving && it.Health != ReplicaHealth::Starting &&
         Outliers.mayUse(replica, now);
}

bool AdaptiveReplicaSelector::usable(std::string_view replica,
                                     TimePoint now) const {
  const ReplicaState *it = find(replica);
  return it ? isUsable(*it, replica, now) : Outliers.mayUse(replica, now);
}

double AdaptiveReplicaSelector::estimate(const ReplicaState &it, double best,
                                         TimePoint now) const {
  if (!it.HasSample)
    return best;
  if (it.EwmaMicros <= best)
    return it.EwmaMicros;
  const auto idle = static_cast<double>((now - it.SampleAt).count());
  const auto half = static_cast<double>(Options.DecayHalfLife.count());
  return best + (it.EwmaMicros - best) * std::exp2(-idle / half);
}

double AdaptiveReplicaSelector::cost(const ReplicaState &it, double best,
                                     TimePoint now) const {
  double queue = it.InFlight;
  const bool fresh = it.HasSample && now - it.SampleAt < Options.OwnSampleTtl;
  if (!fresh)
    queue = std::max(queue, static_cast<double>(it.Report.InFlight) +
                                it.Report.Queued);
  double cost = estimate(it, best, now) * (queue + 1);
  if (now < it.RampUntil) {
    const auto remaining = static_cast<double>((it.RampUntil - now).count());
    const auto ramp = static_cast<double>(Options.RampTime.count());
    cost *= 1 + (Options.RampPenalty - 1) * remaining / ramp;
  }
  return cost;
}

// Collects the usable candidates that report the snapshot, or all usable ones
// if none reports it. Each candidate is looked up only once, since hashing its
// name is the most expensive step.
void AdaptiveReplicaSelector::collect(const ReplicaCandidates &candidates,
                                      TimePoint now) {
  Usable.clear();
  bool anyServes = false;
  const std::size_t n = std::min(candidates.Replicas.size(), MaxCandidates);
  for (std::size_t i = 0; i < n; ++i) {
    if ((candidates.Excluded >> i) & 1)
      continue;
    const state::ReplicaId &id = candidates.Replicas[i];
    const ReplicaState &it = stateOf(id);
    if (!isUsable(it, id, now))
      continue;
    const bool serves =
        std::ranges::any_of(it.Report.Snapshots, [&](const auto &s) {
          return s.Snapshot == candidates.Snapshot;
        });
    if (serves && !anyServes)
      Usable.clear();
    anyServes = anyServes || serves;
    if (serves || !anyServes)
      Usable.push_back({i, &it});
  }
}

double AdaptiveReplicaSelector::bestEstimate() const {
  double best = std::numeric_limits<double>::infinity();
  for (const Candidate &it : Usable)
    if (it.State->HasSample)
      best = std::min(best, it.State->EwmaMicros);
  return std::isinf(best) ? DefaultLatencyMicros : best;
}

std::optional<std::size_t>
AdaptiveReplicaSelector::choose(const ReplicaCandidates &candidates,
                                TimePoint now) {
  collect(candidates, now);
  if (Usable.empty())
    return std::nullopt;
  const double best = bestEstimate();
  // A random start breaks ties evenly. Of many candidates only two random ones
  // are compared, so that processes do not all choose the same replica.
  const std::size_t n = Usable.size();
  const std::size_t first = Random() % n;
  const std::size_t scanned = n <= Options.MaxFullScan ? n : 2;
  const std::size_t step = scanned == n ? 1 : 1 + Random() % (n - 1);
  std::size_t chosen = Usable[first].Index;
  double lowest = std::numeric_limits<double>::infinity();
  for (std::size_t k = 0; k < scanned; ++k) {
    const Candidate &candidate = Usable[(first + k * step) % n];
    const double it = cost(*candidate.State, best, now);
    if (it < lowest) {
      lowest = it;
      chosen = candidate.Index;
    }
  }
  return chosen;
}

void AdaptiveReplicaSelector::onSent(std::string_view replica, TimePoint now) {
  ++stateOf(replica).InFlight;
  Outliers.onSent(replica, now);
}

void AdaptiveReplicaSelector::onEnded(std::string_view replica,
                                      AttemptOutcome outcome, Duration elapsed,
                                      TimePoint now) {
  ReplicaState &it = stateOf(replica);
  if (it.InFlight > 0)
    --it.InFlight;
  const auto micros = static_cast<double>(elapsed.count());
  const bool isLowerBound =
      outcome == AttemptOutcome::Cancelled || outcome == AttemptOutcome::Failed;
  if (outcome == AttemptOutcome::Succeeded ||
      (isLowerBound && micros > it.EwmaMicros)) {
    const double weight = it.HasSample ? SampleWeight : 1;
    it.EwmaMicros += weight * (micros - it.EwmaMicros);
    it.HasSample = true;
    it.SampleAt = now;
  }
  Outliers.onEnded(replica, outcome, elapsed, now);
}

void AdaptiveReplicaSelector::onHealth(std::string_view replica,
                                       ReplicaHealth health, TimePoint now) {
  ReplicaState &it = stateOf(replica);
  if (health == ReplicaHealth::Serving && it.Health == ReplicaHealth::Starting)
    it.RampUntil = now + Options.RampTime;
  it.Health = health;
  if (health == ReplicaHealth::Draining)
    it.Draining = true;
  if (health == ReplicaHealth::Serving)
    it.Draining = false;
}

void AdaptiveReplicaSelector::onLoadReport(std::string_view replica,
                                           LoadReport report, TimePoint) {
  stateOf(replica).Report = std::move(report);
}

void AdaptiveReplicaSelector::onDraining(std::string_view replica) {
  stateOf(replica).Draining = true;
}

void AdaptiveReplicaSelector::setLeaving(std::string_view replica,
                                         bool leaving) {
  stateOf(replica).Leaving = leaving;
}

std::uint32_t
AdaptiveReplicaSelector::inFlight(std::string_view replica) const {
  const ReplicaState *it = find(replica);
  return it ? it->InFlight : 0;
}

void AdaptiveReplicaSelector::setTopology(const state::Topology &topology) {
  StringMap<ReplicaState> kept;
  for (const auto &[name, service] : topology.Services)
    for (const state::Replica &replica : service.Replicas)
      if (auto it = Replicas.find(replica.Id); it != Replicas.end())
        kept.try_emplace(replica.Id, std::move(it->second));
  Replicas = std::move(kept);
  Outliers.setTopology(topology);
}

std::optional<std::size_t>
RoundRobinReplicaSelector::choose(const ReplicaCandidates &candidates,
                                  TimePoint) {
  const std::size_t n = std::min(candidates.Replicas.size(), MaxCandidates);
  if (n == 0)
    return std::nullopt;
  std::size_t &next = NextIndexes[candidates.Replicas.front()];
  for (std::size_t k = 0; k < n; ++k) {
    const std::size_t i = (next + k) % n;
    if ((candidates.Excluded >> i) & 1)
      continue;
    next = i + 1;
    return i;
  }
  return std::nullopt;
}

} // namespace galenaflow::coordination
