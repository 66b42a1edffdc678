#include "coordination/outlier_detector.h"

#include <algorithm>

// The replicas of each shard of each layout, and of each pool, form a group. A
// replica may belong to several groups and is ejected only if at most half of
// each of them is ejected afterwards. Pointers into the map stay valid because
// it is a node map that only setTopology() changes.

namespace galenaflow::coordination {

namespace {

/// Weight of a new sample in the mean latency of a replica.
constexpr double EwmaWeight = 0.1;
constexpr std::uint32_t MaxDoublings = 16;

} // namespace

void OutlierDetector::addGroup(const std::vector<state::ReplicaId> &replicas,
                               const StringMap<ReplicaState> &old) {
  const auto group = static_cast<std::uint32_t>(Groups.size());
  Groups.emplace_back();
  for (const state::ReplicaId &id : replicas) {
    auto [it, added] = Replicas.try_emplace(id);
    if (const auto before = old.find(id); added && before != old.end()) {
      it->second = before->second;
      it->second.Groups.clear();
    }
    it->second.Groups.push_back(group);
    Groups.back().push_back(&it->second);
  }
}

void OutlierDetector::setTopology(const state::Topology &topology) {
  const StringMap<ReplicaState> old = std::move(Replicas);
  Replicas.clear();
  Groups.clear();
  Services.clear();
  for (const auto &[name, service] : topology.Services) {
    for (const state::Layout &layout : service.Layouts)
      for (const state::Shard &shard : layout.Shards)
        addGroup(shard.Replicas, old);
    std::vector<state::ReplicaId> all;
    for (const state::Replica &replica : service.Replicas)
      all.push_back(replica.Id);
    if (service.Kind == state::ServiceKind::Pool)
      addGroup(all, old);
    std::vector<ReplicaState *> &members = Services.emplace_back();
    for (const state::ReplicaId &id : all)
      if (const auto it = Replicas.find(id); it != Replicas.end())
        members.push_back(&it->second);
  }
}

void OutlierDetector::onSent(std::string_view replica, TimePoint now) {
  const auto it = Replicas.find(replica);
  if (it != Replicas.end() && it->second.IsEjected &&
      now >= it->second.EjectedUntil)
    it->second.IsProbeOpen = true;
}

void OutlierDetector::onEnded(std::string_view replica, AttemptOutcome outcome,
                              Duration elapsed, TimePoint now) {
  const auto found = Replicas.find(replica);
  if (found == Replicas.end())
    return;
  ReplicaState &it = found->second;
  const bool wasProbe = it.IsProbeOpen;
  it.IsProbeOpen = false;
  const auto micros = static_cast<double>(elapsed.count());
  if (outcome == AttemptOutcome::Succeeded ||
      (outcome == AttemptOutcome::Cancelled && micros > it.EwmaMicros)) {
    const double weight = it.Samples == 0 ? 1 : EwmaWeight;
    it.EwmaMicros += weight * (micros - it.EwmaMicros);
    ++it.Samples;
  }
  if (outcome == AttemptOutcome::Succeeded) {
    it.Failures = 0;
    if (wasProbe)
      readmit(it);
  }
  if (outcome != AttemptOutcome::Failed)
    return;
  ++it.Failures;
  if (wasProbe || (!it.IsEjected && it.Failures >= Options.ConsecutiveFailures))
    eject(it, now);
}

bool OutlierDetector::isEjectionAllowed(const ReplicaState &replica) const {
  if (replica.IsEjected)
    return true; // it already counts against the limit
  return std::ranges::all_of(replica.Groups, [&](std::uint32_t group) {
    const auto &members = Groups[group];
    const auto ejected = std::ranges::count_if(
        members, [](const ReplicaState *it) { return it->IsEjected; });
    return static_cast<std::size_t>(ejected) + 1 <= members.size() / 2;
  });
}

void OutlierDetector::eject(ReplicaState &replica, TimePoint now) {
  if (!isEjectionAllowed(replica))
    return;
  const std::uint32_t doublings = std::min(replica.Ejections, MaxDoublings);
  replica.IsEjected = true;
  replica.EjectedUntil =
      now + std::min(Options.MaxEjection,
                     Options.BaseEjection * (std::int64_t{1} << doublings));
  ++replica.Ejections;
  replica.Failures = 0;
  replica.Samples = 0;
}

void OutlierDetector::readmit(ReplicaState &replica) {
  replica.IsEjected = false;
  // One success does not clear the history of a replica that alternates between
  // success and failure.
  replica.Ejections = replica.Ejections > 0 ? replica.Ejections - 1 : 0;
}

void OutlierDetector::ejectSlowReplicas(TimePoint now) {
  for (const auto &members : Services) {
    std::vector<double> latencies;
    for (const ReplicaState *it : members)
      if (!it->IsEjected && it->Samples >= Options.MinSamples)
        latencies.push_back(it->EwmaMicros);
    if (latencies.size() < 3)
      continue; // of two replicas, either could be the outlier
    const auto middle =
        latencies.begin() + static_cast<long>(latencies.size() / 2);
    std::nth_element(latencies.begin(), middle, latencies.end());
    const double limit = *middle * Options.LatencyFactor;
    for (ReplicaState *it : members)
      if (!it->IsEjected && it->Samples >= Options.MinSamples &&
          it->EwmaMicros > limit)
        eject(*it, now);
  }
}

bool OutlierDetector::mayUse(std::string_view replica, TimePoint now) const {
  const auto it = Replicas.find(replica);
  if (it == Replicas.end() || !it->second.IsEjected)
    return true;
  return now >= it->second.EjectedUntil && !it->second.IsProbeOpen;
}

bool OutlierDetector::isEjected(std::string_view replica) const {
  const auto it = Replicas.find(replica);
  return it != Replicas.end() && it->second.IsEjected;
}

} // namespace galenaflow::coordination
