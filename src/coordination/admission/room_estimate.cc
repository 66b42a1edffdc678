#include "coordination/admission/room_estimate.h"

#include <algorithm>

// Load: demand of several times the usual over replicas of which many are slow.
// The requests that wait at a replica come from all daemons, so only the
// replica knows how many there are. It states that in each response.
//
// The latency of an attempt consists of its own work and of that ahead of it.
// Queues are about as long when an attempt arrives as when it ends, so latency
// divided by (1 + waiting / slots) estimates the work alone. It is kept as the
// mean of a class over all replicas and the relative speed of each replica, so
// that a class that is rare at a replica is estimated from the others.
//
// A stated queue becomes shorter at the rate of the replica's slots, and after
// that time nothing is known about it. A daemon that sends nothing therefore
// soon expects room again, and tries.

namespace galenaflow::coordination::admission {

namespace {

double toUs(Duration d) { return static_cast<double>(d.count()); }

Duration fromUs(double us) {
  return Duration(static_cast<std::int64_t>(std::max(0.0, us)));
}

constexpr double MinSpeed = 0.1;
constexpr double MaxSpeed = 50;

/// A queue that rejects requests has at least this many in each slot's turn.
constexpr std::uint32_t MinFullQueuePerSlot = 4;

} // namespace

void RoomEstimate::onBacklog(std::string_view service, TimePoint now) {
  ServiceState &it = Services.try_emplace(std::string(service)).first->second;
  it.NextSince = std::max(it.NextSince, now);
}

void RoomEstimate::onSent(std::string_view service, TimePoint now) {
  const auto found = Services.find(service);
  if (found == Services.end())
    return;
  ServiceState &it = found->second;
  it.IntervalUs +=
      Options.SampleWeight * (toUs(now - it.NextSince) - it.IntervalUs);
  it.NextSince = now;
}

void RoomEstimate::onResponse(std::string_view replica, WorkClass work,
                              Duration latency, const ServerLoad *load,
                              TimePoint now) {
  ++Samples;
  ReplicaState &it = Replicas.try_emplace(std::string(replica)).first->second;
  double own = toUs(latency);
  if (load != nullptr)
    own /= 1 + static_cast<double>(load->Waiting) / std::max(1U, load->Slots);
  const auto add = [own, this](double &mean) {
    mean = mean == 0 ? own : mean + Options.WorkSampleWeight * (own - mean);
  };
  double &mean = WorkUs[work];
  add(mean);
  add(MeanWorkUs);
  const double speed =
      std::clamp(own / std::max(1.0, mean), MinSpeed, MaxSpeed);
  it.Speed += Options.SampleWeight * (speed - it.Speed);
  if (load != nullptr) {
    it.Load = *load;
    it.LoadAt = now;
  }
}

void RoomEstimate::onRejected(std::string_view replica, const ServerLoad *load,
                              TimePoint now) {
  ReplicaState &it = Replicas.try_emplace(std::string(replica)).first->second;
  if (load != nullptr)
    it.Load = *load;
  it.Load.Slots = std::max(1U, it.Load.Slots);
  it.Load.Waiting =
      std::max(it.Load.Waiting, MinFullQueuePerSlot * it.Load.Slots);
  it.LoadAt = now;
}

bool RoomEstimate::isFresh(const ReplicaState &it, TimePoint now) const {
  return it.LoadAt != TimePoint::min() && now - it.LoadAt <= Options.MaxAge;
}

double RoomEstimate::waitUs(const ReplicaState &it, TimePoint now) const {
  if (!isFresh(it, now))
    return 0;
  const double perRequest = MeanWorkUs * it.Speed / std::max(1U, it.Load.Slots);
  return std::max(0.0, it.Load.Waiting * perRequest - toUs(now - it.LoadAt));
}

Duration RoomEstimate::statedWait(std::string_view replica,
                                  const ServerLoad &load) const {
  if (!isKnown())
    return Duration(0);
  const auto it = Replicas.find(replica);
  const double speed = it == Replicas.end() ? 1 : it->second.Speed;
  return fromUs(load.Waiting * MeanWorkUs * speed / std::max(1U, load.Slots));
}

bool RoomEstimate::isIdle(std::string_view replica, TimePoint now) const {
  const auto it = Replicas.find(replica);
  return it == Replicas.end() || !isFresh(it->second, now) ||
         it->second.Load.Waiting == 0;
}

RoomForecast RoomEstimate::forecast(
    std::string_view service, std::span<const ReplicaConnections> replicas,
    std::uint32_t ahead, WorkClass work, TimePoint now) const {
  const auto mean = WorkUs.find(work);
  if (mean == WorkUs.end() || replicas.empty() || !isKnown())
    return {};
  double bestWait = -1;
  double bestTime = -1;
  bool isFree = false;
  for (const ReplicaConnections &replica : replicas) {
    isFree = isFree || ahead < replica.Free;
    const auto found = Replicas.find(replica.Id);
    const double wait =
        found == Replicas.end() ? 0 : waitUs(found->second, now);
    const double speed = found == Replicas.end() ? 1 : found->second.Speed;
    const double time = wait + mean->second * speed;
    bestWait = bestWait < 0 ? wait : std::min(bestWait, wait);
    bestTime = bestTime < 0 ? time : std::min(bestTime, time);
  }
  RoomForecast result;
  result.ReplicaWait = fromUs(bestWait);
  result.AttemptTime = fromUs(bestTime);
  const auto it = Services.find(service);
  if (isFree || it == Services.end())
    return result;
  // The one that is next may have waited for longer than usual already.
  const double head = ahead == 0 ? it->second.IntervalUs
                                 : std::max(it->second.IntervalUs,
                                            toUs(now - it->second.NextSince));
  result.QueueDelay = fromUs(head + it->second.IntervalUs * ahead);
  return result;
}

} // namespace galenaflow::coordination::admission
