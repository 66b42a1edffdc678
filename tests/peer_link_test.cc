#include "transport/peer_link.h"

#include <catch2/catch.hpp>
#include <random>
#include <sys/socket.h>
#include <unistd.h>

using namespace galenaflow;
using namespace galenaflow::transport;
using namespace std::chrono_literals;

namespace {

/// Generous, because it only bounds a test that would otherwise hang.
constexpr auto TestLimit = 20s;
constexpr std::uint16_t TestType = 100;

PeerSessionOptions options(const std::string &vm,
                           std::vector<std::string> keys = {"secret"}) {
  return {{vm, "i-1", "catania-a", ""}, std::move(keys), 1, 1};
}

/// Two sessions connected by memory.
struct Pair {
  PeerSession A;
  PeerSession B;
  std::vector<PeerFrame> AtA;
  std::vector<PeerFrame> AtB;
  LinkCloseReason EndA = LinkCloseReason::None;
  LinkCloseReason EndB = LinkCloseReason::None;

  Pair(const PeerSessionOptions &a, const PeerSessionOptions &b)
      : A(a, true, randomNonce()), B(b, false, randomNonce()) {}

  void exchange() {
    for (int i = 0; i != 3; ++i) {
      const std::string fromA = A.takeOutput();
      const std::string fromB = B.takeOutput();
      if (EndB == LinkCloseReason::None)
        EndB = B.receive(fromA, AtB);
      if (EndA == LinkCloseReason::None)
        EndA = A.receive(fromB, AtA);
    }
  }
};

struct Node {
  EventLoop &Loop;
  std::string Received;
  int Ups = 0;
  int Downs = 0;
  PeerNetwork Network;
  std::string Address;

  Node(EventLoop &loop, const PeerSessionOptions &session,
       std::size_t maxOutput = 8U << 20)
      : Loop(loop),
        Network(loop, settings(session, maxOutput),
                {[this](const auto &) { ++Ups; },
                 [this](const auto &, LinkCloseReason) { ++Downs; },
                 [this](const auto &, std::uint16_t, std::string_view payload) {
                   Received.append(payload);
                 }}) {
    Address = Network.listen(*parseSocketAddress("127.0.0.1:0"))->toText();
  }

  static PeerNetworkOptions settings(const PeerSessionOptions &session,
                                     std::size_t maxOutput) {
    PeerNetworkOptions result;
    result.Session = session;
    result.MaxOutputBytes = maxOutput;
    return result;
  }
  bool waitClosed(LinkCloseReason reason) {
    return Loop.runUntil([&] { return Network.closeCount(reason) != 0; },
                         TestLimit);
  }
};

/// A blocking client that speaks only as far as a test wants it to.
int rawConnect(const std::string &address) {
  const auto parsed = parseSocketAddress(address);
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  REQUIRE(connect(fd, parsed->data(), parsed->Length) == 0);
  return fd;
}

} // namespace

TEST_CASE("sessions agree on identity, version and messages") {
  auto newer = options("b");
  auto older = options("a");
  older.MaxVersion = 2;
  newer.MinVersion = 2;
  newer.MaxVersion = 3;
  Pair pair(older, newer);
  pair.exchange();
  REQUIRE(pair.A.isUp());
  REQUIRE(pair.B.isUp());
  CHECK(pair.A.version() == 2);
  CHECK(pair.B.version() == 2);
  CHECK(pair.A.peer().VmId == "b");
  CHECK(pair.B.peer().VmId == "a");
  REQUIRE(pair.A.send(TestType, "hello"));
  CHECK_FALSE(pair.A.send(TestType, std::string(MaxFramePayload + 1, 'x')));
  pair.exchange();
  REQUIRE(pair.AtB.size() == 1);
  CHECK(pair.AtB[0].Payload == "hello");
}

TEST_CASE("keys rotate through two valid keys, and strangers are refused") {
  Pair rotation(options("a", {"old", "new"}), options("b", {"new"}));
  rotation.exchange();
  CHECK(rotation.A.isUp());
  CHECK(rotation.B.isUp());
  Pair stranger(options("a", {"old"}), options("b", {"new"}));
  stranger.exchange();
  CHECK(stranger.EndB == LinkCloseReason::NoCommonKey);
  CHECK_FALSE(stranger.B.isUp());
  auto future = options("b");
  future.MinVersion = 2;
  future.MaxVersion = 2;
  Pair versions(options("a"), future);
  versions.exchange();
  CHECK(versions.EndB == LinkCloseReason::VersionMismatch);
}

TEST_CASE("replayed, lost and foreign frames close the session") {
  Pair pair(options("a"), options("b"));
  pair.exchange();
  REQUIRE(pair.A.send(TestType, "first"));
  const std::string first = pair.A.takeOutput();
  REQUIRE(pair.A.send(TestType, "second"));
  const std::string second = pair.A.takeOutput();
  SECTION("replay") {
    CHECK(pair.B.receive(first, pair.AtB) == LinkCloseReason::None);
    CHECK(pair.B.receive(first, pair.AtB) == LinkCloseReason::BadSequence);
  }
  SECTION("reordered") {
    CHECK(pair.B.receive(second, pair.AtB) == LinkCloseReason::BadSequence);
  }
  SECTION("reflected") {
    CHECK(pair.A.receive(first, pair.AtA) == LinkCloseReason::BadMac);
  }
  SECTION("other session") {
    Pair other(options("a"), options("b"));
    other.exchange();
    CHECK(other.B.receive(first, other.AtB) == LinkCloseReason::BadMac);
  }
}

TEST_CASE("one altered bit is never accepted, in handshake or messages") {
  std::mt19937_64 random(7);
  for (int round = 0; round != 400; ++round) {
    Pair pair(options("a"), options("b"));
    const bool inHandshake = round % 2 == 0;
    if (!inHandshake) {
      pair.exchange();
      REQUIRE(pair.A.send(TestType, "payload"));
    }
    std::string bytes = pair.A.takeOutput();
    // The MAC of the hello is not in use.
    const std::size_t n = bytes.size() - (inHandshake ? 16 : 0);
    char &altered = bytes[random() % n];
    altered = static_cast<char>(static_cast<unsigned char>(altered) ^
                                (1U << (random() % 8)));
    pair.EndB = pair.B.receive(bytes, pair.AtB);
    pair.exchange();
    CHECK(pair.AtB.empty());
    if (inHandshake)
      CHECK_FALSE((pair.A.isUp() && pair.B.isUp()));
  }
}

TEST_CASE("random bytes never bring a session up") {
  std::mt19937_64 random(11);
  for (int round = 0; round != 2000; ++round) {
    PeerSession session(options("a"), false, randomNonce());
    std::string bytes(random() % 300, '\0');
    for (char &c : bytes)
      c = static_cast<char>(random());
    if (round % 2 == 0 && bytes.size() > 16)
      bytes.replace(0, 16,
                    std::string("\0\0\0\x60\0\1\0\1\0\0\0\0\0\0\0\0", 16));
    std::vector<PeerFrame> frames;
    session.receive(bytes, frames);
    CHECK_FALSE(session.isUp());
    CHECK(frames.empty());
  }
}

TEST_CASE("daemons that dial each other keep one link and exchange messages") {
  EventLoop loop;
  Node a(loop, options("a"));
  Node b(loop, options("b"));
  a.Network.setTargets({b.Address});
  b.Network.setTargets({a.Address});
  const PeerIdentity idB{"b", "i-1", "", ""};
  const PeerIdentity idA{"a", "i-1", "", ""};
  const std::string big(MaxFramePayload, 'x');
  REQUIRE(loop.runUntil([&] { return a.Ups > a.Downs && b.Ups > b.Downs; },
                        TestLimit));
  loop.runUntil([] { return false; }, 300ms);
  CHECK(a.Network.connected().size() == 1);
  CHECK(b.Network.connected().size() == 1);
  REQUIRE(a.Network.send(idB, TestType, big));
  REQUIRE(b.Network.send(idA, TestType, "answer"));
  REQUIRE(loop.runUntil(
      [&] { return b.Received == big && a.Received == "answer"; }, TestLimit));
}

TEST_CASE("a link that goes down is dialled again") {
  EventLoop loop;
  Node a(loop, options("a"));
  auto b = std::make_unique<Node>(loop, options("b"));
  const std::string address = b->Address;
  a.Network.setTargets({address});
  REQUIRE(loop.runUntil([&] { return a.Ups == 1; }, TestLimit));
  b.reset();
  REQUIRE(loop.runUntil([&] { return a.Downs == 1; }, TestLimit));
  REQUIRE(a.waitClosed(LinkCloseReason::ConnectFailed));
}

TEST_CASE("strangers, cut connections and silent peers are counted") {
  EventLoop loop;
  Node a(loop, options("a"));
  SECTION("wrong key") {
    Node b(loop, options("b", {"other"}));
    b.Network.setTargets({a.Address});
    CHECK(a.waitClosed(LinkCloseReason::NoCommonKey));
    CHECK(a.Ups == 0);
  }
  SECTION("cut inside a frame") {
    const int fd = rawConnect(a.Address);
    PeerSession session(options("c"), true, randomNonce());
    const std::string hello = session.takeOutput();
    REQUIRE(write(fd, hello.data(), 20) == 20);
    close(fd);
    CHECK(a.waitClosed(LinkCloseReason::Truncated));
  }
  SECTION("no handshake") {
    const int fd = rawConnect(a.Address);
    CHECK(a.waitClosed(LinkCloseReason::HandshakeTimeout));
    close(fd);
  }
}

TEST_CASE("a proven peer that falls silent or stops reading is disconnected") {
  EventLoop loop;
  Node a(loop, options("a"), 4U << 20);
  const int fd = rawConnect(a.Address);
  PeerSession session(options("c"), true, randomNonce());
  std::vector<PeerFrame> frames;
  const bool isUp = loop.runUntil(
      [&] {
        const std::string out = session.takeOutput();
        if (!out.empty() && write(fd, out.data(), out.size()) < 0)
          return false;
        char buf[4096];
        const auto n = recv(fd, buf, sizeof(buf), MSG_DONTWAIT);
        if (n > 0)
          session.receive({buf, static_cast<std::size_t>(n)}, frames);
        return a.Ups == 1;
      },
      TestLimit);
  REQUIRE(isUp);
  SECTION("silent") {
    CHECK(a.waitClosed(LinkCloseReason::Silent));
    CHECK(a.Downs == 1);
  }
  SECTION("not reading") {
    const std::string big(1'000'000, 'x');
    bool isOpen = true;
    for (int i = 0; isOpen && i != 100; ++i)
      isOpen = a.Network.send({"c", "i-1", "", ""}, TestType, big);
    CHECK_FALSE(isOpen);
    CHECK(a.Network.closeCount(LinkCloseReason::OutputOverflow) == 1);
  }
  close(fd);
}
