#include "transport/http_client.h"
#include "transport/http_server.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <sys/socket.h>
#include <unistd.h>

using namespace galenaflow;
using namespace galenaflow::transport;
using namespace std::chrono_literals;

namespace {

/// Only ends a test that would otherwise hang, so it is generous.
constexpr auto TestLimit = 20s;

SocketAddress anyPort() { return *parseSocketAddress("127.0.0.1:0"); }

struct Exchange {
  EventLoop &Loop;
  std::optional<HttpResult> Result;

  HttpCallback callback() {
    return [this](HttpResult result) { Result = std::move(result); };
  }
  bool waitForResult() {
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
    REQUIRE(exchange.waitForResult());
    REQUIRE(exchange.Result->has_value());
    CHECK((*exchange.Result)->Status == 201);
    CHECK((*exchange.Result)->Body == "body/p?q=1");
    CHECK((*exchange.Result)->Headers.find("X-Method") == "POST");
    CHECK(connection.isConnected());
  }
  CHECK(server.openConnections() == 1);
}

TEST_CASE(
    "a request on a refused connection is reported as certainly not sent") {
  EventLoop loop;
  SocketAddress address = anyPort();
  const auto fd = listenOn(address);
  REQUIRE(fd);
  close(*fd);
  HttpConnection connection(loop, address);
  Exchange exchange{loop, {}};
  connection.send({"GET", "/", {}, ""}, 10s, exchange.callback());
  REQUIRE(exchange.waitForResult());
  REQUIRE_FALSE(exchange.Result->has_value());
  CHECK_FALSE(exchange.Result->error().MaybeSent);
}

TEST_CASE("an exchange without a response fails at its deadline, and the "
          "connection can be used again") {
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
  REQUIRE(first.waitForResult());
  REQUIRE_FALSE(first.Result->has_value());
  CHECK(first.Result->error().Cause.Code == state::ErrorCode::DeadlineExceeded);
  CHECK(first.Result->error().MaybeSent);

  Exchange second{loop, {}};
  connection.send({"GET", "/", {}, ""}, 10s, second.callback());
  REQUIRE(second.waitForResult());
  CHECK(second.Result->has_value());
}

TEST_CASE("an aborted response is a failure and not an empty response") {
  EventLoop loop;
  HttpServer server(loop, {}, [](const HttpRequest &, const auto &responder) {
    responder->abort();
  });
  const auto address = server.listen(anyPort());
  HttpConnection connection(loop, *address);
  Exchange exchange{loop, {}};
  connection.send({"GET", "/", {}, ""}, 10s, exchange.callback());
  REQUIRE(exchange.waitForResult());
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

TEST_CASE("a request body above the limit is rejected") {
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
  REQUIRE(exchange.waitForResult());
  REQUIRE(exchange.Result->has_value());
  CHECK((*exchange.Result)->Status == 413);
}

// Guards against a loop with pointers into a destroyed server, and against
// memory of the server that is not freed: the leak checker reports what h2o has
// kept.
TEST_CASE("a loop continues to work after a server was destroyed") {
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
    REQUIRE(exchange.waitForResult());
    CHECK(exchange.Result->has_value());
    connection.reset();
    REQUIRE(loop.runUntil([&] { return server.openConnections() == 0; },
                          TestLimit));
  }
  loop.runUntil([] { return false; }, 20ms);
}

// Guards against an assertion of h2o that aborted the daemon at the end of a
// graceful stop.
TEST_CASE("a drained server can be destroyed") {
  EventLoop loop;
  {
    HttpServer server(loop, {}, [](const HttpRequest &, const auto &responder) {
      responder->send(jsonResponse(200, "{}"));
    });
    const auto address = server.listen(anyPort());
    REQUIRE(address);
    {
      HttpConnection connection(loop, *address);
      Exchange exchange{loop, {}};
      connection.send({"GET", "/", {}, ""}, 10s, exchange.callback());
      REQUIRE(exchange.waitForResult());
    }
    REQUIRE(loop.runUntil([&] { return server.openConnections() == 0; }, 20s));
    server.drain();
    CHECK(server.openRequests() == 0);
  }
  loop.runUntil([] { return false; }, 20ms);
}

namespace {

/// A listener that sends fixed bytes for each request, and then closes or
/// resets the connection or keeps it open.
struct RawServer {
  EventLoop Loop;
  /// One for each read. The last one is repeated.
  std::vector<std::string> Responses;
  bool CloseAfterwards = false;
  bool ResetAfterwards = false;
  /// Sent after the response without end, until the connection is closed.
  std::string Endless;
  int Accepted = 0;
  std::size_t Next = 0;
  int Listener = -1;
  std::vector<int> Sockets;
  SocketAddress Address = anyPort();

  RawServer() {
    Listener = *listenOn(Address);
    serve();
  }
  ~RawServer() {
    for (const int fd : Sockets)
      close(fd);
    close(Listener);
  }

  void serve() {
    const int fd = accept4(Listener, nullptr, nullptr, SOCK_NONBLOCK);
    if (fd >= 0) {
      ++Accepted;
      Sockets.push_back(fd);
    }
    for (int &sock : Sockets) {
      char buf[4096];
      if (sock >= 0 && Next != 0)
        sendEndless(sock);
      if (sock < 0 || recv(sock, buf, sizeof(buf), 0) <= 0)
        continue;
      const std::string &response =
          Responses[std::min(Next, Responses.size() - 1)];
      ++Next;
      REQUIRE(::send(sock, response.data(), response.size(), MSG_NOSIGNAL) ==
              static_cast<ssize_t>(response.size()));
      if (ResetAfterwards) {
        const linger option{1, 0};
        setsockopt(sock, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
      }
      if (CloseAfterwards || ResetAfterwards) {
        close(sock);
        sock = -1;
      }
    }
    Loop.schedule(1ms, [this] { serve(); });
  }

  /// Sends as much as the socket takes, so that the receiver always has more to
  /// read. The last copy may be cut off.
  void sendEndless(int &sock) {
    while (!Endless.empty()) {
      const ssize_t n =
          ::send(sock, Endless.data(), Endless.size(), MSG_NOSIGNAL);
      if (n < 0 && errno == EAGAIN)
        return;
      if (n < 0) {
        close(std::exchange(sock, -1));
        return;
      }
    }
  }

  HttpResult get(HttpConnection &connection, const std::string &id = "1") {
    Exchange exchange{Loop, {}};
    HttpRequest request{"GET", "/", {}, ""};
    request.Headers.add("X-Id", id);
    request.Rules = {"X-Id", true};
    connection.send(request, 500ms, exchange.callback());
    REQUIRE(exchange.waitForResult());
    return *exchange.Result;
  }

  void runIdle() {
    Loop.runUntil([] { return false; }, 30ms);
  }
};

std::string makeResponse(const std::string &id, const std::string &body) {
  return "HTTP/1.1 200 OK\r\nX-Id: " + id +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

} // namespace

// Guards against an assertion of h2o's client, which ended the daemon when a
// backend server sent bytes that belong to no request.
TEST_CASE("extra bytes close the connection and are not parsed as a later "
          "response") {
  RawServer server;
  HttpConnection connection(server.Loop, server.Address);
  SECTION("in the same packet") {
    server.Responses = {makeResponse("1", "one") + makeResponse("1", "two"),
                        makeResponse("2", "three")};
  }
  SECTION("an invalid response") {
    server.Responses = {makeResponse("1", "one") + "garbage\r\n\r\n",
                        makeResponse("2", "three")};
  }
  REQUIRE(server.get(connection)->Body == "one");
  server.runIdle();
  CHECK_FALSE(connection.isConnected());
  CHECK(server.get(connection, "2")->Body == "three");
  CHECK(server.Accepted == 2);
}

TEST_CASE("bytes on an idle connection close it") {
  RawServer server;
  server.Responses = {makeResponse("1", "one"), makeResponse("2", "two")};
  HttpConnection connection(server.Loop, server.Address);
  REQUIRE(server.get(connection)->Body == "one");
  REQUIRE(connection.isConnected());
  const std::string late = makeResponse("1", "late");
  REQUIRE(::send(server.Sockets[0], late.data(), late.size(), 0) > 0);
  server.runIdle();
  CHECK_FALSE(connection.isConnected());
  CHECK(server.get(connection, "2")->Body == "two");
}

TEST_CASE("a late response to an earlier request is discarded") {
  RawServer server;
  server.Responses = {makeResponse("1", "one"),
                      makeResponse("1", "late") + makeResponse("2", "two")};
  HttpConnection connection(server.Loop, server.Address);
  REQUIRE(server.get(connection)->Body == "one");
  const HttpResult second = server.get(connection, "2");
  REQUIRE(second.has_value());
  CHECK(second->Body == "two");
}

// Guards against a backend server that occupies a connection and the processor
// with responses to other requests until the deadline.
TEST_CASE("responses to other requests are skipped up to a limit") {
  RawServer server;
  const auto late = [](std::size_t n) {
    std::string text;
    for (std::size_t i = 0; i != n; ++i)
      text += makeResponse("0", "late");
    return text;
  };
  HttpConnection connection(server.Loop, server.Address);
  SECTION("at the limit") {
    server.Responses = {late(HttpConnection::MaxSkippedResponses) +
                        makeResponse("1", "one")};
    const HttpResult result = server.get(connection);
    REQUIRE(result.has_value());
    CHECK(result->Body == "one");
  }
  SECTION("above the limit") {
    server.Responses = {late(HttpConnection::MaxSkippedResponses + 1) +
                        makeResponse("1", "one")};
    const HttpResult result = server.get(connection);
    REQUIRE_FALSE(result.has_value());
    CHECK(result.error().MaybeSent);
    CHECK_FALSE(connection.isConnected());
    CHECK(server.Loop.receiveLimits().exceeded(
              ResponseLimit::SkippedResponses) == 1);
  }
}

// Guards against bytes without end, which the deadline alone would bound.
TEST_CASE("a server that sends without end fails its exchange long before the "
          "deadline, and no other") {
  struct Case {
    std::string Start;
    std::string Endless;
    ResponseLimit Limit;
  };
  const std::string chunked =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  const Case it = GENERATE_COPY(
      Case{"HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 100 Continue\r\n\r\n",
           ResponseLimit::InterimResponses},
      Case{"HTTP/1.1 200 OK\r\nX: ", std::string(1024, 'a'),
           ResponseLimit::HeadBytes},
      Case{"HTTP/1.1 200 OK\r\n\r\n", std::string(1024, 'a'),
           ResponseLimit::BodyBytes},
      Case{chunked + "fffffff\r\n", std::string(1024, 'a'),
           ResponseLimit::BodyBytes},
      Case{chunked + "1;", std::string(1024, 'a'), ResponseLimit::FramingBytes},
      Case{chunked + "0\r\nTrailer: ", std::string(1024, 'a'),
           ResponseLimit::FramingBytes});
  INFO(responseLimitName(it.Limit) << ": " << it.Start);
  RawServer endless;
  endless.Responses = {it.Start};
  endless.Endless = it.Endless;
  HttpServer other(endless.Loop, {},
                   [](const HttpRequest &, const auto &responder) {
                     responder->send(jsonResponse(200, "{}"));
                   });
  const auto address = other.listen(anyPort());
  HttpConnection bad(endless.Loop, endless.Address);
  HttpConnection good(endless.Loop, *address);
  Exchange failing{endless.Loop, {}};
  Exchange served{endless.Loop, {}};
  HttpRequest request{"GET", "/", {}, ""};
  request.Rules.AcceptUnframed = true;
  bad.send(request, TestLimit, failing.callback());
  good.send(request, TestLimit, served.callback());
  REQUIRE(failing.waitForResult());
  REQUIRE(served.waitForResult());
  CHECK(served.Result->has_value());
  REQUIRE_FALSE(failing.Result->has_value());
  CHECK(failing.Result->error().Cause.Code == state::ErrorCode::Unavailable);
  CHECK(endless.Loop.receiveLimits().exceeded(it.Limit) == 1);
  served.Result.reset();
  CHECK(endless.Loop.receiveLimits().heldBytes() == 0);
  CHECK_FALSE(bad.isConnected());
}

// Guards against a process that is killed for its memory: each response is
// within its own limit, but there are as many as a request has shards.
TEST_CASE("the responses of all servers together are limited, and small ones "
          "have a reserve") {
  RawServer server;
  server.Loop.receiveLimits().setProcessBytes(std::size_t{4} << 20);
  server.Responses = {"HTTP/1.1 200 OK\r\nContent-Length: 4000000\r\n\r\n" +
                      std::string(100'000, 'a')};
  std::vector<std::unique_ptr<HttpConnection>> connections;
  std::vector<std::unique_ptr<Exchange>> exchanges;
  for (int i = 0; i != 60; ++i) {
    connections.push_back(
        std::make_unique<HttpConnection>(server.Loop, server.Address));
    exchanges.push_back(std::make_unique<Exchange>(Exchange{server.Loop, {}}));
    connections.back()->send({"GET", "/", {}, ""}, TestLimit,
                             exchanges.back()->callback());
  }
  // At most 31 of the 60 responses fit beside the reserve.
  const auto &limits = server.Loop.receiveLimits();
  REQUIRE(server.Loop.runUntil(
      [&] { return limits.exceeded(ResponseLimit::ProcessBytes) >= 29; },
      TestLimit));
  CHECK(limits.heldBytes() <= limits.processBytes());
  HttpServer other(server.Loop, {},
                   [](const HttpRequest &, const auto &responder) {
                     responder->send(jsonResponse(200, std::string(1000, 'b')));
                   });
  const auto address = other.listen(anyPort());
  HttpConnection connection(server.Loop, *address);
  Exchange served{server.Loop, {}};
  connection.send({"GET", "/", {}, ""}, TestLimit, served.callback());
  REQUIRE(served.waitForResult());
  CHECK(served.Result->has_value());
  connections.clear();
  // A response counts until it is no longer needed.
  CHECK(limits.heldBytes() >= 1000);
  served.Result.reset();
  CHECK(limits.heldBytes() == 0);
}

// Guards against callers that hold their answers for ever because they do not
// read them, and against a limit that cuts off callers that read slowly.
TEST_CASE("an answer that its caller does not read is dropped, and one that is "
          "read slowly is not") {
  EventLoop loop;
  constexpr std::size_t size = std::size_t{8} << 20;
  HttpServerOptions options;
  options.RequestTimeout = 400ms;
  HttpServer server(
      loop, options, [](const HttpRequest &, const auto &responder) {
        responder->send(jsonResponse(200, std::string(size, 'a')));
      });
  const auto address = server.listen(anyPort());
  const int caller = socket(AF_INET, SOCK_STREAM, 0);
  const int bufferBytes = 64 << 10;
  setsockopt(caller, SOL_SOCKET, SO_RCVBUF, &bufferBytes, sizeof(bufferBytes));
  REQUIRE(connect(caller, address->data(), address->Length) == 0);
  const std::string request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
  REQUIRE(write(caller, request.data(), request.size()) > 0);
  const auto start = loop.now();
  std::size_t received = 0;
  const bool reads = GENERATE(true, false);
  std::vector<char> buffer(std::size_t{512} << 10);
  const auto isEnded = [&] {
    return reads ? received >= size
                 : loop.now() - start > 100ms && server.openRequests() == 0;
  };
  while (!isEnded() && loop.now() - start < TestLimit) {
    const auto next = loop.now() + 50ms;
    while (loop.now() < next) {
      loop.runUntil([] { return false; }, 5ms);
      const ssize_t n =
          reads ? recv(caller, buffer.data(),
                       std::min<std::size_t>(buffer.size(), 64 << 10),
                       MSG_DONTWAIT)
                : 0;
      received += n > 0 ? static_cast<std::size_t>(n) : 0;
    }
  }
  CHECK((received >= size) == reads);
  if (reads)
    CHECK(loop.now() - start > options.RequestTimeout);
  CHECK(loop.runUntil([&] { return server.openRequests() == 0; }, TestLimit));
  close(caller);
  CHECK(
      loop.runUntil([&] { return server.openConnections() == 0; }, TestLimit));
}

TEST_CASE("a response without a length is complete only after a clean close") {
  RawServer server;
  server.Responses = {"HTTP/1.1 200 OK\r\n\r\nbody"};
  HttpConnection connection(server.Loop, server.Address);
  SECTION("closed") {
    server.CloseAfterwards = true;
    const HttpResult result = server.get(connection);
    REQUIRE(result.has_value());
    CHECK(result->Body == "body");
  }
  SECTION("reset") {
    server.ResetAfterwards = true;
    const HttpResult result = server.get(connection);
    REQUIRE_FALSE(result.has_value());
    CHECK(result.error().MaybeSent);
  }
  SECTION("neither") {
    const HttpResult result = server.get(connection);
    REQUIRE_FALSE(result.has_value());
    CHECK(result.error().Cause.Code == state::ErrorCode::DeadlineExceeded);
  }
}

TEST_CASE("a response that arrives before the whole request was sent closes "
          "the connection") {
  RawServer server;
  server.Responses = {makeResponse("1", "early")};
  HttpConnection connection(server.Loop, server.Address);
  Exchange exchange{server.Loop, {}};
  // More than the buffers of both sockets hold.
  HttpRequest request{"POST", "/", {}, std::string(std::size_t{64} << 20, 'x')};
  connection.send(request, 5s, exchange.callback());
  REQUIRE(exchange.waitForResult());
  REQUIRE(exchange.Result->has_value());
  CHECK((*exchange.Result)->Body == "early");
  CHECK_FALSE(connection.isConnected());
}

namespace {

/// A caller's connection that sends `repeated` after `start` until the server
/// closes it.
struct EndlessCaller {
  EventLoop &Loop;
  int Socket = -1;
  std::string Repeated;
  state::Duration Interval;
  std::size_t SentBytes = 0;
  bool IsClosed = false;
  std::string Received;

  EndlessCaller(EventLoop &loop, const SocketAddress &address,
                const std::string &start, std::string repeated,
                state::Duration interval)
      : Loop(loop), Repeated(std::move(repeated)), Interval(interval) {
    Socket = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    static_cast<void>(connect(Socket, address.data(), address.Length));
    Loop.schedule(5ms, [this, start] {
      ::send(Socket, start.data(), start.size(), MSG_NOSIGNAL);
      tick();
    });
  }
  ~EndlessCaller() { close(Socket); }

  void tick() {
    char buf[1024];
    const ssize_t received = recv(Socket, buf, sizeof(buf), 0);
    if (received > 0)
      Received.append(buf, static_cast<std::size_t>(received));
    const ssize_t n =
        ::send(Socket, Repeated.data(), Repeated.size(), MSG_NOSIGNAL);
    if (n > 0)
      SentBytes += static_cast<std::size_t>(n);
    IsClosed = received == 0 || (n < 0 && errno != EAGAIN);
    if (!IsClosed)
      Loop.schedule(Interval, [this] { tick(); });
  }
};

} // namespace

// Guards against callers that occupy memory or connections by requests that
// never end.
TEST_CASE("a request without end is ended by a limit or a timeout") {
  struct Case {
    std::string Start;
    std::string Repeated;
    state::Duration Interval;
    /// Otherwise only the time is limited. h2o discards such bytes at once.
    bool HasByteLimit = true;
  };
  const std::string line = "GET / HTTP/1.1\r\nHost: h\r\n";
  const std::string chunked =
      "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string block(16384, 'a');
  const Case it = GENERATE_COPY(
      Case{line + "X: ", block, 1ms}, Case{"GET /", block, 1ms},
      Case{chunked + "1;", block, 1ms, false},
      Case{chunked + "0\r\nTrailer: ", block, 1ms, false},
      Case{chunked + "fffffff\r\n", block, 1ms},
      Case{"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 60000\r\n\r\n", "a",
           20ms},
      Case{line + "X: ", "a", 20ms}, Case{chunked + "1;", "a", 20ms});
  INFO(it.Start << it.Repeated.substr(0, 10));
  EventLoop loop;
  HttpServerOptions options;
  options.RequestTimeout = 300ms;
  int handled = 0;
  HttpServer server(loop, options,
                    [&](const HttpRequest &, const auto &responder) {
                      ++handled;
                      responder->send(jsonResponse(200, "{}"));
                    });
  const auto address = server.listen(anyPort());
  REQUIRE(address);
  EndlessCaller caller(loop, *address, it.Start, it.Repeated, it.Interval);
  CHECK(loop.runUntil([&] { return caller.IsClosed; }, 2s));
  if (it.HasByteLimit)
    CHECK(caller.SentBytes <= std::size_t{4} << 20);
  CHECK(handled == 0);
  CHECK(loop.runUntil([&] { return server.openConnections() == 0; }, 5s));
}

namespace {

/// A server with a request timeout, and callers of it with sockets of their
/// own.
struct KeepAliveSite {
  EventLoop Loop;
  HttpServer Server;
  SocketAddress Address;

  explicit KeepAliveSite(state::Duration timeout)
      : Server(Loop, makeOptions(timeout),
               [](const HttpRequest &, const auto &responder) {
                 responder->send(jsonResponse(200, "{}"));
               }),
        Address(*Server.listen(anyPort())) {}

  static HttpServerOptions makeOptions(state::Duration timeout) {
    HttpServerOptions options;
    options.RequestTimeout = timeout;
    return options;
  }
  void runFor(state::Duration time) {
    Loop.runUntil([] { return false; }, time);
  }
};

struct KeepAliveCaller {
  KeepAliveSite &Site;
  int Socket = socket(AF_INET, SOCK_STREAM, 0);

  explicit KeepAliveCaller(KeepAliveSite &site) : Site(site) {
    REQUIRE(connect(Socket, site.Address.data(), site.Address.Length) == 0);
  }
  KeepAliveCaller(const KeepAliveCaller &) = delete;
  KeepAliveCaller &operator=(const KeepAliveCaller &) = delete;
  ~KeepAliveCaller() { close(Socket); }

  /// Sends a request and returns the answer; empty without a complete one.
  std::string call(const std::string &line = "GET / HTTP/1.1",
                   const std::string &headers = "") {
    const std::string request = line + "\r\nHost: h\r\n" + headers + "\r\n";
    ::send(Socket, request.data(), request.size(), MSG_NOSIGNAL);
    std::string answer;
    Site.Loop.runUntil(
        [&] {
          char buf[1024];
          const ssize_t n = recv(Socket, buf, sizeof(buf), MSG_DONTWAIT);
          answer.append(buf, static_cast<std::size_t>(std::max<ssize_t>(n, 0)));
          return n == 0 || answer.ends_with("{}");
        },
        TestLimit);
    return answer.ends_with("{}") ? answer : "";
  }
  bool isClosed() const {
    char byte = 0;
    return recv(Socket, &byte, 1, MSG_DONTWAIT | MSG_PEEK) == 0;
  }
  bool waitForClose(state::Duration limit) {
    return Site.Loop.runUntil([this] { return isClosed(); }, limit);
  }
};

} // namespace

// Guards against a caller whose request crosses the close of its idle
// connection, so that it doesn't know whether the request has run.
TEST_CASE("answers state for how long an idle connection stays open") {
  KeepAliveSite site(2200ms);
  KeepAliveCaller caller(site);
  CHECK_THAT(caller.call(), Catch::Contains("keep-alive: timeout=1\r\n"));
  site.runFor(1s);
  CHECK_THAT(caller.call(), Catch::Contains("keep-alive: timeout=1\r\n"));
  CHECK_FALSE(caller.waitForClose(2s));
  CHECK(caller.waitForClose(1s));
}

// Guards against the same when a shorter timeout comes into force while a
// connection is idle.
TEST_CASE("an idle connection stays open for the time that its last answer "
          "stated") {
  KeepAliveSite site(3s);
  KeepAliveCaller before(site);
  CHECK_THAT(before.call(), Catch::Contains("keep-alive: timeout=2\r\n"));
  site.Server.setRequestTimeout(2s);
  site.Server.setRequestTimeout(2s);
  CHECK_FALSE(before.waitForClose(2s));
  CHECK_THAT(before.call(), Catch::Contains("keep-alive: timeout=1\r\n"));
  // The longer timeout has passed, so that the shorter one is applied.
  site.runFor(1s);
  KeepAliveCaller after(site);
  CHECK_THAT(after.call(), Catch::Contains("keep-alive: timeout=1\r\n"));
  CHECK_FALSE(after.waitForClose(1500ms));
  CHECK(after.waitForClose(1s));
  // A longer one is in force at once.
  site.Server.setRequestTimeout(3s);
  KeepAliveCaller last(site);
  CHECK_THAT(last.call(), Catch::Contains("keep-alive: timeout=2\r\n"));
  CHECK_FALSE(last.waitForClose(2s));
}

// Guards against callers that rely on a connection which closes.
TEST_CASE("an answer whose connection closes states no time") {
  KeepAliveSite site(10s);
  const auto isStated = [](const std::string &answer) {
    REQUIRE_FALSE(answer.empty());
    return answer.find("keep-alive:") != std::string::npos;
  };
  CHECK(isStated(KeepAliveCaller(site).call()));
  CHECK_FALSE(isStated(
      KeepAliveCaller(site).call("GET / HTTP/1.1", "Connection: close\r\n")));
  CHECK_FALSE(isStated(KeepAliveCaller(site).call("GET / HTTP/1.0")));
  SECTION("within less than a second after the margin") {
    site.Server.setRequestTimeout(1900ms);
    CHECK_FALSE(isStated(KeepAliveCaller(site).call()));
  }
  SECTION("at once, while the process stops") {
    site.Server.closeAfterResponses();
    CHECK_FALSE(isStated(KeepAliveCaller(site).call()));
  }
}

// Guards against stand-ins and tools that send requests which cross the close.
TEST_CASE("a client closes its connection before the time that is stated") {
  KeepAliveSite site(2500ms);
  HttpConnection connection(site.Loop, site.Address);
  Exchange exchange{site.Loop, {}};
  connection.send({"GET", "/", {}, ""}, TestLimit, exchange.callback());
  REQUIRE(exchange.waitForResult());
  CHECK(exchange.Result->has_value());
  CHECK(connection.isConnected());
  CHECK(site.Loop.runUntil([&] { return !connection.isConnected(); }, 1s));
}

TEST_CASE("the caller's host is sent, or the peer's address if there is none") {
  EventLoop loop;
  std::vector<std::string> hosts;
  HttpServer server(loop, {},
                    [&](const HttpRequest &request, const auto &responder) {
                      hosts.push_back(request.Host);
                      responder->send(jsonResponse(200, "{}"));
                    });
  const auto address = server.listen(anyPort());
  HttpConnection connection(loop, *address);
  for (const std::string host : {"shop.example", ""}) {
    Exchange exchange{loop, {}};
    HttpRequest request{"GET", "/", {}, ""};
    request.Host = host;
    connection.send(request, 10s, exchange.callback());
    REQUIRE(exchange.waitForResult());
  }
  CHECK(hosts == std::vector<std::string>{"shop.example", address->toText()});
}

// Guards against work for callers that have disconnected, which h2o reports
// only when the response is written.
TEST_CASE("the disconnection of a caller is detected while its request is "
          "open") {
  EventLoop loop;
  std::shared_ptr<HttpResponder> held;
  HttpServer server(loop, {}, [&](const HttpRequest &, const auto &responder) {
    held = responder;
  });
  const auto address = server.listen(anyPort());
  HttpConnection connection(loop, *address);
  bool disconnected = false;
  connection.send({"GET", "/", {}, ""}, 10s, [](const HttpResult &) {});
  REQUIRE(loop.runUntil([&] { return held != nullptr; }, TestLimit));
  held->onDisconnect([&] { disconnected = true; });
  loop.runUntil([] { return false; }, 250ms);
  CHECK_FALSE(disconnected);
  connection.cancel();
  CHECK(loop.runUntil([&] { return disconnected; }, 500ms));
  CHECK_FALSE(held->isOpen());
  CHECK(loop.runUntil([&] { return server.openConnections() == 0; }, 500ms));
}

TEST_CASE("a connection can be opened before its first request") {
  RawServer server;
  server.Responses = {makeResponse("1", "one")};
  HttpConnection connection(server.Loop, server.Address);
  connection.open(1s);
  CHECK(connection.isOpening());
  REQUIRE(server.Loop.runUntil([&] { return connection.isConnected(); }, 1s));
  CHECK(server.get(connection)->Body == "one");
  CHECK(server.Accepted == 1);
}

// Guards against a daemon that interprets an idle timeout as a replica with too
// many connections, and repeatedly moves its connections between replicas.
TEST_CASE("a connection that is closed at once counts as refused, one that is "
          "closed when idle does not") {
  RawServer server;
  server.Responses = {makeResponse("1", "one")};
  HttpConnection connection(server.Loop, server.Address);
  connection.open(1s);
  REQUIRE(server.Loop.runUntil([&] { return server.Accepted == 1; }, 1s));
  close(std::exchange(server.Sockets[0], -1));
  server.runIdle();
  CHECK_FALSE(connection.isConnected());
  CHECK(connection.refusedConnections() == 1);
  REQUIRE(server.get(connection)->Body == "one");
  close(std::exchange(server.Sockets[1], -1));
  server.runIdle();
  CHECK_FALSE(connection.isConnected());
  CHECK(connection.refusedConnections() == 1);
}

// Guards against a loop that never returns: h2o frees a closed socket before it
// has run the socket's pending write callback, so that the list of pending
// sockets points to freed memory. Seen after a VM had been paused, when a
// request was sent and cancelled in the same iteration (soak seed 109).
TEST_CASE("a loop works after a request was cancelled in the iteration in "
          "which it was sent") {
  EventLoop loop;
  int responded = 0;
  HttpServer server(loop, {}, [](const HttpRequest &, const auto &responder) {
    responder->send(jsonResponse(200, "{}"));
  });
  const auto address = server.listen(anyPort());
  for (int round = 0; round != 30; ++round) {
    std::vector<std::unique_ptr<HttpConnection>> connections;
    for (int i = 0; i != 8; ++i) {
      connections.push_back(std::make_unique<HttpConnection>(loop, *address));
      connections.back()->open(5s);
    }
    REQUIRE(loop.runUntil(
        [&] {
          return std::all_of(connections.begin(), connections.end(),
                             [](const auto &it) { return it->isConnected(); });
        },
        5s));
    const auto sendAndCancel = [&] {
      for (const auto &it : connections) {
        it->send({"GET", "/", {}, ""}, 5s, [](const HttpResult &) {});
        it->cancel();
      }
    };
    if (round % 2 == 0)
      loop.post(sendAndCancel);
    else
      loop.schedule(0ms, sendAndCancel);
    loop.runUntil([] { return false; }, 5ms);
    HttpConnection after(loop, *address);
    Exchange exchange{loop, {}};
    after.send({"GET", "/", {}, ""}, 5s, exchange.callback());
    REQUIRE(exchange.waitForResult());
    responded += exchange.Result->has_value() ? 1 : 0;
  }
  CHECK(responded == 30);
}

// Guards against an idle timeout of a server that closes connections at once or
// never, since its number overflows.
TEST_CASE("an idle timeout that a server states is bounded, and ignored when "
          "it is none") {
  struct Case {
    std::string Timeout;
    bool IsKept;
  };
  const auto it = GENERATE(values<Case>({{"0", false},
                                         {"-5", false},
                                         {"-9223372036854775808", false},
                                         {"5", true},
                                         {"9223372036854775807", true},
                                         {"9223372036854775808", true},
                                         {"99999999999999999999", true},
                                         {"-99999999999999999999", true},
                                         {"x", true},
                                         {"", true}}));
  INFO(it.Timeout);
  RawServer server;
  server.Responses = {"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=" + it.Timeout +
                      "\r\nContent-Length: 0\r\n\r\n"};
  HttpConnection connection(server.Loop, server.Address);
  for (int i = 0; i != 2; ++i) {
    Exchange exchange{server.Loop, {}};
    connection.send({"GET", "/", {}, ""}, 10s, exchange.callback());
    REQUIRE(exchange.waitForResult());
    CHECK(exchange.Result->has_value());
    server.Loop.runUntil([] { return false; }, 30ms);
    CHECK(connection.isConnected() == it.IsKept);
  }
}

// Guards against a body whose length is taken with a sign or modulo a power of
// two, so that its rest is read as the caller's next request.
TEST_CASE("a caller's body without a valid length is not handled, and the next "
          "caller is") {
  const std::string framing =
      GENERATE("Content-Length: -1", "Content-Length: +5", "Content-Length: x",
               "Content-Length: 5x", "Content-Length: 0x5",
               "Content-Length: 1e1", "Content-Length: 18446744073709551615",
               "Content-Length: 18446744073709551616",
               "Content-Length: 18446744073709551621",
               "Content-Length: 99999999999999999999999",
               "Content-Length: 1001", "Transfer-Encoding: chunked\r\n\r\n-1",
               "Transfer-Encoding: chunked\r\n\r\nx",
               "Transfer-Encoding: chunked\r\n\r\nffffffffffffffff",
               "Transfer-Encoding: chunked\r\n\r\n10000000000000005",
               "Transfer-Encoding: chunked\r\n\r\n3e9");
  INFO(framing);
  EventLoop loop;
  std::vector<std::string> handled;
  HttpServerOptions options;
  options.MaxBodyBytes = 1000;
  HttpServer server(loop, options,
                    [&](const HttpRequest &request, const auto &responder) {
                      handled.push_back(request.Method + " " + request.Body);
                      responder->send(jsonResponse(200, "{}"));
                    });
  const auto address = server.listen(anyPort());
  const int caller = socket(AF_INET, SOCK_STREAM, 0);
  REQUIRE(connect(caller, address->data(), address->Length) == 0);
  std::string request = "POST / HTTP/1.1\r\nHost: h\r\n" + framing;
  request += framing.find("chunked") == std::string::npos ? "\r\n\r\n" : "\r\n";
  request +=
      "helloGET /inner HTTP/1.1\r\nHost: h\r\n\r\n" + std::string(1200, 'x');
  ::send(caller, request.data(), request.size(), MSG_NOSIGNAL);
  loop.runUntil([] { return false; }, 60ms);
  close(caller);
  CHECK(handled.empty());
  HttpConnection connection(loop, *address);
  Exchange exchange{loop, {}};
  connection.send({"POST", "/", {}, "next"}, 10s, exchange.callback());
  REQUIRE(exchange.waitForResult());
  REQUIRE(exchange.Result->has_value());
  CHECK(handled.back() == "POST next");
}
