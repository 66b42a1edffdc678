#include "forwarding/forward_task.h"

#include "state/log.h"
#include "state/request_limit.h"

#include <algorithm>

// What restricts the requests to a replica, which the gate decides, and the
// budget of extra attempts.

namespace galenaflow::forwarding {

using coordination::gate::ColdReason;
using coordination::gate::LimitChange;
using state::Duration;

bool ForwardTask::allowsRequest(const Replica &replica) {
  return Gate.allows(replica.Record.Id, Loop.now());
}

void ForwardTask::recordContact(const Replica &replica,
                                const transport::HttpResult &result) {
  if (!result && result.error().EndedByPeer)
    Gate.onConnectionLost(replica.Record.Id, replica.Record.Incarnation,
                          Loop.now());
}

void ForwardTask::recordColdChanges() {
  for (const auto &change : Gate.takeColdChanges(Loop.now())) {
    if (change.Reason == ColdReason::None)
      state::log::info("replica_warm", {{"replica", change.Replica},
                                        {"service", change.Service}});
    else
      state::log::info(
          "replica_cold",
          {{"replica", change.Replica},
           {"service", change.Service},
           {"reason", coordination::gate::coldReasonName(change.Reason)},
           {"remaining_ms", change.Remaining.count() / 1000}});
  }
  ColdReplicas.set(static_cast<double>(Gate.coldReplicas(Loop.now())));
}

void ForwardTask::logWithheld(const Request &request) {
  const auto &options = request.Execution.options();
  const auto allowed = allowedDataCentres(*options.Route);
  for (const std::string &service : options.Services)
    if (const auto status = Gate.withheldCold(service, Loop.now(), allowed)) {
      state::log::info("request_withheld",
                       {{"id", request.Message->RequestId},
                        {"service", service},
                        {"cold", status->Cold},
                        {"replicas", status->Replicas},
                        {"max_per_second", status->MaxArrivals},
                        {"daemons", status->Daemons}});
      return;
    }
}

void ForwardTask::recordPause(const Replica &replica, Duration pause) {
  if (Gate.onPause(replica.Record.Id, replica.Record.Incarnation, pause,
                   Loop.now()))
    state::log::info("replica_paused", {{"replica", replica.Record.Id},
                                        {"service", replica.Record.Service},
                                        {"pause_ms", pause.count() / 1000}});
}

void ForwardTask::setRequestLimit(std::string_view replica, double perSecond) {
  const auto change = Gate.setRequestLimit(replica, perSecond, Loop.now());
  const auto it = Replicas.find(replica);
  if (change == LimitChange::None || it == Replicas.end())
    return;
  const std::string &service = it->second->Record.Service;
  if (change == LimitChange::Ended) {
    state::log::info("replica_limit_ended",
                     {{"replica", replica}, {"service", service}});
    scheduleDispatch(service);
    return;
  }
  state::log::info("replica_limited",
                   {{"replica", replica},
                    {"service", service},
                    {"per_second", perSecond},
                    {"daemons", Fleet.Daemons},
                    {"fraction", Gate.limitFraction(replica)}});
}

void ForwardTask::recordLimit(const Replica &replica,
                              const ReplicaResult &result) {
  if (!result.IsLimitKnown ||
      (!result.RequestLimit && !Gate.isLimited(replica.Record.Id)))
    return;
  const std::string id = replica.Record.Id;
  const double perSecond =
      result.RequestLimit
          ? std::max(*result.RequestLimit, state::MinRequestLimit)
          : 0;
  setRequestLimit(id, perSecond);
  if (LimitStatedCallback)
    LimitStatedCallback(id, perSecond);
}

double ForwardTask::fleetExtraShare() const {
  return Fleet.Daemons == 0 ? 0 : Options.FleetExtraAttempts / Fleet.Daemons;
}

bool ForwardTask::tryTakeExtra(std::string_view service) {
  const auto it = Budgets.find(service);
  const bool taken =
      it != Budgets.end() && it->second.tryTake(fleetExtraShare(), Loop.now());
  if (!taken)
    BudgetRefusals.add();
  return taken;
}

bool ForwardTask::hasOther(std::string_view service,
                           std::span<const state::ReplicaId> tried) {
  return Placement.hasOther(
      service, tried,
      [this](std::string_view id) {
        const auto it = Replicas.find(id);
        return it == Replicas.end() || allowsRequest(*it->second);
      },
      Loop.now());
}

// Attempts that wait for a connection have not used their tokens yet.
bool ForwardTask::isAtLimit(std::string_view service) {
  return isAtLimit(service, {}, {});
}

bool ForwardTask::isAtLimit(std::string_view service,
                            std::span<const state::ReplicaId> excluded,
                            const DataCentreFilter &allowed) {
  if (!Gate.isAnyRestricted(Loop.now()))
    return false;
  const auto queue = WaitingAttempts.find(service);
  const std::size_t waiting =
      queue == WaitingAttempts.end() ? 0 : queue->second.size();
  std::size_t tokens = 0;
  bool isUsable = false;
  const bool hasRoom = Placement.hasOther(
      service, excluded,
      [&](std::string_view id) {
        isUsable = true;
        const auto available = Gate.available(id, Loop.now());
        if (!available)
          return true;
        tokens += *available;
        return tokens > waiting;
      },
      Loop.now());
  const bool isAtLimit = isUsable && !hasRoom;
  if (isAtLimit && Gate.withheldCold(service, Loop.now(), allowed))
    WithheldAttempts.add();
  return isAtLimit;
}

} // namespace galenaflow::forwarding
