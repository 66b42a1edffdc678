#include "daemon/share_task.h"

#include <algorithm>
#include <cmath>

// Three kinds of limits are shared: the rate of a plan, in thousandths of a
// request per second so that small limits can be divided; the open requests of
// a plan; and the connections to each replica of a service. Connections outlast
// leases, so their units are not lent. The unit of a connection is held until
// the pool has closed the connection, so that a peer gets the unit only
// afterwards.

namespace galenaflow::daemon {

using coordination::ShareHold;

namespace {

/// Units of the ledger for one request per second.
constexpr double RateUnits = 1000;

/// Interval between samples of the demand, and weight of the newest sample.
constexpr state::Duration DemandInterval = std::chrono::milliseconds(200);
constexpr double DemandGain = 0.5;

/// The demand passed to the ledger exceeds the measured demand by this factor,
/// so that the units are already borrowed when the demand grows.
constexpr double DemandHeadroom = 1.2;

std::string rateName(std::string_view plan) {
  return "rate/" + std::string(plan);
}

std::string concurrencyName(std::string_view plan) {
  return "concurrency/" + std::string(plan);
}

std::string connectionsName(std::string_view service) {
  return "connections/" + std::string(service);
}

double secondsOf(state::Duration d) {
  return std::chrono::duration<double>(d).count();
}

} // namespace

ShareTask::ShareTask(transport::EventLoop &loop, FleetTask &fleet,
                     PublishedLists &lists, AdmissionTask &admission,
                     BackendTask &backends, const coordination::MemberId &self,
                     coordination::ShareLedgerOptions options)
    : Loop(loop), Fleet(fleet), Lists(lists), Admission(admission),
      Backends(backends), Ledger(options, self, loop.now()) {
  Lists.onChange([this](std::string_view key) { onListChange(key); });
  Fleet.onShares([this](const coordination::MemberId &from,
                        const protocol::ShareExchange &exchange) {
    send(Ledger.receive(from, exchange, Loop.now()));
  });
  Admission.setShares(this);
}

void ShareTask::tick(state::TimePoint now) {
  const state::PlanCatalogPtr catalog = Lists.catalog();
  for (const auto &[id, plan] : catalog->Plans) {
    updateDemand(plan, now);
    updateAllowance(plan, now);
  }
  for (const auto &[name, service] : Lists.topology()->Services)
    updateConnections(service, now);
  send(Ledger.tick(now));
}

void ShareTask::onPause() { Ledger.discardBorrowed(); }

void ShareTask::stopBorrowing() { send(Ledger.stopBorrowing(Loop.now())); }

std::vector<PlanShareStatus> ShareTask::status() const {
  std::vector<PlanShareStatus> rows;
  const state::TimePoint now = Loop.now();
  for (const auto &[id, plan] : Lists.catalog()->Plans) {
    PlanShareStatus row;
    row.Plan = id;
    row.RateLimit = plan.MaxRate;
    row.RateAllowance =
        static_cast<double>(Ledger.allowance(rateName(id), now)) / RateUnits;
    row.ConcurrencyLimit = plan.MaxConcurrency;
    row.ConcurrencyAllowance = Ledger.allowance(concurrencyName(id), now);
    row.ConcurrencyLent = Ledger.lent(concurrencyName(id), now);
    rows.push_back(std::move(row));
  }
  return rows;
}

std::uint64_t ShareTask::acquire(std::string_view plan,
                                 state::TimePoint until) {
  auto hold = Ledger.acquire(concurrencyName(plan), 1, until, Loop.now());
  if (!hold)
    return 0;
  Holds.emplace(++LastHoldId, std::move(*hold));
  return LastHoldId;
}

void ShareTask::release(std::uint64_t holdId) {
  const auto it = Holds.find(holdId);
  if (it == Holds.end())
    return;
  Ledger.release(it->second);
  Holds.erase(it);
}

void ShareTask::onListChange(std::string_view key) {
  if (key == protocol::PlansKey || key == protocol::ServicesKey)
    setLimits();
  else if (key == protocol::configKeyName(protocol::ConfigKey::Vms))
    applyVmList();
}

void ShareTask::setLimits() {
  std::vector<coordination::ShareResource> resources;
  const state::PlanCatalogPtr catalog = Lists.catalog();
  for (const auto &[id, plan] : catalog->Plans) {
    resources.push_back(
        {rateName(id),
         static_cast<std::uint64_t>(std::floor(plan.MaxRate * RateUnits)),
         true});
    resources.push_back({concurrencyName(id), plan.MaxConcurrency, true});
  }
  for (const auto &[name, service] : Lists.topology()->Services)
    resources.push_back(
        {connectionsName(name), service.ConnectionLimit, false});
  Ledger.setLimits(resources);
  for (auto it = Plans.begin(); it != Plans.end();) {
    if (catalog->Plans.contains(it->first)) {
      ++it;
      continue;
    }
    Admission.removePlan(it->first);
    it = Plans.erase(it);
  }
}

void ShareTask::applyVmList() {
  std::vector<coordination::MemberId> members;
  for (const coordination::ListedVm &vm : Fleet.listedVms())
    members.push_back(vm.Id);
  Ledger.applyList(Lists.vms()->Version, members, Loop.now());
}

void ShareTask::updateDemand(const state::Plan &plan, state::TimePoint now) {
  const auto [it, isNew] = Plans.try_emplace(plan.Id, PlanState{0, now});
  PlanState &planState = it->second;
  const state::Duration elapsed = now - planState.SampledAt;
  if (!isNew && elapsed < DemandInterval)
    return;
  planState.SampledAt = now;
  const PlanDemand demand = Admission.takeDemand(plan.Id);
  if (!isNew) {
    const double rate =
        static_cast<double>(demand.Arrivals) / secondsOf(elapsed);
    planState.Rate += (rate - planState.Rate) * DemandGain;
  }
  Ledger.setDemand(rateName(plan.Id),
                   static_cast<std::uint64_t>(
                       std::ceil(planState.Rate * DemandHeadroom * RateUnits)));
  Ledger.setDemand(concurrencyName(plan.Id),
                   static_cast<std::uint64_t>(std::ceil(
                       static_cast<double>(demand.PeakOpen) * DemandHeadroom)));
}

void ShareTask::updateAllowance(const state::Plan &plan, state::TimePoint now) {
  const double rate =
      static_cast<double>(Ledger.allowance(rateName(plan.Id), now)) / RateUnits;
  // Each request takes a hold from the ledger, which bounds the concurrency
  // here; the limiter applies only the limit of the whole fleet.
  const auto concurrency = static_cast<double>(plan.MaxConcurrency);
  const double burst = std::max(1.0, plan.Burst * rate / plan.MaxRate);
  Admission.setAllowance(plan.Id, {rate, burst, concurrency}, plan.Weight);
}

void ShareTask::updateConnections(const state::Service &service,
                                  state::TimePoint now) {
  const std::string name = connectionsName(service.Name);
  std::vector<ShareHold> &holds = ConnectionHolds[service.Name];
  const std::uint64_t allowed = Ledger.allowance(name, now);
  while (holds.size() < allowed) {
    auto hold = Ledger.acquire(name, 1, state::TimePoint::max(), now);
    if (!hold)
      break;
    holds.push_back(std::move(*hold));
  }
  const std::uint64_t share = std::min<std::uint64_t>(allowed, holds.size());
  Backends.setConnectionShare(service.Name, static_cast<std::uint32_t>(share));
  const std::uint64_t needed =
      std::max<std::uint64_t>(share, Backends.largestPoolSize(service.Name));
  while (holds.size() > needed) {
    Ledger.release(holds.back());
    holds.pop_back();
  }
  // The slots of the replicas are divided among the daemons in the same
  // proportion as the connections.
  const auto replicas = static_cast<double>(service.Replicas.size());
  const double connections = replicas * static_cast<double>(share);
  const double slots = connections * service.Slots / service.ConnectionLimit;
  Admission.setServiceCapacity(service.Name, std::max(1.0, slots),
                               std::max(1.0, connections));
}

void ShareTask::send(const std::vector<coordination::SendMessage> &messages) {
  for (const coordination::SendMessage &message : messages)
    Fleet.send(message);
}

} // namespace galenaflow::daemon
