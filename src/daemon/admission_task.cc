#include "daemon/admission_task.h"

#include <algorithm>

// Admission has two stages. The plan limiter takes a rate token and a
// concurrency token; the queue of the service then admits the request at once,
// queues it or refuses it. The tokens of a request that the queue refuses are
// refunded, because it used no capacity.

namespace galenaflow::daemon {

using coordination::PlanLimiter;

namespace {

/// Weight of the newest sample in the mean service time.
constexpr double MeanServiceTimeGain = 0.05;

/// A query occupies its whole cost until its slowest shard has responded, which
/// takes about 2.5 times the mean service time at 20 shards. A limit equal to
/// the slots would leave more than half of them idle.
constexpr double InitialCostPerSlot = 2.5;

/// Requests per adjustment of the limit. A request has many sub-requests; with
/// a window of 100, one adjustment would take 10 s at 10 requests/s.
constexpr std::size_t ConcurrencyWindow = 10;

AdmissionVerdict toAdmissionVerdict(PlanLimiter::Verdict verdict) {
  switch (verdict) {
  case PlanLimiter::Verdict::Admitted:
    return AdmissionVerdict::Admitted;
  case PlanLimiter::Verdict::OverRate:
    return AdmissionVerdict::OverRate;
  case PlanLimiter::Verdict::OverConcurrency:
    return AdmissionVerdict::OverConcurrency;
  case PlanLimiter::Verdict::UnknownPlan:
    return AdmissionVerdict::UnknownPlan;
  }
  return AdmissionVerdict::UnknownPlan;
}

AdmissionVerdict toAdmissionVerdict(coordination::RefusalReason reason) {
  return reason == coordination::RefusalReason::QueueFull
             ? AdmissionVerdict::QueueFull
             : AdmissionVerdict::WouldMissDeadline;
}

std::size_t requestClassOf(state::Priority priority) {
  return priority == state::Priority::Urgent ? 0 : 1;
}

} // namespace

std::string_view admissionVerdictName(AdmissionVerdict verdict) {
  switch (verdict) {
  case AdmissionVerdict::Admitted:
    return "admitted";
  case AdmissionVerdict::UnknownPlan:
    return "unknown_plan";
  case AdmissionVerdict::OverRate:
    return "over_rate";
  case AdmissionVerdict::OverConcurrency:
    return "over_concurrency";
  case AdmissionVerdict::WouldMissDeadline:
    return "would_miss_deadline";
  case AdmissionVerdict::QueueFull:
    return "queue_full";
  }
  return "queue_full";
}

AdmissionTask::ServiceState::ServiceState(const AdmissionTaskOptions &options,
                                          double slots, double connections)
    : Queue({.Capacity = std::min(slots * InitialCostPerSlot, connections),
             .MaxQueued = options.MaxQueued,
             .UrgentShare = options.UrgentShare}),
      Concurrency({.Min = slots,
                   .Max = connections,
                   .Initial = slots * InitialCostPerSlot,
                   .Window = ConcurrencyWindow}) {}

AdmissionTask::AdmissionTask(transport::EventLoop &loop,
                             AdmissionTaskOptions options)
    : Loop(loop), Options(options) {}

AdmissionTask::~AdmissionTask() {
  for (auto &[id, open] : Open)
    Loop.cancel(open.DeadlineTimer);
}

void AdmissionTask::setAllowance(std::string_view plan,
                                 coordination::PlanAllowance allowance,
                                 double weight) {
  Limiter.setAllowance(plan, allowance, Loop.now());
  Weights.insert_or_assign(std::string(plan), weight);
  for (auto &[name, service] : Services)
    service->Queue.setWeight(plan, weight);
}

void AdmissionTask::removePlan(std::string_view plan) {
  Limiter.remove(plan);
  Weights.erase(std::string(plan));
}

void AdmissionTask::setServiceCapacity(std::string_view service, double slots,
                                       double connections) {
  ServiceState *existing = findService(service);
  if (existing != nullptr) {
    // The share is zero at the start, so the lower bound is updated as well.
    existing->Concurrency.setBounds(slots, connections,
                                    slots * InitialCostPerSlot);
    executeActions(
        existing->Queue.setCapacity(existing->Concurrency.limit(), Loop.now()));
    return;
  }
  auto created = std::make_unique<ServiceState>(Options, slots, connections);
  for (const auto &[plan, weight] : Weights)
    created->Queue.setWeight(plan, weight);
  Services.emplace(std::string(service), std::move(created));
}

void AdmissionTask::request(AdmissionTaskRequest request,
                            AdmissionCallback callback) {
  const AdmissionId id = ++LastId;
  const state::TimePoint now = Loop.now();
  ServiceState *service = findService(request.Service);
  if (Open.size() >= Options.MaxOpen) {
    callback(id, AdmissionVerdict::QueueFull, state::Duration(0));
    return;
  }
  std::uint64_t holdId = 0;
  const auto verdict = service == nullptr ? AdmissionVerdict::UnknownPlan
                                          : acquirePlanLimits(request, holdId);
  if (verdict != AdmissionVerdict::Admitted) {
    callback(id, verdict, state::Duration(0));
    return;
  }
  const coordination::AdmissionRequest arrival{
      id,
      request.Plan,
      request.Priority,
      request.Cost,
      request.DeadlineAt,
      service->MeanServiceTime[requestClassOf(request.Priority)]};
  OpenRequest open;
  open.Request = std::move(request);
  open.Callback = std::move(callback);
  open.ArrivedAt = now;
  open.HoldId = holdId;
  const auto it = Open.emplace(id, std::move(open)).first;
  // From here on, the plan name is a view into the stored request.
  coordination::AdmissionRequest stored = arrival;
  stored.Plan = it->second.Request.Plan;
  it->second.DeadlineTimer =
      Loop.schedule(it->second.Request.DeadlineAt - now, [this, id] {
        const auto waiting = Open.find(id);
        if (waiting == Open.end() || !waiting->second.Callback)
          return;
        waiting->second.DeadlineTimer = 0;
        ServiceState *owner = findService(waiting->second.Request.Service);
        const auto actions = owner->Queue.onEnded(id, Loop.now());
        refuse(id, AdmissionVerdict::WouldMissDeadline);
        executeActions(actions);
      });
  executeActions(service->Queue.onArrival(stored, now));
}

PlanDemand AdmissionTask::takeDemand(std::string_view plan) {
  PlanDemand &current = Demand[std::string(plan)];
  const PlanDemand result = current;
  current = {0, Limiter.openRequests(plan)};
  return result;
}

AdmissionVerdict
AdmissionTask::acquirePlanLimits(const AdmissionTaskRequest &request,
                                 std::uint64_t &holdId) {
  PlanDemand &demand = Demand[request.Plan];
  ++demand.Arrivals;
  demand.PeakOpen =
      std::max(demand.PeakOpen, Limiter.openRequests(request.Plan) + 1);
  const auto verdict =
      toAdmissionVerdict(Limiter.tryAdmit(request.Plan, Loop.now()));
  if (verdict != AdmissionVerdict::Admitted || Shares == nullptr)
    return verdict;
  holdId = Shares->acquire(request.Plan, request.DeadlineAt);
  if (holdId != 0)
    return verdict;
  Limiter.onEnded(request.Plan);
  Limiter.refund(request.Plan);
  return AdmissionVerdict::OverConcurrency;
}

void AdmissionTask::releasePlanLimits(const OpenRequest &open) {
  Limiter.onEnded(open.Request.Plan);
  if (Shares != nullptr && open.HoldId != 0)
    Shares->release(open.HoldId);
}

void AdmissionTask::end(AdmissionId id, state::Duration elapsed,
                        bool isSample) {
  const auto it = Open.find(id);
  if (it == Open.end())
    return;
  const OpenRequest open = std::move(it->second);
  Open.erase(it);
  Loop.cancel(open.DeadlineTimer);
  releasePlanLimits(open);
  ServiceState *service = findService(open.Request.Service);
  if (isSample) {
    const std::size_t requestClass = requestClassOf(open.Request.Priority);
    state::Duration &mean = service->MeanServiceTime[requestClass];
    const auto old = static_cast<double>(mean.count());
    const auto sample = static_cast<double>(elapsed.count());
    mean = state::Duration(static_cast<std::int64_t>(
        old == 0 ? sample : old + (sample - old) * MeanServiceTimeGain));
    service->Concurrency.onSample(elapsed, open.InFlightAtStart, requestClass);
  }
  const state::TimePoint now = Loop.now();
  executeActions(service->Queue.setCapacity(service->Concurrency.limit(), now));
  executeActions(service->Queue.onEnded(id, now));
}

bool AdmissionTask::isSaturated(std::string_view service) const {
  const auto it = Services.find(service);
  return it != Services.end() && it->second->Queue.isSaturated();
}

void AdmissionTask::executeActions(
    const coordination::AdmissionActions &actions) {
  for (const auto &action : actions) {
    if (const auto *admitted = std::get_if<coordination::Admit>(&action))
      admit(*admitted);
    else if (const auto *refused = std::get_if<coordination::Refuse>(&action))
      refuse(refused->Id, toAdmissionVerdict(refused->Reason));
  }
}

void AdmissionTask::admit(const coordination::Admit &admit) {
  OpenRequest &open = Open.at(admit.Id);
  Loop.cancel(open.DeadlineTimer);
  open.DeadlineTimer = 0;
  open.InFlightAtStart =
      findService(open.Request.Service)->Queue.costInService();
  const AdmissionCallback callback = std::move(open.Callback);
  open.Callback = nullptr;
  callback(admit.Id, AdmissionVerdict::Admitted, admit.Waited);
}

void AdmissionTask::refuse(AdmissionId id, AdmissionVerdict verdict) {
  const auto it = Open.find(id);
  if (it == Open.end())
    return;
  const OpenRequest open = std::move(it->second);
  Open.erase(it);
  Loop.cancel(open.DeadlineTimer);
  releasePlanLimits(open);
  Limiter.refund(open.Request.Plan);
  open.Callback(id, verdict, Loop.now() - open.ArrivedAt);
}

AdmissionTask::ServiceState *
AdmissionTask::findService(std::string_view service) {
  const auto it = Services.find(service);
  return it == Services.end() ? nullptr : it->second.get();
}

} // namespace galenaflow::daemon
