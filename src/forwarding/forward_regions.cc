#include "forwarding/forward_task.h"

#include "state/log.h"

#include <algorithm>

// Requests of routes that are restricted to regions. Replicas outside of them
// count as tried, wherever a replica of a part is chosen or looked for. They
// are determined anew each time, since the replicas change while requests wait.

namespace galenaflow::forwarding {

using coordination::ForwardPolicy;

/// The decisions of the task for one request of a restricted route.
class ForwardTask::RestrictedPolicy final : public ForwardPolicy {
public:
  RestrictedPolicy(ForwardTask &task, const state::Route &route)
      : Task(task), Route(route) {}

  bool tryTakeExtra(std::string_view service) override {
    return Task.tryTakeExtra(service);
  }
  bool hasOther(std::string_view service,
                std::span<const state::ReplicaId> tried) override {
    std::vector<state::ReplicaId> both;
    return Task.hasOther(service,
                         Task.withForbidden(Route, service, tried, both));
  }
  bool isAtLimit(std::string_view service) override {
    std::vector<state::ReplicaId> forbidden;
    return Task.isAtLimit(service,
                          Task.withForbidden(Route, service, {}, forbidden),
                          Task.allowedDataCentres(Route));
  }
  bool hasIdle(std::string_view service,
               std::span<const state::ReplicaId> tried) override {
    std::vector<state::ReplicaId> both;
    return Task.hasIdle(service,
                        Task.withForbidden(Route, service, tried, both));
  }
  bool isEvacuated(std::string_view service) override {
    return Task.isEvacuated(Route, service);
  }

private:
  ForwardTask &Task;
  const state::Route &Route; ///< owned by the table of the request
};

std::unique_ptr<ForwardPolicy>
ForwardTask::restrictedPolicy(const state::Route &route) {
  if (!route.isRestricted())
    return nullptr;
  return std::make_unique<RestrictedPolicy>(*this, route);
}

std::span<const state::ReplicaId>
ForwardTask::withForbidden(const state::Route &route, std::string_view service,
                           std::span<const state::ReplicaId> tried,
                           std::vector<state::ReplicaId> &both) const {
  const auto replicas = ReplicasByService.find(service);
  if (!route.isRestricted() || replicas == ReplicasByService.end())
    return tried;
  both.assign(tried.begin(), tried.end());
  for (const ReplicaPtr &replica : replicas->second)
    if (!Options.Regions.allowsReplica(route, replica->Record.DataCentre))
      both.push_back(replica->Record.Id);
  return both;
}

// A service without any replica is not forbidden: its replicas are not known.
bool ForwardTask::isForbidden(const state::Route &route,
                              std::string_view service) const {
  if (route.IsNoRegionAllowed)
    return true;
  const auto replicas = ReplicasByService.find(service);
  return replicas != ReplicasByService.end() && !replicas->second.empty() &&
         std::none_of(replicas->second.begin(), replicas->second.end(),
                      [&](const ReplicaPtr &replica) {
                        return Options.Regions.allowsReplica(
                            route, replica->Record.DataCentre);
                      });
}

bool ForwardTask::isEvacuated(const state::Route &route,
                              std::string_view service) const {
  const auto replicas = ReplicasByService.find(service);
  if (Gate.evacuated().empty() || replicas == ReplicasByService.end())
    return false;
  bool isAnyEvacuated = false;
  for (const ReplicaPtr &replica : replicas->second) {
    if (!Options.Regions.allowsReplica(route, replica->Record.DataCentre))
      continue;
    if (takesAttempts(*replica))
      return false;
    isAnyEvacuated |= Gate.isEvacuated(replica->Record.DataCentre);
  }
  return isAnyEvacuated;
}

ForwardTask::DataCentreFilter
ForwardTask::allowedDataCentres(const state::Route &route) const {
  if (!route.isRestricted())
    return {};
  return [this, &route](std::string_view dataCentre) {
    return Options.Regions.allowsReplica(route, dataCentre);
  };
}

void ForwardTask::findForbidden(const ForwardedRequest &message,
                                coordination::ForwardOptions &options) const {
  const state::Route &route = *options.Route;
  if (!route.isRestricted())
    return;
  for (std::uint32_t part = 0; part != options.Services.size(); ++part)
    if (isForbidden(route, options.Services[part]))
      options.Forbidden.push_back(part);
  if (options.Forbidden.empty())
    return;
  ForbiddenParts.add(options.Forbidden.size());
  std::string allowed;
  for (const std::string &region : route.AllowedRegions)
    allowed += (allowed.empty() ? "" : ",") + region;
  state::log::info("region_not_allowed",
                   {{"id", message.RequestId},
                    {"route", route.Name},
                    {"allowed", route.IsNoRegionAllowed ? "none" : allowed},
                    {"region", Options.Regions.ownRegion()},
                    {"parts", options.Services.size()},
                    {"forbidden", options.Forbidden.size()},
                    {"service", options.Services[options.Forbidden.front()]}});
}

} // namespace galenaflow::forwarding
