#include "platform/demo.h"
#include "support/checks.h"
#include "support/deployment.h"

#include <chrono>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <thread>

// Starts the stand-ins and three daemons, sends requests as a caller would,
// edits a plan, prints the operator's views and stops the daemons. Then runs
// the demonstration of the daemon for the users' platform. Any unexpected
// result ends the program with exit code 1.

using namespace galenaflow;
using namespace galenaflow::support;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

constexpr std::chrono::seconds StepTimeout = 30s;
constexpr std::chrono::milliseconds EditPollInterval = 100ms;

bool expect(const char *what, bool ok) {
  if (!ok)
    std::printf("unexpected: %s\n", what);
  return ok;
}

void printTitle(const char *text) { std::printf("\n== %s\n", text); }

/// Prints a call as a curl command that repeats it.
void printCurl(const Daemon &daemon, const char *path,
               const std::string &body) {
  std::printf("$ curl -s -H 'Authorization: Bearer %s' -d '%s' http://%s%s\n",
              Deployment::callerKey("customer-standard").c_str(), body.c_str(),
              daemon.Listen.c_str(), path);
}

/// Prints an answer with the number of its hits in place of the hits.
void printAnswer(const std::string &body) {
  json answer = json::parse(body, nullptr, false);
  if (answer.is_object() && answer.contains("hits")) {
    const std::size_t n = answer["hits"].size();
    answer["hits"] = "(" + std::to_string(n) + " hits)";
  }
  std::printf("%s\n", answer.dump().c_str());
}

std::string runCtl(const Daemon &daemon, std::vector<std::string> args) {
  args.insert(args.begin(), "--daemon=" + daemon.OperatorListen);
  std::string line = "$ galenaflowctl";
  for (const std::string &arg : args)
    line += " " + arg;
  std::printf("%s\n", line.c_str());
  Process ctl("galenaflowctl", args);
  const auto code = ctl.wait(StepTimeout);
  std::printf("%s(exit code %d)\n", ctl.output().c_str(), code.value_or(-1));
  return code == 0 ? ctl.output() : "";
}

bool showRequests(Deployment &deployment) {
  const Daemon &daemon = deployment.daemons()[0];
  CallerClient caller(deployment, daemon.Listen, "customer-standard");
  printTitle("a search over all 20 shards of archivio");
  printCurl(daemon, "/v1/search",
            R"({"service":"archivio","query":"vane","limit":10})");
  const auto found = caller.search("archivio", "vane", 10);
  printAnswer(found.Body);
  if (!expect("status of the search", found.Status == 200))
    return false;
  printTitle("a suggestion, and one record from a pool service");
  const auto suggested = caller.suggest("archivio", "va", 5);
  printAnswer(suggested.Body);
  const auto record = caller.read("commesse", "commesse-7");
  printAnswer(record.Body);
  printTitle(
      "a write that is not repeatable, submitted twice through two daemons");
  const std::string key = caller.requestKey();
  const auto first = caller.write("commesse", key, R"({"claim":"vane-7"})");
  printAnswer(first.Body);
  CallerClient other(deployment, deployment.daemons()[1].Listen,
                     "customer-standard");
  const auto second = other.write("commesse", key, R"({"claim":"vane-7"})");
  printAnswer(second.Body);
  const json journal =
      deployment.callJson(deployment.backendControl(), "/control/journal");
  std::printf("runs in the backend servers' journals: %zu\n",
              countRuns(journal, key));
  printTitle("what happened to the search");
  const std::string id = json::parse(found.Body).value("request_id", "");
  const std::string explanation =
      runCtl(deployment.daemons()[2], {"request", id});
  return expect("status of the suggestion", suggested.Status == 200) &&
         expect("status of the record", record.Status == 200) &&
         expect("status of the write", first.Status == 200) &&
         expect("number of runs", countRuns(journal, key) == 1) &&
         expect("the record of the search", !explanation.empty());
}

/// Lowers the maximum number of hits of a search and waits until all daemons
/// apply it.
bool editPlan(Deployment &deployment) {
  printTitle("the operator lowers max_limit of searches to 3");
  json plans = deployment.plansDocument();
  plans["plans"][0]["operations"]["search"]["max_limit"] = 3;
  deployment.callJson(deployment.platformControl(), "/control/values/plans",
                      plans.dump());
  const auto start = std::chrono::steady_clock::now();
  for (Daemon &daemon : deployment.daemons()) {
    CallerClient caller(deployment, daemon.Listen, "customer-standard");
    std::size_t hits = 0;
    do {
      std::this_thread::sleep_for(EditPollInterval);
      const auto found = caller.search("archivio", "vane", 10);
      const json answer = json::parse(found.Body, nullptr, false);
      hits = answer.is_object() && answer.contains("hits")
                 ? answer["hits"].size()
                 : 0;
    } while (hits != 3 &&
             std::chrono::steady_clock::now() - start < StepTimeout);
    if (!expect("number of hits after the edit", hits == 3))
      return false;
  }
  const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::steady_clock::now() - start);
  std::printf("in force at all daemons after %lld ms\n",
              static_cast<long long>(elapsed.count()));
  return true;
}

bool stopAll(Deployment &deployment) {
  printTitle("graceful stop");
  for (Daemon &daemon : deployment.daemons())
    daemon.Program->terminate();
  bool clean = true;
  for (Daemon &daemon : deployment.daemons()) {
    const auto code = daemon.Program->wait(StepTimeout);
    std::printf("%s: exit code %d\n", daemon.VmId.c_str(), code.value_or(-1));
    clean = clean && code == 0;
  }
  return expect("exit codes", clean);
}

} // namespace

int main() {
  DeploymentOptions options;
  options.Services = {{"archivio", 20, 2, 2, 25, 6},
                      {"commesse", 0, 15, 2, 35, 1}};
  options.Daemons = 3;
  Deployment deployment(options);
  printTitle("starting the stand-ins and three daemons");
  const auto standIns = deployment.startStandIns();
  const auto started = standIns ? deployment.startDaemons() : standIns;
  if (!started) {
    std::printf("%s\n", started.error().Text.c_str());
    return 1;
  }
  if (!showRequests(deployment) || !editPlan(deployment))
    return 1;
  printTitle("what the operator sees");
  runCtl(deployment.daemons()[0], {"status"});
  runCtl(deployment.daemons()[0], {"plans"});
  runCtl(deployment.daemons()[0], {"peers"});
  return stopAll(deployment) && standin::runPlatformDemo() ? 0 : 1;
}
