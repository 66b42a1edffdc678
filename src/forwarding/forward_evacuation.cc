#include "forwarding/forward_task.h"

#include "state/log.h"

#include <algorithm>

// Evacuated data centres. The gate holds them and refuses their replicas, which
// are also placed as if they were draining, so that no attempt chooses one:
// attempts that wait are bound to a service and choose a replica only when they
// are sent. Their pools get a limit of zero. An attempt for which a connection
// is still being set up fails as not sent.

namespace galenaflow::forwarding {

void ForwardTask::setEvacuated(const state::EvacuatedDataCentres &names) {
  if (names == Gate.evacuated())
    return;
  Gate.setEvacuated(names, Loop.now());
  EvacuatedCount.set(static_cast<double>(names.size()));
  reapplyReplicas();
  // After the replicas of the same read are known.
  Loop.post([this] { logEvacuations(); });
}

bool ForwardTask::isEvacuated(std::string_view service) {
  return EvacuatedServices.contains(service);
}

void ForwardTask::placeReplicas(
    const coordination::LeavingReplicas::Records &records) {
  if (Gate.evacuated().empty()) {
    Placement.setReplicas(records, Loop.now());
    return;
  }
  coordination::LeavingReplicas::Records placed = records;
  for (auto &[id, record] : placed)
    record.Draining = record.Draining || Gate.isEvacuated(record.DataCentre);
  Placement.setReplicas(placed, Loop.now());
}

void ForwardTask::findEvacuatedServices() {
  EvacuatedServices.clear();
  if (Gate.evacuated().empty())
    return;
  for (const auto &[service, replicas] : ReplicasByService) {
    const bool isUsable =
        std::any_of(replicas.begin(), replicas.end(),
                    [this](const auto &it) { return takesAttempts(*it); });
    const bool isAnyEvacuated =
        std::any_of(replicas.begin(), replicas.end(), [this](const auto &it) {
          return Gate.isEvacuated(it->Record.DataCentre);
        });
    if (!isUsable && isAnyEvacuated)
      EvacuatedServices.insert(service);
  }
}

void ForwardTask::logEvacuations() {
  const state::EvacuatedDataCentres &evacuated = Gate.evacuated();
  std::map<std::string_view, std::size_t> replicasIn;
  std::size_t left = 0;
  for (const auto &[id, replica] : Replicas) {
    ++replicasIn[replica->Record.DataCentre];
    left += takesAttempts(*replica) ? 1 : 0;
  }
  for (const std::string &name : evacuated)
    if (!LoggedEvacuated.contains(name))
      state::log::info("data_centre_evacuated",
                       {{"data_centre", name},
                        {"replicas", replicasIn[name]},
                        {"replicas_left", left},
                        {"services_without", EvacuatedServices.size()},
                        {"evacuated", evacuated.size()}});
  for (const std::string &name : LoggedEvacuated)
    if (!evacuated.contains(name))
      state::log::info("evacuation_ended",
                       {{"data_centre", name},
                        {"replicas", replicasIn[name]},
                        {"replicas_left", left},
                        {"services_without", EvacuatedServices.size()},
                        {"evacuated", evacuated.size()}});
  LoggedEvacuated = evacuated;
}

} // namespace galenaflow::forwarding
