#include "coordination/gate/region_policy.h"

#include <catch2/catch.hpp>

using namespace galenaflow;
using coordination::gate::RegionPolicy;

namespace {

state::Route routeTo(std::vector<std::string> regions) {
  state::Route route;
  route.AllowedRegions = std::move(regions);
  return route;
}

const coordination::gate::RegionMap Regions = {
    {"z1", "eu"}, {"z2", "eu"}, {"z3", "us"}, {"z4", ""}};

} // namespace

TEST_CASE("a route without regions is allowed everywhere") {
  for (const RegionPolicy &policy :
       {RegionPolicy(), RegionPolicy("z1", "eu", Regions)})
    for (const char *dataCentre : {"z1", "z3", "z4", "unknown", ""}) {
      CHECK(policy.allowsReplica({}, dataCentre));
      CHECK(policy.allowsDaemon({}, dataCentre));
    }
}

// Guards against a request that leaves its regions.
TEST_CASE("replicas are allowed in the regions of the route only, and daemons "
          "in the region of this one as well") {
  const RegionPolicy policy("z1", "eu", Regions);
  const state::Route us = routeTo({"us"});
  CHECK_FALSE(policy.allowsReplica(us, "z1"));
  CHECK_FALSE(policy.allowsReplica(us, "z2"));
  CHECK(policy.allowsReplica(us, "z3"));
  CHECK(policy.allowsDaemon(us, "z1"));
  CHECK(policy.allowsDaemon(us, "z2"));
  CHECK(policy.allowsDaemon(us, "z3"));
  const state::Route both = routeTo({"us", "eu"});
  for (const char *dataCentre : {"z1", "z2", "z3"})
    CHECK(policy.allowsReplica(both, dataCentre));
  const state::Route asia = routeTo({"asia"});
  for (const char *dataCentre : {"z1", "z2", "z3"})
    CHECK_FALSE(policy.allowsReplica(asia, dataCentre));
  CHECK_FALSE(policy.allowsDaemon(asia, "z3"));
}

// Guards against a data centre without a region that is taken for one of an
// allowed region, also when the names are empty.
TEST_CASE("a data centre without a known region is in none") {
  const RegionPolicy policy("z1", "eu", Regions);
  for (const state::Route &route : {routeTo({"eu"}), routeTo({"eu", ""})})
    for (const char *dataCentre : {"z4", "z9", ""}) {
      CHECK_FALSE(policy.allowsReplica(route, dataCentre));
      CHECK_FALSE(policy.allowsDaemon(route, dataCentre));
    }
  const RegionPolicy unknown("z1", "", {});
  CHECK(unknown.ownRegion().empty());
  CHECK_FALSE(unknown.allowsReplica(routeTo({"eu"}), "z1"));
  CHECK(unknown.allowsDaemon(routeTo({"eu"}), "z1"));
  CHECK_FALSE(unknown.allowsDaemon(routeTo({"eu"}), "z2"));
}

TEST_CASE("the own region is stated, or that of the own data centre") {
  CHECK(RegionPolicy("z3", "", Regions).ownRegion() == "us");
  const RegionPolicy stated("z9", "eu", {});
  CHECK(stated.ownRegion() == "eu");
  CHECK(stated.allowsReplica(routeTo({"eu"}), "z9"));
  CHECK_FALSE(stated.allowsReplica(routeTo({"eu"}), "z1"));
}

TEST_CASE("where no region is allowed, no replica is, and only daemons of this "
          "region are") {
  state::Route route = routeTo({"eu"});
  route.IsNoRegionAllowed = true;
  const RegionPolicy policy("z1", "eu", Regions);
  for (const char *dataCentre : {"z1", "z2", "z3"})
    CHECK_FALSE(policy.allowsReplica(route, dataCentre));
  CHECK_FALSE(policy.allowsDaemon(route, "z3"));
}
