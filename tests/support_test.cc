#include "standin/listing_data.h"
#include "support/checks.h"

#include <catch2/catch.hpp>
#include <csignal>
#include <nlohmann/json.hpp>

using namespace galenaflow;
using namespace galenaflow::support;
using namespace std::chrono_literals;
using nlohmann::json;

// Guards against processes whose output or exit status tests cannot rely on, or
// that cannot be killed while paused.
TEST_CASE("a process reports its output lines and its exit status") {
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

// Guards against a deployment whose stand-ins do not match its services.
TEST_CASE("a deployment starts the stand-ins with the replicas of its "
          "services") {
  DeploymentOptions options;
  options.Services = {{"archivio", 20, 2}, {"commesse", 0, 15}};
  Deployment deployment(options);
  const auto started = deployment.startStandIns();
  REQUIRE(started);
  const json stats =
      deployment.callJson(deployment.backendControl(), "/control/stats");
  CHECK(stats["replicas"].size() == 55);
}

// Guards against checks of answers and journals that miss a fault.
TEST_CASE("the checks detect lost hits, repeated hits, wrong coverage and "
          "repeated writes") {
  const ServiceSpec service{"archivio", 3};
  const standin::ListingIndex index{"archivio", 41, 1000, 3};
  json answer = {{"snapshot", 41},
                 {"complete", true},
                 {"coverage", {{"asked", 3}, {"answered", 3}}},
                 {"hits", json::array()}};
  for (const auto &hit : index.expectedHits("q", 50))
    answer["hits"].push_back({{"id", hit.Id}});
  const auto hasFault = [&](const json &item) {
    return findAnswerFault(item, service, 3, "q", 50).has_value();
  };
  CHECK_FALSE(hasFault(answer));
  json lost = answer;
  lost["hits"].erase(10);
  CHECK(hasFault(lost));
  json repeated = answer;
  repeated["hits"][11] = repeated["hits"][10];
  CHECK(hasFault(repeated));
  json wrongCoverage = answer;
  wrongCoverage["coverage"]["answered"] = 2;
  CHECK(hasFault(wrongCoverage));
  const json once = json::parse(R"({"writes":[{"key":"a"},{"key":"b"}]})");
  CHECK_FALSE(findJournalFault(once));
  const json twice = json::parse(R"({"writes":[{"key":"a"},{"key":"a"}]})");
  CHECK(findJournalFault(twice));
  CHECK(countRuns(twice, "a") == 2);
}
