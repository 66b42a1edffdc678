#include "support/checks.h"
#include "support/deployment.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace galenaflow;
using namespace galenaflow::support;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

/// Generous, because it only bounds a test that would otherwise hang.
constexpr auto TestLimit = 60s;

const ServiceSpec Archivio{"archivio", 20, 2};
const ServiceSpec Commesse{"commesse", 0, 15, 2, 35};

DeploymentOptions threeDaemons() {
  DeploymentOptions options;
  options.Services = {Archivio, Commesse};
  options.Daemons = 3;
  return options;
}

} // namespace

// Guards against parts that work alone but do not serve a request together.
TEST_CASE("three daemons answer searches, suggestions, reads and writes") {
  Deployment deployment(threeDaemons());
  REQUIRE(deployment.startOutside());
  const auto started = deployment.startDaemons();
  INFO((started ? std::string() : started.error().Text));
  REQUIRE(started);
  for (Daemon &daemon : deployment.daemons()) {
    CallerClient caller(deployment, daemon.Listen, "customer-standard");
    const auto found = caller.search("archivio", "vane", 50);
    INFO(found.Body);
    REQUIRE(found.Status == 200);
    const json answer = json::parse(found.Body);
    CHECK(findAnswerFault(answer, Archivio, 20, "vane", 50) == std::nullopt);
    CHECK(answer["complete"] == true);
    const auto suggested = caller.suggest("archivio", "va", 5);
    CHECK(suggested.Status == 200);
    const auto record = caller.read("commesse", "commesse-7");
    INFO(record.Body);
    CHECK(record.Status == 200);
    const std::string key = caller.issueKey();
    REQUIRE_FALSE(key.empty());
    const auto written = caller.write("commesse", key, R"({"claim":1})");
    INFO(written.Body);
    CHECK(written.Status == 200);
    const auto again = caller.write("commesse", key, R"({"claim":1})");
    INFO(again.Body);
    CHECK(again.Status == 200);
    const json journal =
        deployment.callJson(deployment.backendControl(), "/control/journal");
    CHECK(countRuns(journal, key) == 1);
  }
  // A planned stop ends with exit code 0.
  for (Daemon &daemon : deployment.daemons())
    daemon.Program->terminate();
  for (Daemon &daemon : deployment.daemons()) {
    const auto code = daemon.Program->wait(TestLimit);
    INFO(daemon.Program->output());
    CHECK(code == 0);
  }
}
