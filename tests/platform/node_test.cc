#include "platform/metadata_store.h"
#include "platform/node.h"
#include "platform/replica_standin.h"
#include "support/process.h"

#include <catch2/catch.hpp>

using namespace galenaflow;
using namespace std::chrono_literals;

// The whole path in one process: callers, a node, the store's and the replicas'
// stand-ins on one event loop.

namespace {

constexpr auto TestLimit = 10s;

struct Site {
  transport::EventLoop Loop;
  standin::MetadataStore Store{Loop};
  std::vector<std::unique_ptr<standin::ReplicaStandin>> Replicas;
  platform::Settings Settings;
  std::unique_ptr<platform::Node> Node;
  std::uint64_t LastId = 0;

  Site() {
    Settings.NodeName = "front-1";
    Settings.DataCentre = "z1";
    Settings.CallerListener =
        *transport::parseSocketAddress(support::reserveAddress());
    Settings.ReadinessListener =
        *transport::parseSocketAddress(support::reserveAddress());
    Settings.Store = Store.listen();
    Settings.StopGrace = 6s;
    Settings.ExtraArrivalRatio = 0.2;
    Settings.ExtraArrivalWindow = 10s;
    for (const char *service : {"s0", "s1", "s2", "s3"})
      for (const char *copy : {"a", "b"})
        add(std::string(service) + copy, service);
    add("p0", "pool");
    add("p1", "pool");
    publishRoutes(5, "pool");
  }

  standin::ReplicaStandin &add(const std::string &id,
                               const std::string &service) {
    Replicas.push_back(
        std::make_unique<standin::ReplicaStandin>(Loop, id, service));
    Store.put(Replicas.back()->key(), Replicas.back()->entry());
    return *Replicas.back();
  }

  standin::ReplicaStandin &replica(const std::string &id) {
    for (const auto &it : Replicas)
      if (it->id() == id)
        return *it;
    FAIL("no replica " << id);
    return *Replicas.front();
  }

  void publishRoutes(int version, const std::string &pool) {
    std::string services;
    for (const char *name : {"s0", "s1", "s2", "s3", "pool", "other"})
      services += std::string(services.empty() ? "" : ",") + R"({"name":")" +
                  name + R"(","max_conns":26})";
    Store.put("op/config", R"({"version":)" + std::to_string(version) +
                               R"(,"routes":[
 {"name":"all","host":"h","prefix":"/all/","route_type":"safe",
  "timeout_ms":400,"target_latency_ms":80,"fanout":["s0","s1","s2","s3"],
  "max_attempts":2,"top_k":3,"min_shard_ratio":0.7},
 {"name":"one","host":"h","prefix":"/one/","route_type":"safe",
  "timeout_ms":800,"target_latency_ms":250,"service":")" +
                               pool + R"(","max_attempts":2},
 {"name":"once","host":"h","prefix":"/once/","route_type":"unsafe",
  "timeout_ms":800,"target_latency_ms":250,"service":"pool",
  "max_attempts":2}],"services":[)" +
                               services + "]}");
  }

  void startNode() {
    Node = std::make_unique<platform::Node>(Loop, Settings);
    REQUIRE(Node->start());
  }
  void start() {
    startNode();
    REQUIRE(Loop.runUntil([this] { return isReady(); }, TestLimit));
    settle();
  }
  void settle(state::Duration d = 30ms) {
    Loop.runUntil([] { return false; }, d);
  }

  bool isReady() {
    return get(Settings.ReadinessListener, "/galenaflow/ready")->Status == 200;
  }

  transport::HttpResult get(const transport::SocketAddress &address,
                            const std::string &path,
                            const std::string &method = "GET") {
    transport::HttpConnection connection(Loop, address);
    std::optional<transport::HttpResult> result;
    transport::HttpRequest request{method, path, {}, ""};
    request.Host = "h";
    request.Headers.add("X-Request-Id", "id" + std::to_string(++LastId));
    request.Headers.add("X-Deadline-Ms", "400");
    connection.send(request, TestLimit,
                    [&](transport::HttpResult r) { result = std::move(r); });
    REQUIRE(Loop.runUntil([&] { return result.has_value(); }, TestLimit));
    return *result;
  }
  transport::HttpResponse call(const std::string &path,
                               const std::string &method = "GET") {
    const auto result = get(Settings.CallerListener, path, method);
    REQUIRE(result.has_value());
    return *result;
  }
  std::size_t runsOf(std::uint64_t id) {
    std::size_t n = 0;
    for (const auto &it : Replicas)
      for (const auto &run : it->runs())
        n += run.Id == "id" + std::to_string(id) ? 1U : 0U;
    return n;
  }
};

} // namespace

TEST_CASE("a query over all shards is merged and names its parts") {
  Site site;
  site.start();
  const auto answer = site.call("/all/x?q=1");
  CHECK(answer.Status == 200);
  CHECK(answer.Headers.find("X-Missing-Parts") == "0");
  CHECK(answer.Body.size() == 48);
  CHECK(answer.Body.substr(0, 3) == "2s3");
  CHECK(site.runsOf(site.LastId) == 4);
}

TEST_CASE("a single request reaches one replica with a shorter deadline") {
  Site site;
  site.start();
  const auto answer = site.call("/one/x");
  CHECK(answer.Status == 200);
  CHECK(answer.Headers.find("X-Response-Seal").has_value());
  REQUIRE(site.runsOf(site.LastId) == 1);
  for (const auto &it : site.Replicas)
    for (const auto &run : it->runs()) {
      CHECK(run.Path == "/one/x");
      CHECK(run.Host == "h");
      CHECK(run.DeadlineMs <= 400);
      CHECK(run.DeadlineMs >= 300);
    }
}

TEST_CASE("without routes callers are asked to come back, and afterwards an "
          "unknown route is not found") {
  Site site;
  site.Store.faults().Refuse = true;
  site.startNode();
  site.settle();
  CHECK_FALSE(site.isReady());
  const auto early = site.call("/one/x");
  CHECK(early.Status == 503);
  CHECK(early.Headers.find("Retry-After").has_value());
  site.Store.faults().Refuse = false;
  REQUIRE(site.Loop.runUntil([&] { return site.isReady(); }, TestLimit));
  CHECK(site.call("/nowhere/x").Status == 404);
  CHECK(site.call("/one/x").Status == 200);
}

TEST_CASE("a change of the routes and a draining replica are followed within "
          "the bound") {
  Site site;
  site.start();
  site.add("o0", "other");
  site.publishRoutes(9, "other");
  site.Store.put(site.replica("s0a").key(),
                 site.replica("s0a").entry("draining"));
  site.settle(1300ms);
  const std::size_t before = site.replica("s0a").runs().size();
  for (int i = 0; i != 10; ++i) {
    CHECK(site.call("/one/x").Status == 200);
    CHECK(site.call("/all/x").Headers.find("X-Missing-Parts") == "0");
  }
  CHECK(site.replica("o0").runs().size() == 10);
  CHECK(site.replica("s0a").runs().size() == before);
}

TEST_CASE("an older version of the routes is not taken") {
  Site site;
  site.start();
  site.add("o0", "other");
  site.publishRoutes(3, "other");
  site.settle(1300ms);
  CHECK(site.call("/one/x").Status == 200);
  CHECK(site.replica("o0").runs().empty());
}

TEST_CASE("the view survives every fault of the store") {
  Site site;
  site.start();
  auto &faults = site.Store.faults();
  SECTION("refusing") { faults.Refuse = true; }
  SECTION("throttling") { faults.Throttle = true; }
  SECTION("silent") { faults.Silent = true; }
  SECTION("resetting") { faults.Reset = true; }
  SECTION("losing answers") { faults.LoseNext = 3; }
  site.settle(1500ms);
  CHECK(site.call("/one/x").Status == 200);
  site.add("o0", "other");
  site.publishRoutes(9, "other");
  faults = {};
  site.settle(2300ms);
  CHECK(site.call("/one/x").Status == 200);
  CHECK(site.replica("o0").runs().size() == 1);
}

// Guards against changes that are skipped because a watch hid them before the
// history was dropped.
TEST_CASE("a replica that leaves while changes are hidden is noticed after the "
          "history was dropped") {
  Site site;
  site.start();
  site.Store.faults().HideChanges = true;
  site.Store.remove(site.replica("s0a").key());
  site.settle(1300ms);
  site.Store.dropHistory();
  site.Store.faults().HideChanges = false;
  site.settle(1300ms);
  const std::size_t before = site.replica("s0a").runs().size();
  for (int i = 0; i != 10; ++i)
    site.call("/all/x");
  CHECK(site.replica("s0a").runs().size() == before);
}

TEST_CASE("a store of several pages is read whole") {
  Site site;
  site.Store.PageSize = 3;
  site.start();
  CHECK(site.call("/all/x").Headers.find("X-Missing-Parts") == "0");
}

// Without a hedge, the requests that reach a silent replica of two shards have
// too few parts at their deadline.
TEST_CASE("a paused shard replica is hedged") {
  Site site;
  site.start();
  for (int i = 0; i != 40; ++i)
    site.call("/all/x");
  std::size_t silentRuns = 0;
  // One of the replicas may be out of favour; the other one is asked then.
  for (const std::string copy : {"a", "b"}) {
    auto &first = site.replica("s0" + copy);
    auto &second = site.replica("s1" + copy);
    const std::size_t before = first.runs().size() + second.runs().size();
    first.behaviour().Silent = second.behaviour().Silent = true;
    for (int i = 0; i != 20; ++i)
      CHECK(site.call("/all/x").Status == 200);
    first.behaviour().Silent = second.behaviour().Silent = false;
    silentRuns += first.runs().size() + second.runs().size() - before;
  }
  CHECK(silentRuns > 0);
}

TEST_CASE("a shard without replicas is left out while the minimum is in") {
  Site site;
  site.start();
  site.replica("s0a").behaviour().LoseAnswer = true;
  site.replica("s0b").behaviour().LoseAnswer = true;
  const auto answer = site.call("/all/x");
  CHECK(answer.Status == 200);
  CHECK(answer.Headers.find("X-Missing-Parts") == "1");
  site.replica("s1a").behaviour().LoseAnswer = true;
  site.replica("s1b").behaviour().LoseAnswer = true;
  const auto failed = site.call("/all/x");
  CHECK(failed.Status == 502);
}

// Guards against a request that runs twice and against a false promise.
TEST_CASE("a request that is not idempotent runs at most once, whatever the "
          "replicas do") {
  Site site;
  site.start();
  auto &first = site.replica("p0").behaviour();
  auto &second = site.replica("p1").behaviour();
  int expected = 200;
  std::size_t runs = 1;
  SECTION("healthy") {}
  SECTION("lost answer") {
    first.LoseAnswer = second.LoseAnswer = true;
    expected = 502;
  }
  SECTION("broken off") {
    first.Truncate = second.Truncate = true;
    expected = 502;
  }
  SECTION("failed") {
    first.FailStatus = second.FailStatus = 500;
    expected = 500;
  }
  SECTION("a false promise of the replica") {
    first.FailStatus = second.FailStatus = 503;
    expected = 502;
  }
  SECTION("silent") {
    first.Silent = second.Silent = true;
    expected = 504;
  }
  SECTION("rejected by both") {
    first.Shed = second.Shed = true;
    expected = 503;
    runs = 0;
  }
  for (int i = 0; i != 3; ++i) {
    CHECK(site.call("/once/x", "POST").Status == expected);
    CHECK(site.runsOf(site.LastId) == runs);
  }
}

TEST_CASE("an address that another replica has taken runs nothing") {
  Site site;
  site.start();
  auto &reused = site.add("o0", "other");
  // The store still names the former owner of the address.
  site.Store.put("servers/p9", [&] {
    std::string entry = reused.entry();
    entry.replace(entry.find("\"other\""), 7, "\"pool\"");
    return entry;
  }());
  site.settle(1300ms);
  for (int i = 0; i != 10; ++i)
    CHECK(site.call("/one/x").Status == 200);
  CHECK(reused.runs().empty());
  CHECK(reused.arrivals() <= 1);
}

TEST_CASE("a caller that leaves ends its work at the replica") {
  Site site;
  site.start();
  site.replica("p0").behaviour().Work = 5s;
  site.replica("p1").behaviour().Work = 5s;
  const auto open = [&] {
    return site.replica("p0").server().openConnections() +
           site.replica("p1").server().openConnections();
  };
  const auto runs = [&] {
    return site.replica("p0").runs().size() + site.replica("p1").runs().size();
  };
  transport::HttpConnection connection(site.Loop, site.Settings.CallerListener);
  transport::HttpRequest request{"GET", "/one/x", {}, ""};
  request.Host = "h";
  request.Headers.add("X-Request-Id", "leaving");
  request.Headers.add("X-Deadline-Ms", "700");
  connection.send(request, TestLimit, [](const transport::HttpResult &) {});
  REQUIRE(site.Loop.runUntil([&] { return runs() == 1; }, TestLimit));
  const std::size_t before = open();
  connection.cancel();
  CHECK(site.Loop.runUntil([&] { return open() < before; }, 400ms));
}

TEST_CASE("a stop answers everything and is done within the grace") {
  Site site;
  site.start();
  transport::HttpConnection kept(site.Loop, site.Settings.CallerListener);
  const auto callKept = [&] {
    std::optional<transport::HttpResult> result;
    transport::HttpRequest request{"GET", "/one/x", {}, ""};
    request.Host = "h";
    request.Headers.add("X-Request-Id", "kept");
    request.Headers.add("X-Deadline-Ms", "400");
    kept.send(request, TestLimit,
              [&](transport::HttpResult r) { result = std::move(r); });
    REQUIRE(site.Loop.runUntil([&] { return result.has_value(); }, TestLimit));
    REQUIRE(result->has_value());
    return **result;
  };
  CHECK(callKept().Headers.find("connection") == "keep-alive");
  bool stopped = false;
  const state::TimePoint start = site.Loop.now();
  site.Node->stop([&] { stopped = true; });
  CHECK_FALSE(site.isReady());
  // The balancer still sends new connections until it has missed twice.
  CHECK(callKept().Headers.find("connection") == "close");
  CHECK(site.call("/one/x").Status == 200);
  REQUIRE(site.Loop.runUntil([&] { return stopped; }, TestLimit));
  CHECK(site.Loop.now() - start > 2s);
  CHECK(site.Loop.now() - start < 5500ms);
}

// The store's reads are priced, and each daemon's add up.
TEST_CASE("the store is read about once a second") {
  Site site;
  site.start();
  const std::uint64_t before = site.Store.calls();
  site.settle(3s);
  CHECK(site.Store.calls() - before <= 4);
  CHECK(site.Store.calls() - before >= 2);
}
