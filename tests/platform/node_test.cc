#include "platform/metadata_store.h"
#include "platform/node.h"
#include "platform/replica_standin.h"
#include "platform/store_client.h"
#include "support/process.h"

#include <array>
#include <catch2/catch.hpp>
#include <sys/socket.h>
#include <unistd.h>

using namespace galenaflow;
using namespace std::chrono_literals;

// Runs a whole request path in one process: callers, a node, and the stand-ins
// of the store and of the replicas share one event loop.

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
    Settings.ExtraAttemptRatio = 0.2;
    Settings.ExtraAttemptWindow = 10s;
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

  void publishRoutes(int version, const std::string &pool,
                     const std::string &padding = "") {
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
                               services + "]" + padding + "}");
  }

  /// Publishes a route over one service and one over shards, with this list of
  /// regions.
  void publishRegions(int version, const std::string &regions) {
    const std::string list = R"("allowed_regions":)" + regions + "}";
    Store.put("op/config", R"({"version":)" + std::to_string(version) +
                               R"(,"routes":[
 {"name":"all","host":"h","prefix":"/all/","route_type":"safe",
  "timeout_ms":400,"target_latency_ms":80,"fanout":["s0","s1","s2","s3"],
  "max_attempts":2,"top_k":3,"min_shard_ratio":0.7,)" +
                               list + R"(,{"name":"one","host":"h",
  "prefix":"/one/","route_type":"safe","timeout_ms":800,"service":"pool",)" +
                               list + R"(],"services":[]})");
  }

  /// Adds a route whose requests may take longer than a stop.
  void publishLongRoute() {
    Store.put("op/config", R"({"version":9,"routes":[
 {"name":"long","host":"h","prefix":"/long/","route_type":"unsafe",
  "timeout_ms":12000,"target_latency_ms":8000,"service":"pool",
  "max_attempts":1}],"services":[{"name":"pool","max_conns":26}]})");
  }

  void startNode() {
    Node = std::make_unique<platform::Node>(Loop, Settings);
    REQUIRE(Node->start());
  }
  void start() {
    startNode();
    REQUIRE(Loop.runUntil([this] { return isReady(); }, TestLimit));
    runFor();
  }
  void runFor(state::Duration d = 30ms) {
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
  /// Publishes routes to another service and returns whether a request gets
  /// there within `limit`. Requests must succeed meanwhile.
  bool takesEffect(state::Duration limit) {
    const standin::ReplicaStandin &replica = add("o0", "other");
    publishRoutes(9, "other");
    const state::TimePoint end = Loop.now() + limit;
    while (replica.runs().empty() && Loop.now() < end) {
      runFor(50ms);
      CHECK(call("/one/x").Status == 200);
    }
    return !replica.runs().empty();
  }
  std::size_t executionCount(std::uint64_t id) {
    std::size_t n = 0;
    for (const auto &it : Replicas)
      for (const auto &run : it->runs())
        n += run.Id == "id" + std::to_string(id) ? 1U : 0U;
    return n;
  }
};

/// A request of a caller on a connection of its own.
struct OpenCall {
  OpenCall(Site &site, const std::string &method, const std::string &path,
           state::Duration limit)
      : Connection(site.Loop, site.Settings.CallerListener), Id(++site.LastId) {
    transport::HttpRequest request{method, path, {}, ""};
    request.Host = "h";
    request.Headers.add("X-Request-Id", "id" + std::to_string(Id));
    request.Headers.add("X-Deadline-Ms", std::to_string(limit.count() / 1000));
    Connection.send(request, limit + 1s,
                    [this](transport::HttpResult r) { Result = std::move(r); });
  }
  /// Zero without an answer.
  int status() const {
    return Result && Result->has_value() ? (*Result)->Status : 0;
  }
  transport::HttpConnection Connection;
  std::uint64_t Id;
  std::optional<transport::HttpResult> Result;
};

/// A caller that sends a request and reads nothing until it disconnects.
class UnreadCall {
public:
  UnreadCall(Site &site, const std::string &path)
      : Socket(socket(AF_INET, SOCK_STREAM, 0)) {
    const int size = 4096;
    setsockopt(Socket, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
    const auto &address = site.Settings.CallerListener;
    REQUIRE(connect(Socket, address.data(), address.Length) == 0);
    const std::string request = "GET " + path +
                                " HTTP/1.1\r\nHost: h\r\nX-Request-Id: id" +
                                std::to_string(++site.LastId) + "\r\n\r\n";
    REQUIRE(write(Socket, request.data(), request.size()) ==
            static_cast<ssize_t>(request.size()));
  }
  UnreadCall(UnreadCall &&other) noexcept
      : Socket(std::exchange(other.Socket, -1)) {}
  UnreadCall &operator=(UnreadCall &&) = delete;
  ~UnreadCall() {
    if (Socket != -1)
      close(Socket);
  }

private:
  int Socket;
};

} // namespace

TEST_CASE(
    "a query over all shards gets a merged answer that states its parts") {
  Site site;
  site.start();
  const auto answer = site.call("/all/x?q=1");
  CHECK(answer.Status == 200);
  CHECK(answer.Headers.find("X-Missing-Parts") == "0");
  CHECK(answer.Body.size() == 48);
  CHECK(answer.Body.substr(0, 3) == "2s3");
  CHECK(site.executionCount(site.LastId) == 4);
}

TEST_CASE(
    "a request to one service reaches one replica with a shorter deadline") {
  Site site;
  site.start();
  const auto answer = site.call("/one/x");
  CHECK(answer.Status == 200);
  CHECK(answer.Headers.find("X-Response-Seal").has_value());
  REQUIRE(site.executionCount(site.LastId) == 1);
  for (const auto &it : site.Replicas)
    for (const auto &run : it->runs()) {
      CHECK(run.Path == "/one/x");
      CHECK(run.Host == "h");
      CHECK(run.DeadlineMs <= 400);
      CHECK(run.DeadlineMs >= 300);
    }
}

TEST_CASE("without routes a request gets 503 with Retry-After, and with routes "
          "an unknown path gets 404") {
  Site site;
  site.Store.faults().Refuse = true;
  site.startNode();
  site.runFor();
  CHECK_FALSE(site.isReady());
  const auto early = site.call("/one/x");
  CHECK(early.Status == 503);
  CHECK(early.Headers.find("Retry-After").has_value());
  site.Store.faults().Refuse = false;
  REQUIRE(site.Loop.runUntil([&] { return site.isReady(); }, TestLimit));
  CHECK(site.call("/nowhere/x").Status == 404);
  CHECK(site.call("/one/x").Status == 200);
}

TEST_CASE("changed routes and a draining replica take effect within the time "
          "limit") {
  Site site;
  site.start();
  site.add("o0", "other");
  site.publishRoutes(9, "other");
  site.Store.put(site.replica("s0a").key(),
                 site.replica("s0a").entry("draining"));
  site.runFor(1300ms);
  const std::size_t before = site.replica("s0a").runs().size();
  for (int i = 0; i != 10; ++i) {
    CHECK(site.call("/one/x").Status == 200);
    CHECK(site.call("/all/x").Headers.find("X-Missing-Parts") == "0");
  }
  CHECK(site.replica("o0").runs().size() == 10);
  CHECK(site.replica("s0a").runs().size() == before);
}

// Guards against requests to a replica that leaves and whose registration says
// nothing of it, or returns after it had expired.
TEST_CASE("a replica that says that it leaves gets no further request") {
  Site site;
  site.start();
  auto &one = site.replica("p0");
  auto &shard = site.replica("s0a");
  const bool rejects = GENERATE(false, true);
  const auto callAll = [&site] {
    for (int i = 0; i != 10; ++i) {
      const auto answer = site.call("/one/x");
      CHECK(answer.Status == 200);
      CHECK_FALSE(answer.Headers.find("Server-Leaving"));
      CHECK(site.call("/all/x").Headers.find("X-Missing-Parts") == "0");
    }
  };
  const auto received = [&] {
    return one.received().size() + shard.received().size();
  };
  // These also add to the budget of extra attempts.
  callAll();
  std::size_t before = received();
  for (auto *it : {&one, &shard}) {
    it->behaviour().SaysLeaving = true;
    it->behaviour().Reject = rejects;
  }
  callAll();
  CHECK(received() - before <= 4);
  before = received();
  site.Store.put(one.key(), one.entry());
  site.Store.remove(shard.key());
  site.runFor(1300ms);
  site.Store.put(shard.key(), shard.entry());
  site.runFor(1300ms);
  callAll();
  CHECK(received() == before);
}

// Guards against requests to a replica that has asked for a pause, also when
// its registration has expired and returned meanwhile.
TEST_CASE("a replica that rejects with Retry-After gets no request for so "
          "long") {
  Site site;
  site.start();
  for (int i = 0; i != 20; ++i)
    CHECK(site.call("/one/x").Status == 200);
  auto &paused = site.replica("p0");
  paused.behaviour().Reject = true;
  paused.behaviour().RejectRetryAfter = "3.5";
  for (int i = 0; i != 10; ++i)
    CHECK(site.call("/one/x").Status == 200);
  const std::size_t before = paused.received().size();
  REQUIRE_FALSE(paused.received().empty());
  const state::TimePoint last = paused.received().back().At;
  paused.behaviour().Reject = false;
  site.Store.remove(paused.key());
  site.runFor(1200ms);
  site.Store.put(paused.key(), paused.entry());
  while (site.Loop.now() < last + 3400ms)
    CHECK(site.call("/one/x").Status == 200);
  CHECK(paused.received().size() == before);
  site.runFor(200ms);
  for (int i = 0; i != 10; ++i)
    CHECK(site.call("/one/x").Status == 200);
  CHECK(paused.received().size() > before);
}

// Guards against callers that wait for replicas which accept nothing, or that
// return before they do.
TEST_CASE(
    "a request whose replicas have all asked for a pause is rejected with "
    "its rest") {
  Site site;
  site.start();
  for (const char *id : {"p0", "p1"}) {
    site.replica(id).behaviour().Reject = true;
    site.replica(id).behaviour().RejectRetryAfter = "30";
  }
  for (int i = 0; i != 10; ++i)
    site.call("/one/x");
  const std::uint64_t before = site.replica("p0").receivedRequests() +
                               site.replica("p1").receivedRequests();
  const state::TimePoint start = site.Loop.now();
  const auto answer = site.call("/one/x");
  CHECK(site.Loop.now() - start < 50ms);
  CHECK(answer.Status == 503);
  const double seconds =
      std::atof(std::string(*answer.Headers.find("Retry-After")).c_str());
  CHECK(seconds > 25);
  CHECK(seconds < 31);
  CHECK(site.replica("p0").receivedRequests() +
            site.replica("p1").receivedRequests() ==
        before);
}

// Guards against callers that are told to stay away for as long as the clock
// counts, because a time was subtracted from that of a pause which never was.
TEST_CASE("a request whose replicas are at their limits without a pause is "
          "rejected for a moment") {
  Site site;
  site.start();
  const bool isOnePaused = GENERATE(false, true);
  if (isOnePaused) {
    site.replica("p1").behaviour().Reject = true;
    site.replica("p1").behaviour().RejectRetryAfter = "30";
    for (int i = 0; i != 10; ++i)
      site.call("/one/x");
  }
  for (const char *id : {"p0", "p1"})
    site.replica(id).startLimit(0.01);
  for (int i = 0; i != 10; ++i)
    site.call("/one/x");
  const std::size_t before = site.replica("p0").runs().size();
  const auto answer = site.call("/one/x");
  CHECK(answer.Status == 503);
  const auto retryAfter = answer.Headers.find("Retry-After");
  REQUIRE(retryAfter);
  INFO(*retryAfter);
  CHECK(std::atof(std::string(*retryAfter).c_str()) < 0.2);
  CHECK(site.replica("p0").runs().size() == before);
}

TEST_CASE("an older version of the routes is not applied") {
  Site site;
  site.start();
  site.add("o0", "other");
  site.publishRoutes(3, "other");
  site.runFor(1300ms);
  CHECK(site.call("/one/x").Status == 200);
  CHECK(site.replica("o0").runs().empty());
}

TEST_CASE("routes and replicas stay known during every fault of the store, and "
          "later changes take effect") {
  Site site;
  site.start();
  auto &faults = site.Store.faults();
  SECTION("the store responds with 503") { faults.Refuse = true; }
  SECTION("the store responds with 429") { faults.Throttle = true; }
  SECTION("the store does not respond") { faults.Silent = true; }
  SECTION("the store resets connections") { faults.Reset = true; }
  SECTION("three responses are lost") { faults.DropNextResponses = 3; }
  site.runFor(1500ms);
  CHECK(site.call("/one/x").Status == 200);
  site.add("o0", "other");
  site.publishRoutes(9, "other");
  faults = {};
  site.runFor(2300ms);
  CHECK(site.call("/one/x").Status == 200);
  CHECK(site.replica("o0").runs().size() == 1);
}

// Guards against a missed change: a watch that reports no changes must not
// advance the revision from which the directory is read again after the store
// has discarded its history.
TEST_CASE("the removal of a replica that a watch did not report is detected "
          "after the history was discarded") {
  Site site;
  site.start();
  site.Store.faults().HideWatchEvents = true;
  site.Store.remove(site.replica("s0a").key());
  site.runFor(1300ms);
  site.Store.discardHistory();
  site.Store.faults().HideWatchEvents = false;
  site.runFor(1300ms);
  const std::size_t before = site.replica("s0a").runs().size();
  for (int i = 0; i != 10; ++i)
    site.call("/all/x");
  CHECK(site.replica("s0a").runs().size() == before);
}

// Guards against an older version of the routes that stays in force: revisions
// that the store has given out again hide changes that were made before.
TEST_CASE("changes that a restored store wrote under reused revisions are "
          "read") {
  Site site;
  site.add("o0", "other");
  site.start();
  const auto copy = site.Store.copy();
  // The node reads these revisions, which are lost.
  for (int i = 0; i != 20; ++i)
    site.Store.put("servers/elsewhere", std::to_string(i));
  site.runFor(1300ms);
  site.Store.faults().Silent = true;
  site.Store.restore(*copy);
  site.publishRoutes(9, "other");
  site.add("p2", "pool");
  for (int i = 0; i != 30; ++i)
    site.Store.put("servers/elsewhere", std::to_string(i));
  site.Store.faults().Silent = false;
  site.runFor(3300ms);
  CHECK(site.call("/one/x").Status == 200);
  CHECK(site.replica("o0").runs().size() == 1);
  // Requests that are not idempotent still go to the pool.
  for (int i = 0; i != 30; ++i)
    site.call("/once/x", "POST");
  CHECK_FALSE(site.replica("p2").runs().empty());
}

// Guards against routes that stay old until the store forgets its history,
// because the changes since the last read are too large for one response.
TEST_CASE("large routes that changed many times in an outage are in force "
          "after it") {
  Site site;
  site.start();
  site.add("o0", "other");
  site.Store.faults().Refuse = true;
  site.runFor(1200ms);
  const std::string padding(std::size_t{1} << 20, ' ');
  for (int version = 6; version != 11; ++version)
    site.publishRoutes(version, "pool", padding);
  site.publishRoutes(11, "other");
  site.Store.faults().Refuse = false;
  site.runFor(3s);
  CHECK(site.call("/one/x").Status == 200);
  CHECK(site.replica("o0").runs().size() == 1);
}

// Guards against a version that no daemon uses, nor any later one, because one
// route has fields in another form; and against requests that a shorter prefix
// sends to its own service.
TEST_CASE("a configuration with parts in an unknown form is in force") {
  Site site;
  site.add("o0", "other");
  site.start();
  site.Store.put("op/config", R"({"version":9.0,"routes":[
 {"name":"one","host":"h","prefix":"/one/","route_type":"safe",
  "timeout_ms":8e2,"service":"other","max_attempts":2.0,"priority":-1},
 {"name":"odd","host":"h","prefix":"/one/odd/","route_type":"new",
  "timeout_ms":null,"service":["other"]}],
 "services":[{"name":"other","max_conns":26.0},7],"limits":[]})");
  site.runFor(1300ms);
  CHECK(site.call("/one/x").Status == 200);
  CHECK(site.replica("o0").runs().size() == 1);
  CHECK(site.call("/one/odd/x").Status == 503);
  CHECK(site.replica("o0").runs().size() == 1);
  CHECK(site.call("/all/x").Status == 404);
}

// Guards against a version that no daemon ever uses, because the one answer
// that contained it was damaged.
TEST_CASE("a configuration that was damaged on its way is in force in time") {
  Site site;
  site.add("o0", "other");
  site.start();
  auto &faults = site.Store.faults();
  faults.DamagedKey = "op/config";
  faults.DamagedValue =
      GENERATE(as<std::string>(), "", "!!!!", "YQ", "e30=", "ew==");
  faults.DamagedAnswers = 1;
  site.publishRoutes(9, "other");
  site.runFor(2300ms);
  CHECK(faults.DamagedAnswers == 0);
  CHECK(site.call("/one/x").Status == 200);
  CHECK(site.replica("o0").runs().size() == 1);
}

// Guards against a daemon that reads the store without a pause, or reads
// nothing else, while the configuration cannot be read.
TEST_CASE("a configuration that stays unreadable holds nothing up") {
  constexpr int manyAnswers = 1000;
  Site site;
  site.add("o0", "other");
  site.start();
  auto &faults = site.Store.faults();
  faults.DamagedKey = "op/config";
  faults.DamagedAnswers = manyAnswers;
  const std::uint64_t pages = site.Store.pageCalls();
  const std::uint64_t calls = site.Store.calls();
  site.publishRoutes(9, "other");
  site.runFor(1300ms);
  site.Store.remove(site.replica("p0").key());
  site.runFor(1300ms);
  const std::size_t before = site.replica("p0").runs().size();
  for (int i = 0; i != 10; ++i)
    CHECK(site.call("/one/x").Status == 200);
  CHECK(site.replica("p0").runs().size() == before);
  site.runFor(900ms);
  // One read after half a second, the next one at least four seconds later.
  CHECK(site.Store.pageCalls() - pages == 1);
  CHECK(site.Store.calls() - calls <= 6);
  SECTION("the next version can be read") {
    faults = {};
    site.publishRoutes(10, "other");
    site.runFor(1300ms);
  }
  SECTION("the same version can be read later") {
    faults = {};
    REQUIRE(site.Loop.runUntil(
        [&] { return site.Store.pageCalls() - pages == 2; }, TestLimit));
    site.runFor();
  }
  CHECK(site.call("/one/x").Status == 200);
  CHECK(site.replica("o0").runs().size() == 1);
  const std::uint64_t last = site.Store.pageCalls();
  site.Store.remove("op/config");
  site.runFor(2300ms);
  CHECK(site.call("/one/x").Status == 200);
  CHECK(site.Store.pageCalls() == last);
}

TEST_CASE("a directory of several pages is read completely") {
  Site site;
  site.Store.PageSize = 3;
  site.start();
  CHECK(site.call("/all/x").Headers.find("X-Missing-Parts") == "0");
}

// Guards against a full read that never ends and fills the memory, because the
// store announces further pages without end.
TEST_CASE("pages of a directory that do not advance end the read") {
  Site site;
  site.Store.faults().RepeatPages = true;
  site.startNode();
  site.runFor(1s);
  CHECK(site.Store.calls() < 20);
  CHECK_FALSE(site.isReady());
  site.Store.faults() = {};
  CHECK(site.Loop.runUntil([&] { return site.isReady(); }, TestLimit));
}

// Without a hedge, a query that reaches the paused replicas of two shards has
// too few parts at its deadline.
TEST_CASE("a paused shard replica is hedged") {
  Site site;
  site.start();
  for (int i = 0; i != 40; ++i)
    site.call("/all/x");
  std::size_t silentRuns = 0;
  // The selection may avoid one replica of a shard and use only the other one,
  // so both are paused in turn.
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

TEST_CASE("a partial answer requires the minimum ratio of shards") {
  Site site;
  site.start();
  site.replica("s0a").behaviour().ResetConnection = true;
  site.replica("s0b").behaviour().ResetConnection = true;
  const auto answer = site.call("/all/x");
  CHECK(answer.Status == 200);
  CHECK(answer.Headers.find("X-Missing-Parts") == "1");
  site.replica("s1a").behaviour().ResetConnection = true;
  site.replica("s1b").behaviour().ResetConnection = true;
  const auto failed = site.call("/all/x");
  CHECK(failed.Status == 502);
}

// Guards against replicas that get more requests than the limit which they
// named.
TEST_CASE("replicas get no more requests than their limits allow") {
  Site site;
  site.start();
  constexpr double limit = 3;
  for (const char *id : {"p0", "p1", "s0a", "s0b"})
    site.replica(id).startLimit(limit);
  site.call("/one/x");
  site.call("/all/x");
  int rejected = 0;
  int partial = 0;
  const state::TimePoint end = site.Loop.now() + 4s;
  while (site.Loop.now() < end) {
    const state::TimePoint sentAt = site.Loop.now();
    const auto one = site.call("/one/x");
    if (one.Status != 200) {
      ++rejected;
      CHECK(one.Status == 503);
      CHECK(one.Headers.find("Retry-After").has_value());
      CHECK(site.executionCount(site.LastId) == 0);
      CHECK(site.Loop.now() - sentAt < 60ms);
    }
    const auto all = site.call("/all/x");
    CHECK(all.Status == 200);
    partial += all.Headers.find("X-Missing-Parts") == "1" ? 1 : 0;
    site.runFor(20ms);
  }
  CHECK(rejected > 20);
  CHECK(partial > 20);
  for (const char *id : {"p0", "p1", "s0a", "s0b"}) {
    INFO(id);
    CHECK(site.replica(id).runs().size() <= 1.5 * 4 * limit + 5);
  }
}

// Guards against a limit of zero that counts as none.
TEST_CASE("a replica that accepts no requests gets none") {
  Site site;
  site.start();
  for (const char *id : {"p0", "p1"})
    site.replica(id).startLimit(0);
  for (int i = 0; i != 20; ++i)
    site.call("/one/x");
  CHECK(site.replica("p0").runs().size() <= 1);
  CHECK(site.replica("p1").runs().size() <= 1);
}

// Guards against a request from each daemon to a replica whose registration had
// expired and that still limits its requests.
TEST_CASE("a replica that returns to the directory keeps its limit") {
  Site site;
  site.start();
  for (const char *id : {"p0", "p1"})
    site.replica(id).startLimit(0.01);
  const auto countRuns = [&site] {
    return site.replica("p0").runs().size() + site.replica("p1").runs().size();
  };
  for (int i = 0; i != 10; ++i)
    site.call("/one/x");
  const std::size_t before = countRuns();
  CHECK(before <= 2);
  for (const char *id : {"p0", "p1"})
    site.Store.remove(site.replica(id).key());
  site.runFor(1300ms);
  for (const char *id : {"p0", "p1"})
    site.Store.put(site.replica(id).key(), site.replica(id).entry());
  site.runFor(1300ms);
  for (int i = 0; i != 10; ++i)
    CHECK(site.call("/one/x").Status == 503);
  CHECK(countRuns() == before);
}

// Guards against requests that are turned away although the limit has ended.
TEST_CASE("the end of a limit is noticed with the next response") {
  Site site;
  site.start();
  for (const char *id : {"p0", "p1"})
    site.replica(id).startLimit(12);
  const auto countServed = [&site] {
    int served = 0;
    for (int i = 0; i != 20; ++i)
      served += site.call("/one/x").Status == 200 ? 1 : 0;
    return served;
  };
  countServed();
  CHECK(countServed() < 10);
  for (const char *id : {"p0", "p1"})
    site.replica(id).endLimit();
  site.runFor(2s);
  countServed();
  CHECK(countServed() == 20);
}

// Guards against a server that ends the process, or holds it up, by bytes that
// are no answer and never end.
TEST_CASE("replicas that send without end cost only their own parts") {
  Site site;
  site.Settings.MemoryBytes = std::uint64_t{160} << 20;
  site.start();
  const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
  std::string manyInterim;
  while (manyInterim.size() < 100'000)
    manyInterim += interim;
  const std::string kilobytes(std::size_t{64} << 10, 'a');
  struct Case {
    std::string Start;
    std::string Repeated;
  };
  const Case it = GENERATE_COPY(
      Case{manyInterim, manyInterim}, Case{"HTTP/1.1 200 OK\r\nX: ", kilobytes},
      Case{"HTTP/1.1 200 OK\r\n\r\n", kilobytes},
      Case{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;",
           kilobytes},
      Case{"no answer", kilobytes});
  INFO(it.Start.substr(0, 60));
  for (const char *id : {"s0a", "s0b"}) {
    site.replica(id).behaviour().EndlessStart = it.Start;
    site.replica(id).behaviour().EndlessRepeated = it.Repeated;
  }
  for (int i = 0; i != 5; ++i) {
    const auto answer = site.call("/all/x");
    CHECK(answer.Status == 200);
    CHECK(answer.Headers.find("X-Missing-Parts") == "1");
    CHECK(site.call("/one/x").Status == 200);
  }
  const transport::ReceiveLimits &limits = site.Loop.receiveLimits();
  CHECK(limits.heldBytes() <= limits.processBytes());
}

// Guards against a process that is killed for its memory because a replica
// sends as much as one response may have, and callers do not read their
// answers.
TEST_CASE("answers that callers do not read are limited together") {
  Site site;
  site.Settings.MemoryBytes = std::uint64_t{160} << 20;
  site.start();
  for (const char *id : {"p0", "p1"}) {
    site.replica(id).behaviour().EndlessStart =
        "HTTP/1.1 200 OK\r\nX-Response-Seal: s\r\n"
        "Content-Length: 4000000\r\n\r\n";
    site.replica(id).behaviour().EndlessRepeated =
        std::string(std::size_t{64} << 10, 'a');
  }
  const transport::ReceiveLimits &limits = site.Loop.receiveLimits();
  std::vector<UnreadCall> callers;
  for (int i = 0; i != 16; ++i) {
    callers.emplace_back(site, "/one/x");
    site.runFor(100ms);
    CHECK(limits.heldBytes() <= limits.processBytes());
  }
  CHECK(limits.exceeded(transport::ResponseLimit::ProcessBytes) != 0);
  CHECK(site.call("/all/x").Status == 200);
  callers.clear();
  CHECK(site.Loop.runUntil([&] { return limits.heldBytes() == 0; }, 2s));
}

// Guards against a popular request that is rejected for minutes because it was
// at work when all replicas of its service crashed.
TEST_CASE("a request that was at work when all replicas crashed is served "
          "again after their return") {
  Site site;
  site.add("p2", "pool");
  site.start();
  site.runFor(1300ms);
  const std::array<std::string, 3> pool{"p0", "p1", "p2"};
  for (const std::string &id : pool)
    site.replica(id).behaviour().ServiceTime = 100ms;
  std::vector<std::unique_ptr<OpenCall>> calls;
  for (int i = 0; i != 6; ++i)
    calls.push_back(std::make_unique<OpenCall>(site, "GET", "/one/x", 700ms));
  site.runFor(50ms);
  for (const std::string &id : pool) {
    REQUIRE(site.replica(id).runs().size() == 1);
    site.replica(id).crash();
  }
  site.runFor(3s + 2500ms);
  CHECK(site.call("/one/x").Status == 200);
}

// Guards against a request that crashes every replica that runs it, one after
// the other, each time it comes again.
TEST_CASE("a request that ends replicas is rejected after a few of them") {
  Site site;
  site.start();
  const auto crashes = [&site] {
    std::size_t n = 0;
    for (const auto &it : site.Replicas)
      n += it->crashes();
    return n;
  };
  const std::string path = GENERATE("/all/deadly", "/one/deadly");
  for (const auto &it : site.Replicas)
    it->behaviour().DeadlyPath = path;
  const std::size_t shards = path == "/all/deadly" ? 4 : 1;
  transport::HttpResponse last;
  for (int i = 0; i != 12; ++i) {
    last = site.call(path);
    site.runFor(100ms);
  }
  // One replica of each shard, the one retry, and a second arrival.
  CHECK(crashes() <= shards + 2);
  CHECK(last.Status == 503);
  CHECK(last.Headers.find("Retry-After").has_value());
  CHECK(site.executionCount(site.LastId) == 0);
  site.runFor(3s);
  const auto answer = site.call("/all/x");
  CHECK(answer.Status == 200);
  CHECK(answer.Headers.find("X-Missing-Parts") == "0");
  CHECK(site.call("/one/x").Status == 200);
}

// Guards against a request that runs twice, and against an answer that states
// that a request has not run although it has.
TEST_CASE("a request that is not idempotent runs at most once under every "
          "fault of the replicas") {
  Site site;
  site.start();
  auto &first = site.replica("p0").behaviour();
  auto &second = site.replica("p1").behaviour();
  int expected = 200;
  std::size_t runs = 1;
  SECTION("no fault") {}
  SECTION("connection reset before the response") {
    first.ResetConnection = second.ResetConnection = true;
    expected = 502;
  }
  SECTION("truncated response") {
    first.Truncate = second.Truncate = true;
    expected = 502;
  }
  SECTION("status 500") {
    first.FailStatus = second.FailStatus = 500;
    expected = 500;
  }
  SECTION("status 503 although the request ran") {
    first.FailStatus = second.FailStatus = 503;
    expected = 502;
  }
  SECTION("no response") {
    first.Silent = second.Silent = true;
    expected = 504;
  }
  SECTION("rejected by both replicas") {
    first.Reject = second.Reject = true;
    expected = 503;
    runs = 0;
  }
  for (int i = 0; i != 3; ++i) {
    CHECK(site.call("/once/x", "POST").Status == expected);
    CHECK(site.executionCount(site.LastId) == runs);
  }
}

// Guards against a complete answer that is made of a head which the replica did
// not finish.
TEST_CASE(
    "a replica that stops inside the head of its answer gives no success") {
  Site site;
  site.start();
  const std::string head = "HTTP/1.1 200 OK\r\nX-Response-Seal: seal\r\n"
                           "Content-Length: 32\r\n\r\n";
  const std::size_t step = 7;
  for (std::size_t n = 0; n < head.size(); n += step) {
    INFO("after " << n);
    for (const auto &it : site.Replicas) {
      it->behaviour().Answer = head.substr(0, n);
      it->behaviour().IsAnswerCut = true;
    }
    CHECK(site.call("/one/x").Status >= 500);
    CHECK(site.call("/once/x", "POST").Status >= 500);
    CHECK(site.call("/all/x").Status >= 500);
  }
}

namespace {

/// Status lines without a status from 200 to 599, and those of interim
/// responses without a final one.
const std::vector<std::string> InvalidStatusLines = {
    "HTTP/1.1 000 x", "HTTP/1.1 099 x",  "HTTP/1.1 600 x", "HTTP/1.1 999 x",
    "HTTP/1.1 20 x",  "HTTP/1.1 2000 x", "HTTP/1.1 -1 x",  "HTTP/1.1  x",
    "HTTP/1.1 OK x",  "HTTP/1.1 100 x",  "HTTP/1.1 101 x", "HTTP/1.1 103 x"};

/// Makes the replica give an answer with this status line.
void setAnswer(standin::ReplicaStandin &replica, const std::string &statusLine,
               bool isSigned, const std::string &before) {
  replica.behaviour().Answer =
      before + statusLine + (isSigned ? "\r\nX-Response-Seal: seal" : "") +
      "\r\nX-Server-Load: 0,0,2,100\r\nContent-Length: 16\r\n\r\n" +
      "1...............";
  // Interim responses have no body, and wait for the final response.
  if (statusLine.find(" 10") != std::string::npos) {
    replica.behaviour().Answer.resize(replica.behaviour().Answer.size() - 16);
    replica.behaviour().IsAnswerCut = true;
  }
}

} // namespace

// Guards against an answer whose status no replica may give: 000 was handed on
// to callers. The request was sent, so it may have run.
TEST_CASE("an invalid status line is a failure after which the request may "
          "have run") {
  const std::string statusLine = GENERATE(from_range(InvalidStatusLines));
  const auto [isSigned, before] = GENERATE(table<bool, std::string>(
      {{false, ""}, {true, ""}, {true, "HTTP/1.1 103 x\r\nLink: a\r\n\r\n"}}));
  Site site;
  site.start();
  // The connections have carried responses before.
  REQUIRE(site.call("/once/x", "POST").Status == 200);
  REQUIRE(site.call("/one/x").Status == 200);
  REQUIRE(site.call("/all/x").Status == 200);
  for (const char *id : {"p0", "p1", "s0a", "s0b"})
    setAnswer(site.replica(id), statusLine, isSigned, before);
  INFO(before << statusLine << " signed " << isSigned);
  const auto expectFailure = [](const transport::HttpResponse &answer) {
    CHECK(answer.Status == 502);
    CHECK_FALSE(answer.Headers.find("X-Response-Seal"));
    CHECK_FALSE(answer.Headers.find("X-Part-Seals"));
    CHECK_FALSE(answer.Headers.find("Retry-After"));
  };
  expectFailure(site.call("/once/x", "POST"));
  CHECK(site.executionCount(site.LastId) == 1);
  expectFailure(site.call("/one/x"));
  CHECK(site.executionCount(site.LastId) >= 1);
  CHECK(site.executionCount(site.LastId) <= 2);
  const auto partial = site.call("/all/x");
  CHECK(partial.Status == 200);
  CHECK(partial.Headers.find("X-Missing-Parts") == "1");
  CHECK(partial.Headers.find("X-Part-Seals").value_or("").find("seal") ==
        std::string_view::npos);
  CHECK(partial.Body.size() == 48);
  for (const auto &it : site.Replicas)
    setAnswer(*it, statusLine, isSigned, before);
  expectFailure(site.call("/all/x"));
}

// Guards against a 204 or 304 that is answered with another status, and against
// its body, which is taken for the response to the next request.
TEST_CASE("204 and 304 are passed on without a body") {
  const int status = GENERATE(204, 304);
  const std::string body =
      GENERATE("", "Content-Length: 0\r\n", "Content-Length: 300\r\n");
  Site site;
  site.start();
  std::string answer = "HTTP/1.1 " + std::to_string(status) +
                       " x\r\nX-Response-Seal: seal\r\n" + body + "\r\n";
  if (body.find("300") != std::string::npos) {
    std::string forged = "HTTP/1.1 200 OK\r\nX-Response-Seal: forged\r\n"
                         "Content-Length: 3\r\n\r\nabc";
    forged.resize(300, ' ');
    answer += forged;
  }
  for (const char *id : {"p0", "p1"})
    site.replica(id).behaviour().Answer = answer;
  for (int i = 0; i != 4; ++i) {
    const auto got = site.call("/one/x");
    CHECK(got.Status == status);
    CHECK(got.Body.empty());
    CHECK(got.Headers.find("X-Response-Seal") == "seal");
    CHECK(site.executionCount(site.LastId) == 1);
  }
}

// Guards against an entry of another writer that ends the processes which read
// it, or keeps them from reading the others.
TEST_CASE("entries of another writer change nothing for the other replicas") {
  Site site;
  site.start();
  const std::string good = site.replica("p0").entry();
  const auto with = [&good](const std::string &field,
                            const std::string &value) {
    std::string entry = good;
    const std::size_t at = entry.find("\"" + field + "\":") + field.size() + 3;
    entry.replace(at, entry.find_first_of(",}", at) - at, value);
    return entry;
  };
  const std::string deep(200'000, '[');
  const std::string objects = [] {
    std::string text;
    for (int i = 0; i != 100'000; ++i)
      text += "{\"a\":";
    return text;
  }();
  const std::vector<std::string> entries = {
      deep,
      deep + std::string(200'000, ']'),
      objects + "1" + std::string(100'000, '}'),
      with("service", deep),
      with("slots", "1e400"),
      with("slots", "99999999999999999999"),
      with("slots", "4294967295"),
      with("slots", "-1"),
      with("cold_left_ms", "1e308"),
      with("cold_left_ms", "-1e308"),
      with("born", "1e30"),
      with("born", "18446744073709551616"),
      with("address", "\"127.0.0.1:99999\""),
      with("address", "\"127.0.0.1:0\""),
      with("address", "\"127.0.0.1:-1\""),
      with("address", "\"127.0.0.1\""),
      std::string("\xff\xfe\0", 3)};
  for (std::size_t i = 0; i != entries.size(); ++i)
    site.Store.put("servers/odd" + std::to_string(i), entries[i]);
  site.add("o0", "other");
  site.publishRoutes(9, "other");
  site.runFor(1300ms);
  CHECK(site.isReady());
  CHECK(site.call("/one/x").Status == 200);
  CHECK(site.replica("o0").runs().size() == 1);
  // Entries whose fields are in range, but absurd, name a replica.
  site.Store.put("servers/odd0", "[");
  site.publishRoutes(12, "pool");
  site.runFor(1300ms);
  for (int i = 0; i != 20; ++i)
    CHECK(site.call("/one/x").Status == 200);
}

TEST_CASE("no request runs at an address that now belongs to another replica") {
  Site site;
  site.start();
  auto &reused = site.add("o0", "other");
  // The store still has the entry of the previous replica at this address.
  site.Store.put("servers/p9", [&] {
    std::string entry = reused.entry();
    entry.replace(entry.find("\"other\""), 7, "\"pool\"");
    return entry;
  }());
  site.runFor(1300ms);
  for (int i = 0; i != 10; ++i)
    CHECK(site.call("/one/x").Status == 200);
  CHECK(reused.runs().empty());
  CHECK(reused.receivedRequests() <= 1);
}

// Guards against a time for idle connections that is not the configuration's.
TEST_CASE("answers state the idle time of the configuration in force") {
  Site site;
  site.start();
  const auto stated = [&site] {
    return site.call("/one/x").Headers.find("Keep-Alive");
  };
  CHECK(stated() == "timeout=14");
  site.publishRoutes(9, "pool", R"(,"limits":{"idle_timeout_ms":5500})");
  site.runFor(1300ms);
  CHECK(stated() == "timeout=4");
  CHECK(site.call("/nowhere/x").Headers.find("Keep-Alive") == "timeout=4");
  site.publishRoutes(12, "pool", R"(,"limits":{"idle_timeout_ms":1500})");
  site.runFor(1300ms);
  CHECK_FALSE(stated());
}

// Guards against requests of another service's route at a replica under whose
// id another writer has left an entry.
TEST_CASE("an entry without all fields leads no request to its replica") {
  Site site;
  site.start();
  site.add("o0", "other");
  site.publishRoutes(9, "other");
  auto &victim = site.replica("p0");
  const std::string address = victim.address().toText();
  site.Store.put(victim.key(), R"({"service":"other","address":")" + address +
                                   R"(","zone":"z1","version":"v1","slots":2,)"
                                   R"("state":"ready"})");
  site.runFor(1300ms);
  for (int i = 0; i != 20; ++i)
    CHECK(site.call("/one/x").Status == 200);
  CHECK(victim.runs().empty());
  CHECK(site.replica("o0").runs().size() == 20);
  // The replica's own next entry counts again.
  site.Store.put(victim.key(), victim.entry());
  site.publishRoutes(12, "pool");
  site.runFor(1300ms);
  for (int i = 0; i != 20; ++i)
    CHECK(site.call("/one/x").Status == 200);
  CHECK_FALSE(victim.runs().empty());
}

TEST_CASE("an entry of a service that no configuration names gets no "
          "request") {
  Site site;
  site.start();
  auto &unnamed = site.add("n0", "unnamed");
  site.runFor(1300ms);
  for (int i = 0; i != 20; ++i)
    CHECK(site.call("/one/x").Status == 200);
  CHECK(unnamed.receivedRequests() == 0);
}

TEST_CASE("a caller that disconnects cancels its request at the replica") {
  Site site;
  site.start();
  site.replica("p0").behaviour().ServiceTime = 5s;
  site.replica("p1").behaviour().ServiceTime = 5s;
  const auto openConnections = [&] {
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
  const std::size_t before = openConnections();
  connection.cancel();
  CHECK(site.Loop.runUntil([&] { return openConnections() < before; }, 400ms));
}

TEST_CASE("a stop answers all requests and ends within the grace period") {
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
  // The balancer sends new connections until two readiness checks have failed.
  CHECK(callKept().Headers.find("connection") == "close");
  CHECK(site.call("/one/x").Status == 200);
  REQUIRE(site.Loop.runUntil([&] { return stopped; }, TestLimit));
  CHECK(site.Loop.now() - start > 2s);
  CHECK(site.Loop.now() - start < 5500ms);
}

// Guards against requests that wait for a replica while the process stops,
// whose deadline is after its exit: they were cut off without an answer.
TEST_CASE("a stop answers requests that wait for longer than it lasts") {
  Site site;
  site.start();
  site.publishLongRoute();
  for (const char *id : {"p0", "p1"})
    site.replica(id).behaviour().ServiceTime = 2s;
  site.runFor(1300ms);
  std::vector<std::unique_ptr<OpenCall>> calls;
  for (int i = 0; i != 10; ++i)
    calls.push_back(std::make_unique<OpenCall>(site, "POST", "/long/x", 12s));
  site.runFor(200ms);
  bool stopped = false;
  site.Node->stop([&] { stopped = true; });
  const bool isAnsweredAtOnce =
      site.Loop.runUntil([&] { return calls.back()->status() == 503; }, 2s);
  CHECK(isAnsweredAtOnce);
  REQUIRE(site.Loop.runUntil([&] { return stopped; }, TestLimit));
  // The process exits here.
  std::size_t served = 0;
  for (const auto &call : calls) {
    INFO("id" << call->Id << " status " << call->status());
    CHECK(call->status() != 0);
    if (call->status() == 503)
      CHECK(site.executionCount(call->Id) == 0);
    served += call->status() == 200 ? 1U : 0U;
  }
  CHECK(served >= 4);
}

// Guards against requests that are passed on late in a stop and then cut off by
// the exit, among them some that may not be repeated.
TEST_CASE("a stop under load leaves no request that has run without an "
          "answer") {
  Site site;
  site.start();
  for (const char *id : {"p0", "p1"})
    site.replica(id).behaviour().ServiceTime = 400ms;
  std::vector<std::unique_ptr<OpenCall>> calls;
  const auto callOnce = [&] {
    calls.push_back(std::make_unique<OpenCall>(site, "POST", "/once/x", 3s));
  };
  bool stopped = false;
  site.Node->stop([&] { stopped = true; });
  while (!stopped) {
    callOnce();
    site.Loop.runUntil([&] { return stopped; }, 250ms);
  }
  // The process exits here.
  std::size_t answered = 0;
  for (const auto &call : calls) {
    INFO("id" << call->Id);
    const bool hasAnswer = call->status() != 0;
    CHECK((hasAnswer || site.executionCount(call->Id) == 0));
    if (!hasAnswer)
      continue;
    ++answered;
    CHECK(call->status() < 504);
    if (call->status() == 503)
      CHECK(site.executionCount(call->Id) == 0);
  }
  CHECK(answered > calls.size() / 2);
}

// Reads of the store are billed, and those of all daemons add up.
TEST_CASE("a daemon reads the store about once per second") {
  Site site;
  site.start();
  const std::uint64_t before = site.Store.calls();
  site.runFor(3s);
  CHECK(site.Store.calls() - before <= 4);
  CHECK(site.Store.calls() - before >= 2);
}

// Guards against a daemon that keeps old routes for good, because each read is
// given up before the answer of a slow store and repeated unchanged.
TEST_CASE("changes take effect while the store answers slowly") {
  const auto delay = GENERATE(800ms, 2500ms);
  Site site;
  site.start();
  site.Store.faults().WatchDelay = delay;
  CHECK(site.takesEffect(6s));
}

TEST_CASE("changes take effect while the store answers very slowly") {
  Site site;
  site.start();
  site.Store.faults().WatchDelay = 5s;
  CHECK(site.takesEffect(7s));
}

// Guards against a full read of which no page arrives in time, and which begins
// anew each time.
TEST_CASE("a full read ends although each of its pages is answered slowly") {
  const auto delay = GENERATE(800ms, 2500ms);
  Site site;
  site.Store.PageSize = 6;
  site.Store.faults().RangeDelay = delay;
  site.startNode();
  CHECK(site.Loop.runUntil([&] { return site.isReady(); }, 7500ms));
}

// Guards against calls beside the open one at each read, which are charged,
// and against a limit that stays long once the store answers fast again.
TEST_CASE("a store that answers slowly gets one call for each read") {
  Site site;
  site.start();
  site.Store.faults().WatchDelay = 800ms;
  site.runFor(2s);
  const std::uint64_t before = site.Store.calls();
  const std::uint64_t connections = site.Store.connections();
  site.runFor(2400ms);
  CHECK(site.Store.calls() - before >= 2);
  CHECK(site.Store.calls() - before <= 3);
  CHECK(site.Store.connections() == connections);
  site.Store.faults().WatchDelay = 0ms;
  site.runFor(1200ms);
  site.Store.faults().DropNextResponses = 1;
  CHECK(site.takesEffect(2100ms));
}

// Guards against calls and connections without end to a store that does not
// respond, and against calls that wait for those of before its return.
TEST_CASE("a store that does not respond gets few calls, and a new one soon "
          "after its return") {
  Site site;
  site.start();
  const std::uint64_t before = site.Store.calls();
  site.Store.faults().Silent = true;
  site.runFor(4500ms);
  CHECK(site.Store.calls() - before <= 6);
  CHECK(site.Store.peakConnections() <= 4);
  site.Store.faults().Silent = false;
  CHECK(site.takesEffect(2300ms));
}

// Guards against a view that counts as fresh although the store read it long
// before: relays would pass it on, and removals would take effect too early.
TEST_CASE("the age of a late answer counts from its call") {
  Site site;
  platform::StoreClient client(site.Loop, site.Settings.Store);
  site.Store.faults().WatchDelay = 1500ms;
  std::optional<forwarding::DirectoryResult> result;
  bool isLate = false;
  client.onLateAnswer([&] { isLate = true; });
  const auto read = [&] {
    result.reset();
    client.readChanges(
        {1, 400}, [&](const forwarding::DirectoryResult &r) { result = r; });
    REQUIRE(site.Loop.runUntil([&] { return result.has_value(); }, TestLimit));
  };
  read();
  CHECK_FALSE(*result);
  REQUIRE(site.Loop.runUntil([&] { return isLate; }, TestLimit));
  site.runFor(500ms);
  read();
  REQUIRE(*result);
  CHECK((*result)->IsLate);
  CHECK((*result)->Age >= 2s);
}

// Guards against routes that were read before an outage and come into force
// after it, with the last page, although newer ones have been published.
TEST_CASE(
    "newer routes follow a full read that an outage has delayed at once") {
  Site site;
  site.add("o0", "other");
  site.Store.PageSize = 6;
  site.startNode();
  REQUIRE(site.Loop.runUntil([&] { return site.Store.pageCalls() >= 1; },
                             TestLimit));
  site.Store.faults().Silent = true;
  site.publishRoutes(9, "other");
  site.runFor(3s);
  CHECK_FALSE(site.isReady());
  site.Store.faults().Silent = false;
  REQUIRE(site.Loop.runUntil([&] { return site.isReady(); }, TestLimit));
  site.runFor(50ms);
  site.call("/one/x");
  CHECK(site.replica("o0").runs().size() == 1);
}

// Guards against a request that leaves the regions of its route, and against a
// refusal after which the caller does not know that it has not run.
TEST_CASE("a route is served in its regions only, and refused as not run where "
          "it has none") {
  Site site;
  const bool isRegionStated = GENERATE(false, true);
  if (isRegionStated)
    site.Settings.Region = "eu";
  else
    site.Settings.Regions = {{"z1", "eu"}, {"z2", "us"}};
  site.start();
  struct Case {
    std::string Regions;
    int Status;
  };
  int version = 10;
  for (const Case &it : {Case{R"(["eu"])", 200},
                         {R"(["us"])", 503},
                         {"[]", 200},
                         {R"(["us","eu"])", 200},
                         {R"("eu")", 503},
                         {"null", 200},
                         {R"(["eu",7])", 503}}) {
    INFO(it.Regions);
    site.publishRegions(++version, it.Regions);
    site.runFor(1300ms);
    for (const char *path : {"/one/x", "/all/x"}) {
      const auto answer = site.call(path);
      CHECK(answer.Status == it.Status);
      CHECK((site.executionCount(site.LastId) == 0) == (it.Status == 503));
      if (it.Status == 200)
        continue;
      CHECK(answer.Body == "region_not_allowed\n");
      CHECK(answer.Headers.find("Retry-After"));
      CHECK_FALSE(answer.Headers.find("X-Response-Seal"));
    }
  }
}
