#include "forwarding/forward_task.h"

#include "state/log.h"

#include <utility>

// The replicas of the directory, and the connections that this daemon keeps to
// them.

namespace galenaflow::forwarding {

void ForwardTask::planConnections() {
  for (const auto &[service, replicas] : ReplicasByService)
    planConnections(service, replicas);
}

void ForwardTask::planConnections(std::string_view service,
                                  const std::vector<ReplicaPtr> &replicas) {
  std::uint32_t limit = 1;
  if (Table) {
    const auto it = Table->services().find(service);
    if (it != Table->services().end())
      limit = it->second.ConnectionLimit;
  }
  std::vector<coordination::PlannedReplica> planned;
  std::vector<Replica *> usable;
  for (const ReplicaPtr &replica : replicas) {
    if (Gate.isEvacuated(replica->Record.DataCentre)) {
      replica->Pool.setLimit(0);
      replica->IsWarm = false;
      continue;
    }
    if (replica->Record.Draining)
      continue;
    usable.push_back(replica.get());
    planned.push_back({replica->Record.Id,
                       replica->Record.DataCentre == Options.DataCentre,
                       replica->CooldownUntil > Loop.now()});
  }
  const auto plans = coordination::planConnections(
      planned, limit, fleetComposition(), Options.Name, Options.Connections);
  for (std::size_t i = 0; i != usable.size(); ++i) {
    usable[i]->Pool.setLimit(plans[i].Limit);
    usable[i]->IsWarm = plans[i].IsWarm;
  }
}

// The replica is drained at once. Its registration says so later or not at all.
void ForwardTask::recordLeaving(const Replica &replica) {
  if (!Leaving.add(replica.Record) || replica.Record.Draining)
    return;
  state::log::info("replica_leaving", {{"replica", replica.Record.Id},
                                       {"service", replica.Record.Service}});
  Loop.post([this] { reapplyReplicas(); });
}

void ForwardTask::reapplyReplicas() {
  coordination::LeavingReplicas::Records records;
  for (const auto &[id, it] : Replicas)
    records.emplace(id, it->Record);
  setReplicas(records);
}

void ForwardTask::setReplicas(
    const std::map<std::string, state::ReplicaRecord, std::less<>> &records) {
  if (Leaving.empty()) {
    applyReplicas(records);
    return;
  }
  coordination::LeavingReplicas::Records drained = records;
  Leaving.applyTo(drained);
  applyReplicas(drained);
}

void ForwardTask::applyReplicas(
    const coordination::LeavingReplicas::Records &records) {
  Gate.setReplicas(records, Loop.now());
  placeReplicas(records);
  Room.retain([&records](std::string_view id) { return records.contains(id); });
  for (auto it = Replicas.begin(); it != Replicas.end();) {
    const auto record = records.find(it->first);
    const Replica &known = *it->second;
    if (record != records.end() &&
        record->second.Address == known.Record.Address &&
        record->second.Incarnation == known.Record.Incarnation) {
      ++it;
      continue;
    }
    // Open attempts keep the replica alive until they have ended.
    Loop.post([removed = std::move(it->second)] {});
    it = Replicas.erase(it);
  }
  for (const auto &[id, record] : records) {
    const auto it = Replicas.find(id);
    if (it != Replicas.end()) {
      it->second->Record = record;
      continue;
    }
    const auto address = transport::parseSocketAddress(record.Address);
    if (!address) {
      state::log::warning("replica_address_invalid",
                          {{"replica", id}, {"address", record.Address}});
      continue;
    }
    auto replica =
        std::make_shared<Replica>(Loop, record, *address, Options.Pool);
    replica->Pool.onFree(
        [this, service = record.Service] { scheduleDispatch(service); });
    Replicas.emplace(id, std::move(replica));
  }
  ReplicasByService.clear();
  for (const auto &[id, replica] : Replicas)
    ReplicasByService[replica->Record.Service].push_back(replica);
  findEvacuatedServices();
  planConnections();
  for (const auto &[id, replica] : Replicas)
    warm(*replica);
  std::vector<std::string> waiting;
  for (const auto &[service, queue] : WaitingAttempts)
    if (!queue.empty())
      waiting.push_back(service);
  for (const std::string &service : waiting)
    scheduleDispatch(service);
}

void ForwardTask::warm(Replica &replica) {
  if (!takesAttempts(replica) || !replica.IsWarm ||
      Loop.now() - StartedAt < Options.WarmDelay ||
      !replica.Backoff.mayConnect(Loop.now()))
    return;
  replica.Pool.warm(Options.WarmConnections);
}

void ForwardTask::updateBackoff(Replica &replica) {
  const std::uint64_t n = replica.Pool.refusedConnections();
  if (std::exchange(replica.SeenRefusals, n) != n) {
    replica.CooldownUntil = Loop.now() + Options.ReplicaCooldown;
    replica.Backoff.onRefused(Loop.now());
    Gate.onConnectionLost(replica.Record.Id, replica.Record.Incarnation,
                          Loop.now());
  } else if (replica.Pool.connected() != 0) {
    replica.Backoff.onConnected();
    Gate.onConnected(replica.Record.Id, Loop.now());
  }
}

void ForwardTask::warmAll() {
  for (const auto &[service, replicas] : ReplicasByService) {
    const bool isRouted = Table && Table->services().contains(service);
    for (const ReplicaPtr &replica : replicas)
      updateBackoff(*replica);
    planConnections(service, replicas);
    for (const ReplicaPtr &replica : replicas)
      if (isRouted)
        warm(*replica);
  }
  recordColdChanges();
  WarmTimer = Loop.schedule(Options.WarmInterval, [this] { warmAll(); });
}

} // namespace galenaflow::forwarding
