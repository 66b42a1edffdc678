#include "platform/machines.h"
#include "platform/metadata_store.h"
#include "platform/replica_standin.h"
#include "support/process.h"
#include "transport/http_client.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <unistd.h>

using namespace galenaflow;
using namespace std::chrono_literals;
using nlohmann::json;

// Runs daemons as processes against stand-ins of the store and of the replicas
// in three data centres, evacuates one of them and checks where requests
// arrive.

namespace {

constexpr auto StartLimit = 20s;

/// The operator's limit for the time from the acknowledgement of an evacuation
/// until no request arrives any more.
constexpr auto EvacuationLimit = 5s;

/// The operator's limit for the end of an evacuation to take effect, doubled
/// for a loaded machine.
constexpr auto ReturnLimit = 10s;

/// Time without arrivals that is checked.
constexpr auto QuietTime = 2s;

constexpr auto CallPeriod = 10ms;
constexpr auto CallerDeadline = 1500ms;
constexpr std::size_t RelayCount = 2;

struct Fleet {
  struct Daemon {
    std::string Listen;
    std::string SettingsPath;
    std::unique_ptr<support::Process> Process;
    std::vector<std::unique_ptr<transport::HttpConnection>> Callers;
  };
  struct Answer {
    std::string Path;
    int Status = 0; ///< 0: no response
    state::TimePoint SentAt;
    state::Duration Elapsed{0};
    bool HasRetryAfter = false;
  };

  transport::EventLoop Loop;
  standin::MetadataStore Store{Loop};
  std::vector<std::unique_ptr<standin::ReplicaStandin>> Replicas;
  std::vector<Daemon> Daemons;
  std::vector<Answer> Answers;
  std::filesystem::path Folder =
      std::filesystem::temp_directory_path() /
      ("galenaflow-evacuation-" + std::to_string(getpid()));
  std::uint64_t LastId = 0;
  std::size_t NextDaemon = 0;

  explicit Fleet(std::size_t daemons = 3) {
    std::filesystem::create_directories(Folder);
    std::ofstream(Folder / "key") << "the key of the test's daemons\n";
    for (const char *service : {"s0", "s1", "s2", "pool"})
      for (const char *dataCentre : {"z1", "z2", "z3"})
        add(std::string(service) + "-" + dataCentre, service, dataCentre);
    add("lone-z1", "lone", "z1");
    publishRoutes(1);
    const std::string store = Store.listen().toText();
    const auto port = static_cast<std::uint16_t>(
        std::stoi(standin::portOf(support::reserveAddress())));
    std::vector<std::string> seeds;
    for (std::size_t i = 0; i != RelayCount; ++i)
      seeds.push_back(standin::machineIp(i));
    for (std::size_t i = 0; i != daemons; ++i) {
      Daemon daemon;
      const std::string ip = standin::machineIp(i);
      daemon.Listen = ip + ":" + standin::portOf(support::reserveAddress());
      daemon.SettingsPath = (Folder / std::to_string(i)).string() + ".yaml";
      standin::writeSettings(
          daemon.SettingsPath,
          {"front-" + std::to_string(i), ip, daemon.Listen,
           ip + ":" + standin::portOf(support::reserveAddress()), port, seeds,
           0.12, 56, store});
      Daemons.push_back(std::move(daemon));
    }
    for (std::size_t i = 0; i != daemons; ++i)
      start(i);
    sendCalls();
    REQUIRE(Loop.runUntil([this] { return countArrivals("z1") >= 20; },
                          StartLimit));
  }
  ~Fleet() { std::filesystem::remove_all(Folder); }

  standin::ReplicaStandin &add(const std::string &id,
                               const std::string &service,
                               const std::string &dataCentre) {
    Replicas.push_back(std::make_unique<standin::ReplicaStandin>(
        Loop, id, service, dataCentre));
    Store.put(Replicas.back()->key(), Replicas.back()->entry());
    return *Replicas.back();
  }

  void publishRoutes(int version) {
    json services = json::array();
    for (const char *name : {"s0", "s1", "s2", "pool", "lone"})
      services.push_back({{"name", name}, {"max_conns", 26}});
    json routes = json::array();
    for (const char *name : {"pool", "lone"})
      routes.push_back({{"name", name},
                        {"host", "h"},
                        {"prefix", "/" + std::string(name) + "/"},
                        {"route_type", "safe"},
                        {"timeout_ms", 1500},
                        {"target_latency_ms", 250},
                        {"service", name},
                        {"max_attempts", 2}});
    routes.push_back({{"name", "all"},
                      {"host", "h"},
                      {"prefix", "/all/"},
                      {"route_type", "safe"},
                      {"timeout_ms", 1500},
                      {"target_latency_ms", 250},
                      {"fanout", {"s0", "s1", "s2"}},
                      {"max_attempts", 2},
                      {"top_k", 3},
                      {"min_shard_ratio", 1}});
    Store.put(
        "op/config",
        json{{"version", version}, {"routes", routes}, {"services", services}}
            .dump());
  }

  void start(std::size_t i) {
    setenv("GALENAFLOW_BOOT", Daemons[i].SettingsPath.c_str(), 1);
    setenv("GALENAFLOW_PEER_KEY", (Folder / "key").c_str(), 1);
    Daemons[i].Callers.clear();
    Daemons[i].Process = std::make_unique<support::Process>(
        "galenaflow-platform", std::vector<std::string>());
    unsetenv("GALENAFLOW_BOOT");
    unsetenv("GALENAFLOW_PEER_KEY");
  }

  void run(state::Duration d) {
    Loop.runUntil([] { return false; }, d);
  }

  void sendCalls() {
    for (const char *path : {"/all/", "/pool/", "/lone/"})
      send(path, Daemons[NextDaemon++ % Daemons.size()]);
    ++NextDaemon; // so that each daemon gets each path
    Loop.schedule(CallPeriod, [this] { sendCalls(); });
  }

  void send(const std::string &path, Daemon &daemon) {
    transport::HttpConnection *free = nullptr;
    for (const auto &it : daemon.Callers)
      if (!it->isBusy())
        free = it.get();
    if (free == nullptr) {
      daemon.Callers.push_back(std::make_unique<transport::HttpConnection>(
          Loop, *transport::parseSocketAddress(daemon.Listen)));
      free = daemon.Callers.back().get();
    }
    transport::HttpRequest request{
        "GET", path + std::to_string(++LastId), {}, ""};
    request.Host = "h";
    request.Headers.add("X-Request-Id", "r" + std::to_string(LastId));
    request.Headers.add("X-Deadline-Ms",
                        std::to_string(CallerDeadline.count()));
    free->send(
        request, CallerDeadline,
        [this, path, sentAt = Loop.now()](const transport::HttpResult &result) {
          Answer answer{path, 0, sentAt, Loop.now() - sentAt, false};
          if (result) {
            answer.Status = result->Status;
            answer.HasRetryAfter =
                result->Headers.find("Retry-After").has_value();
          }
          Answers.push_back(answer);
        });
  }

  /// Requests that reached replicas in the data centre after `from`.
  std::size_t
  countArrivals(const std::string &dataCentre,
                state::TimePoint from = state::TimePoint::min()) const {
    std::size_t n = 0;
    for (const auto &replica : Replicas)
      if (replica->dataCentre() == dataCentre)
        n += static_cast<std::size_t>(std::count_if(
            replica->received().begin(), replica->received().end(),
            [from](const auto &it) { return it.At >= from; }));
    return n;
  }
  std::size_t countConnections(const std::string &dataCentre) const {
    std::size_t n = 0;
    for (const auto &replica : Replicas)
      if (replica->dataCentre() == dataCentre)
        n += replica->server().openConnections();
    return n;
  }

  void evacuate(const std::string &dataCentre) {
    Store.put("op/evacuate/" + dataCentre, "{}");
  }
  void endEvacuation(const std::string &dataCentre) {
    Store.remove("op/evacuate/" + dataCentre);
  }

  /// Checks that no request arrives from the operator's limit on, and that the
  /// others are served.
  void checkQuiet(const std::string &dataCentre, state::Duration limit) {
    run(limit);
    const state::TimePoint from = Loop.now();
    run(QuietTime);
    CHECK(countArrivals(dataCentre, from) == 0);
    CHECK(countConnections(dataCentre) == 0);
    CHECK(countAnswers("/pool/", from, 200) != 0);
    CHECK(countAnswers("/all/", from, 200) != 0);
  }
  void checkReturn(const std::string &dataCentre) {
    const state::TimePoint from = Loop.now();
    CHECK(Loop.runUntil([&] { return countArrivals(dataCentre, from) >= 10; },
                        ReturnLimit));
  }

  std::size_t countAnswers(const std::string &path, state::TimePoint from,
                           int status) const {
    return static_cast<std::size_t>(
        std::count_if(Answers.begin(), Answers.end(), [&](const Answer &it) {
          return it.Path == path && it.SentAt >= from && it.Status == status;
        }));
  }

  bool hasLogged(std::size_t daemon, const std::string &text) {
    return Daemons[daemon].Process->output().find(text) != std::string::npos;
  }
};

} // namespace

// Guards against requests to an evacuated data centre from any daemon, and
// against one that stays unused after its evacuation.
TEST_CASE("a data centre is evacuated and taken back") {
  Fleet fleet;
  const state::TimePoint before = fleet.Loop.now();
  fleet.evacuate("z1");
  fleet.checkQuiet("z1", EvacuationLimit);
  CHECK(fleet.countArrivals("z2", before) != 0);
  CHECK(fleet.countArrivals("z3", before) != 0);
  const state::TimePoint inForce = fleet.Loop.now() - QuietTime;
  std::size_t rejected = 0;
  for (const Fleet::Answer &it : fleet.Answers)
    if (it.Path == "/lone/" && it.SentAt >= inForce) {
      ++rejected;
      CHECK(it.Status == 503);
      CHECK(it.HasRetryAfter);
      CHECK(it.Elapsed < CallerDeadline / 2);
    }
  CHECK(rejected != 0);
  for (std::size_t i = 0; i != fleet.Daemons.size(); ++i) {
    CHECK(fleet.hasLogged(i, "event=data_centre_evacuated data_centre=z1 "
                             "replicas=5 replicas_left=8 services_without=1"));
    CHECK(fleet.hasLogged(i, "reason=evacuated"));
  }
  // Replicas there register again, and a configuration changes.
  fleet.Store.put(fleet.Replicas.front()->key(),
                  fleet.Replicas.front()->entry());
  fleet.add("pool-new", "pool", "z1");
  fleet.publishRoutes(2);
  fleet.checkQuiet("z1", 3s);
  fleet.endEvacuation("z1");
  fleet.checkReturn("z1");
  fleet.run(3s);
  for (std::size_t i = 0; i != fleet.Daemons.size(); ++i)
    CHECK(fleet.hasLogged(i, "event=evacuation_ended data_centre=z1"));
}

// Guards against a daemon that sends requests before it knows the evacuations.
TEST_CASE("a daemon that starts during an evacuation never uses the data "
          "centre") {
  const bool isStoreAway = GENERATE(false, true);
  CAPTURE(isStoreAway);
  Fleet fleet;
  fleet.evacuate("z1");
  fleet.checkQuiet("z1", EvacuationLimit);
  const state::TimePoint inForce = fleet.Loop.now();
  // The last one is no relay and finds the others while the store is away.
  const std::size_t last = fleet.Daemons.size() - 1;
  fleet.Store.faults().Refuse = isStoreAway;
  fleet.Daemons[last].Process->kill();
  fleet.run(200ms);
  fleet.start(last);
  fleet.run(4s);
  CHECK(fleet.countArrivals("z1", inForce) == 0);
  fleet.Store.faults() = {};
  fleet.run(4s);
  CHECK(fleet.countArrivals("z1", inForce) == 0);
  CHECK(fleet.hasLogged(last, "event=data_centre_evacuated data_centre=z1"));
  fleet.endEvacuation("z1");
  fleet.checkReturn("z1");
}

// Guards against an evacuation that ends because the store cannot be read, and
// one that stays because its end was written meanwhile.
TEST_CASE("an evacuation stays in force while the store is away") {
  Fleet fleet;
  fleet.evacuate("z1");
  fleet.checkQuiet("z1", EvacuationLimit);
  SECTION("refused") { fleet.Store.faults().Refuse = true; }
  SECTION("silent") { fleet.Store.faults().Silent = true; }
  fleet.endEvacuation("z1");
  fleet.checkQuiet("z1", 3s);
  fleet.Store.faults() = {};
  fleet.checkReturn("z1");
}

// Guards against changes that are missed with the history, and a set that a
// restored copy does not replace.
TEST_CASE("an evacuation is found without the history of the store") {
  Fleet fleet;
  const auto copy = fleet.Store.copy();
  fleet.evacuate("z1");
  fleet.Store.discardHistory();
  fleet.checkQuiet("z1", EvacuationLimit);
  SECTION("its end, too") {
    fleet.endEvacuation("z1");
    fleet.Store.discardHistory();
  }
  SECTION("a restored copy does not contain it") { fleet.Store.restore(*copy); }
  fleet.checkReturn("z1");
}

// Guards against an evacuation that takes effect after it has ended, and one
// that is lost because it replaces an ended one.
TEST_CASE("an evacuation that is set and removed at once changes nothing") {
  Fleet fleet;
  fleet.evacuate("z1");
  fleet.endEvacuation("z1");
  fleet.run(3s);
  fleet.checkReturn("z1");
  for (std::size_t i = 0; i != fleet.Daemons.size(); ++i)
    CHECK_FALSE(fleet.hasLogged(i, "data_centre_evacuated"));
  fleet.evacuate("z2");
  fleet.endEvacuation("z2");
  fleet.evacuate("z2");
  fleet.evacuate("nowhere");
  fleet.checkQuiet("z2", EvacuationLimit);
  CHECK(fleet.hasLogged(0, "event=data_centre_evacuated data_centre=nowhere "
                           "replicas=0"));
}
