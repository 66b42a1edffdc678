#include "coordination/admission_queue.h"

#include <algorithm>
#include <cmath>

// Start-time fair queuing (Goyal, Vin, Cheng 1996): a request gets the start
// tag max(virtual time, finish tag of the plan's last request) and the finish
// tag start + cost / weight. The request with the lowest start tag is served
// first, and virtual time is the start tag in service. Each priority class has
// its own tags. While normal requests are queued, urgent ones are capped in two
// ways: by their cost in service, and by their cost dispatched since the first
// of the normal requests was queued. The second cap prevents starvation of a
// large normal request by urgent ones that take each part of the capacity
// as it becomes free.
//
// The queueing time is estimated by Little's law: the work ahead of a request
// drains at capacity / mean service time. A plan gets at least its weighted
// share of that rate, so the work ahead is also bounded by the plan's own queue
// divided by its share. The smaller of the two estimates is used.
//
// When the queue is full, the newest request of the plan with the highest
// queued and running cost per weight is evicted. A plan within its share has a
// quotient below the average, so it is never evicted while another plan is
// above its share.

namespace galenaflow::coordination {

namespace {

constexpr std::size_t Urgent = 0;
constexpr std::size_t Normal = 1;
constexpr double ServiceTimeWeight = 0.1;

/// Factor on the estimated queueing time. Both estimates, by Little's law and
/// by the age of the plan's oldest queued request, are means: without a factor,
/// half of the borderline requests would be refused only after they have been
/// queued until their deadline.
constexpr std::int64_t WaitSafetyFactor = 2;

std::size_t priorityClassOf(state::Priority priority) {
  return priority == state::Priority::Urgent ? Urgent : Normal;
}

} // namespace

void AdmissionQueue::setWeight(std::string_view plan, double weight) {
  Plans[std::string(plan)].Weight = std::max(weight, 1e-3);
}

AdmissionActions AdmissionQueue::onArrival(const AdmissionRequest &request,
                                           TimePoint now) {
  AdmissionActions actions;
  if (wouldMissDeadline(request, now)) {
    actions.emplace_back(Refuse{request.Id, RefusalReason::WouldMissDeadline});
    return actions;
  }
  const std::size_t cls = priorityClassOf(request.Priority);
  if (!hasQueued(Normal))
    Dispatched = {};
  PlanState &plan = Plans[std::string(request.Plan)];
  const double start = std::max(VirtualTime[cls], plan.FinishTag[cls]);
  plan.FinishTag[cls] = start + request.Cost / plan.Weight;
  plan.Queues[cls].push_back({request.Id, request.Cost, start, now,
                              request.DeadlineAt, request.ServiceTime});
  plan.CostQueued[cls] += request.Cost;
  ++ClassQueued[cls];
  ++Queued;
  dispatch(actions, now);
  evictOverflow(actions);
  return actions;
}

double AdmissionQueue::costAhead(const PlanState &plan, std::size_t cls) const {
  double all = 0;
  double weights = plan.Weight;
  for (const auto &[id, it] : Plans) {
    const double cost =
        it.CostQueued[Urgent] + (cls == Normal ? it.CostQueued[Normal] : 0);
    all += cost;
    if (cost > 0 && &it != &plan)
      weights += it.Weight;
  }
  return std::min(all, plan.CostQueued[cls] * weights / plan.Weight);
}

// With nothing in service, the expected service time may date from a fault that
// has ended. Refusing on that basis would never update it, so all requests
// would be refused for ever; an admitted request yields a new sample.
bool AdmissionQueue::wouldEndLate(Duration serviceTime, TimePoint deadlineAt,
                                  TimePoint now) const {
  return RunningRequests.empty() ? now >= deadlineAt
                                 : now + serviceTime > deadlineAt;
}

bool AdmissionQueue::wouldMissDeadline(const AdmissionRequest &request,
                                       TimePoint now) {
  if (RunningRequests.empty())
    return wouldEndLate(request.ServiceTime, request.DeadlineAt, now);
  const std::size_t cls = priorityClassOf(request.Priority);
  double waitMicros = 0;
  if (Queued > 0 || !fits(request.Cost)) {
    const PlanState &plan = Plans[std::string(request.Plan)];
    // Urgent requests that arrive later are still served first, up to their
    // share.
    const bool behindUrgent = cls == Normal && InService[Urgent] > 0;
    const double rate =
        Options.Capacity * (behindUrgent ? 1 - Options.UrgentShare : 1);
    const double rounds =
        (costAhead(plan, cls) + request.Cost) / std::max(rate, 1.0);
    waitMicros = rounds * MeanServiceMicros;
  }
  auto wait =
      Duration(static_cast<std::int64_t>(waitMicros) * WaitSafetyFactor);
  const auto plan = Plans.find(request.Plan);
  if (plan != Plans.end() && !plan->second.Queues[cls].empty())
    wait = std::max(wait, (now - plan->second.Queues[cls].front().ArrivedAt) *
                              WaitSafetyFactor);
  return now + wait + request.ServiceTime > request.DeadlineAt;
}

bool AdmissionQueue::fits(double cost) const {
  const double used = costInService();
  // A request larger than the capacity runs alone.
  return used == 0 || used + cost <= Options.Capacity;
}

bool AdmissionQueue::isUrgentCapped(double urgentCost) const {
  if (!hasQueued(Normal))
    return false;
  const double cap = Options.Capacity * Options.UrgentShare;
  const double allowance =
      Dispatched[Normal] * Options.UrgentShare / (1 - Options.UrgentShare);
  const bool aboveCap =
      InService[Urgent] > 0 && InService[Urgent] + urgentCost > cap;
  return aboveCap || Dispatched[Urgent] + urgentCost >
                         std::max(cap, urgentCost) + allowance;
}

AdmissionQueue::PlanState *
AdmissionQueue::planWithLowestStartTag(std::size_t cls) {
  PlanState *best = nullptr;
  for (auto &[id, it] : Plans) {
    if (it.Queues[cls].empty())
      continue;
    if (!best ||
        it.Queues[cls].front().StartTag < best->Queues[cls].front().StartTag)
      best = &it;
  }
  return best;
}

AdmissionQueue::QueuedRequest AdmissionQueue::popFront(PlanState &plan,
                                                       std::size_t cls) {
  const QueuedRequest it = plan.Queues[cls].front();
  plan.Queues[cls].pop_front();
  plan.CostQueued[cls] -= it.Cost;
  --ClassQueued[cls];
  --Queued;
  return it;
}

void AdmissionQueue::refuseLate(std::size_t cls, AdmissionActions &actions,
                                TimePoint now) {
  while (PlanState *plan = planWithLowestStartTag(cls)) {
    const QueuedRequest &front = plan->Queues[cls].front();
    if (!wouldEndLate(front.ServiceTime, front.DeadlineAt, now))
      return;
    const QueuedRequest it = popFront(*plan, cls);
    actions.emplace_back(Refuse{it.Id, RefusalReason::WouldMissDeadline});
  }
}

void AdmissionQueue::admitFront(std::size_t cls, AdmissionActions &actions,
                                TimePoint now) {
  PlanState &plan = *planWithLowestStartTag(cls);
  const QueuedRequest it = popFront(plan, cls);
  VirtualTime[cls] = std::max(VirtualTime[cls], it.StartTag);
  InService[cls] += it.Cost;
  Dispatched[cls] += it.Cost;
  plan.CostInService += it.Cost;
  RunningRequests[it.Id] = {&plan, cls, it.Cost, now};
  actions.emplace_back(Admit{it.Id, now - it.ArrivedAt});
}

// Returns whether a normal request may be dispatched now.
bool AdmissionQueue::dispatchUrgent(AdmissionActions &actions, TimePoint now) {
  for (;;) {
    refuseLate(Urgent, actions, now);
    PlanState *plan = planWithLowestStartTag(Urgent);
    if (!plan)
      return true;
    const double cost = plan->Queues[Urgent].front().Cost;
    if (isUrgentCapped(cost))
      return true;
    // Otherwise small normal requests would take each part of the capacity as
    // it becomes free, and a large urgent one would never fit.
    if (!fits(cost))
      return false;
    admitFront(Urgent, actions, now);
  }
}

void AdmissionQueue::dispatch(AdmissionActions &actions, TimePoint now) {
  for (;;) {
    refuseLate(Normal, actions, now);
    if (!hasQueued(Normal))
      Dispatched = {};
    if (!dispatchUrgent(actions, now))
      return;
    PlanState *plan = planWithLowestStartTag(Normal);
    if (!plan || !fits(plan->Queues[Normal].front().Cost))
      return;
    admitFront(Normal, actions, now);
  }
}

AdmissionQueue::PlanState *AdmissionQueue::planFurthestAboveShare() {
  PlanState *result = nullptr;
  double highest = -1;
  for (auto &[id, it] : Plans) {
    if (it.Queues[Urgent].empty() && it.Queues[Normal].empty())
      continue;
    const double use =
        (it.CostQueued[Urgent] + it.CostQueued[Normal] + it.CostInService) /
        it.Weight;
    if (use > highest) {
      highest = use;
      result = &it;
    }
  }
  return result;
}

void AdmissionQueue::evictOverflow(AdmissionActions &actions) {
  while (Queued > Options.MaxQueued) {
    PlanState &plan = *planFurthestAboveShare();
    const std::size_t cls = plan.Queues[Normal].empty() ? Urgent : Normal;
    const QueuedRequest it = plan.Queues[cls].back();
    plan.Queues[cls].pop_back();
    plan.FinishTag[cls] = it.StartTag;
    plan.CostQueued[cls] -= it.Cost;
    --ClassQueued[cls];
    --Queued;
    actions.emplace_back(Refuse{it.Id, RefusalReason::QueueFull});
  }
}

bool AdmissionQueue::removeQueued(std::uint64_t id) {
  for (auto &[name, plan] : Plans) {
    for (std::size_t cls = 0; cls < 2; ++cls) {
      auto &queue = plan.Queues[cls];
      const auto it = std::ranges::find(queue, id, &QueuedRequest::Id);
      if (it == queue.end())
        continue;
      plan.CostQueued[cls] -= it->Cost;
      queue.erase(it);
      --ClassQueued[cls];
      --Queued;
      return true;
    }
  }
  return false;
}

void AdmissionQueue::recordServiceTime(const RunningRequest &running,
                                       TimePoint now) {
  const auto micros = static_cast<double>((now - running.AdmittedAt).count());
  const double weight = MeanServiceMicros == 0 ? 1 : ServiceTimeWeight;
  MeanServiceMicros += weight * (micros - MeanServiceMicros);
}

AdmissionActions AdmissionQueue::onEnded(std::uint64_t id, TimePoint now) {
  AdmissionActions actions;
  if (const auto it = RunningRequests.find(id); it != RunningRequests.end()) {
    recordServiceTime(it->second, now);
    it->second.Plan->CostInService -= it->second.Cost;
    InService[it->second.PriorityClass] -= it->second.Cost;
    RunningRequests.erase(it);
    if (RunningRequests.empty())
      InService = {}; // clears rounding errors of fractional costs
  } else if (!removeQueued(id)) {
    return actions;
  }
  dispatch(actions, now);
  return actions;
}

AdmissionActions AdmissionQueue::setCapacity(double capacity, TimePoint now) {
  AdmissionActions actions;
  Options.Capacity = capacity;
  dispatch(actions, now);
  return actions;
}

} // namespace galenaflow::coordination
