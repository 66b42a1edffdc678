#include "forwarding/forward_task.h"

#include "state/log.h"

#include <algorithm>
#include <cmath>

// Collects what the admission of a request is decided on: the connections to
// the replicas of each part, and the attempts that wait before it.

namespace galenaflow::forwarding {

using coordination::AttemptOutcome;
using coordination::admission::AdmissionRequest;
using coordination::admission::ReplicaConnections;
using coordination::admission::RoomForecast;
using state::Duration;
using state::TimePoint;

namespace {

/// Part of the shortest latency objective of a service that an attempt may
/// wait at a replica. The other half is for the work and the way back.
constexpr int MaxWaitDivisor = 2;

/// A caller whose first attempt was longer ago has returned after a refusal;
/// no shorter time to return is stated.
constexpr Duration MinReturn = std::chrono::milliseconds(30);

/// A few shards always have long queues where replicas are slow or lost. Demand
/// exceeds the room of a set of shards only when more of them have.
constexpr double MinCongestedFraction = 0.08;

/// The same for a service without shards: one full replica says little.
constexpr double MinCongestedReplicas = 2;

/// Attempts before another one that are counted.
constexpr std::ptrdiff_t MaxAhead = 1000;

} // namespace

// Hedges to replicas with queues help against single slow replicas. When there
// is no room they only take the place of other requests.
bool ForwardTask::hasIdle(std::string_view service,
                          std::span<const state::ReplicaId> tried) {
  return !Admission.isLimiting() || Placement.hasOther(
                                        service, tried,
                                        [this](std::string_view id) {
                                          return Room.isIdle(id, Loop.now());
                                        },
                                        Loop.now());
}

void ForwardTask::setUrgentNeeds() {
  UrgentNeeds.clear();
  for (const state::Route &route : Table->routes()) {
    if (route.LatencyObjective == Duration(0))
      continue;
    const UrgentNeed need{
        route.Priority, route.LatencyObjective / MaxWaitDivisor,
        route.isSharded() ? 1 - route.Shards.MinShardRatio : 0.0};
    const auto add = [this, &need](const std::string &service) {
      const auto [it, isNew] = UrgentNeeds.try_emplace(service, need);
      if (!isNew && need.Priority < it->second.Priority)
        it->second = need;
    };
    for (const std::string &service : route.Shards.Services)
      add(service);
    for (const state::WeightedTarget &target : route.Targets)
      add(target.Service);
  }
}

std::vector<ReplicaConnections>
ForwardTask::connections(const std::string &service,
                         const state::Route &route) {
  std::vector<ReplicaConnections> result;
  const auto replicas = ReplicasByService.find(service);
  if (replicas == ReplicasByService.end())
    return result;
  for (const ReplicaPtr &replica : replicas->second) {
    const bool isCooling =
        replica->Pool.limit() == 0 && replica->CooldownUntil > Loop.now();
    if (!takesAttempts(*replica) || isCooling || !allowsRequest(*replica) ||
        !Options.Regions.allowsReplica(route, replica->Record.DataCentre))
      continue;
    // One connection may be opened where the plan has none.
    const std::size_t total = std::max<std::size_t>(1, replica->Pool.limit());
    const std::size_t free = total - std::min(total, replica->Pool.busy());
    result.push_back({replica->Record.Id, static_cast<std::uint32_t>(free)});
  }
  return result;
}

RoomForecast ForwardTask::forecast(const std::string &service,
                                   const state::Route &route,
                                   const RequestClass &cls,
                                   TimePoint deadline) {
  const auto replicas = connections(service, route);
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
  return Room.forecast(service, replicas, ahead, cls.Id, Loop.now());
}

void ForwardTask::decideAdmission(coordination::ForwardOptions &options,
                                  const RequestClass &cls, Duration elapsed,
                                  Duration returnTime) {
  const state::Route &route = *options.Route;
  if (options.IsSuspect)
    return;
  std::vector<RoomForecast> parts;
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
  request.Class = cls.Id;
  request.Elapsed = elapsed;
  request.Useful = route.LatencyObjective - returnTime - Options.PartialMargin;
  if (elapsed < MinReturn)
    request.Useful -= elapsed;
  request.Useful = std::min(request.Useful, request.Remaining);
  auto decision = Admission.decide(request, Loop.now());
  if (!decision.IsAdmitted) {
    options.RejectedFor = decision.RetryAfter;
    if (decision.IsOwnQueueLong)
      options.RejectionFault = coordination::ForwardFault::NoCapacity;
    AdmissionRejections.add();
    return;
  }
  PartsWithoutRoom.add(decision.LeftOut.size());
  options.LeftOut = std::move(decision.LeftOut);
}

// A request is congested when it was rejected by, or had to wait too long at,
// more parts than it can do without. The wait is too long when the most urgent
// request that uses the service could not meet its objective.
void ForwardTask::recordCongestion(Request &request, const Attempt &attempt,
                                   AttemptOutcome outcome,
                                   const ReplicaResult &result) {
  const state::Route &route = *request.Execution.options().Route;
  if (outcome == AttemptOutcome::NotRun && !isMisdirected(result)) {
    // Some replicas reject requests although they have room.
    if (!result.Load || result.Load->Waiting >= result.Load->Slots)
      ++request.RejectedAttempts;
  } else if (result.Load) {
    const Duration wait =
        Room.statedWait(attempt.Target->Record.Id, *result.Load);
    const auto need = UrgentNeeds.find(attempt.Target->Record.Service);
    if (need != UrgentNeeds.end() && wait > need->second.MaxWait)
      ++request.DelayedAttempts;
    if (route.LatencyObjective != Duration(0) &&
        wait > route.LatencyObjective / MaxWaitDivisor)
      ++request.LateAttempts;
  }
  if (!request.HasMetCongestion && Room.isKnown() && pressure(request) > 1) {
    request.HasMetCongestion = true;
    const auto id = requestClass(request.ClassKey).Id;
    const bool wasOpen = Admission.share(id) >= 1;
    Admission.onCongested(id, Loop.now());
    if (wasOpen)
      state::log::info("admission_limited",
                       {{"route", route.Name},
                        {"share", Admission.share(id)},
                        {"parts", request.Execution.options().Services.size()},
                        {"rejected", request.RejectedAttempts},
                        {"late", request.LateAttempts},
                        {"delayed", request.DelayedAttempts}});
  }
}

// Returns the queues that the request has met, relative to what it can do
// without.
double ForwardTask::pressure(const Request &request) const {
  const auto &options = request.Execution.options();
  const auto need = UrgentNeeds.find(options.Services.front());
  if (need == UrgentNeeds.end())
    return 0;
  const double late = request.RejectedAttempts + request.LateAttempts;
  if (!options.Route->isSharded())
    return late / MinCongestedReplicas;
  const auto n = static_cast<double>(options.Services.size());
  const double spare =
      std::max(1 - options.Route->Shards.MinShardRatio, MinCongestedFraction);
  const double urgentSpare =
      std::max(need->second.SpareFraction, MinCongestedFraction);
  return std::max(late / (spare * n),
                  request.DelayedAttempts / (urgentSpare * n));
}

void ForwardTask::recordPressure(const Request &request) {
  if (request.Execution.options().RejectedFor || request.HasMetCongestion ||
      !request.Execution.counts().IsAnswered)
    return;
  Admission.onEnded(requestClass(request.ClassKey).Id, pressure(request),
                    Loop.now());
}

} // namespace galenaflow::forwarding
