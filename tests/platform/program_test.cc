#include "platform/machines.h"
#include "platform/metadata_store.h"
#include "platform/replica_standin.h"
#include "support/process.h"
#include "transport/http_client.h"

#include <catch2/catch.hpp>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <unistd.h>

using namespace galenaflow;
using namespace std::chrono_literals;

// Runs the program as a process and checks its environment variables, signals
// and exit codes.

namespace {

constexpr auto TestLimit = 10s;

struct TemporaryDirectory {
  std::filesystem::path Path =
      std::filesystem::temp_directory_path() /
      ("galenaflow-program-" + std::to_string(getpid()));
  TemporaryDirectory() { std::filesystem::create_directories(Path); }
  ~TemporaryDirectory() { std::filesystem::remove_all(Path); }

  std::string write(const std::string &name, const std::string &text) const {
    std::ofstream(Path / name) << text;
    return (Path / name).string();
  }
  /// Writes settings with a store address at which nothing listens.
  std::string writeSettings() const {
    return write("node.yaml",
                 "node_name: front-1\nzone: z1\nlisten:\n  front: \"" +
                     support::reserveAddress() + "\"\n  ready: \"" +
                     support::reserveAddress() +
                     "\"\nbounds:\n  grace_s: 3\n  retry_ratio: 0.2\n"
                     "  retry_slack: 56\n  budget_window_s: 10\n"
                     "platform:\n  address: \"" +
                     support::reserveAddress() + "\"\n");
  }
};

/// Sets the path of the settings in the environment; the destructor unsets all
/// variables of the program.
struct ScopedEnvironment {
  explicit ScopedEnvironment(const std::string &settings) {
    setenv("GALENAFLOW_BOOT", settings.c_str(), 1);
  }
  ~ScopedEnvironment() {
    for (const char *name :
         {"GALENAFLOW_BOOT", "GALENAFLOW_PEER_KEY", "GALENAFLOW_LOG_LEVEL"})
      unsetenv(name);
  }
};

bool waitForOutput(support::Process &process, std::string_view part) {
  return process
      .waitForLine(
          [part](std::string_view line) {
            return line.find(part) != std::string_view::npos;
          },
          TestLimit)
      .has_value();
}

/// Daemons as processes, and a service of two replicas that tolerate ColdRate
/// requests a second for ColdTime after their starts.
class ColdFleet {
public:
  static constexpr double ColdRate = 6;
  static constexpr std::size_t MaxArrivals = 14; ///< 6 * 1.5 + 5
  static constexpr auto ColdTime = 4s;

  explicit ColdFleet(std::size_t daemons) {
    for (const char *id : {"p0", "p1"}) {
      Replicas.push_back(
          std::make_unique<standin::ReplicaStandin>(Loop, id, "pool"));
      Replicas.back()->behaviour().ColdTime = ColdTime;
      Store.put(Replicas.back()->key(), Replicas.back()->entry());
    }
    Store.put("op/config", R"({"version":1,"routes":[
 {"name":"one","host":"h","prefix":"/one/","route_type":"safe",
  "timeout_ms":800,"target_latency_ms":250,"service":"pool",
  "max_attempts":2}],"services":[{"name":"pool","max_conns":26,
  "cold_start_s":4,"cold_per_s":6}]})");
    const auto store = Store.listen().toText();
    const auto peerPort = static_cast<std::uint16_t>(
        std::stoi(standin::portOf(support::reserveAddress())));
    for (std::size_t i = 0; i != daemons; ++i) {
      const std::string ip = standin::machineIp(i);
      const auto address = [&ip] {
        return ip + ":" + standin::portOf(support::reserveAddress());
      };
      Listeners.push_back(address());
      const std::string path = Directory.write(std::to_string(i), "");
      standin::writeSettings(path, {"front-" + std::to_string(i),
                                    ip,
                                    Listeners.back(),
                                    address(),
                                    peerPort,
                                    {standin::machineIp(0)},
                                    0.12,
                                    56,
                                    store});
      const ScopedEnvironment environment(path);
      Daemons.push_back(std::make_unique<support::Process>(
          "galenaflow-platform", std::vector<std::string>()));
    }
    for (const std::string &it : Listeners)
      for (int n = 0; n != CallersPerDaemon; ++n)
        Callers.push_back(std::make_unique<transport::HttpConnection>(
            Loop, *transport::parseSocketAddress(it)));
  }

  void runFor(state::Duration d) {
    Loop.runUntil([] { return false; }, d);
  }

  /// Every caller sends one request after the other.
  void callFor(state::Duration d) {
    Served = Rejected = Failed = 0;
    IsCalling = true;
    for (const auto &it : Callers)
      call(*it);
    runFor(d);
    IsCalling = false;
    REQUIRE(Loop.runUntil([this] { return Open == 0; }, TestLimit));
    runFor(2 * CallPause); // until no caller's timer is left
  }

  /// Publishes a registration with the present cold time.
  void registerAgain(standin::ReplicaStandin &replica) {
    replica.restart();
    Store.put(replica.key(), replica.entry());
  }

  transport::EventLoop Loop;
  std::vector<std::unique_ptr<standin::ReplicaStandin>> Replicas;
  int Served = 0;
  int Rejected = 0; ///< with Retry-After
  int Failed = 0;   ///< any other answer, or none

private:
  static constexpr int CallersPerDaemon = 4;
  static constexpr auto CallPause = 10ms;

  void call(transport::HttpConnection &caller) {
    ++Open;
    transport::HttpRequest request{"GET", "/one/x", {}, ""};
    request.Host = "h";
    request.Headers.add("X-Request-Id", "id" + std::to_string(++LastId));
    request.Headers.add("X-Deadline-Ms", "800");
    caller.send(request, TestLimit,
                [this, &caller](const transport::HttpResult &result) {
                  --Open;
                  if (result && result->Status == 200)
                    ++Served;
                  else if (result && result->Status == 503 &&
                           result->Headers.find("Retry-After"))
                    ++Rejected;
                  else
                    ++Failed;
                  Loop.schedule(CallPause, [this, &caller] {
                    if (IsCalling)
                      call(caller);
                  });
                });
  }

  TemporaryDirectory Directory;
  standin::MetadataStore Store{Loop};
  std::vector<std::string> Listeners;
  std::vector<std::unique_ptr<support::Process>> Daemons;
  std::vector<std::unique_ptr<transport::HttpConnection>> Callers;
  int Open = 0;
  std::uint64_t LastId = 0;
  bool IsCalling = false;
};

} // namespace

// Guards against a reload that ends the process: without a handler, SIGHUP
// kills it.
TEST_CASE("SIGHUP checks the settings again without a stop, and SIGTERM stops "
          "the program") {
  const TemporaryDirectory directory;
  const std::string settings = directory.writeSettings();
  const ScopedEnvironment environment(settings);
  support::Process process("galenaflow-platform", {});
  REQUIRE(waitForOutput(process, "event=started node=front-1"));
  process.signal(SIGHUP);
  CHECK(waitForOutput(process, "event=settings_reloaded valid=true"));
  directory.write("node.yaml", "node_name: front-1\n");
  process.signal(SIGHUP);
  CHECK(waitForOutput(process, "event=settings_reloaded valid=false"));
  CHECK(waitForOutput(process, "event=setting_invalid place=listen.front"));
  CHECK(process.isRunning());
  process.terminate();
  CHECK(process.wait(TestLimit) == 0);
  CHECK(
      waitForOutput(process, "event=stopped open_requests=0 cut_short=false"));
}

TEST_CASE("all faults of the settings are reported, and the program exits") {
  const TemporaryDirectory directory;
  const ScopedEnvironment environment(
      directory.write("node.yaml", "zone: z1\n"));
  support::Process process("galenaflow-platform", {});
  CHECK(process.wait(TestLimit) == 2);
  CHECK(waitForOutput(process, "place=node_name"));
  CHECK(waitForOutput(process, "place=platform.address"));
}

TEST_CASE(
    "an invalid environment variable is reported, and the program exits") {
  const TemporaryDirectory directory;
  const ScopedEnvironment environment(directory.writeSettings());
  std::string place = "GALENAFLOW_PEER_KEY";
  SECTION("no such settings file") {
    setenv("GALENAFLOW_BOOT", "/nowhere/node.yaml", 1);
    place = "/nowhere/node.yaml";
  }
  SECTION("no such key file") {
    setenv("GALENAFLOW_PEER_KEY", "/nowhere/key", 1);
  }
  SECTION("a short key") {
    setenv("GALENAFLOW_PEER_KEY", directory.write("key", "short").c_str(), 1);
  }
  SECTION("an unknown log level") {
    setenv("GALENAFLOW_LOG_LEVEL", "loud", 1);
    place = "GALENAFLOW_LOG_LEVEL";
  }
  support::Process process("galenaflow-platform", {});
  CHECK(process.wait(TestLimit) == 2);
  CHECK(waitForOutput(process, "place=" + place));
}

// Guards against a crash of a replica that returns cold and gets its usual
// part of the load of all daemons, before its registration arrives.
TEST_CASE("daemons together keep the bound of replicas that return cold") {
  ColdFleet fleet(4);
  fleet.runFor(8s); // until the daemons are counted
  fleet.callFor(1s);
  CHECK(fleet.Failed == 0);
  REQUIRE(fleet.Served > 100);
  standin::ReplicaStandin &returning = *fleet.Replicas[0];
  const std::uint64_t before = returning.receivedRequests();
  REQUIRE(before > 50);

  // One of two: the other serves the requests, none is rejected.
  returning.crash();
  fleet.callFor(4500ms); // it returns after 3 s
  fleet.registerAgain(returning);
  fleet.callFor(2s);
  CHECK(fleet.Served > 100);
  CHECK(fleet.Rejected == 0);
  CHECK(fleet.Failed == 0);
  CHECK(returning.mostWhileCold() <= ColdFleet::MaxArrivals);

  // It is used fully again.
  fleet.runFor(ColdFleet::ColdTime + 4s);
  const std::uint64_t afterCold = returning.receivedRequests();
  fleet.callFor(1s);
  CHECK(returning.receivedRequests() > afterCold + 50);

  // Both: what the allowances permit is served, the rest is rejected at once.
  for (const auto &it : fleet.Replicas)
    it->crash();
  fleet.runFor(3500ms);
  for (const auto &it : fleet.Replicas)
    fleet.registerAgain(*it);
  fleet.callFor(3s);
  CHECK(fleet.Served > 0);
  CHECK(fleet.Rejected > 0);
  CHECK(fleet.Failed == 0);
  for (const auto &it : fleet.Replicas) {
    INFO(it->id());
    CHECK(it->mostWhileCold() <= ColdFleet::MaxArrivals);
  }
}
