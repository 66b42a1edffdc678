#include "support/certificate_file.h"
#include "transport/client_memory.h"
#include "transport/client_memory_policy.h"
#include "transport/http_client.h"
#include "transport/http_server.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <cstdio>
#include <cstdlib>
#include <openssl/ssl.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace galenaflow::transport;
using namespace std::chrono_literals;

namespace {

constexpr auto TestLimit = 20s;
constexpr std::size_t BodyBytes = 262'144;

/// Room for one body: its buffer, its copy, and the connections.
constexpr std::size_t BodyLimit = std::size_t{1200} << 10;

using Ids = std::vector<std::uint64_t>;

std::optional<Ids> evictions(const std::vector<ClientLoad> &loads,
                             ClientDemand demand, std::size_t bytes) {
  return selectEvictions(loads, demand, bytes, {});
}

/// A server and the requests that reached its handler.
struct Site {
  EventLoop Loop;
  std::vector<std::size_t> Handled; ///< sizes of bodies
  HttpServer Server;
  SocketAddress Address;

  explicit Site(std::size_t limit, HttpServerOptions options = makeOptions())
      : Server(Loop, std::move(options),
               [this](const HttpRequest &request, const auto &responder) {
                 Handled.push_back(request.Body.size());
                 responder->send(jsonResponse(200, "{}"));
               }),
        Address(*Server.listen(*parseSocketAddress("127.0.0.1:0"))) {
    Loop.clientMemory().setLimit(limit);
  }
  static HttpServerOptions makeOptions() {
    HttpServerOptions options;
    options.MaxBodyBytes = BodyBytes;
    return options;
  }
  void runFor(galenaflow::state::Duration time) {
    Loop.runUntil([] { return false; }, time);
  }
  std::uint64_t refusals(ClientRefusal kind) {
    return Loop.clientMemory().refusals(kind);
  }
};

struct Client {
  Site &System;
  int Socket = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  std::string Received;
  bool IsClosed = false;

  explicit Client(Site &site) : System(site) {
    static_cast<void>(
        connect(Socket, site.Address.data(), site.Address.Length));
    site.runFor(20ms);
  }
  Client(const Client &) = delete;
  Client &operator=(const Client &) = delete;
  ~Client() { close(Socket); }

  void send(std::string_view bytes) {
    System.Loop.runUntil(
        [&] {
          const ssize_t n =
              ::send(Socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
          if (n < 0 && errno != EAGAIN)
            return true;
          bytes.remove_prefix(n > 0 ? static_cast<std::size_t>(n) : 0);
          return bytes.empty();
        },
        TestLimit);
  }
  void receive() {
    char buf[4096];
    ssize_t n = 0;
    while ((n = recv(Socket, buf, sizeof(buf), 0)) > 0)
      Received.append(buf, static_cast<std::size_t>(n));
    IsClosed = IsClosed || n == 0 || errno != EAGAIN;
  }
  /// Returns whether the answer has this status.
  bool waitForStatus(const std::string &status) {
    return System.Loop.runUntil(
        [&] {
          receive();
          return Received.starts_with("HTTP/1.1 " + status);
        },
        TestLimit);
  }
  bool waitForClose() {
    return System.Loop.runUntil(
        [&] {
          receive();
          return IsClosed;
        },
        TestLimit);
  }
};

std::string head(const std::string &framing) {
  return "POST / HTTP/1.1\r\nHost: h\r\n" + framing + "\r\n\r\n";
}

std::string lengthHead() {
  return head("Content-Length: " + std::to_string(BodyBytes));
}

} // namespace

// Guards against an eviction that costs a request which may have run, and
// against fast clients that give way to slow ones.
TEST_CASE("slow and large incomplete bodies give way first, complete requests "
          "never") {
  const std::vector<ClientLoad> loads = {
      {1, ClientPhase::Request, 900, 60s}, {2, ClientPhase::Body, 500, 0s},
      {3, ClientPhase::Body, 100, 2s},     {4, ClientPhase::Body, 300, 2s},
      {5, ClientPhase::Head, 50, 2s},      {6, ClientPhase::Answer, 700, 2s},
      {7, ClientPhase::Answer, 800, 0s},   {8, ClientPhase::Idle, 10, 60s}};
  CHECK(evictions(loads, ClientDemand::BodyGrows, 300) == Ids{4});
  CHECK(evictions(loads, ClientDemand::BodyGrows, 301) == Ids{4, 3});
  CHECK(evictions(loads, ClientDemand::BodyGrows, 500) == Ids{4, 3, 2});
  CHECK(evictions(loads, ClientDemand::Small, 950) == Ids{4, 3, 2, 5});
  CHECK(evictions(loads, ClientDemand::Small, 1000) == Ids{4, 3, 2, 5, 6});
  CHECK(evictions(loads, ClientDemand::Small, 1651) == std::nullopt);
  CHECK(evictions(loads, ClientDemand::NewBody, 500) == Ids{4, 3, 5, 6});
  CHECK(evictions(loads, ClientDemand::NewBody, 1151) == std::nullopt);
  CHECK(evictions(loads, ClientDemand::Small, 0) == Ids{});
}

TEST_CASE("a quarter of the limit is kept for small requests and answers") {
  ClientMemory memory;
  memory.setLimit(100);
  memory.add(70);
  CHECK(memory.missing(5, false) == 0);
  CHECK(memory.missing(6, false) == 1);
  CHECK(memory.missing(30, true) == 0);
  CHECK(memory.missing(31, true) == 1);
  {
    const auto hold = memory.makeHold(30);
    CHECK(memory.held() == 100);
  }
  CHECK(memory.held() == 70);
  CHECK(ClientMemory::maxConnections(4100) == 2600);
  CHECK(ClientMemory::maxConnections(100) == 1);
}

// Guards against a body of legal size that is refused in calm, on the smallest
// VM: 160 MB.
TEST_CASE("a request inside the published limits is served in calm") {
  Site site((std::size_t{160} << 20) / ClientMemory::VmFraction);
  const std::string body(BodyBytes, 'a');
  SECTION("with a length") {
    Client client(site);
    client.send(lengthHead() + body);
    CHECK(client.waitForStatus("200"));
  }
  SECTION("in pieces") {
    Client client(site);
    client.send(lengthHead());
    for (std::size_t i = 0; i < BodyBytes; i += 1024) {
      client.send(std::string_view(body).substr(i, 1024));
      site.runFor(1ms);
    }
    CHECK(client.waitForStatus("200"));
  }
  SECTION("with Expect") {
    Client client(site);
    client.send(head("Expect: 100-continue\r\nContent-Length: " +
                     std::to_string(BodyBytes)));
    CHECK(client.waitForStatus("100"));
    client.Received.clear();
    client.send(body);
    CHECK(client.waitForStatus("200"));
  }
  SECTION("in chunks of one byte") {
    Client client(site);
    std::string chunks;
    for (std::size_t i = 0; i != BodyBytes; ++i)
      chunks += "1\r\na\r\n";
    client.send(head("Transfer-Encoding: chunked") + chunks + "0\r\n\r\n");
    const bool isServed = client.waitForStatus("200");
    INFO(client.Received);
    CHECK(isServed);
  }
  SECTION("two in one piece") {
    Client client(site);
    client.send(lengthHead() + body + lengthHead());
    CHECK(client.waitForStatus("200"));
    client.Received.clear();
    client.send(body);
    CHECK(client.waitForStatus("200"));
    CHECK(site.Handled.size() == 2);
  }
  REQUIRE_FALSE(site.Handled.empty());
  CHECK(site.Handled.back() == BodyBytes);
  // Nothing is counted any more once the client has left.
  CHECK(site.Loop.runUntil(
      [&] {
        return site.Server.openConnections() == 0 &&
               site.Loop.clientMemory().held() == 0;
      },
      TestLimit));
}

TEST_CASE("a body above the largest size is refused with 413") {
  Site site(std::size_t{16} << 20);
  Client client(site);
  SECTION("with a length") {
    client.send(head("Content-Length: " + std::to_string(BodyBytes + 1)) +
                std::string(BodyBytes + 1, 'a'));
  }
  SECTION("in chunks") {
    client.send(head("Transfer-Encoding: chunked") + "40000\r\n" +
                std::string(BodyBytes, 'a') + "\r\n1\r\na\r\n0\r\n\r\n");
  }
  CHECK(client.waitForStatus("413"));
  CHECK(site.Handled.empty());
}

// Guards against a refusal that is not true, or that the client never sees
// because the connection is reset under it.
TEST_CASE("a body that does not fit is refused before it is read") {
  Site site(BodyLimit);
  Client first(site);
  first.send(lengthHead() + std::string(1000, 'a'));
  site.runFor(50ms);
  Client second(site);
  second.send(lengthHead());
  REQUIRE(second.waitForStatus("503"));
  CHECK_THAT(second.Received, Catch::Contains("Retry-After: 0."));
  second.send(std::string(BodyBytes, 'a'));
  CHECK(second.waitForClose());
  CHECK(site.Handled.empty());
  CHECK(site.refusals(ClientRefusal::BodyDoesNotFit) == 1);
  galenaflow::state::MetricRegistry metrics;
  site.Loop.clientMemory().exportTo(metrics);
  CHECK_THAT(metrics.exposition(),
             Catch::Contains("galenaflow_client_refusals_total{kind=\"body_does"
                             "_not_fit\"} 1"));
  // The first one was begun and is still served.
  first.send(std::string(BodyBytes - 1000, 'a'));
  CHECK(first.waitForStatus("200"));
  CHECK(site.Handled == std::vector<std::size_t>{BodyBytes});
}

// Guards against slow clients that keep others out.
TEST_CASE("a slow body gives way to a new one, and small requests always get "
          "in") {
  Site site(BodyLimit);
  Client slow(site);
  slow.send(lengthHead() + std::string(1000, 'a'));
  Client small(site);
  small.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  CHECK(small.waitForStatus("200"));
  site.runFor(1100ms);
  Client next(site);
  next.send(lengthHead() + std::string(BodyBytes, 'a'));
  CHECK(next.waitForStatus("200"));
  CHECK(slow.waitForStatus("503"));
  CHECK(slow.waitForClose());
  CHECK(site.refusals(ClientRefusal::Evicted) == 1);
}

// Guards against bodies without a stated length, which are only seen as they
// grow.
TEST_CASE("chunked bodies together stay within the limit") {
  constexpr std::size_t limit = std::size_t{2} << 20;
  Site site(limit);
  std::vector<std::unique_ptr<Client>> clients;
  for (int i = 0; i != 12; ++i) {
    clients.push_back(std::make_unique<Client>(site));
    clients.back()->send(head("Transfer-Encoding: chunked") + "30d40\r\n" +
                         std::string(200'000, 'a'));
    site.runFor(20ms);
    CHECK(site.Loop.clientMemory().held() <= limit);
  }
  CHECK(site.refusals(ClientRefusal::Evicted) +
            site.refusals(ClientRefusal::BodyDoesNotFit) !=
        0);
  CHECK(site.Handled.empty());
}

// Guards against descriptors that run out, and against a limit that keeps new
// callers out for as long as idle ones stay.
TEST_CASE("above the limit of connections the longest idle one gives way") {
  HttpServerOptions options = Site::makeOptions();
  options.MaxConnections = 3;
  options.HeadTimeout = 300ms;
  Site site(std::size_t{1} << 20, options);
  std::vector<std::unique_ptr<Client>> clients;
  for (int i = 0; i != 5; ++i) {
    clients.push_back(std::make_unique<Client>(site));
    CHECK(site.Server.openConnections() <= 3);
  }
  CHECK(clients[0]->waitForClose());
  CHECK(clients[1]->waitForClose());
  CHECK(site.refusals(ClientRefusal::ConnectionLimit) == 2);
  clients[4]->send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  CHECK(clients[4]->waitForStatus("200"));
  // A head that does not end is closed in the time for it.
  clients[3]->send("GET / HTTP/1.1\r\nX: ");
  CHECK(clients[3]->waitForClose());
  CHECK(site.refusals(ClientRefusal::NoProgress) == 1);
}

namespace {

/// Sends bytes over TLS and returns what comes until `until` or the close.
std::string callWithTls(SocketAddress address, const std::string &bytes,
                        const std::string &until) {
  SSL_CTX *context = SSL_CTX_new(TLS_client_method());
  SSL *tls = SSL_new(context);
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  const timeval limit{std::chrono::seconds(TestLimit).count(), 0};
  setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
  std::string received;
  if (connect(fd, address.data(), address.Length) == 0 &&
      SSL_set_fd(tls, fd) == 1 && SSL_connect(tls) == 1 &&
      SSL_write(tls, bytes.data(), static_cast<int>(bytes.size())) > 0) {
    char buf[4096];
    for (int n = SSL_read(tls, buf, sizeof(buf)); n > 0;
         n = SSL_read(tls, buf, sizeof(buf))) {
      received.append(buf, static_cast<std::size_t>(n));
      if (received.ends_with(until))
        break;
    }
  }
  SSL_free(tls);
  close(fd);
  SSL_CTX_free(context);
  return received;
}

} // namespace

// Guards against TLS connections, which h2o reads itself, that are not served,
// not counted, or counted for ever.
TEST_CASE("connections with TLS are served and counted, and a slow body gives "
          "way") {
  const galenaflow::support::CertificateFile file;
  HttpServerOptions options = Site::makeOptions();
  options.CertificateFile = file.path();
  options.KeyFile = file.path();
  Site site(std::size_t{1} << 20, options);
  std::string received;
  std::atomic<bool> isDone = false;
  const auto call = [&](const std::string &bytes, const std::string &until) {
    isDone = false;
    return std::thread([&, bytes, until] {
      received = callWithTls(site.Address, bytes, until);
      isDone = true;
    });
  };
  const auto waitForCall = [&] {
    return site.Loop.runUntil([&] { return isDone.load(); }, TestLimit);
  };
  std::thread served = call(lengthHead() + std::string(BodyBytes, 'a'), "{}");
  CHECK(waitForCall());
  served.join();
  CHECK_THAT(received, Catch::StartsWith("HTTP/1.1 200"));
  CHECK(site.Handled == std::vector<std::size_t>{BodyBytes});
  std::thread slow = call(lengthHead() + std::string(BodyBytes - 1, 'a'), "{}");
  CHECK(site.Loop.runUntil(
      [&] { return site.Loop.clientMemory().held() > BodyBytes; }, TestLimit));
  // The sweep sees that the limit is exceeded.
  site.Loop.clientMemory().setLimit(BodyBytes);
  CHECK(waitForCall());
  slow.join();
  CHECK(received.empty());
  CHECK(site.refusals(ClientRefusal::Evicted) == 1);
  CHECK(site.Handled.size() == 1);
  CHECK(site.Loop.runUntil([&] { return site.Loop.clientMemory().held() == 0; },
                           TestLimit));
}
