#include "coordination/admission/room_estimate.h"

#include <algorithm>

// Load: demand of several times the usual over replicas of which many are slow.
// Without an estimate each daemon fills every queue, the replicas reject half
// of all attempts, and a request that needs nearly all shards fails after most
// of its parts have run.
//
// The latency of an attempt consists of its own work and of that ahead of it.
// Queues are about as long when an attempt arrives as when it ends, so latency
// divided by (1 + waiting / slots) estimates the work alone. It is kept as the
// mean of a class over all replicas and the relative speed of each replica, so
// that a class that is rare at a replica is estimated from the others.
//
// A stated queue becomes shorter at the rate of the replica's slots. Others
// refill it, though, so a replica whose queue is again too long after a hold is
// held for twice as long.

namespace galenaflow::coordination::admission {

namespace {

double toUs(Duration d) { return static_cast<double>(d.count()); }

Duration fromUs(double us) {
  return Duration(static_cast<std::int64_t>(std::max(0.0, us)));
}

constexpr double MinSpeed = 0.1;
constexpr double MaxSpeed = 50;

/// Hold of a replica that rejected an attempt before any duration is known.
constexpr double DefaultWorkUs = 10'000;

} // namespace

void RoomEstimate::setMaxWait(std::string_view service, Duration wait) {
  MaxWaits.insert_or_assign(std::string(service), wait);
}

void RoomEstimate::onSent(std::string_view replica) {
  const auto it = Replicas.find(replica);
  if (it != Replicas.end())
    ++it->second.SentSince;
}

void RoomEstimate::onResponse(std::string_view service,
                              std::string_view replica, WorkClass work,
                              Duration latency, const ServerLoad *load,
                              TimePoint now) {
  ReplicaState &it = Replicas.try_emplace(std::string(replica)).first->second;
  const double us = toUs(latency);
  it.LatencyUs = it.LatencyUs == 0 ? us
                                   : it.LatencyUs + Options.SampleWeight *
                                                        (us - it.LatencyUs);
  double own = us;
  if (load != nullptr)
    own /= 1 + static_cast<double>(load->Waiting) / std::max(1U, load->Slots);
  double &mean = WorkUs[work];
  mean = mean == 0 ? own : mean + Options.SampleWeight / 10 * (own - mean);
  MeanWorkUs = MeanWorkUs == 0 ? own
                               : MeanWorkUs + Options.SampleWeight / 10 *
                                                  (own - MeanWorkUs);
  const double speed =
      std::clamp(own / std::max(1.0, mean), MinSpeed, MaxSpeed);
  it.Speed += Options.SampleWeight * (speed - it.Speed);
  if (load != nullptr)
    applyLoad(service, it, *load, now);
}

void RoomEstimate::onRejected(std::string_view service,
                              std::string_view replica, const ServerLoad *load,
                              TimePoint now) {
  const auto limit = MaxWaits.find(service);
  if (limit == MaxWaits.end() || limit->second == Duration(0))
    return;
  ReplicaState &it = Replicas.try_emplace(std::string(replica)).first->second;
  if (load != nullptr) {
    it.Waiting = load->Waiting;
    it.Slots = std::max(1U, load->Slots);
    it.LoadAt = now;
    it.SentSince = 0;
  }
  const double work = MeanWorkUs == 0 ? DefaultWorkUs : MeanWorkUs * it.Speed;
  hold(it, std::max(waitUs(it, now), work) - toUs(limit->second) + work, now);
}

void RoomEstimate::onEnded(std::string_view) {}

void RoomEstimate::applyLoad(std::string_view service, ReplicaState &it,
                             const ServerLoad &load, TimePoint now) {
  it.Waiting = load.Waiting;
  it.Slots = std::max(1U, load.Slots);
  it.LoadAt = now;
  it.SentSince = 0;
  const auto limit = MaxWaits.find(service);
  if (limit == MaxWaits.end() || limit->second == Duration(0))
    return;
  const double excess = waitUs(it, now) - toUs(limit->second);
  if (load.Waiting == 0 || excess <= 0) {
    it.HoldFactor = 1;
    it.HeldUntil = TimePoint::min();
    return;
  }
  hold(it, excess, now);
}

void RoomEstimate::hold(ReplicaState &it, double excessUs, TimePoint now) {
  const Duration time = std::min(
      fromUs(std::max(excessUs, 1000.0) * it.HoldFactor), Options.MaxHold);
  // Several statements within one hold are no sign that it was too short.
  if (it.HeldUntil <= now)
    it.HoldFactor = std::min(2 * it.HoldFactor, Options.MaxHoldFactor);
  it.HeldUntil = now + time;
}

double RoomEstimate::waitUs(const ReplicaState &it, TimePoint now) const {
  if (it.LoadAt == TimePoint::min() || now - it.LoadAt > Options.MaxAge)
    return 0;
  const double perRequest = MeanWorkUs * it.Speed / it.Slots;
  const double stated = static_cast<double>(it.Waiting) * perRequest;
  return std::max(0.0, stated - toUs(now - it.LoadAt));
}

bool RoomEstimate::mayTake(std::string_view replica, TimePoint now) const {
  const auto it = Replicas.find(replica);
  return it == Replicas.end() || it->second.HeldUntil <= now;
}

Duration RoomEstimate::queueDelay(std::span<const ReplicaConnections> replicas,
                                  std::uint32_t ahead, TimePoint now) const {
  double perUs = 0; // attempts that are sent in a microsecond
  double first = -1;
  for (const ReplicaConnections &replica : replicas) {
    const auto found = Replicas.find(replica.Id);
    const bool isKnown = found != Replicas.end();
    const double held =
        isKnown ? std::max(0.0, toUs(found->second.HeldUntil <= now
                                         ? Duration(0)
                                         : found->second.HeldUntil - now))
                : 0;
    const double latency = isKnown && found->second.LatencyUs > 0
                               ? found->second.LatencyUs
                           : MeanWorkUs > 0 ? MeanWorkUs
                                            : DefaultWorkUs;
    if (replica.Free != 0 && held == 0 && ahead < replica.Free)
      return Duration(0);
    const double next = std::max(
        held,
        replica.Free != 0 ? 0.0 : latency / std::max(1U, replica.Total) / 2);
    first = first < 0 ? next : std::min(first, next);
    perUs += std::max(1U, replica.Total) / std::max(latency, held);
  }
  if (first < 0)
    return Duration(0);
  return fromUs(first + (perUs > 0 ? ahead / perUs : 0));
}

Duration RoomEstimate::attemptTime(std::span<const ReplicaConnections> replicas,
                                   WorkClass work, TimePoint now) const {
  const auto mean = WorkUs.find(work);
  if (mean == WorkUs.end())
    return Duration(0);
  double best = -1;
  for (const ReplicaConnections &replica : replicas) {
    const auto found = Replicas.find(replica.Id);
    const double time =
        found == Replicas.end()
            ? mean->second
            : waitUs(found->second, now) + mean->second * found->second.Speed;
    best = best < 0 ? time : std::min(best, time);
  }
  return fromUs(std::max(0.0, best));
}

std::size_t RoomEstimate::heldReplicas(TimePoint now) const {
  return static_cast<std::size_t>(
      std::count_if(Replicas.begin(), Replicas.end(), [now](const auto &it) {
        return it.second.HeldUntil > now;
      }));
}

} // namespace galenaflow::coordination::admission
