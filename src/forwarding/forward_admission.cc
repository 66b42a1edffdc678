#include "forwarding/forward_task.h"

#include <algorithm>
#include <cmath>

// Collects what the admission of a request is decided on: the connections to
// the replicas of each part, and the attempts that wait before it.

namespace galenaflow::forwarding {

using coordination::admission::AdmissionRequest;
using coordination::admission::PartForecast;
using coordination::admission::ReplicaConnections;
using state::Duration;
using state::TimePoint;

namespace {

/// Part of the shortest latency objective of a service that an attempt may
/// wait at a replica. The other half is for the work and the way back.
constexpr int MaxWaitDivisor = 2;

/// A caller whose first attempt was longer ago has returned after a refusal;
/// no shorter time to return is stated.
constexpr Duration MinReturn = std::chrono::milliseconds(30);

/// Attempts before another one that are counted.
constexpr std::ptrdiff_t MaxAhead = 1000;

} // namespace

bool ForwardTask::hasRoom(const Replica &replica) const {
  return Room.mayTake(replica.Record.Id, Loop.now());
}

void ForwardTask::setMaxWaits() {
  std::map<std::string_view, Duration> shortest;
  const auto add = [&shortest](std::string_view service, Duration objective) {
    const auto [it, isNew] = shortest.try_emplace(service, objective);
    if (!isNew)
      it->second = std::min(it->second, objective);
  };
  for (const state::Route &route : Table->routes()) {
    if (route.LatencyObjective == Duration(0))
      continue;
    for (const std::string &service : route.Shards.Services)
      add(service, route.LatencyObjective);
    for (const state::WeightedTarget &target : route.Targets)
      add(target.Service, route.LatencyObjective);
  }
  for (const auto &[service, objective] : shortest)
    Room.setMaxWait(service, objective / MaxWaitDivisor);
}

std::vector<ReplicaConnections>
ForwardTask::connections(const std::string &service) {
  std::vector<ReplicaConnections> result;
  const auto replicas = ReplicasByService.find(service);
  if (replicas == ReplicasByService.end())
    return result;
  for (const ReplicaPtr &replica : replicas->second) {
    const bool isCooling =
        replica->Pool.limit() == 0 && replica->CooldownUntil > Loop.now();
    if (!takesAttempts(*replica) || isCooling || !allowsRequest(*replica))
      continue;
    // One connection may be opened where the plan has none.
    const auto total = static_cast<std::uint32_t>(
        std::max<std::size_t>(1, replica->Pool.limit()));
    const auto busy = static_cast<std::uint32_t>(
        std::min<std::size_t>(total, replica->Pool.busy()));
    result.push_back({replica->Record.Id, total - busy, total});
  }
  return result;
}

PartForecast ForwardTask::forecast(const std::string &service,
                                   const state::Route &route,
                                   const RequestClass &cls,
                                   TimePoint deadline) {
  const auto replicas = connections(service);
  const auto queue = WaitingAttempts.find(service);
  std::uint32_t ahead = 0;
  if (queue != WaitingAttempts.end()) {
    const WaitKey own{route.Priority, deadline, 0, 0, 0};
    for (const WaitKey &key : queue->second) {
      if (own < key || ahead == MaxAhead)
        break;
      ++ahead;
    }
  }
  return {Room.queueDelay(replicas, ahead, Loop.now()),
          Room.attemptTime(replicas, cls.Id, Loop.now())};
}

void ForwardTask::decideAdmission(coordination::ForwardOptions &options,
                                  const RequestClass &cls, Duration elapsed,
                                  Duration returnTime) {
  const state::Route &route = *options.Route;
  if (options.IsSuspect)
    return;
  std::vector<PartForecast> parts;
  parts.reserve(options.Services.size());
  for (const std::string &service : options.Services)
    parts.push_back(forecast(service, route, cls, options.DeadlineAt));
  AdmissionRequest request;
  request.Parts = parts;
  request.MinParts =
      route.isSharded()
          ? static_cast<std::size_t>(std::ceil(
                route.Shards.MinShardRatio * static_cast<double>(parts.size()) -
                1e-9))
          : 1;
  request.Remaining = options.DeadlineAt - Loop.now();
  request.Objective = route.LatencyObjective;
  const bool hasReturned = elapsed >= MinReturn;
  request.Useful = hasReturned ? request.Remaining
                               : route.LatencyObjective - elapsed - returnTime -
                                     Options.PartialMargin;
  auto decision = Admission.decide(request);
  if (!decision.IsAdmitted) {
    options.RejectedFor = decision.RetryAfter;
    AdmissionRejections.add();
    return;
  }
  PartsWithoutRoom.add(decision.LeftOut.size());
  options.LeftOut = std::move(decision.LeftOut);
}

} // namespace galenaflow::forwarding
