#include "coordination/gate/region_policy.h"

#include <algorithm>

// Load: requests of routes whose data must stay in some regions, while replicas
// and executors of other regions would be faster or have room.
//
// The decision is made for each attempt and each delegation, not once for each
// request, since replicas are registered and removed while requests wait. The
// list is that of the route with which the request began.

namespace galenaflow::coordination::gate {

RegionPolicy::RegionPolicy(std::string dataCentre, std::string region,
                           RegionMap regions)
    : DataCentre(std::move(dataCentre)), OwnRegion(std::move(region)),
      Regions(std::move(regions)) {
  if (OwnRegion.empty())
    OwnRegion = regionOf(DataCentre);
}

std::string_view RegionPolicy::regionOf(std::string_view dataCentre) const {
  const auto it = Regions.find(dataCentre);
  if (it != Regions.end())
    return it->second;
  return dataCentre == DataCentre ? std::string_view(OwnRegion)
                                  : std::string_view();
}

bool RegionPolicy::allowsReplica(const state::Route &route,
                                 std::string_view dataCentre) const {
  if (!route.isRestricted())
    return true;
  const std::string_view region = regionOf(dataCentre);
  return !region.empty() && !route.IsNoRegionAllowed &&
         std::find(route.AllowedRegions.begin(), route.AllowedRegions.end(),
                   region) != route.AllowedRegions.end();
}

bool RegionPolicy::allowsDaemon(const state::Route &route,
                                std::string_view dataCentre) const {
  if (allowsReplica(route, dataCentre))
    return true;
  const std::string_view region = regionOf(dataCentre);
  return dataCentre == DataCentre || (!region.empty() && region == OwnRegion);
}

} // namespace galenaflow::coordination::gate
