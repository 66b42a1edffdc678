#include "coordination/connection_plan.h"

#include <catch2/catch.hpp>
#include <map>
#include <numeric>
#include <string>

using namespace galenaflow::coordination;

namespace {

std::vector<std::uint32_t> limitsOf(const std::vector<ConnectionPlan> &plans) {
  std::vector<std::uint32_t> limits;
  limits.reserve(plans.size());
  for (const ConnectionPlan &plan : plans)
    limits.push_back(plan.Limit);
  return limits;
}

std::vector<PlannedReplica> threeReplicas() {
  return {{"a", true, false}, {"b", false, false}, {"c", false, false}};
}

} // namespace

TEST_CASE("every daemon gets the same share while there is one connection for "
          "each") {
  ConnectionPlanOptions options;
  options.MaxPerReplica = 8;
  CHECK(limitsOf(planConnections(threeReplicas(), 26, {8}, "x", options)) ==
        std::vector<std::uint32_t>{3, 3, 3});
  CHECK(limitsOf(planConnections(threeReplicas(), 530, {8}, "x", options)) ==
        std::vector<std::uint32_t>{8, 8, 8});
  CHECK(planConnections({}, 26, {8}, "x").empty());
}

TEST_CASE("with less than one connection for each daemon, a daemon uses some "
          "of the replicas, first those of its data centre") {
  for (const std::string self : {"p", "q", "r", "s"}) {
    const auto limits =
        limitsOf(planConnections(threeReplicas(), 61, {78}, self));
    CHECK(limits[0] == 1);
    CHECK(std::accumulate(limits.begin(), limits.end(), 0U) == 2);
  }
  auto replicas = threeReplicas();
  replicas[0].InCooldown = true;
  CHECK(limitsOf(planConnections(replicas, 61, {78}, "p")) ==
        std::vector<std::uint32_t>{0, 1, 1});
  const auto least = limitsOf(planConnections(threeReplicas(), 1, {1300}, "p"));
  CHECK(std::accumulate(least.begin(), least.end(), 0U) == 1);
}

// Guards against replicas that reset connections because too many daemons have
// selected them.
TEST_CASE("daemons are distributed over the replicas within their limits") {
  // 78 daemons in three data centres with one replica each, as the site has
  // after its growth.
  std::map<std::string, std::uint32_t> total;
  for (int daemon = 0; daemon != 78; ++daemon) {
    auto replicas = threeReplicas();
    for (int i = 0; i != 3; ++i)
      replicas[static_cast<std::size_t>(i)].IsLocal = daemon % 3 == i;
    const auto limits = limitsOf(
        planConnections(replicas, 61, {78}, "vm-" + std::to_string(daemon)));
    for (std::size_t i = 0; i != 3; ++i)
      total[std::string(replicas[i].Id)] += limits[i];
  }
  for (const auto &[id, n] : total) {
    INFO(id);
    CHECK(n <= 61);
    CHECK(n >= 40);
  }
}

// Guards against connections that are repeatedly opened, closed when idle and
// reopened.
TEST_CASE("in a large fleet a daemon opens one connection to each shard before "
          "it is needed") {
  int warm = 0;
  for (const ConnectionPlan &plan :
       planConnections(threeReplicas(), 61, {78}, "p"))
    warm += plan.IsWarm ? 1 : 0;
  CHECK(warm == 1);
  for (const ConnectionPlan &plan :
       planConnections(threeReplicas(), 26, {8}, "p"))
    CHECK(plan.IsWarm);
}

// Guards against daemons of a large fleet that open a connection for almost
// every sub-request, and against executors without a connection to every
// replica.
TEST_CASE("executors have a connection to each replica, and daemons that "
          "delegate to them open none before it is needed") {
  const FleetComposition executor{78, true, 6, true, false};
  for (const ConnectionPlan &plan :
       planConnections(threeReplicas(), 61, executor, "e"))
    CHECK(plan == ConnectionPlan{1, true});
  const FleetComposition other{78, true, 6, false, true};
  std::uint32_t total = 0;
  for (const ConnectionPlan &plan :
       planConnections(threeReplicas(), 61, other, "p")) {
    total += plan.Limit;
    CHECK_FALSE(plan.IsWarm);
  }
  CHECK(total == 2);
}

TEST_CASE("executors and the other daemons together stay within the limit") {
  for (const std::uint32_t executors : {1U, 6U, 30U, 40U}) {
    INFO("executors " << executors);
    std::uint32_t total = 0;
    for (std::uint32_t daemon = 0; daemon != 78; ++daemon) {
      const FleetComposition fleet{78, true, executors, daemon < executors,
                                   true};
      for (const ConnectionPlan &plan : planConnections(
               threeReplicas(), 61, fleet, "vm-" + std::to_string(daemon)))
        total += plan.Limit;
    }
    CHECK(total <= 3 * 61);
  }
}

// Guards against executors that connect to few replicas as soon as there are
// more executors than connections in their part of one replica's limit.
TEST_CASE("the executors' part is divided evenly between many executors") {
  for (const std::uint32_t executors : {30U, 31U, 40U}) {
    INFO("executors " << executors);
    const FleetComposition fleet{300, true, executors, true, false};
    std::uint32_t warm = 0;
    for (const ConnectionPlan &plan :
         planConnections(threeReplicas(), 61, fleet, "vm-1"))
      warm += plan.IsWarm ? 1 : 0;
    CHECK(warm == (executors == 30 ? 3 : 2));
  }
}

// Guards against a fleet that opens far more connections than the replicas
// accept while its daemons are being counted after a stop of all of them.
TEST_CASE("while the daemons are being counted, each opens one connection to a "
          "shard before it is needed") {
  std::uint32_t limit = 0;
  int warm = 0;
  for (const ConnectionPlan &plan :
       planConnections(threeReplicas(), 61, {12, false}, "p")) {
    limit += plan.Limit;
    warm += plan.IsWarm ? 1 : 0;
  }
  CHECK(limit == 3);
  CHECK(warm == 1);
  CHECK(planConnections({}, 61, {12, false}, "p").empty());
}
