#include "support/checks.h"
#include "support/deployment.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <functional>
#include <nlohmann/json.hpp>
#include <thread>

using namespace galenaflow;
using namespace galenaflow::support;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

/// Only ends tests that would otherwise hang, so it is generous.
constexpr auto TestLimit = 60s;
constexpr auto PollInterval = 50ms;

const ServiceSpec Archivio{"archivio", 4, 2};
const ServiceSpec Commesse{"commesse", 0, 5, 2, 35};

DeploymentOptions sixDaemons() {
  DeploymentOptions options;
  options.Services = {Archivio, Commesse};
  options.Daemons = 6;
  return options;
}

bool waitUntil(const std::function<bool()> &condition) {
  const auto end = std::chrono::steady_clock::now() + TestLimit;
  while (std::chrono::steady_clock::now() < end) {
    if (condition())
      return true;
    std::this_thread::sleep_for(PollInterval);
  }
  return false;
}

/// Starts a deployment. The test fails when it does not start.
struct StartedFleet {
  explicit StartedFleet(DeploymentOptions options)
      : System(std::move(options)) {
    REQUIRE(System.startStandIns());
    const auto started = System.startDaemons();
    INFO((started ? std::string() : started.error().Text));
    REQUIRE(started);
  }

  json status(std::size_t i) {
    return System.callJson(System.daemons()[i].OperatorListen, "/v1/status");
  }

  std::uint64_t planVersion(std::size_t i) {
    const json body = status(i);
    return body.is_object() ? body["versions"]["plans"].get<std::uint64_t>()
                            : 0;
  }

  bool allAtPlanVersion(std::uint64_t version) {
    return waitUntil([&] {
      for (std::size_t i = 0; i != System.daemons().size(); ++i)
        if (System.daemons()[i].Program->isRunning() &&
            planVersion(i) != version)
          return false;
      return true;
    });
  }

  void setPlans(const json &plans) {
    System.callJson(System.platformControl(), "/control/values/plans",
                    plans.dump());
  }

  CallerClient caller(std::size_t i) {
    return {System, System.daemons()[i].Listen, "customer-standard"};
  }

  std::size_t runsOf(const std::string &key) {
    return countRuns(
        System.callJson(System.backendControl(), "/control/journal"), key);
  }

  Deployment System;
};

} // namespace

// Guards against an edit that reaches only some daemons, and against an invalid
// or older version that replaces a valid one.
TEST_CASE("six daemons apply a valid edit and keep it after an invalid one") {
  StartedFleet fleet(sixDaemons());
  json plans = fleet.System.plansDocument();
  plans["plans"][0]["operations"]["search"]["max_limit"] = 3;
  fleet.setPlans(plans);
  REQUIRE(fleet.allAtPlanVersion(2));
  plans["plans"][0]["max_rate"] = -1;
  fleet.setPlans(plans);
  REQUIRE(waitUntil([&] {
    for (std::size_t i = 0; i != 6; ++i)
      if (fleet.status(i)["rejected_versions"].contains("plans"))
        return true;
    return false;
  }));
  for (std::size_t i = 0; i != 6; ++i) {
    CHECK(fleet.planVersion(i) == 2);
    const auto found = fleet.caller(i).search("archivio", "vane", 10);
    CHECK(json::parse(found.Body)["hits"].size() == 3);
  }
}

// Guards against a daemon that cannot start, or starts with an older list,
// while the platform is down.
TEST_CASE("a daemon that starts while the platform is down gets the lists from "
          "its peers") {
  DeploymentOptions options = sixDaemons();
  StartedFleet fleet(options);
  json plans = fleet.System.plansDocument();
  plans["plans"][0]["operations"]["search"]["max_limit"] = 3;
  fleet.setPlans(plans);
  REQUIRE(fleet.allAtPlanVersion(2));
  fleet.System.platform().kill();
  Daemon &victim = fleet.System.daemons()[5];
  victim.Program->kill();
  REQUIRE(victim.Program->wait(TestLimit));
  fleet.System.addDaemonFlag("--seed_peers=" +
                             fleet.System.daemons()[0].PeerListen);
  fleet.System.keepInstances();
  REQUIRE(fleet.System.startDaemon(5));
  REQUIRE(fleet.System.waitUntilReady(5, TestLimit));
  CHECK(fleet.planVersion(5) == 2);
  const auto found = fleet.caller(5).search("archivio", "vane", 10);
  CHECK(json::parse(found.Body)["hits"].size() == 3);
}

// Guards against limits that apply per daemon instead of to all daemons
// together.
TEST_CASE("six daemons together admit no more than a plan's burst and rate") {
  DeploymentOptions options = sixDaemons();
  json plans = Deployment(options).plansDocument();
  const int maxRate = 30;
  const int burst = 6;
  plans["plans"][0]["max_rate"] = maxRate;
  plans["plans"][0]["burst"] = burst;
  options.Plans = plans.dump();
  StartedFleet fleet(options);
  const auto start = std::chrono::steady_clock::now();
  int admitted = 0;
  int refused = 0;
  for (int i = 0; i != 600; ++i) {
    const auto found = fleet.caller(static_cast<std::size_t>(i) % 6)
                           .search("archivio", "v", 1);
    admitted += found.Status == 200 ? 1 : 0;
    refused += found.Status == 429 ? 1 : 0;
    if (found.Status == 429)
      CHECK(json::parse(found.Body)["error"]["ran"] == "not_run");
  }
  const std::chrono::duration<double> elapsed =
      std::chrono::steady_clock::now() - start;
  INFO("admitted " << admitted << " refused " << refused << " in "
                   << elapsed.count() << " s");
  // One more for each daemon, whose token bucket can hold a fraction of a
  // request.
  CHECK(admitted <= burst + 6 + maxRate * elapsed.count());
  CHECK(admitted + refused == 600);
  CHECK(refused > 0);
}

// Guards against losing the records of requests with the daemon that received
// them.
TEST_CASE("a request is found after its entry daemon was killed") {
  StartedFleet fleet(sixDaemons());
  const auto found = fleet.caller(0).search("archivio", "vane", 10);
  REQUIRE(found.Status == 200);
  const std::string id = json::parse(found.Body)["request_id"];
  // Copies are sent in batches, so wait until a peer has one.
  const std::string path = "/v1/requests/" + id;
  REQUIRE(waitUntil([&] {
    const json body =
        fleet.System.callJson(fleet.System.daemons()[3].OperatorListen, path);
    return body.is_object() && !body["records"].empty();
  }));
  std::this_thread::sleep_for(500ms);
  fleet.System.daemons()[0].Program->kill();
  REQUIRE(fleet.System.daemons()[0].Program->wait(TestLimit));
  const json body =
      fleet.System.callJson(fleet.System.daemons()[3].OperatorListen, path);
  INFO(body.dump(2));
  REQUIRE(body["records"].size() == 1);
  CHECK(body["records"][0]["outcome"] == "ok");
  // The answer states that one daemon did not reply.
  CHECK(body["all_daemons_answered"] == false);
}

// Guards against a write that runs a second time through another daemon, while
// the first coordinator runs or is paused, or after it was killed.
TEST_CASE("a write runs at most once through all daemons") {
  StartedFleet fleet(sixDaemons());
  for (int round = 0; round != 4; ++round) {
    const std::string key = fleet.caller(1).requestKey();
    REQUIRE_FALSE(key.empty());
    bool anyRan = false;
    for (std::size_t i = 0; i != 6; ++i) {
      if (round == 1 && i == 1)
        fleet.System.daemons()[0].Program->pause();
      if (round == 3 && i == 1)
        fleet.System.daemons()[0].Program->kill();
      const auto answer =
          fleet.caller(i).write("commesse", key, R"({"claim":1})");
      if (answer.Status == 0)
        continue;
      const json body = json::parse(answer.Body);
      if (answer.Status == 200)
        anyRan = true;
      else if (body["error"]["ran"] == "not_run")
        CHECK(fleet.runsOf(key) == 0);
    }
    const std::size_t runs = fleet.runsOf(key);
    INFO("round " << round);
    CHECK(runs <= 1);
    CHECK((!anyRan || runs == 1));
    if (round == 1)
      fleet.System.daemons()[0].Program->resume();
  }
}
