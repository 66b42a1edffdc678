#include "transport/http_client.h"
#include "transport/http_server.h"

#include <catch2/catch.hpp>
#include <unistd.h>

using namespace galenaflow;
using namespace galenaflow::transport;
using namespace std::chrono_literals;

namespace {

/// Generous, because it only bounds a test that would otherwise hang.
constexpr auto TestLimit = 20s;

SocketAddress anyPort() { return *parseSocketAddress("127.0.0.1:0"); }

struct Exchange {
  EventLoop &Loop;
  std::optional<HttpResult> Result;

  HttpCallback callback() {
    return [this](HttpResult result) { Result = std::move(result); };
  }
  bool wait() {
    return Loop.runUntil([this] { return Result.has_value(); }, TestLimit);
  }
};

} // namespace

TEST_CASE("an exchange delivers status, headers and body unchanged") {
  EventLoop loop;
  HttpServer server(
      loop, {}, [](const HttpRequest &request, const auto &responder) {
        HttpResponse response = jsonResponse(201, request.Body + request.Path);
        response.Headers.add("x-method", request.Method);
        responder->send(std::move(response));
      });
  const auto address = server.listen(anyPort());
  REQUIRE(address);
  HttpConnection connection(loop, *address);
  for (int i = 0; i != 3; ++i) {
    Exchange exchange{loop, {}};
    connection.send({"POST", "/p?q=1", {}, "body"}, 10s, exchange.callback());
    REQUIRE(exchange.wait());
    REQUIRE(exchange.Result->has_value());
    CHECK((*exchange.Result)->Status == 201);
    CHECK((*exchange.Result)->Body == "body/p?q=1");
    CHECK((*exchange.Result)->Headers.find("X-Method") == "POST");
    CHECK(connection.isConnected());
  }
  CHECK(server.openConnections() == 1);
}

TEST_CASE("a refused connection is reported as certainly not sent") {
  EventLoop loop;
  SocketAddress address = anyPort();
  const auto fd = listenOn(address);
  REQUIRE(fd);
  close(*fd);
  HttpConnection connection(loop, address);
  Exchange exchange{loop, {}};
  connection.send({"GET", "/", {}, ""}, 10s, exchange.callback());
  REQUIRE(exchange.wait());
  REQUIRE_FALSE(exchange.Result->has_value());
  CHECK_FALSE(exchange.Result->error().MaybeSent);
}

TEST_CASE("a response that never comes fails at its deadline and the "
          "connection works again") {
  EventLoop loop;
  std::shared_ptr<HttpResponder> held;
  HttpServer server(loop, {},
                    [&](const HttpRequest &request, const auto &responder) {
                      if (request.Path == "/hold")
                        held = responder;
                      else
                        responder->send(jsonResponse(200, "{}"));
                    });
  const auto address = server.listen(anyPort());
  HttpConnection connection(loop, *address);
  Exchange first{loop, {}};
  connection.send({"GET", "/hold", {}, ""}, 30ms, first.callback());
  REQUIRE(first.wait());
  REQUIRE_FALSE(first.Result->has_value());
  CHECK(first.Result->error().Cause.Code == state::ErrorCode::DeadlineExceeded);
  CHECK(first.Result->error().MaybeSent);

  Exchange second{loop, {}};
  connection.send({"GET", "/", {}, ""}, 10s, second.callback());
  REQUIRE(second.wait());
  CHECK(second.Result->has_value());
}

TEST_CASE("an aborted response is a failure and not an empty answer") {
  EventLoop loop;
  HttpServer server(loop, {}, [](const HttpRequest &, const auto &responder) {
    responder->abort();
  });
  const auto address = server.listen(anyPort());
  HttpConnection connection(loop, *address);
  Exchange exchange{loop, {}};
  connection.send({"GET", "/", {}, ""}, 10s, exchange.callback());
  REQUIRE(exchange.wait());
  CHECK_FALSE(exchange.Result->has_value());
}

TEST_CASE("a cancelled exchange is reported once") {
  EventLoop loop;
  std::shared_ptr<HttpResponder> held;
  HttpServer server(loop, {}, [&](const HttpRequest &, const auto &responder) {
    held = responder;
  });
  const auto address = server.listen(anyPort());
  HttpConnection connection(loop, *address);
  int calls = 0;
  connection.send({"GET", "/", {}, ""}, 10s,
                  [&](const HttpResult &) { ++calls; });
  REQUIRE(loop.runUntil([&] { return held != nullptr; }, TestLimit));
  connection.cancel();
  connection.cancel();
  REQUIRE(loop.runUntil([&] { return calls != 0; }, TestLimit));
  loop.runUntil([] { return false; }, 20ms);
  CHECK(calls == 1);
}

TEST_CASE("a body above the limit is refused") {
  EventLoop loop;
  HttpServerOptions options;
  options.MaxBodyBytes = 10;
  HttpServer server(loop, options,
                    [](const HttpRequest &, const auto &responder) {
                      responder->send(jsonResponse(200, "{}"));
                    });
  const auto address = server.listen(anyPort());
  HttpConnection connection(loop, *address);
  Exchange exchange{loop, {}};
  connection.send({"POST", "/", {}, std::string(100, 'x')}, 10s,
                  exchange.callback());
  REQUIRE(exchange.wait());
  REQUIRE(exchange.Result->has_value());
  CHECK((*exchange.Result)->Status == 413);
}

// Guards against a loop that keeps links into a server that has been destroyed,
// and against the memory of one: leak checking reports what h2o has kept.
TEST_CASE("a loop works on after a server has ended") {
  EventLoop loop;
  for (int i = 0; i != 3; ++i) {
    HttpServer server(loop, {}, [](const HttpRequest &, const auto &responder) {
      responder->send(jsonResponse(200, "{}"));
    });
    const auto address = server.listen(anyPort());
    REQUIRE(address);
    auto connection = std::make_unique<HttpConnection>(loop, *address);
    Exchange exchange{loop, {}};
    connection->send({"GET", "/", {}, ""}, 10s, exchange.callback());
    REQUIRE(exchange.wait());
    CHECK(exchange.Result->has_value());
    connection.reset();
    REQUIRE(loop.runUntil([&] { return server.openConnections() == 0; },
                          TestLimit));
  }
  loop.runUntil([] { return false; }, 20ms);
}
