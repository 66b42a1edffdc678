#include "platform/demo.h"

#include "platform/metadata_store.h"
#include "platform/replica_standin.h"
#include "support/process.h"
#include "transport/http_client.h"

#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <unistd.h>

// The stand-ins and the caller share one event loop in this process; the daemon
// runs as a process of its own.

namespace galenaflow::standin {

using nlohmann::json;
using support::Process;
using namespace std::chrono_literals;

namespace {

constexpr auto StepTimeout = 10s;
constexpr auto PollInterval = 20ms;
constexpr int ShardCount = 20;

bool expect(const char *what, bool ok) {
  if (!ok)
    std::printf("unexpected: %s\n", what);
  return ok;
}

/// A directory for the settings and the log, removed by the destructor.
struct TemporaryDirectory {
  std::filesystem::path Path = std::filesystem::temp_directory_path() /
                               ("galenaflow-demo-" + std::to_string(getpid()));
  TemporaryDirectory() { std::filesystem::create_directories(Path); }
  ~TemporaryDirectory() { std::filesystem::remove_all(Path); }
};

class PlatformDemo {
public:
  PlatformDemo();
  bool run();

private:
  void publishRoutes(int version, const std::string &records);
  transport::HttpResult get(const std::string &path);
  std::string printResult(const transport::HttpResult &result);
  bool startDaemon();
  bool showQuery();
  bool showMissingShard();
  bool showRouteChange();
  bool stopDaemon();

  TemporaryDirectory Directory;
  transport::EventLoop Loop;
  MetadataStore Store{Loop};
  std::vector<std::unique_ptr<ReplicaStandin>> Replicas;
  transport::SocketAddress Listener =
      *transport::parseSocketAddress(support::reserveAddress());
  std::unique_ptr<Process> Daemon;
  std::uint64_t LastId = 0;
};

PlatformDemo::PlatformDemo() {
  const auto add = [this](const std::string &id, const std::string &service) {
    Replicas.push_back(std::make_unique<ReplicaStandin>(Loop, id, service));
    Store.put(Replicas.back()->key(), Replicas.back()->entry());
  };
  for (int shard = 0; shard != ShardCount; ++shard)
    for (const char *copy : {"-a", "-b"})
      add("shard" + std::to_string(shard) + copy,
          "shard" + std::to_string(shard));
  for (const char *service : {"records", "archive"})
    for (const char *copy : {"-a", "-b"})
      add(std::string(service) + copy, service);
  publishRoutes(1, "records");
}

/// Publishes routes that send requests for single records to the service
/// `records`.
void PlatformDemo::publishRoutes(int version, const std::string &records) {
  json services = json::array();
  json shards = json::array();
  for (int shard = 0; shard != ShardCount; ++shard) {
    shards.push_back("shard" + std::to_string(shard));
    services.push_back({{"name", shards.back()}, {"max_conns", 26}});
  }
  for (const char *name : {"records", "archive"})
    services.push_back({{"name", name}, {"max_conns", 26}});
  const json query = {
      {"name", "catalogue"},  {"host", "shop.example"},
      {"prefix", "/search/"}, {"route_type", "safe"},
      {"timeout_ms", 400},    {"target_latency_ms", 80},
      {"fanout", shards},     {"max_attempts", 2},
      {"top_k", 5},           {"min_shard_ratio", 0.89},
  };
  const json record = {
      {"name", "record"},     {"host", "shop.example"},
      {"prefix", "/record/"}, {"route_type", "safe"},
      {"timeout_ms", 800},    {"target_latency_ms", 250},
      {"service", records},   {"max_attempts", 2},
  };
  Store.put("op/config", json{{"version", version},
                              {"routes", {query, record}},
                              {"services", services}}
                             .dump());
}

transport::HttpResult PlatformDemo::get(const std::string &path) {
  transport::HttpConnection connection(Loop, Listener);
  std::optional<transport::HttpResult> result;
  transport::HttpRequest request{"GET", path, {}, ""};
  request.Host = "shop.example";
  request.Headers.add("X-Request-Id", "demo" + std::to_string(++LastId));
  request.Headers.add("X-Deadline-Ms", "400");
  connection.send(request, StepTimeout,
                  [&](transport::HttpResult it) { result = std::move(it); });
  Loop.runUntil([&] { return result.has_value(); }, StepTimeout + 1s);
  if (result)
    return std::move(*result);
  return tl::unexpected(transport::HttpFailure{
      {state::ErrorCode::DeadlineExceeded, "no result"}, true});
}

/// Prints a result. Returns the number of missing parts as the answer states
/// it; empty unless the status is 200.
std::string PlatformDemo::printResult(const transport::HttpResult &result) {
  if (!result) {
    std::printf("demo%llu: %s\n", static_cast<unsigned long long>(LastId),
                result.error().Cause.Text.c_str());
    return {};
  }
  const std::string missing(
      result->Headers.find("X-Missing-Parts").value_or("0"));
  std::printf("demo%llu: status %d, %zu bytes, missing parts: %s\n",
              static_cast<unsigned long long>(LastId), result->Status,
              result->Body.size(), missing.c_str());
  return result->Status == 200 ? missing : std::string();
}

bool PlatformDemo::startDaemon() {
  const auto settings = (Directory.Path / "node.yaml").string();
  std::ofstream(settings)
      << "node_name: front-1\nzone: z1\nlisten:\n  front: \""
      << Listener.toText() << "\"\n  ready: \"" << support::reserveAddress()
      << "\"\nbounds:\n  grace_s: 6\n  retry_ratio: 0.2\n  retry_slack: 56\n"
      << "  budget_window_s: 10\nplatform:\n  address: \""
      << Store.listen().toText() << "\"\n";
  setenv("GALENAFLOW_BOOT", settings.c_str(), 1);
  Daemon = std::make_unique<Process>("galenaflow-platform",
                                     std::vector<std::string>());
  unsetenv("GALENAFLOW_BOOT");
  return expect("the daemon's start",
                Loop.runUntil(
                    [this] {
                      const auto result = get("/record/1");
                      return result && result->Status == 200;
                    },
                    StepTimeout));
}

bool PlatformDemo::showQuery() {
  std::printf("\n== the users' platform: a query over all %d shards\n",
              ShardCount);
  return expect("missing parts", printResult(get("/search/?q=crib")) == "0");
}

bool PlatformDemo::showMissingShard() {
  std::printf("\n== both replicas of a shard stop responding\n");
  for (const auto &it : Replicas)
    it->behaviour().Silent = it->id().starts_with("shard7-");
  const std::string missing = printResult(get("/search/?q=cot"));
  for (const auto &it : Replicas)
    it->behaviour().Silent = false;
  const std::string id = "demo" + std::to_string(LastId);
  const std::string log = (Directory.Path / "front-1.log").string();
  const bool isLogged =
      Daemon
          ->waitForLine(
              [&](std::string_view line) {
                return line.find("event=request_partial id=" + id) !=
                       std::string_view::npos;
              },
              StepTimeout)
          .has_value();
  std::ofstream(log) << Daemon->output();
  std::printf("$ galenaflowctl explain %s front-1.log\n", id.c_str());
  Process ctl("galenaflowctl", {"explain", id, log});
  const auto code = ctl.wait(StepTimeout);
  std::printf("%s", ctl.output().c_str());
  return expect("missing parts", !missing.empty() && missing != "0") &&
         expect("the log of the partial answer", isLogged) &&
         expect("the explanation",
                code == 0 && ctl.output().find("shard7") != std::string::npos);
}

bool PlatformDemo::showRouteChange() {
  std::printf("\n== the operator moves a route to another service\n");
  const state::TimePoint start = Loop.now();
  publishRoutes(2, "archive");
  const auto isInForce = [this] {
    get("/record/2");
    return std::any_of(Replicas.begin(), Replicas.end(), [](const auto &it) {
      return it->id().starts_with("archive") && !it->runs().empty();
    });
  };
  while (!isInForce() && Loop.now() - start < StepTimeout)
    Loop.runUntil([] { return false; }, PollInterval);
  const auto elapsed = Loop.now() - start;
  std::printf("in force after %lld ms\n",
              static_cast<long long>(elapsed.count() / 1000));
  return expect("the time until the change is in force", elapsed < 3s);
}

bool PlatformDemo::stopDaemon() {
  Daemon->terminate();
  const auto code = Daemon->wait(StepTimeout);
  std::printf("\ngraceful stop: exit code %d\n", code.value_or(-1));
  return expect("exit code", code == 0);
}

bool PlatformDemo::run() {
  return startDaemon() && showQuery() && showMissingShard() &&
         showRouteChange() && stopDaemon();
}

} // namespace

bool runPlatformDemo() { return PlatformDemo().run(); }

} // namespace galenaflow::standin
