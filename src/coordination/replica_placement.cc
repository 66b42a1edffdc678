#include "coordination/replica_placement.h"

#include <algorithm>
#include <cmath>
#include <set>

// The cost of a replica is its expected response time, as a multiple of the
// expected latency of the attempt:
//
//   relative latency x queue factor (x penalties) + remote penalty
//
// Relative latency is a mean of own samples of latency / expected latency.
// While a load report is fresh, the reported slowdown factor of the host is
// used if it exceeds the mean, because it changes faster than samples arrive.
// The queue factor grows with the work beyond the replica's slots, which is the
// larger of the own open attempts and the reported work. The own count is never
// stale but reports are, so a report can only raise the count.
//
// With two replicas per shard, the most important signal is an attempt that
// stays open too long (a stall): its replica is paused or has departed. The
// signal needs no extra request, and it ends with the attempt.

namespace galenaflow::coordination {

namespace {

/// Costs that differ by less than this fraction count as equal. The random
/// choice between such replicas keeps the daemons from all preferring the same
/// one.
constexpr double TieRange = 0.08;

constexpr double MinRelativeLatency = 0.3;
constexpr double MaxRelativeLatency = 30;

bool contains(std::span<const state::ReplicaId> ids, std::string_view id) {
  return std::find(ids.begin(), ids.end(), id) != ids.end();
}

} // namespace

ReplicaPlacement::ReplicaPlacement(std::string dataCentre,
                                   std::mt19937_64 random,
                                   PlacementOptions options)
    : DataCentre(std::move(dataCentre)), Random(random), Options(options),
      Outliers(options.Outliers) {}

void ReplicaPlacement::setReplicas(
    const std::map<std::string, state::ReplicaRecord, std::less<>> &records,
    TimePoint now) {
  std::erase_if(Replicas, [&](const auto &entry) {
    return !records.contains(entry.first);
  });
  Services.clear();
  state::Topology topology;
  for (const auto &[id, record] : records) {
    const auto [it, added] = Replicas.try_emplace(id);
    ReplicaState &replica = it->second;
    const bool isNew = added ||
                       replica.Record.Incarnation != record.Incarnation ||
                       replica.Record.Address != record.Address;
    if (isNew) {
      replica = ReplicaState{};
      replica.ColdUntil = now + record.ColdRemaining;
    }
    replica.Record = record;
    replica.IsLocal = record.DataCentre == DataCentre;
    if (record.Draining)
      continue;
    Services[record.Service].push_back(id);
    state::Service &service = topology.Services[record.Service];
    service.Name = record.Service;
    service.Replicas.push_back({id, record.Address, record.DataCentre});
  }
  Outliers.setTopology(topology);
}

bool ReplicaPlacement::isUsable(const ReplicaState &replica,
                                TimePoint now) const {
  return !replica.Record.Draining && !replica.IsMisdirected &&
         Outliers.mayUse(replica.Record.Id, now);
}

bool ReplicaPlacement::isStalled(const ReplicaState &replica,
                                 TimePoint now) const {
  return std::any_of(
      replica.Open.begin(), replica.Open.end(),
      [now](const OpenAttempt &open) { return open.StalledAt <= now; });
}

bool ReplicaPlacement::isStalled(std::string_view replica,
                                 TimePoint now) const {
  const auto it = Replicas.find(replica);
  return it != Replicas.end() && isStalled(it->second, now);
}

double ReplicaPlacement::relativeLatency(const ReplicaState &replica,
                                         TimePoint now) const {
  if (replica.SampleAt == TimePoint::min())
    return 1;
  const double halfLives =
      static_cast<double>((now - replica.SampleAt).count()) /
      static_cast<double>(Options.DecayHalfLife.count());
  return 1 + (replica.RelativeLatency - 1) * std::exp2(-halfLives);
}

double ReplicaPlacement::cost(const ReplicaState &replica,
                              TimePoint now) const {
  double relative = relativeLatency(replica, now);
  auto busy = static_cast<double>(replica.Open.size());
  const bool fresh = replica.LoadAt != TimePoint::min() &&
                     now - replica.LoadAt <= Options.LoadReportTtl;
  if (fresh) {
    relative = std::max(relative, replica.Load.SlowdownFactor);
    busy = std::max(busy, static_cast<double>(replica.Load.Running) +
                              static_cast<double>(replica.Load.Waiting));
  }
  const double slots = std::max<double>(1, replica.Record.Slots);
  const double queue = std::max(0.0, busy + 1 - slots) / slots;
  double total = relative * (1 + queue);
  if (now < replica.ColdUntil)
    total *= Options.ColdPenalty;
  if (isStalled(replica, now))
    total *= Options.StallPenalty;
  return total + (replica.IsLocal ? 0 : Options.RemotePenalty);
}

std::optional<state::ReplicaId>
ReplicaPlacement::choose(std::string_view service,
                         std::span<const state::ReplicaId> tried,
                         const ReplicaPredicate &canSend, TimePoint now) {
  const auto listed = Services.find(service);
  if (listed == Services.end())
    return std::nullopt;
  const state::ReplicaId *best = nullptr;
  double bestCost = 0;
  std::uniform_real_distribution<double> jitter(1 - TieRange / 2,
                                                1 + TieRange / 2);
  for (const state::ReplicaId &id : listed->second) {
    const ReplicaState &replica = Replicas.find(id)->second;
    if (contains(tried, id) || !isUsable(replica, now) || !canSend(id))
      continue;
    const double candidate = cost(replica, now) * jitter(Random);
    if (best == nullptr || candidate < bestCost) {
      best = &id;
      bestCost = candidate;
    }
  }
  return best == nullptr ? std::nullopt : std::optional(*best);
}

bool ReplicaPlacement::hasOther(std::string_view service,
                                std::span<const state::ReplicaId> tried,
                                const ReplicaPredicate &accepts,
                                TimePoint now) const {
  const auto listed = Services.find(service);
  return listed != Services.end() &&
         std::any_of(listed->second.begin(), listed->second.end(),
                     [&](const state::ReplicaId &id) {
                       return !contains(tried, id) &&
                              isUsable(Replicas.find(id)->second, now) &&
                              accepts(id);
                     });
}

bool ReplicaPlacement::hasOther(std::string_view service,
                                std::span<const state::ReplicaId> tried,
                                TimePoint now) const {
  return hasOther(
      service, tried, [](std::string_view) { return true; }, now);
}

void ReplicaPlacement::onSent(std::string_view replica, Duration expected,
                              TimePoint now) {
  const auto it = Replicas.find(replica);
  if (it == Replicas.end())
    return;
  const Duration stallTime(static_cast<std::int64_t>(
      Options.StallFactor * static_cast<double>(expected.count())));
  it->second.Open.push_back({now, now + stallTime + Options.StallSlack});
  Outliers.onSent(replica, now);
}

void ReplicaPlacement::onEnded(std::string_view replica, TimePoint sentAt,
                               Duration expected, AttemptOutcome outcome,
                               TimePoint now) {
  const auto found = Replicas.find(replica);
  if (found == Replicas.end())
    return;
  ReplicaState &it = found->second;
  const auto open =
      std::find_if(it.Open.begin(), it.Open.end(),
                   [sentAt](const auto &o) { return o.SentAt == sentAt; });
  if (open != it.Open.end())
    it.Open.erase(open);
  const Duration elapsed = now - sentAt;
  Outliers.onEnded(replica, outcome, elapsed, now);
  if (outcome == AttemptOutcome::Cancelled)
    return;
  double sample = static_cast<double>(elapsed.count()) /
                  std::max<double>(1, static_cast<double>(expected.count()));
  if (outcome == AttemptOutcome::Failed)
    sample = std::max(sample, Options.FailureLatencyFactor);
  if (outcome == AttemptOutcome::NotRun)
    sample = std::max(sample, Options.RejectionLatencyFactor);
  sample = std::clamp(sample, MinRelativeLatency, MaxRelativeLatency);
  const double mean = relativeLatency(it, now);
  it.RelativeLatency = it.SampleAt == TimePoint::min()
                           ? sample
                           : mean + Options.SampleWeight * (sample - mean);
  it.SampleAt = now;
}

void ReplicaPlacement::onLoad(std::string_view replica, const ServerLoad &load,
                              TimePoint now) {
  const auto it = Replicas.find(replica);
  if (it == Replicas.end())
    return;
  it->second.Load = load;
  it->second.LoadAt = now;
}

void ReplicaPlacement::onMisdirected(std::string_view replica) {
  const auto it = Replicas.find(replica);
  if (it != Replicas.end())
    it->second.IsMisdirected = true;
}

} // namespace galenaflow::coordination
