#include "transport/http_client.h"
#include "transport/http_server.h"
#include "transport/peer_link.h"

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <string>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <unistd.h>
#include <vector>

// Measures the cost of the transport on one side of a connection. The other
// side runs in a forked process, so that the processor time and, under
// `valgrind --tool=callgrind`, the instructions are those of the client or
// sender alone. Instructions exclude the kernel; the processor time includes
// it, but depends on the machine and its load.
//
//   transport_cost http COUNT BYTES         exchanges on 16 connections
//   transport_cost peer COUNT BYTES         messages to one peer, each echoed
//   transport_cost http-memory COUNT 0      resident memory, COUNT connections
//   transport_cost peer-memory COUNT 0      the same for peer links

using namespace galenaflow;
using namespace galenaflow::transport;
using namespace std::chrono_literals;

namespace {

constexpr auto RunTimeout = 300s;
constexpr std::size_t ConnectionCount = 16;
constexpr std::size_t PeerWindow = 64; ///< messages in flight
constexpr std::uint16_t MessageType = 100;

/// Returns the processor time of this process.
double cpuSeconds() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  const auto seconds = [](const timeval &it) {
    return static_cast<double>(it.tv_sec) +
           static_cast<double>(it.tv_usec) * 1e-6;
  };
  return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

std::size_t residentBytes() {
  std::ifstream file("/proc/self/statm");
  std::size_t total = 0;
  std::size_t resident = 0;
  file >> total >> resident;
  return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

[[noreturn]] void fail(const char *what) {
  std::fprintf(stderr, "%s\n", what);
  std::exit(1);
}

/// Runs the other side of the connections in a child process, which ends with
/// this object or with this process.
class ChildProcess {
public:
  /// `serve` writes its address to the descriptor and does not return.
  template <typename Serve> explicit ChildProcess(Serve serve) {
    int fds[2];
    if (pipe(fds) != 0)
      fail("pipe failed");
    Pid = fork();
    if (Pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      serve(fds[1]);
      _exit(0);
    }
    close(fds[1]);
    char buf[64] = {};
    if (read(fds[0], buf, sizeof buf - 1) <= 0)
      fail("the child process did not start");
    Address = buf;
  }
  ~ChildProcess() { kill(Pid, SIGKILL); }
  ChildProcess(const ChildProcess &) = delete;
  ChildProcess &operator=(const ChildProcess &) = delete;

  std::string Address;

private:
  pid_t Pid;
};

void writeAddress(int fd, const SocketAddress &address) {
  const std::string text = address.toText();
  if (write(fd, text.data(), text.size()) < 0)
    fail("write failed");
}

void serveHttp(int fd, std::size_t bytes) {
  EventLoop loop;
  const std::string body(bytes, 'x');
  HttpServer server(loop, {}, [&](const HttpRequest &, const auto &responder) {
    responder->send(jsonResponse(200, body));
  });
  const auto address = server.listen(*parseSocketAddress("127.0.0.1:0"));
  writeAddress(fd, *address);
  loop.run();
}

/// Returns a request of the size of a sub-request.
HttpRequest subRequest() {
  HttpRequest it{"POST", "/search", {}, std::string(90, 'q')};
  it.Headers.add("x-sub-request-id",
                 "0190d5e4-7c1a-7abc-8def-0123456789ab-1187");
  it.Headers.add("x-deadline-ms", "140");
  it.Headers.add("traceparent",
                 "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01");
  return it;
}

/// Keeps all connections busy until `count` exchanges have ended.
class HttpLoad {
public:
  HttpLoad(EventLoop &loop, const std::string &address, std::size_t n) {
    for (std::size_t i = 0; i != n; ++i)
      Connections.push_back(
          std::make_unique<HttpConnection>(loop, *parseSocketAddress(address)));
  }

  void start(std::size_t count) {
    Remaining = Unsent = count;
    for (const auto &it : Connections)
      sendOn(*it);
  }
  bool isDone() const { return Remaining == 0; }

private:
  void sendOn(HttpConnection &connection) {
    if (Unsent == 0)
      return;
    --Unsent;
    connection.send(subRequest(), RunTimeout, [&](const HttpResult &result) {
      if (!result)
        fail("an HTTP exchange failed");
      --Remaining;
      sendOn(connection);
    });
  }

  std::vector<std::unique_ptr<HttpConnection>> Connections;
  std::size_t Remaining = 0; ///< exchanges that have not ended
  std::size_t Unsent = 0;
};

/// Returns the processor time of the client in seconds.
double runHttp(std::size_t count, std::size_t bytes) {
  const ChildProcess child([&](int fd) { serveHttp(fd, bytes); });
  EventLoop loop;
  HttpLoad load(loop, child.Address, ConnectionCount);
  const double begin = cpuSeconds();
  load.start(count);
  if (!loop.runUntil([&] { return load.isDone(); }, RunTimeout))
    fail("timeout");
  return cpuSeconds() - begin;
}

PeerNetworkOptions peerOptions(std::size_t i) {
  PeerNetworkOptions it;
  it.Session = {
      {"vm-" + std::to_string(i), "i-1", "catania-a", ""}, {"secret"}, 1, 1};
  return it;
}

/// Runs `n` daemons that echo each message. Writes the address of the first.
void servePeers(int fd, std::size_t n) {
  EventLoop loop;
  std::vector<std::unique_ptr<PeerNetwork>> networks(n);
  SocketAddress first;
  for (std::size_t i = 0; i != n; ++i) {
    PeerCallbacks callbacks;
    callbacks.OnLinkUp = [](const PeerIdentity &) {};
    callbacks.OnLinkDown = [](const PeerIdentity &, LinkCloseReason) {};
    callbacks.OnMessage = [&networks, i](const PeerIdentity &from,
                                         std::uint16_t type,
                                         std::string_view payload) {
      networks[i]->send(from, type, payload);
    };
    networks[i] =
        std::make_unique<PeerNetwork>(loop, peerOptions(i + 1), callbacks);
    const auto address =
        networks[i]->listen(*parseSocketAddress("127.0.0.1:0"));
    if (i == 0)
      first = *address;
  }
  writeAddress(fd, first);
  loop.run();
}

/// Returns the processor time of the sender in seconds.
double runPeer(std::size_t count, std::size_t bytes) {
  const ChildProcess child([](int fd) { servePeers(fd, 1); });
  EventLoop loop;
  const std::string payload(bytes, 'x');
  std::size_t sent = 0;
  std::size_t received = 0;
  std::optional<PeerIdentity> peer;
  std::unique_ptr<PeerNetwork> network;
  const auto sendNext = [&] {
    if (sent == count)
      return;
    ++sent;
    network->send(*peer, MessageType, payload);
  };
  PeerCallbacks callbacks;
  callbacks.OnLinkUp = [&](const PeerIdentity &it) { peer = it; };
  callbacks.OnLinkDown = [](const PeerIdentity &, LinkCloseReason) {};
  callbacks.OnMessage = [&](const PeerIdentity &, std::uint16_t,
                            std::string_view) {
    ++received;
    sendNext();
  };
  network = std::make_unique<PeerNetwork>(loop, peerOptions(0), callbacks);
  network->listen(*parseSocketAddress("127.0.0.1:0"));
  network->setTargets({child.Address});
  if (!loop.runUntil([&] { return peer.has_value(); }, RunTimeout))
    fail("the link did not come up");
  const double begin = cpuSeconds();
  for (std::size_t i = 0; i != PeerWindow; ++i)
    sendNext();
  if (!loop.runUntil([&] { return received == count; }, RunTimeout))
    fail("timeout");
  return cpuSeconds() - begin;
}

/// Returns the resident bytes of `count` connections.
std::size_t httpMemory(std::size_t count) {
  const ChildProcess child([](int fd) { serveHttp(fd, 1000); });
  EventLoop loop;
  // The first connection also allocates what all connections share.
  HttpLoad first(loop, child.Address, 1);
  first.start(1);
  loop.runUntil([&] { return first.isDone(); }, RunTimeout);
  const std::size_t before = residentBytes();
  HttpLoad load(loop, child.Address, count);
  load.start(count);
  if (!loop.runUntil([&] { return load.isDone(); }, RunTimeout))
    fail("timeout");
  return residentBytes() - before;
}

/// Runs `n` daemons that open a link to `address`.
void connectPeers(int fd, const std::string &address, std::size_t n) {
  writeAddress(fd, *parseSocketAddress(address));
  EventLoop loop;
  std::vector<std::unique_ptr<PeerNetwork>> networks;
  for (std::size_t i = 0; i != n; ++i) {
    PeerCallbacks callbacks;
    callbacks.OnLinkUp = [](const PeerIdentity &) {};
    callbacks.OnLinkDown = [](const PeerIdentity &, LinkCloseReason) {};
    callbacks.OnMessage = [](const PeerIdentity &, std::uint16_t,
                             std::string_view) {};
    networks.push_back(
        std::make_unique<PeerNetwork>(loop, peerOptions(i + 1), callbacks));
    networks.back()->listen(*parseSocketAddress("127.0.0.1:0"));
    networks.back()->setTargets({address});
  }
  loop.run();
}

/// Returns the resident bytes of `count` links.
std::size_t peerMemory(std::size_t count) {
  EventLoop loop;
  std::size_t up = 0;
  PeerCallbacks callbacks;
  callbacks.OnLinkUp = [&](const PeerIdentity &) { ++up; };
  callbacks.OnLinkDown = [](const PeerIdentity &, LinkCloseReason) {};
  callbacks.OnMessage = [](const PeerIdentity &, std::uint16_t,
                           std::string_view) {};
  PeerNetwork network(loop, peerOptions(0), callbacks);
  const auto address = network.listen(*parseSocketAddress("127.0.0.1:0"));
  const std::size_t before = residentBytes();
  const ChildProcess child(
      [&](int fd) { connectPeers(fd, address->toText(), count); });
  if (!loop.runUntil([&] { return up == count; }, RunTimeout))
    fail("not all links came up");
  return residentBytes() - before;
}

} // namespace

int main(int argc, char **argv) {
  if (argc != 4)
    fail("usage: transport_cost http|peer|http-memory|peer-memory COUNT BYTES");
  const std::string what = argv[1];
  const std::size_t count = std::strtoul(argv[2], nullptr, 10);
  const std::size_t bytes = std::strtoul(argv[3], nullptr, 10);
  if (what == "http-memory" || what == "peer-memory") {
    const std::size_t used =
        what == "http-memory" ? httpMemory(count) : peerMemory(count);
    std::printf("what=%s count=%zu resident_bytes=%zu\n", what.c_str(), count,
                used);
    return 0;
  }
  const double cpu =
      what == "http" ? runHttp(count, bytes) : runPeer(count, bytes);
  std::printf("what=%s count=%zu bytes=%zu cpu_us_each=%.2f\n", what.c_str(),
              count, bytes, cpu * 1e6 / static_cast<double>(count));
  return 0;
}
