#include "standin/listing_data.h"
#include "support/checks.h"

#include <catch2/catch.hpp>
#include <csignal>
#include <nlohmann/json.hpp>

using namespace galenaflow;
using namespace galenaflow::support;
using namespace std::chrono_literals;
using nlohmann::json;

TEST_CASE("a process reports its lines and how it ended") {
  Process shell("/bin/sh", {"-c", "read x; echo got=$x; exit 3"}, "input\n");
  const auto line = shell.waitForLine(
      [](std::string_view text) { return logField(text, "got") == "input"; },
      20s);
  CHECK(line.has_value());
  CHECK(shell.wait(20s) == 3);
  Process sleeper("/bin/sleep", {"100"});
  CHECK(sleeper.isRunning());
  sleeper.pause();
  sleeper.kill();
  CHECK(sleeper.wait(20s) == 128 + SIGKILL);
}

TEST_CASE("a deployment starts the outside with the services document") {
  DeploymentOptions options;
  options.Services = {{"archivio", 20, 2}, {"commesse", 0, 15}};
  Deployment deployment(options);
  const auto started = deployment.startOutside();
  REQUIRE(started);
  const json stats =
      deployment.callJson(deployment.backendControl(), "/control/stats");
  CHECK(stats["replicas"].size() == 55);
}

TEST_CASE("the checks find lost, doubled and overstated answers") {
  const ServiceSpec service{"archivio", 3};
  const standin::ListingIndex index{"archivio", 41, 1000, 3};
  json answer = {{"snapshot", 41},
                 {"complete", true},
                 {"coverage", {{"asked", 3}, {"answered", 3}}},
                 {"hits", json::array()}};
  for (const auto &hit : index.expectedHits("q", 50))
    answer["hits"].push_back({{"id", hit.Id}});
  const auto fault = [&](const json &item) {
    return findAnswerFault(item, service, 3, "q", 50).has_value();
  };
  CHECK_FALSE(fault(answer));
  json lost = answer;
  lost["hits"].erase(10);
  CHECK(fault(lost));
  json doubled = answer;
  doubled["hits"][11] = doubled["hits"][10];
  CHECK(fault(doubled));
  json overstated = answer;
  overstated["coverage"]["answered"] = 2;
  CHECK(fault(overstated));
  const json once = json::parse(R"({"writes":[{"key":"a"},{"key":"b"}]})");
  CHECK_FALSE(findJournalFault(once));
  const json twice = json::parse(R"({"writes":[{"key":"a"},{"key":"a"}]})");
  CHECK(findJournalFault(twice));
  CHECK(countRuns(twice, "a") == 2);
}
