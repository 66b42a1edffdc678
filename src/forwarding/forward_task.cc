#include "forwarding/forward_task.h"

#include "state/log.h"

#include <algorithm>

// Starts requests, executes the actions of their executions and passes on the
// results. The other parts of this class are in forward_dispatch.cc,
// forward_evacuation.cc, forward_limits.cc, forward_regions.cc and
// forward_replicas.cc.

namespace galenaflow::forwarding {

using state::Duration;
using state::TimePoint;

namespace {

/// Before any latency was measured, the expected latency of an attempt is the
/// latency objective divided by this.
constexpr int InitialLatencyDivisor = 6;

/// Expected latency of an attempt before any was measured, for routes without
/// an objective.
constexpr Duration InitialLatency = std::chrono::milliseconds(20);

/// A hedge is sent after this fraction of the objective at the latest, so that
/// the second replica has time to respond.
constexpr double MaxHedgeFraction = 0.45;

constexpr Duration MinHedgeDelay = std::chrono::milliseconds(2);

} // namespace

ForwardTask::ForwardTask(transport::EventLoop &loop, ReplicaProtocol &protocol,
                         ForwardTaskOptions options,
                         state::MetricRegistry &metrics)
    : Loop(loop), Protocol(protocol), Options(std::move(options)),
      Placement(Options.DataCentre, std::mt19937_64(Options.Seed)),
      Gate({Options.AssumedDaemons, Options.UncountedDaemons, Options.Seed,
            Options.Cold, loop.now()}),
      Admission({}, std::mt19937_64(Options.Seed + 1)), StartedAt(loop.now()),
      LastFleetGrowthAt(StartedAt),
      Hedges(metrics.counter("galenaflow_hedges_total",
                             "Attempts sent beside one that is open")),
      Retries(metrics.counter("galenaflow_retries_total",
                              "Attempts sent after a failed one")),
      BudgetRefusals(
          metrics.counter("galenaflow_extra_budget_refusals_total",
                          "Hedges and retries that the budget did not allow")),
      Rejections(metrics.counter("galenaflow_replica_rejections_total",
                                 "Attempts that replicas did not run")),
      FailedAttempts(metrics.counter("galenaflow_broken_attempts_total",
                                     "Attempts without a usable response")),
      LimitedAttempts(
          metrics.counter("galenaflow_limited_attempts_total",
                          "Attempts at replicas with a request limit")),
      ColdReplicas(metrics.gauge("galenaflow_cold_replicas",
                                 "Replicas that count as cold")),
      ColdAttempts(metrics.counter("galenaflow_cold_attempts_total",
                                   "Attempts sent to cold replicas")),
      WithheldAttempts(metrics.counter(
          "galenaflow_cold_withheld_total",
          "Attempts not sent, since the service has only cold replicas whose "
          "allowance is used up")),
      AdmissionRejections(metrics.counter(
          "galenaflow_admission_rejections_total",
          "Requests rejected on arrival, since the replicas have no room")),
      PartsWithoutRoom(metrics.counter("galenaflow_parts_without_room_total",
                                       "Parts left out of admitted requests")),
      EvacuatedCount(metrics.gauge("galenaflow_evacuated_data_centres",
                                   "Data centres whose replicas get no "
                                   "requests, as the operator wants it")),
      ForbiddenParts(metrics.counter(
          "galenaflow_forbidden_parts_total",
          "Parts not sent, since no replica is in an allowed region")) {
  warmAll();
}

ForwardTask::~ForwardTask() {
  Loop.cancel(WarmTimer);
  Loop.cancel(DrainTimer);
  Loop.cancel(WaitTimer);
  for (const auto &[id, request] : Requests)
    Loop.cancel(request->Timer);
}

void ForwardTask::setRoutes(const state::RouteTablePtr &table) {
  Table = table;
  std::set<std::string, std::less<>> delegated;
  for (const state::Route &route : table->routes())
    if (isDelegable(route))
      delegated.insert(route.Shards.Services.begin(),
                       route.Shards.Services.end());
  Gate.setServices(table->services(), delegated);
  setUrgentNeeds();
  planConnections();
}

void ForwardTask::setFleet(const FleetView &fleet) {
  if (Fleet == fleet)
    return;
  state::log::info("fleet_counted", {{"daemons", fleet.Daemons},
                                     {"before", Fleet.Daemons},
                                     {"executors", fleet.Executors},
                                     {"is_executor", fleet.IsExecutor},
                                     {"delegates", fleet.IsDelegating}});
  if (fleet.Daemons > Fleet.Daemons)
    LastFleetGrowthAt = Loop.now();
  Fleet = fleet;
  Gate.setFleet({fleet.Daemons, true, fleet.Executors, fleet.IsExecutor,
                 fleet.IsDelegating},
                Loop.now());
  planConnections();
}

coordination::FleetComposition ForwardTask::fleetComposition() const {
  return {Fleet.Daemons == 0 ? Options.AssumedDaemons : Fleet.Daemons,
          Fleet.Daemons != 0 &&
              Loop.now() - LastFleetGrowthAt >= Options.CountSettleTime,
          Fleet.Executors, Fleet.IsExecutor, Fleet.IsDelegating};
}

ForwardTask::RequestClass &
ForwardTask::requestClass(const RequestClassKey &key) {
  auto &cls = RequestClasses[key];
  if (!cls)
    cls = std::make_unique<RequestClass>(Options.HedgeQuantile,
                                         RequestClasses.size());
  return *cls;
}

Duration ForwardTask::expectedLatency(const RequestClassKey &key) {
  if (const auto median = requestClass(key).MedianLatency.value())
    return *median;
  const Duration objective = std::get<Duration>(key);
  return objective.count() == 0 ? InitialLatency
                                : objective / InitialLatencyDivisor;
}

coordination::ForwardOptions ForwardTask::makeOptions(ForwardCall &call,
                                                      RequestClass &cls) {
  const TimePoint now = Loop.now();
  const state::Route &route = *call.Route;
  const Duration remaining = call.Remaining;
  coordination::ForwardOptions options;
  options.Table = std::move(call.Table);
  options.Route = &route;
  options.Services = std::move(call.Services);
  options.IsSuspect = call.IsSuspect;
  if (call.IsSuspect)
    options.FirstPart = SuspectRequests++;
  // At least half of the remaining time is used, so that a very short one still
  // gives an answer.
  const Duration margin =
      std::min(Options.DeadlineMargin + call.ReturnTime, remaining / 2);
  options.DeadlineAt = now + std::min(remaining - margin, route.Timeout);
  options.ExitAt = ExitAt;
  const Duration objective = route.LatencyObjective;
  if (objective.count() == 0)
    return options;
  const Duration elapsed = cls.ElapsedEstimate.observe(remaining);
  if (route.isSharded())
    options.PartialAt =
        now +
        std::max(objective - elapsed - call.ReturnTime - Options.PartialMargin -
                     std::min(PartialLag.value(), objective / 4),
                 Duration(0));
  const Duration latest(static_cast<std::int64_t>(
      MaxHedgeFraction * static_cast<double>(objective.count())));
  options.HedgeAfter = std::clamp(cls.HedgeLatency.value().value_or(latest),
                                  MinHedgeDelay, latest);
  decideAdmission(options, cls, elapsed, call.ReturnTime);
  return options;
}

ForwardId ForwardTask::forward(ForwardCall call, ForwardCallback callback) {
  const state::Route &route = *call.Route;
  const RequestClassKey key{route.isSharded(), route.LatencyObjective,
                            route.Shards.TopK};
  for (const std::string &service : call.Services)
    Budgets.try_emplace(service, Options.ExtraBudget, StartedAt)
        .first->second.onRequest(Loop.now());
  const ForwardId id = ++LastRequest;
  auto ownPolicy = restrictedPolicy(route);
  coordination::ForwardPolicy &policy =
      ownPolicy ? *ownPolicy
                : static_cast<coordination::ForwardPolicy &>(*this);
  const TimePoint deadline = Loop.now() + call.Remaining;
  auto message = std::move(call.Message);
  auto options = makeOptions(call, requestClass(key));
  findForbidden(*message, options);
  auto created =
      std::make_unique<Request>(std::move(message), std::move(options), policy);
  Request &request = *created;
  request.RecordHold = Loop.clientMemory().makeHold(
      recordBytes(request.Execution.options().Services.size()));
  request.OwnPolicy = std::move(ownPolicy);
  request.ClassKey = key;
  request.Callback = std::move(callback);
  request.ArrivedAt = Loop.now();
  request.CallerDeadline = deadline;
  Requests.emplace(id, std::move(created));
  executeActions(id, request.Execution.start(Loop.now()));
  return id;
}

void ForwardTask::cancel(ForwardId id) {
  const auto it = Requests.find(id);
  if (it == Requests.end())
    return;
  it->second->Callback = nullptr;
  executeActions(id, it->second->Execution.onCallerCancel(Loop.now()));
}

void ForwardTask::startDrain(TimePoint exitAt) {
  ExitAt = exitAt;
  std::vector<ForwardId> open;
  for (const auto &[id, request] : Requests)
    open.push_back(id);
  for (const ForwardId id : open) {
    const auto it = Requests.find(id);
    if (it != Requests.end())
      executeActions(id, it->second->Execution.onStop(exitAt, Loop.now()));
  }
  endUnfinishable();
}

void ForwardTask::executeActions(ForwardId id,
                                 coordination::ForwardActions actions) {
  for (auto &action : actions) {
    const auto it = Requests.find(id);
    if (it == Requests.end())
      return;
    Request &request = *it->second;
    if (const auto *toSend = std::get_if<coordination::SendAttempt>(&action))
      queueAttempt(id, request, *toSend);
    else if (const auto *toCancel =
                 std::get_if<coordination::CancelAttempt>(&action))
      cancelAttempt(id, request, *toCancel);
    else if (const auto *timer = std::get_if<coordination::SetTimer>(&action))
      armTimer(id, request, timer->At);
    else
      finish(id, std::move(std::get<coordination::FinishForward>(action)));
  }
}

void ForwardTask::armTimer(ForwardId id, Request &request, TimePoint at) {
  Loop.cancel(request.Timer);
  request.Timer = Loop.schedule(at - Loop.now(), [this, id] {
    const auto it = Requests.find(id);
    if (it != Requests.end())
      executeActions(id, it->second->Execution.onTimer(Loop.now()));
  });
}

void ForwardTask::finish(ForwardId id, coordination::FinishForward action) {
  const auto it = Requests.find(id);
  const std::shared_ptr<Request> request = std::move(it->second);
  Requests.erase(it);
  Loop.cancel(request->Timer);
  if (!request->Callback)
    return;
  recordPressure(*request);
  ForwardResult result;
  result.Outcome = std::move(action.Result);
  auto *failure = std::get_if<coordination::ForwardFailure>(&result.Outcome);
  if (failure != nullptr &&
      failure->Fault == coordination::ForwardFault::ServerLimit) {
    failure->RetryAfter =
        Gate.pauseOf(request->Execution.options().Services, Loop.now(),
                     allowedDataCentres(*request->Execution.options().Route));
    logWithheld(*request);
  }
  result.Counts = request->Execution.counts();
  result.Elapsed = Loop.now() - request->ArrivedAt;
  result.Remaining = request->CallerDeadline - Loop.now();
  const TimePoint partialAt = request->Execution.options().PartialAt;
  const bool wasPartialDue = Loop.now() >= partialAt;
  Loop.post([this, request, partialAt, wasPartialDue,
             result = std::move(result)]() mutable {
    request->Callback(std::move(result));
    if (wasPartialDue)
      PartialLag.add(Loop.now() - partialAt);
  });
}

} // namespace galenaflow::forwarding
