#include "standin/backend_process.h"
#include "standin/listing_data.h"
#include "standin/platform_process.h"
#include "standin/proxy_process.h"
#include "transport/http_client.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>
#include <set>

using namespace galenaflow;
using namespace galenaflow::standin;
using namespace galenaflow::transport;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

/// Long, since it only ends a test that would otherwise hang.
constexpr auto TestLimit = 20s;

SocketAddress addressOf(const json &text) {
  return *parseSocketAddress(text.get<std::string>());
}

/// One request on the given connection, and its result.
struct Call {
  Call(EventLoop &loop, HttpConnection &connection, const HttpRequest &request,
       state::Duration limit = TestLimit)
      : Loop(loop) {
    connection.send(request, limit,
                    [this](HttpResult result) { Result = std::move(result); });
  }
  bool wait() {
    return Loop.runUntil([this] { return Result.has_value(); }, TestLimit);
  }

  EventLoop &Loop;
  std::optional<HttpResult> Result;
};

HttpResult exchange(EventLoop &loop, HttpConnection &connection,
                    const HttpRequest &request,
                    state::Duration limit = TestLimit) {
  Call call(loop, connection, request, limit);
  REQUIRE(call.wait());
  return *call.Result;
}

json callJson(EventLoop &loop, const SocketAddress &address,
              const std::string &method, const std::string &path,
              const json &body = {}) {
  HttpConnection connection(loop, address);
  const HttpResult result = exchange(
      loop, connection, {method, path, {}, body.is_null() ? "" : body.dump()});
  REQUIRE(result.has_value());
  CHECK(result->Status == 200);
  return json::parse(result->Body);
}

HttpRequest searchRequest(const std::string &id, std::uint32_t shard,
                          std::uint64_t snapshot, int deadlineMs = 60000) {
  HttpRequest request;
  request.Method = "POST";
  request.Path = "/search";
  request.Headers.add("x-sub-request-id", id);
  request.Headers.add("x-deadline-ms", std::to_string(deadlineMs));
  request.Body = json{
      {"op", "search"},
      {"shard", shard},
      {"snapshot", snapshot},
      {"query", "vane"},
      {"limit",
       1000}}.dump();
  return request;
}

/// A backend stand-in with two shards: replica a-0 for shard 0 and a-1 for
/// shard 1.
struct Backend {
  EventLoop Loop;
  BackendProcess Process{Loop};
  json Report;

  explicit Backend(const json &defaults = json::object()) {
    json config = {{"defaults", defaults}, {"replicas", json::array()}};
    for (const std::uint32_t shard : {0U, 1U}) {
      const json snapshot = {{"id", 41},
                             {"layout", 3},
                             {"shard_count", 2},
                             {"shards", json::array({shard})}};
      config["replicas"].push_back({{"id", "a-" + std::to_string(shard)},
                                    {"service", "archivio"},
                                    {"snapshots", json::array({snapshot})}});
    }
    const auto report = Process.start(config.dump());
    REQUIRE(report);
    Report = json::parse(*report);
  }
  SocketAddress replica(const std::string &id) {
    return addressOf(Report["replicas"][id]);
  }
  json control(const std::string &path, const json &body = {}) {
    return callJson(Loop, addressOf(Report["control"]),
                    body.is_null() ? "GET" : "POST", "/control/" + path, body);
  }
  json stats(const std::string &id) { return control("stats")["replicas"][id]; }
};

} // namespace

// Guards against listings that are lost or duplicated by the partition into
// shards.
TEST_CASE("every listing is on exactly one shard for any shard count") {
  CHECK(rc::check([] {
    const ListingIndex index{"archivio",
                             *rc::gen::inRange<std::uint64_t>(1, 99), 200,
                             *rc::gen::inRange<std::uint32_t>(1, 40)};
    std::multiset<std::uint32_t> seen;
    for (std::uint32_t shard = 0; shard != index.ShardCount; ++shard)
      for (const std::uint32_t listing : index.listingsInShard(shard))
        seen.insert(listing);
    for (std::uint32_t i = 0; i != index.Listings; ++i)
      RC_ASSERT(seen.count(i) == (index.contains(i) ? 1U : 0U));
  }));
}

// Guards against expected answers that change with the layout, or that are the
// same for two snapshots, so that tests would not detect a mixture of them.
TEST_CASE("the expected answer depends on the snapshot and not on the layout") {
  const ListingIndex before{"archivio", 41, 500, 20};
  const ListingIndex after{"archivio", 41, 500, 21};
  CHECK(before.expectedHits("vane", 100) == after.expectedHits("vane", 100));
  const ListingIndex next{"archivio", 42, 500, 21};
  CHECK(before.expectedHits("vane", 500) != next.expectedHits("vane", 500));
}

// Guards against stand-in shards that lose listings or that overlap.
TEST_CASE("the shards together return the expected listings") {
  Backend backend;
  std::set<std::string> ids;
  for (const std::uint32_t shard : {0U, 1U}) {
    HttpConnection connection(backend.Loop,
                              backend.replica("a-" + std::to_string(shard)));
    const auto result =
        exchange(backend.Loop, connection, searchRequest("s", shard, 41));
    REQUIRE(result);
    const json body = json::parse(result->Body);
    for (const json &hit : body["hits"])
      CHECK(ids.insert(hit["id"].get<std::string>()).second);
  }
  const ListingIndex index{"archivio", 41, 1000, 2};
  std::set<std::string> expected;
  for (const ListingHit &hit : index.expectedHits("vane", 1000))
    expected.insert(hit.Id);
  CHECK(ids == expected);
}

// Guards against results for a snapshot that the replica does not hold.
TEST_CASE("a request for an absent snapshot is refused as not run") {
  Backend backend;
  HttpConnection connection(backend.Loop, backend.replica("a-0"));
  const auto result =
      exchange(backend.Loop, connection, searchRequest("s", 0, 40));
  REQUIRE(result);
  CHECK(result->Status == 410);
  CHECK(result->Headers.find("x-not-run") == "snapshot_gone");
}

// Guards against a stand-in whose queue is unlimited, or that executes
// cancelled and late sub-requests.
TEST_CASE("requests above the queue limit are shed, cancelled ones free their "
          "slot, and late ones do not run") {
  Backend backend(
      json::object({{"slots", 1}, {"queue_limit", 2}, {"search_ms", 1e7}}));
  std::vector<std::unique_ptr<HttpConnection>> connections;
  std::vector<std::unique_ptr<Call>> calls;
  const auto send = [&](const std::string &id, int deadlineMs) {
    connections.push_back(
        std::make_unique<HttpConnection>(backend.Loop, backend.replica("a-0")));
    calls.push_back(
        std::make_unique<Call>(backend.Loop, *connections.back(),
                               searchRequest(id, 0, 41, deadlineMs)));
  };
  const auto queued = [&] { return backend.stats("a-0")["queued"]; };
  send("running", 60000);
  REQUIRE(backend.Loop.runUntil(
      [&] { return backend.stats("a-0")["in_service"] == 1; }, TestLimit));
  send("late", 1);
  REQUIRE(backend.Loop.runUntil([&] { return queued() == 1; }, TestLimit));
  send("cancelled", 60000);
  REQUIRE(backend.Loop.runUntil([&] { return queued() == 2; }, TestLimit));
  send("shed", 60000);
  REQUIRE(calls[3]->wait());
  REQUIRE(calls[3]->Result->has_value());
  CHECK((*calls[3]->Result)->Headers.find("x-not-run") == "shed");

  const auto address = backend.replica("a-0");
  callJson(backend.Loop, address, "DELETE", "/sub-requests/cancelled");
  REQUIRE(calls[2]->wait());
  REQUIRE(calls[2]->Result->has_value());
  CHECK((*calls[2]->Result)->Headers.find("x-not-run") == "shed");
  // The deadline of "late" must pass before the slot becomes free.
  backend.Loop.runUntil([] { return false; }, 5ms);
  callJson(backend.Loop, address, "DELETE", "/sub-requests/running");
  REQUIRE(calls[0]->wait());
  REQUIRE(calls[0]->Result->has_value());
  CHECK_FALSE((*calls[0]->Result)->Headers.find("x-not-run"));
  REQUIRE(calls[1]->wait());
  REQUIRE(calls[1]->Result->has_value());
  CHECK((*calls[1]->Result)->Headers.find("x-not-run") == "shed");

  const json stats = backend.stats("a-0");
  CHECK(stats["run"]["search"] == 1);
  CHECK(stats["counts"]["shed"] == 1);
  CHECK(stats["counts"]["shed_deadline"] == 1);
  CHECK(stats["counts"]["cancelled_queued"] == 1);
  CHECK(stats["counts"]["cancelled_running"] == 1);
}

// Guards against a stand-in without an effective connection limit, with which
// tests would not detect a daemon that opens too many connections.
TEST_CASE("a connection above the limit is refused and counted") {
  Backend backend(json::object({{"connection_limit", 1}}));
  HttpConnection first(backend.Loop, backend.replica("a-0"));
  HttpConnection second(backend.Loop, backend.replica("a-0"));
  const HttpRequest health{"GET", "/healthz", {}, ""};
  CHECK(exchange(backend.Loop, first, health).has_value());
  CHECK_FALSE(exchange(backend.Loop, second, health).has_value());
  CHECK(backend.stats("a-0")["connections"]["refused"] == 1);
  CHECK(backend.stats("a-0")["connections"]["peak"] == 1);
}

// Guards against fault settings without effect, with which tests would pass
// without the fault.
TEST_CASE("each injected fault corrupts the response and is counted") {
  Backend backend;
  HttpConnection connection(backend.Loop, backend.replica("a-0"));
  const auto search = [&](const std::string &setting) {
    backend.control("replicas/a-0", {{setting, 1.0}});
    auto result =
        exchange(backend.Loop, connection, searchRequest("s", 0, 41), 200ms);
    backend.control("replicas/a-0", {{setting, 0.0}});
    CHECK(backend.stats("a-0")["faults"][setting] == 1);
    return result;
  };
  CHECK(json::parse(search("wrong_snapshot")->Body)["snapshot"] != 41);
  CHECK(json::parse(search("foreign_id")->Body)["sub_request_id"] != "s");
  const json hits = json::parse(search("duplicate_hit")->Body)["hits"];
  CHECK(hits[0]["id"] == hits[1]["id"]);
  CHECK_FALSE(search("truncate").has_value());
  CHECK_FALSE(search("reset").has_value());
  CHECK_FALSE(search("stall").has_value());
}

// Guards against a journal that omits writes whose response was lost, so that a
// second run of them would not be detected.
TEST_CASE("a write that ran is in the journal although its response is lost") {
  Backend backend(json::object({{"reset", 1.0}}));
  HttpConnection connection(backend.Loop, backend.replica("a-0"));
  HttpRequest request{"POST", "/writes", {}, "claim"};
  request.Headers.add("x-idempotency-key", "key-1");
  CHECK_FALSE(exchange(backend.Loop, connection, request).has_value());
  const json writes = backend.control("journal")["writes"];
  REQUIRE(writes.size() == 1);
  CHECK(writes[0]["key"] == "key-1");
}

// Guards against a draining replica that does not report it in each of its
// responses.
TEST_CASE("a draining replica reports its state and refuses work") {
  Backend backend;
  backend.control("replicas/a-0", {{"drain", "refuse"}});
  const auto address = backend.replica("a-0");
  CHECK(callJson(backend.Loop, address, "GET", "/healthz")["state"] ==
        "draining");
  HttpConnection connection(backend.Loop, address);
  const auto result =
      exchange(backend.Loop, connection, searchRequest("s", 0, 41));
  REQUIRE(result);
  CHECK(result->Headers.find("x-not-run") == "draining");
  CHECK(result->Headers.find("x-draining") == "1");
  CHECK(backend.stats("a-0")["counts"]["received_while_draining"] == 1);
}

// Guards against load reports without the configured lag, which would hide
// errors that come from stale reports.
TEST_CASE("a lagging load report contains the state before the lag") {
  Backend backend(json::object({{"load_lag_ms", 3600000}}));
  backend.control("replicas/a-0", {{"drain", "serve"}});
  CHECK(callJson(backend.Loop, backend.replica("a-0"), "GET",
                 "/healthz")["state"] == "serving");
}

// Guards against a platform stand-in whose watches, stale values or outages
// have no effect, or whose counts are wrong.
TEST_CASE("the platform serves watches and simulates stale values and "
          "outages") {
  EventLoop loop;
  PlatformProcess platform(loop);
  const auto started = platform.start(R"({"values":{"plans":{"plans":[]}}})");
  REQUIRE(started);
  const json report = json::parse(*started);
  const SocketAddress address = addressOf(report["listen"]);
  const SocketAddress controlAddress = addressOf(report["control"]);
  const auto control = [&](const std::string &path, const json &body) {
    return callJson(loop, controlAddress, "POST", "/control/" + path, body);
  };
  const auto get = [&](const std::string &query) {
    HttpConnection connection(loop, address);
    return exchange(loop, connection,
                    {"GET", "/v1/values/plans" + query, {}, ""}, 200ms);
  };
  CHECK(get("")->Headers.find("x-version") == "1");
  CHECK(get("?after=1&wait_ms=20")->Status == 304);

  HttpConnection watcher(loop, address);
  Call watch(loop, watcher,
             {"GET", "/v1/values/plans?after=1&wait_ms=60000", {}, ""});
  REQUIRE(loop.runUntil(
      [&] {
        return callJson(loop, controlAddress, "GET",
                        "/control/stats")["watches"] == 1;
      },
      TestLimit));
  control("values/plans", {{"plans", {1}}});
  REQUIRE(watch.wait());
  CHECK((*watch.Result)->Headers.find("x-version") == "2");

  control("mode", {{"stale", true}});
  control("values/plans", {{"plans", {2}}});
  CHECK(get("")->Headers.find("x-version") == "2");
  control("mode", {{"stale", false}});
  CHECK(get("")->Headers.find("x-version") == "3");
  control("mode", {{"pin", {{"plans", 1}}}});
  CHECK(get("")->Headers.find("x-version") == "1");

  control("mode", {{"down", "hang"}});
  CHECK(get("").error().MaybeSent);
  control("mode", {{"down", "refuse"}});
  CHECK_FALSE(get("").error().MaybeSent);
  control("mode", {{"down", "off"}});
  CHECK(get("").has_value());
  const json stats = callJson(loop, controlAddress, "GET", "/control/stats");
  CHECK(stats["keys"]["plans"]["reads"] == 7);
  CHECK(stats["hung"] == 1);
}

// Guards against a VM list without the configured lag.
TEST_CASE("a change of the VM list becomes visible after the lag") {
  EventLoop loop;
  PlatformProcess platform(loop);
  const json report =
      json::parse(*platform.start(R"({"vms":[{"id":"vm-1"}]})"));
  const SocketAddress address = addressOf(report["listen"]);
  const SocketAddress control = addressOf(report["control"]);
  const auto version = [&] {
    return callJson(loop, address, "GET", "/v1/vms")["version"].get<int>();
  };
  callJson(loop, control, "POST", "/control/mode", {{"vm_lag_ms", 3600000}});
  callJson(loop, control, "POST", "/control/vms", {{"vms", json::array()}});
  CHECK(version() == 1);
  callJson(loop, control, "POST", "/control/mode", {{"vm_lag_ms", 1}});
  callJson(loop, control, "POST", "/control/vms", {{"vms", json::array()}});
  CHECK(loop.runUntil([&] { return version() == 2; }, TestLimit));
}

namespace {

/// A fault proxy with one route, from vm-1 to an echo server named vm-2.
struct Proxied {
  EventLoop Loop;
  HttpServer Server{Loop, {}, [](const HttpRequest &request, const auto &out) {
                      out->send(jsonResponse(200, request.Body));
                    }};
  ProxyProcess Proxy{Loop};
  SocketAddress Route;
  SocketAddress Control;

  Proxied() {
    const auto target = Server.listen(*parseSocketAddress("127.0.0.1:0"));
    const json route = {{"id", "r"},
                        {"target", target->toText()},
                        {"from", "vm-1"},
                        {"to", "vm-2"}};
    const json config = {{"routes", json::array({route})}};
    const auto report = Proxy.start(config.dump());
    REQUIRE(report);
    Route = addressOf(json::parse(*report)["routes"]["r"]);
    Control = addressOf(json::parse(*report)["control"]);
  }
  void set(const json &changes) {
    callJson(Loop, Control, "POST", "/control/routes/r", changes);
  }
  HttpResult echo(HttpConnection &connection, state::Duration limit) {
    return exchange(Loop, connection, {"POST", "/", {}, std::string(5000, 'x')},
                    limit);
  }
  std::uint64_t counted(const std::string &name) {
    return callJson(Loop, Control, "GET",
                    "/control/stats")["routes"]["r"]["counts"]
        .value(name, std::uint64_t{0});
  }
};

} // namespace

// Guards against a proxy that alters bytes, or whose limits have no effect.
TEST_CASE("the proxy forwards bytes unchanged, also with delay and limited "
          "bandwidth") {
  Proxied proxied;
  HttpConnection connection(proxied.Loop, proxied.Route);
  CHECK(proxied.echo(connection, TestLimit)->Body.size() == 5000);
  proxied.set({{"up", {{"delay_ms", 5}, {"jitter_ms", 5}}},
               {"down", {{"bytes_per_second", 1e6}}}});
  for (int i = 0; i != 5; ++i)
    CHECK(proxied.echo(connection, TestLimit)->Body == std::string(5000, 'x'));
  CHECK(proxied.counted("up_delayed") >= 5);
  CHECK(proxied.counted("down_throttled") >= 5);
}

// Guards against a fault that ends by itself, or that also applies to new
// connections.
TEST_CASE("silenced connections stay silent while new ones work") {
  Proxied proxied;
  HttpConnection existing(proxied.Loop, proxied.Route);
  REQUIRE(proxied.echo(existing, TestLimit));
  proxied.set({{"silence_existing", "both"}});
  const auto result = proxied.echo(existing, 100ms);
  REQUIRE_FALSE(result);
  CHECK(result.error().Cause.Code == state::ErrorCode::DeadlineExceeded);
  HttpConnection fresh(proxied.Loop, proxied.Route);
  CHECK(proxied.echo(fresh, TestLimit));
  CHECK(proxied.counted("existing_silenced") == 1);
  CHECK(proxied.counted("up_dropped_bytes") > 0);
}

// Guards against faults without effect, and against faults that persist after
// they have been switched off.
TEST_CASE("truncation, close, reset and refusal each make an exchange fail") {
  Proxied proxied;
  const auto checkFault = [&](const json &fault, const std::string &counter) {
    proxied.set(fault);
    HttpConnection connection(proxied.Loop, proxied.Route);
    const auto result = proxied.echo(connection, 200ms);
    CHECK_FALSE(result);
    CHECK(proxied.counted(counter) == 1);
    proxied.set({{"up", {{"truncate_after", 0}}},
                 {"down", {{"close_after", 0}, {"reset_after", 0}}},
                 {"refuse", false},
                 {"reset_accepted", false}});
    HttpConnection afterwards(proxied.Loop, proxied.Route);
    CHECK(proxied.echo(afterwards, TestLimit));
  };
  checkFault({{"up", {{"truncate_after", 1000}}}}, "up_truncated");
  checkFault({{"down", {{"close_after", 1000}}}}, "down_closes");
  checkFault({{"down", {{"reset_after", 1000}}}}, "down_resets");
  checkFault({{"refuse", true}}, "refuse_periods");
  checkFault({{"reset_accepted", true}}, "reset_accepted");
}

// Guards against a partition that loses or forwards bytes.
TEST_CASE("a partition delays all bytes until its end") {
  Proxied proxied;
  HttpConnection connection(proxied.Loop, proxied.Route);
  REQUIRE(proxied.echo(connection, TestLimit));
  const auto partition = [&](const json &groups) {
    callJson(proxied.Loop, proxied.Control, "POST", "/control/partition",
             {{"groups", groups}});
  };
  partition(json::parse(R"([["vm-1"], ["vm-2"]])"));
  Call held(proxied.Loop, connection, {"POST", "/", {}, "held"});
  CHECK_FALSE(
      proxied.Loop.runUntil([&] { return held.Result.has_value(); }, 100ms));
  partition(json::array());
  REQUIRE(held.wait());
  CHECK((*held.Result)->Body == "held");
  CHECK(proxied.counted("partitions") == 1);
}
