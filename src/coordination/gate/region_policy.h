#ifndef GALENAFLOW_COORDINATION_GATE_REGION_POLICY_H
#define GALENAFLOW_COORDINATION_GATE_REGION_POLICY_H

#include "state/route_table.h"

#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace galenaflow::coordination::gate {

/// The region of each data centre.
using RegionMap = std::map<std::string, std::string, std::less<>>;

/// Decides where a request may be handled whose route is restricted to regions.
/// Routes without a list of regions are not restricted.
///
/// A data centre whose region is not known is in no region of a list, since a
/// request that leaves its regions cannot be called back.
class RegionPolicy {
public:
  RegionPolicy() = default;

  /// `dataCentre` is that of this daemon. Its region is `region`, or that of
  /// `regions` when `region` is empty.
  RegionPolicy(std::string dataCentre, std::string region, RegionMap regions);

  /// Whether a replica in the data centre may get requests of the route.
  bool allowsReplica(const state::Route &route,
                     std::string_view dataCentre) const;

  /// Whether a daemon in the data centre may get a request of the route that
  /// this daemon has received from a caller: in the regions of the route, and
  /// in the region of this daemon, where the request already is.
  bool allowsDaemon(const state::Route &route,
                    std::string_view dataCentre) const;

  /// Region of this daemon; empty: not known.
  const std::string &ownRegion() const { return OwnRegion; }

private:
  /// Empty: not known.
  std::string_view regionOf(std::string_view dataCentre) const;

  std::string DataCentre;
  std::string OwnRegion;
  RegionMap Regions;
};

} // namespace galenaflow::coordination::gate

#endif
