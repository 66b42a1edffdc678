#include "runner.h"
#include "support/checks.h"
#include "support/deployment.h"

#include <algorithm>
#include <cmath>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <thread>

// Measures the figures of docs/MEASUREMENTS.md on stand-ins of both deployments
// and compares them with their targets.
//
//   galenaflow-experiment DIRECTORY [--quick] [--only=DEPLOYMENT]
//
// For each deployment, a load that grows in steps determines the capacity of
// the first service. Then follow phases with healthy replicas, with slowed
// replicas, with a step of demand and with lost replicas, all on the same
// processes. The baseline (round robin, no hedges) runs the phases with healthy
// and with slowed replicas on processes of its own right after. Service times
// are ten times the defaults of the stand-in, so that the replicas and not the
// machine are the bottleneck; only ratios within one run are compared.

namespace galenaflow::bench {
namespace {

using nlohmann::json;
using support::CallerClient;
using support::Deployment;
using support::DeploymentOptions;
using support::ServiceSpec;

constexpr std::uint32_t DaemonCount = 6;
constexpr std::uint32_t SearchLimit = 20;

// Loads are fractions of the capacity.

/// Load with healthy replicas and with faults.
constexpr double NormalLoad = 0.4;

/// Load before the demand step, which is tenfold.
constexpr double QuietLoad = 0.15;

/// Load of the plan that stays within its share.
constexpr double SteadyLoad = 0.05;

/// Fraction of the replicas that are slowed.
constexpr double SlowReplicaFraction = 0.05;

/// Positions in Scenario::Mix.
enum Item : std::uint32_t { Search, Urgent, Other, Pool, SmallPool, Steady };

/// What is deployed at one site.
struct Site {
  std::string Name;
  std::vector<ServiceSpec> Services; ///< two sharded ones, then two pools
  std::vector<std::string> DataCentres;
  std::string PoolOperation;
};

std::vector<Site> sites() {
  return {{"ninho-sul",
           {{"vitrine-pais", 20, 2, 2, 25, 6},
            {"cadastro-lojas", 30, 2, 2, 25, 6},
            {"painel-lojista", 0, 5, 2, 110, 1},
            {"fotos-anuncio", 0, 3, 2, 110, 1}},
           {"sul-br-a", "sul-br-b", "sul-br-c"},
           "read"},
          {"consorzio",
           {{"archivio", 20, 2, 2, 25, 6},
            {"preventivi", 30, 2, 2, 25, 6},
            {"commesse", 0, 15, 2, 35, 1},
            {"cantieri", 0, 7, 2, 35, 1}},
           {"catania-a", "catania-b", "acireale"},
           "write"}};
}

json plan(const std::string &id, const Site &site) {
  json services = json::array();
  for (const ServiceSpec &service : site.Services)
    services.push_back(service.Name);
  const auto rule = [](const char *priority, const char *prefer, int limit) {
    return json{{"priority", priority},
                {"prefer", prefer},
                {"min_coverage", 0},
                {"deadline_ms", 1000},
                {"max_limit", limit}};
  };
  return {{"id", id},
          {"weight", 1},
          {"max_rate", 10000},
          {"burst", 10000},
          {"max_concurrency", 10000},
          {"services", services},
          {"operations",
           {{"search", rule("normal", "coverage", 1000)},
            {"suggest", rule("urgent", "coverage", 20)},
            {"read", rule("normal", "coverage", 1)},
            {"write", rule("normal", "coverage", 1)}}}};
}

DeploymentOptions makeOptions(const Site &site, bool baseline) {
  DeploymentOptions options;
  options.Services = site.Services;
  options.DataCentres = site.DataCentres;
  options.Daemons = DaemonCount;
  options.BackendSettings =
      R"({"search_ms":40,"suggest_ms":10,"read_ms":10,"write_ms":20})";
  options.Plans =
      json{{"plans", json::array({plan("busy", site), plan("steady", site)})}}
          .dump();
  if (baseline)
    options.DaemonFlags = {"--replica_policy=round_robin", "--hedge_percent=0"};
  return options;
}

LoadItem makeItem(const std::string &name, const std::string &operation,
                  const std::string &service, const std::string &planId) {
  LoadItem item;
  item.Name = name;
  item.Operation = operation;
  item.Service = service;
  item.Key = Deployment::callerKey("customer-" + planId);
  item.Limit = SearchLimit;
  return item;
}

/// Returns a scenario with the mix for the site and without phases.
Scenario makeScenario(const Site &site, Deployment &deployment) {
  Scenario scenario;
  scenario.Connections = 32;
  scenario.StatsAddresses = {deployment.backendControl()};
  for (const support::Daemon &daemon : deployment.daemons()) {
    scenario.Targets.push_back(daemon.Listen);
    scenario.MetricsAddresses.push_back(daemon.OperatorListen);
  }
  const auto &services = site.Services;
  scenario.Mix = {
      makeItem("search", "search", services[0].Name, "busy"),
      makeItem("suggest", "suggest", services[0].Name, "busy"),
      makeItem("search-other", "search", services[1].Name, "busy"),
      makeItem(site.PoolOperation, site.PoolOperation, services[2].Name,
               "busy"),
      makeItem("read", "read", services[3].Name, "busy"),
      makeItem("search-steady", "search", services[0].Name, "steady")};
  return scenario;
}

/// Returns the ids of a fraction of a sharded service's replicas, spread over
/// the shards. With one of two replicas, these are replica a of each shard.
std::vector<std::string> selectReplicas(const ServiceSpec &service,
                                        double fraction) {
  std::vector<std::string> ids;
  const auto n = static_cast<std::uint32_t>(
      std::lround(fraction * service.Shards * service.Replicas));
  for (std::uint32_t i = 0; i != n; ++i)
    ids.push_back(service.Name + "-" + std::to_string(i * service.Shards / n) +
                  "-a");
  return ids;
}

/// Returns the calls that post `body` to a fraction of the replicas of each
/// sharded service.
std::vector<ControlCall> makeControls(const Site &site, Deployment &deployment,
                                      double fraction,
                                      const std::string &body) {
  std::vector<ControlCall> calls;
  for (const ServiceSpec &service : site.Services)
    for (const std::string &id : selectReplicas(service, fraction))
      calls.push_back(
          {deployment.backendControl(), "/control/replicas/" + id, body});
  return calls;
}

struct Target {
  std::string Site;
  std::string Name;
  double Value = 0;
  double Bound = 0;
  bool IsUpperBound = true;
  bool isMet() const { return IsUpperBound ? Value <= Bound : Value >= Bound; }
};

/// Returns the latencies of one outcome of an item in a phase, sorted. Those of
/// answers count from the scheduled time, others from the time of sending.
std::vector<std::uint32_t> latencies(const RunResult &result,
                                     std::uint32_t phase, std::uint32_t item,
                                     Outcome outcome = Outcome::Answered) {
  std::vector<std::uint32_t> values;
  for (const Sample &sample : result.Samples)
    if (sample.Phase == phase && sample.Item == item &&
        sample.Result == outcome)
      values.push_back(outcome == Outcome::Answered ? sample.LatencyUs
                                                    : sample.ServiceUs);
  std::sort(values.begin(), values.end());
  return values;
}

double p99(const RunResult &result, std::uint32_t phase, std::uint32_t item) {
  return percentileMs(latencies(result, phase, item), 0.99);
}

double ratio(double a, double b) { return b == 0 ? 0 : a / b; }

/// Returns the number of repeated sub-requests divided by that of first ones. A
/// sub-request is repeated if a replica already received one for the same query
/// and shard. Attempts that did not reach a replica are not counted, because
/// they cause no load.
double extraLoad(const RunResult &result, std::size_t phase) {
  const BackendReading &a = result.Readings[phase];
  const BackendReading &b = result.Readings[phase + 1];
  const auto repeated = static_cast<double>(b.Repeated - a.Repeated);
  const auto primaries = static_cast<double>(b.Primaries - a.Primaries);
  return ratio(repeated, primaries);
}

class Experiment {
public:
  Experiment(std::string directory, bool quick)
      : Directory(std::move(directory)), Scale(quick ? 0.4 : 1) {}

  bool run(const Site &site) {
    RunResult adaptive;
    if (!runAdaptive(site, adaptive))
      return false;
    return runBaseline(site, adaptive);
  }

  void write() const {
    json targets = json::array();
    std::cout << "\n| deployment | figure | value | target | met |\n"
              << "| --- | --- | --- | --- | --- |\n";
    for (const Target &target : Targets) {
      std::cout << "| " << target.Site << " | " << target.Name << " | "
                << target.Value << " | "
                << (target.IsUpperBound ? "<= " : ">= ") << target.Bound
                << " | " << (target.isMet() ? "yes" : "no") << " |\n";
      targets.push_back({{"deployment", target.Site},
                         {"figure", target.Name},
                         {"value", target.Value},
                         {"bound", target.Bound},
                         {"at_most", target.IsUpperBound},
                         {"met", target.isMet()}});
    }
    std::ofstream(Directory + "/report.json")
        << json{{"cores", std::thread::hardware_concurrency()},
                {"runs", Runs},
                {"targets", targets}}
               .dump(2)
        << "\n";
  }

private:
  bool start(Deployment &deployment) {
    auto started = deployment.startStandIns();
    if (started)
      started = deployment.startDaemons();
    if (!started)
      std::cerr << "galenaflow-experiment: " << started.error().Text << "\n";
    return started.has_value();
  }

  RunResult measure(const std::string &name, const Scenario &scenario,
                    Deployment &deployment) {
    RunResult result = runScenario(scenario);
    addRun(name, scenario, result);
    // Reads the logs, so that no daemon blocks on a full pipe.
    for (support::Daemon &daemon : deployment.daemons())
      daemon.Program->output();
    return result;
  }

  /// Adds the run to the report, writes its plot and prints its figures.
  void addRun(const std::string &name, const Scenario &scenario,
              const RunResult &result) {
    json run = json::parse(toJson(scenario, result.Samples, result.Readings));
    run["name"] = name;
    std::ofstream(Directory + "/" + name + ".svg")
        << toSvg(scenario, result.Samples);
    for (std::uint32_t i = 0; i != scenario.Phases.size(); ++i) {
      std::cout << name << " " << scenario.Phases[i].Name << " rate "
                << scenario.Phases[i].Rate << " goodput "
                << goodput(scenario, result.Samples, i) << " extra "
                << extraLoad(result, i) << "\n";
      for (const json &row : run["phases"][i]["items"]) {
        const json &answered = row["answered"];
        if (answered["count"] != 0 || row["refused"]["count"] != 0)
          std::cout << "  " << row["item"].get<std::string>() << " answered "
                    << answered["count"] << " p50 " << answered["p50_ms"]
                    << " p99 " << answered["p99_ms"] << " p99.9 "
                    << answered["p99_9_ms"] << " refused "
                    << row["refused"]["count"] << " p99 "
                    << row["refused"]["p99_ms"] << " failed " << row["failed"]
                    << " coverage " << row.value("coverage", json()) << "\n";
      }
    }
    std::cout.flush();
    Runs.push_back(std::move(run));
  }

  /// Returns the highest goodput over a load that grows in steps.
  double measureCapacity(const Site &site, Deployment &deployment) {
    Scenario scenario = makeScenario(site, deployment);
    // Two replicas with two slots each can serve 143 requests/s of this mix.
    for (const double rate : {40.0, 70.0, 100.0, 130.0, 160.0, 200.0})
      scenario.Phases.push_back({"step-" + std::to_string(int(rate)),
                                 std::max(1.5, 3 * Scale),
                                 rate,
                                 {3, 2, 0, 0, 0, 0},
                                 {}});
    const RunResult result =
        measure(site.Name + "-capacity", scenario, deployment);
    double best = 0;
    for (std::uint32_t i = 0; i != scenario.Phases.size(); ++i)
      best = std::max(best, goodput(scenario, result.Samples, i));
    std::cout << site.Name << " capacity " << best << "/s\n";
    return best;
  }

  /// Returns the phases with healthy and then with slowed replicas, at a
  /// fraction of the capacity of service 0.
  Scenario faultScenario(const Site &site, Deployment &deployment) const {
    Scenario scenario = makeScenario(site, deployment);
    const std::vector<double> weights = {3, 2, 1.5, 1, 1, 0};
    const double rate = NormalLoad * Capacity * 8.5 / 5;
    scenario.Phases = {{"settle", 3 * Scale, rate, weights, {}},
                       {"health", 14 * Scale, rate, weights, {}},
                       {"slow", 14 * Scale, rate, weights,
                        makeControls(site, deployment, SlowReplicaFraction,
                                     R"({"slowness":10})")}};
    return scenario;
  }

  bool runAdaptive(const Site &site, RunResult &result) {
    Deployment deployment(makeOptions(site, false));
    if (!start(deployment))
      return false;
    Capacity = measureCapacity(site, deployment);
    result = measure(site.Name + "-adaptive", faultScenario(site, deployment),
                     deployment);
    for (const Item i : {Search, Urgent, Other})
      add(site, "p99 slow / healthy, " + itemName(i),
          ratio(p99(result, 2, i), p99(result, 1, i)), 1.5);
    add(site, "extra load in health", extraLoad(result, 1), 0.05);
    add(site, "extra load, slow", extraLoad(result, 2), 0.1);
    restoreReplicas(deployment);
    runDemandStep(site, deployment);
    runLostReplicas(site, deployment);
    return true;
  }

  bool runBaseline(const Site &site, const RunResult &adaptive) {
    Deployment deployment(makeOptions(site, true));
    if (!start(deployment))
      return false;
    const RunResult result = measure(
        site.Name + "-baseline", faultScenario(site, deployment), deployment);
    for (const Item i : {Search, Urgent, Other})
      add(site, "p99 slow, baseline / adaptive, " + itemName(i),
          ratio(p99(result, 2, i), p99(adaptive, 2, i)), 3, false);
    return true;
  }

  /// Ends all faults of replicas and waits for a fixed time, in which the
  /// daemons detect the recovery.
  void restoreReplicas(Deployment &deployment) {
    deployment.callJson(deployment.backendControl(), "/control/replicas/*",
                        R"({"slowness":1,"down":false})");
    std::this_thread::sleep_for(std::chrono::seconds(2));
  }

  void runDemandStep(const Site &site, Deployment &deployment) {
    Scenario scenario = makeScenario(site, deployment);
    const auto phase = [&](const char *name, double load, double seconds) {
      scenario.Phases.push_back({name,
                                 seconds * Scale,
                                 (load + SteadyLoad) * Capacity,
                                 {0.6 * load, 0.4 * load, 0, 0, 0, SteadyLoad},
                                 {}});
    };
    phase("quiet", QuietLoad, 10);
    phase("tenfold", 10 * QuietLoad, 10);
    phase("after", QuietLoad, 4);
    const RunResult result = measure(site.Name + "-step", scenario, deployment);
    add(site, "goodput at tenfold demand / capacity",
        ratio(goodput(scenario, result.Samples, 1), Capacity), 0.95, false);
    auto refused = latencies(result, 1, Search, Outcome::Refused);
    const auto urgent = latencies(result, 1, Urgent, Outcome::Refused);
    refused.insert(refused.end(), urgent.begin(), urgent.end());
    std::sort(refused.begin(), refused.end());
    add(site, "refusal p99 (ms)", percentileMs(refused, 0.99), 5);
    add(site, "urgent p99, tenfold / quiet",
        ratio(p99(result, 1, Urgent), p99(result, 0, Urgent)), 2);
    add(site, "refused within share",
        static_cast<double>(
            latencies(result, 1, Steady, Outcome::Refused).size()),
        0);
    add(site, "extra load at tenfold - quiet",
        extraLoad(result, 1) - extraLoad(result, 0), 0);
  }

  void runLostReplicas(const Site &site, Deployment &deployment) {
    Scenario scenario = makeScenario(site, deployment);
    scenario.Phases = {
        {"lost",
         10 * Scale,
         NormalLoad * Capacity / 2,
         {3, 2, 1.5, 0, 0, 0},
         makeControls(site, deployment, 0.5, R"({"down":true})")}};
    RunResult result;
    std::thread load([&] { result = runScenario(scenario); });
    const int faults =
        checkAnswers(site, deployment, static_cast<int>(40 * Scale));
    load.join();
    addRun(site.Name + "-lost", scenario, result);
    std::uint64_t asked = 0;
    std::uint64_t covered = 0;
    for (const Sample &sample : result.Samples) {
      asked += sample.Asked;
      covered += sample.Covered;
    }
    add(site, "coverage with lost replicas",
        ratio(static_cast<double>(covered), static_cast<double>(asked)), 1,
        false);
    add(site, "answers that differ from the listings", faults, 0);
    add(site, "extra load, lost", extraLoad(result, 0), 0.1);
    restoreReplicas(deployment);
  }

  /// Sends `count` searches. Returns the number of answers whose listings
  /// differ from those of the shards that the answer claims to cover.
  int checkAnswers(const Site &site, Deployment &deployment, int count) {
    int faults = 0;
    for (int i = 0; i != count; ++i) {
      const ServiceSpec &service = site.Services[i % 2];
      CallerClient caller(deployment,
                          deployment.daemons()[i % DaemonCount].Listen,
                          "customer-busy");
      const std::string query = "checked-" + std::to_string(i);
      const auto response = caller.search(service.Name, query, SearchLimit);
      if (response.Status != 200)
        continue;
      ++Checked;
      const auto fault =
          support::findAnswerFault(json::parse(response.Body, nullptr, false),
                                   service, service.Shards, query, SearchLimit);
      if (!fault)
        continue;
      std::cerr << "answer fault: " << *fault << "\n";
      ++faults;
    }
    std::cout << "checked answers so far: " << Checked << "\n";
    return faults;
  }

  static std::string itemName(Item i) {
    return i == Search ? "search" : i == Urgent ? "suggest" : "search-other";
  }

  void add(const Site &site, const std::string &name, double value,
           double bound, bool isUpperBound = true) {
    Targets.push_back({site.Name, name, value, bound, isUpperBound});
  }

  std::string Directory;
  double Scale;        ///< factor of all durations
  double Capacity = 0; ///< answers/s of search and suggest on service 0
  int Checked = 0;
  json Runs = json::array();
  std::vector<Target> Targets;
};

} // namespace
} // namespace galenaflow::bench

int main(int argc, char **argv) {
  using namespace galenaflow::bench;
  std::string directory;
  std::string only;
  bool quick = false;
  for (int i = 1; i != argc; ++i) {
    const std::string arg = argv[i];
    if (arg == "--quick")
      quick = true;
    else if (arg.starts_with("--only="))
      only = arg.substr(7);
    else
      directory = arg;
  }
  if (directory.empty()) {
    std::cerr << "usage: galenaflow-experiment DIRECTORY [--quick] "
                 "[--only=DEPLOYMENT]\n";
    return 2;
  }
  Experiment experiment(directory, quick);
  for (const Site &site : sites())
    if ((only.empty() || only == site.Name) && !experiment.run(site))
      return 1;
  experiment.write();
  return 0;
}
