#include "transport/http_client.h"
#include "transport/http_server.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <deque>
#include <sys/resource.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

// A program of its own, because the memory that a process has used at the most
// includes that of all tests before.

using namespace galenaflow::transport;
using namespace std::chrono_literals;

namespace {

constexpr auto TestLimit = 10s;

/// Accepts connections and, after start(), sends to each from threads of its
/// own, as fast as the peer reads.
class FastSender {
public:
  explicit FastSender(std::string bytes)
      : Bytes(std::move(bytes)), Listener(socket(AF_INET, SOCK_STREAM, 0)) {
    REQUIRE(bind(Listener, Address.data(), Address.Length) == 0);
    REQUIRE(::listen(Listener, 100) == 0);
    getsockname(Listener, Address.data(), &Address.Length);
    Threads.emplace_back([this] {
      for (int fd = accept(Listener, nullptr, nullptr); fd != -1;
           fd = accept(Listener, nullptr, nullptr))
        Threads.emplace_back([this, fd] {
          IsStarted.wait(false);
          while (::send(fd, Bytes.data(), Bytes.size(), MSG_NOSIGNAL) > 0)
            ;
          close(fd);
        });
    });
  }
  /// All connections must be closed before.
  ~FastSender() {
    shutdown(Listener, SHUT_RDWR);
    Threads.front().join();
    for (std::size_t i = 1; i < Threads.size(); ++i)
      Threads[i].join();
    close(Listener);
  }
  const SocketAddress &address() const { return Address; }
  void start() {
    IsStarted = true;
    IsStarted.notify_all();
  }

private:
  const std::string Bytes;
  std::atomic<bool> IsStarted = false;
  SocketAddress Address = *parseSocketAddress("127.0.0.1:0");
  int Listener;
  std::deque<std::thread> Threads;
};

/// The largest memory that this process has used, in bytes. Zero with the
/// address sanitizer, which keeps freed memory.
std::size_t peakMemory() {
#ifdef __SANITIZE_ADDRESS__
  return 0;
#else
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  return static_cast<std::size_t>(usage.ru_maxrss) * 1024;
#endif
}

} // namespace

// Guards against a process that is killed for its memory because one read of a
// connection returns all that a fast server sends.
TEST_CASE(
    "servers that send faster than they are read cost no more memory than "
    "the limit of the process") {
  constexpr std::size_t limit = std::size_t{2} << 20;
  EventLoop loop;
  loop.receiveLimits().setProcessBytes(limit);
  // Responses to another request, each within the limit of one response.
  std::string bytes = "HTTP/1.1 200 OK\r\nid: other\r\nContent-Length: "
                      "4000000\r\n\r\n" +
                      std::string(4'000'000, 'a');
  FastSender server(std::move(bytes));
  HttpRequest request{"GET", "/", {}, ""};
  request.Headers.add("id", "own");
  request.Rules.EchoHeader = "id";
  const std::size_t before = peakMemory();
  std::size_t ended = 0;
  std::vector<std::unique_ptr<HttpConnection>> connections;
  for (int i = 0; i != 30; ++i) {
    connections.push_back(
        std::make_unique<HttpConnection>(loop, server.address()));
    connections.back()->send(request, TestLimit,
                             [&ended](const HttpResult &result) {
                               CHECK_FALSE(result.has_value());
                               ++ended;
                             });
  }
  loop.runUntil([] { return false; }, 50ms);
  server.start();
  // The receive buffers fill while the process does something else.
  std::this_thread::sleep_for(200ms);
  CHECK(loop.runUntil([&] { return ended == connections.size(); }, TestLimit));
  connections.clear();
  loop.runUntil([] { return false; }, 10ms);
  // A buffer that grows by doubling may hold twice the bytes.
  CHECK(peakMemory() - before <= 3 * limit);
}

// Guards against the same on the side of callers, whose connections h2o reads:
// extensions of chunks are not kept, but a read returned all that had arrived.
TEST_CASE(
    "callers that send faster than they are read cost no more memory than "
    "their limits") {
  constexpr std::size_t callers = 50;
  constexpr std::size_t headBytes = 400'000; // h2o's limit
  EventLoop loop;
  HttpServerOptions options;
  HttpServer server(loop, options, [](const HttpRequest &, const auto &it) {
    it->send(jsonResponse(200, ""));
  });
  const auto address = server.listen(*parseSocketAddress("127.0.0.1:0"));
  REQUIRE(address);
  std::string bytes = "1;" + std::string(std::size_t{1} << 20, 'a');
  const std::size_t before = peakMemory();
  std::atomic<bool> isEnded = false;
  std::vector<std::thread> threads;
  for (std::size_t i = 0; i != callers; ++i)
    threads.emplace_back([&] {
      SocketAddress target = *address;
      const int fd = socket(AF_INET, SOCK_STREAM, 0);
      const std::string head = "POST / HTTP/1.1\r\nHost: h\r\n"
                               "Transfer-Encoding: chunked\r\n\r\n";
      if (connect(fd, target.data(), target.Length) == 0)
        ::send(fd, head.data(), head.size(), MSG_NOSIGNAL);
      while (!isEnded &&
             ::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL) > 0)
        ;
      close(fd);
    });
  loop.runUntil([] { return false; }, 300ms);
  // The receive buffers fill while the process does something else.
  std::this_thread::sleep_for(200ms);
  loop.runUntil([] { return false; }, 1s);
  const std::size_t grown = peakMemory() - before;
  isEnded = true;
  loop.runUntil([&] { return server.openConnections() == 0; }, TestLimit);
  for (std::thread &it : threads)
    it.join();
  CHECK(grown <= callers * (headBytes + options.MaxBodyBytes));
}
