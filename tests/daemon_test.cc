#include "support/checks.h"
#include "support/deployment.h"

#include <catch2/catch.hpp>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <nlohmann/json.hpp>
#include <set>
#include <thread>
#include <unistd.h>

using namespace galenaflow;
using namespace galenaflow::support;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

/// Only ends a test that would otherwise hang, so it is generous.
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

// Guards against components that work separately but do not process a request
// together.
TEST_CASE("three daemons answer searches, suggestions, reads and writes") {
  Deployment deployment(threeDaemons());
  REQUIRE(deployment.startStandIns());
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
    const std::string key = caller.requestKey();
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
  // A refusal states the caller's own request id, even when the caller is not
  // authenticated.
  transport::HttpRequest unauthenticated{"POST", "/v1/search", {}, "{}"};
  unauthenticated.Headers.add("x-request-id", "id-of-the-caller");
  const auto refused =
      deployment.call(deployment.daemons()[0].Listen, unauthenticated);
  CHECK(refused.Status == 401);
  CHECK(json::parse(refused.Body)["error"]["request_id"] == "id-of-the-caller");
  // A planned stop ends with exit code 0.
  for (Daemon &daemon : deployment.daemons())
    daemon.Program->terminate();
  for (Daemon &daemon : deployment.daemons()) {
    const auto code = daemon.Program->wait(TestLimit);
    INFO(daemon.Program->output());
    CHECK(code == 0);
  }
}

namespace {

/// A temporary file, which the destructor removes.
struct TemporaryFile {
  TemporaryFile() {
    const int fd = mkstemp(Path.data());
    if (fd >= 0)
      close(fd);
  }
  ~TemporaryFile() { std::remove(Path.c_str()); }
  std::string Path = "/tmp/galenaflow-test-XXXXXX";
};

/// Returns all spans of a file of OTLP/JSON lines.
std::vector<json> readSpans(const std::string &path) {
  std::vector<json> spans;
  std::ifstream file(path);
  for (std::string line; std::getline(file, line);) {
    const json request = json::parse(line, nullptr, false);
    if (request.is_discarded())
      continue;
    for (const json &span :
         request["resourceSpans"][0]["scopeSpans"][0]["spans"])
      spans.push_back(span);
  }
  return spans;
}

} // namespace

// Guards against hops without a span, and against spans that do not belong to
// the trace of the request.
TEST_CASE("a sampled search has one server span and one span for each "
          "sub-request") {
  const TemporaryFile file;
  DeploymentOptions options;
  options.Services = {Archivio};
  options.DaemonFlags = {"--trace_file=" + file.Path, "--trace_sample_rate=1",
                         "--hedge_percent=0"};
  Deployment deployment(options);
  REQUIRE(deployment.startStandIns());
  REQUIRE(deployment.startDaemons());
  CallerClient caller(deployment, deployment.daemons()[0].Listen,
                      "customer-standard");
  REQUIRE(caller.search("archivio", "vane", 5).Status == 200);
  const auto end = std::chrono::steady_clock::now() + TestLimit;
  std::vector<json> spans;
  while (spans.size() < 21 && std::chrono::steady_clock::now() < end) {
    std::this_thread::sleep_for(50ms);
    spans = readSpans(file.Path);
  }
  std::set<std::string> traces;
  std::set<std::string> parents;
  std::size_t servers = 0;
  for (const json &span : spans) {
    traces.insert(span["traceId"].get<std::string>());
    if (span["name"] == "search")
      ++servers;
    else
      parents.insert(span["parentSpanId"].get<std::string>());
  }
  CHECK(servers == 1);
  CHECK(traces.size() == 1);
  CHECK(parents.size() == 1);
  CHECK(spans.size() >= 21);
}
