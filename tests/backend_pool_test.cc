#include "transport/backend_pool.h"
#include "transport/http_server.h"

#include <catch2/catch.hpp>

using namespace galenaflow;
using namespace galenaflow::transport;
using namespace std::chrono_literals;

namespace {

constexpr auto TestLimit = 20s;

/// A server that responds at once, except to "/hold".
struct HoldingServer {
  EventLoop Loop;
  std::vector<std::shared_ptr<HttpResponder>> Held;
  HttpServer Server{
      Loop, {}, [this](const HttpRequest &request, const auto &responder) {
        if (request.Path == "/hold")
          Held.push_back(responder);
        else
          responder->send(jsonResponse(200, "{}"));
      }};
  SocketAddress Address = *Server.listen(*parseSocketAddress("127.0.0.1:0"));

  bool waitUntil(const std::function<bool()> &done) {
    return Loop.runUntil(done, TestLimit);
  }
};

HttpRequest get(std::string path) { return {"GET", std::move(path), {}, ""}; }

} // namespace

TEST_CASE("a pool never opens more connections than its limit") {
  HoldingServer server;
  BackendPool pool(server.Loop, server.Address);
  pool.setLimit(3);
  int done = 0;
  int accepted = 0;
  for (int i = 0; i != 5; ++i)
    if (pool.send(get("/hold"), 10s, [&](const HttpResult &) { ++done; }) != 0)
      ++accepted;
  CHECK(accepted == 3);
  CHECK_FALSE(pool.hasFree());
  REQUIRE(server.waitUntil([&] { return server.Held.size() == 3; }));
  CHECK(server.Server.openConnections() == 3);
  for (const auto &responder : server.Held)
    responder->send(jsonResponse(200, "{}"));
  REQUIRE(server.waitUntil([&] { return done == 3; }));
  CHECK(pool.hasFree());
}

TEST_CASE("a lowered limit closes idle connections at once and busy ones after "
          "their exchange") {
  HoldingServer server;
  BackendPool pool(server.Loop, server.Address);
  pool.setLimit(4);
  pool.warm(4);
  REQUIRE(server.waitUntil([&] { return pool.busy() == 0; }));
  REQUIRE(
      server.waitUntil([&] { return server.Server.openConnections() == 4; }));
  int done = 0;
  pool.send(get("/hold"), 10s, [&](const HttpResult &) { ++done; });
  pool.send(get("/hold"), 10s, [&](const HttpResult &) { ++done; });
  REQUIRE(server.waitUntil([&] { return server.Held.size() == 2; }));
  pool.setLimit(1);
  CHECK(pool.size() == 2);
  CHECK(pool.send(get("/"), 10s, [](const HttpResult &) {}) == 0);
  for (const auto &responder : server.Held)
    responder->send(jsonResponse(200, "{}"));
  REQUIRE(server.waitUntil([&] { return done == 2; }));
  CHECK(pool.size() == 1);
  REQUIRE(
      server.waitUntil([&] { return server.Server.openConnections() == 1; }));
}

TEST_CASE("an abandoned exchange keeps its connection when the response "
          "arrives, and the response is not given to the next exchange") {
  HoldingServer server;
  BackendPool pool(server.Loop, server.Address);
  pool.setLimit(1);
  std::string late;
  const auto id = pool.send(get("/hold"), 10s, [&](const HttpResult &result) {
    late = result ? result->Body : "failed";
  });
  REQUIRE(server.waitUntil([&] { return server.Held.size() == 1; }));
  pool.abandon(id);
  server.Held[0]->send(jsonResponse(200, "late"));
  REQUIRE(server.waitUntil([&] { return pool.busy() == 0; }));
  std::string body;
  pool.send(get("/"), 10s, [&](const HttpResult &result) {
    body = result ? result->Body : "failed";
  });
  REQUIRE(server.waitUntil([&] { return !body.empty(); }));
  CHECK(body == "{}");
  CHECK(late == "late");
  CHECK(server.Server.openConnections() == 1);
}

TEST_CASE("an abandoned exchange without a response frees its connection "
          "after the grace period") {
  HoldingServer server;
  BackendPoolOptions options;
  options.AbandonGrace = 20ms;
  BackendPool pool(server.Loop, server.Address, options);
  pool.setLimit(1);
  pool.abandon(pool.send(get("/hold"), 10s, [](const HttpResult &) {}));
  REQUIRE(server.waitUntil([&] { return pool.hasFree(); }));
  CHECK(pool.counters().TimeoutCloses == 1);
}

TEST_CASE("after a timeout the other connections are probed before use") {
  HoldingServer server;
  BackendPool pool(server.Loop, server.Address);
  pool.setLimit(2);
  pool.warm(2);
  REQUIRE(server.waitUntil([&] { return pool.busy() == 0; }));
  const auto probes = pool.counters().Probes;
  bool failed = false;
  pool.send(get("/hold"), 20ms,
            [&](const HttpResult &result) { failed = !result; });
  REQUIRE(server.waitUntil([&] { return failed; }));
  bool responded = false;
  REQUIRE(pool.send(get("/"), 10s, [&](const HttpResult &result) {
    responded = result.has_value();
  }) != 0);
  CHECK(pool.counters().Probes == probes + 1);
  REQUIRE(server.waitUntil([&] { return responded; }));
}

// Guards against requests that wait forever because connections that were
// closed after a timeout are treated as not yet probed.
TEST_CASE("after all connections have timed out, all of them can be used") {
  HoldingServer server;
  BackendPool pool(server.Loop, server.Address);
  pool.setLimit(2);
  int failed = 0;
  const auto count = [&](const HttpResult &result) {
    failed += result ? 0 : 1;
  };
  pool.send(get("/hold"), 20ms, count);
  pool.send(get("/hold"), 40ms, count);
  REQUIRE(server.waitUntil([&] { return failed == 2; }));
  CHECK(pool.send(get("/hold"), 10s, count) != 0);
  CHECK(pool.hasFree());
  CHECK(pool.send(get("/hold"), 10s, count) != 0);
  CHECK_FALSE(pool.hasFree());
}
