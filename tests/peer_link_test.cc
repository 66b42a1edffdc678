#include "transport/peer_link.h"

#include <catch2/catch.hpp>
#include <netinet/in.h>
#include <random>
#include <sys/socket.h>
#include <unistd.h>

using namespace galenaflow;
using namespace galenaflow::transport;
using namespace std::chrono_literals;

namespace {

/// Long, since it only ends a test that would otherwise hang.
constexpr auto TestLimit = 20s;
constexpr std::uint16_t TestType = 100;

PeerSessionOptions sessionOptions(const std::string &vm,
                                  std::vector<std::string> keys = {"secret"}) {
  return {{vm, "i-1", "catania-a", ""}, std::move(keys), 1, 1};
}

/// Two sessions that exchange their bytes in memory.
struct SessionPair {
  PeerSession A;
  PeerSession B;
  std::vector<PeerFrame> ReceivedByA;
  std::vector<PeerFrame> ReceivedByB;
  LinkCloseReason CloseReasonA = LinkCloseReason::None;
  LinkCloseReason CloseReasonB = LinkCloseReason::None;

  SessionPair(const PeerSessionOptions &a, const PeerSessionOptions &b)
      : A(a, true, randomNonce()), B(b, false, randomNonce()) {}

  void exchange() {
    for (int i = 0; i != 3; ++i) {
      const std::string fromA = A.takeOutput();
      const std::string fromB = B.takeOutput();
      if (CloseReasonB == LinkCloseReason::None)
        CloseReasonB = B.receive(fromA, ReceivedByB);
      if (CloseReasonA == LinkCloseReason::None)
        CloseReasonA = A.receive(fromB, ReceivedByA);
    }
  }
};

struct Node {
  EventLoop &Loop;
  std::string Received;
  int LinkUps = 0;
  int LinkDowns = 0;
  PeerNetwork Network;
  std::string Address;

  Node(EventLoop &loop, const PeerSessionOptions &session,
       std::size_t maxOutput = 8U << 20)
      : Loop(loop),
        Network(loop, networkOptions(session, maxOutput),
                {[this](const auto &) { ++LinkUps; },
                 [this](const auto &, LinkCloseReason) { ++LinkDowns; },
                 [this](const auto &, std::uint16_t, std::string_view payload) {
                   Received.append(payload);
                 }}) {
    Address = Network.listen(*parseSocketAddress("127.0.0.1:0"))->toText();
  }

  static PeerNetworkOptions networkOptions(const PeerSessionOptions &session,
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

/// Connects a blocking socket, on which only the test itself sends.
int rawConnect(const std::string &address) {
  const auto parsed = parseSocketAddress(address);
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  REQUIRE(connect(fd, parsed->data(), parsed->Length) == 0);
  return fd;
}

} // namespace

// Guards against a link that comes up a second late, since the first packet to
// a VM that was still off is repeated only then.
TEST_CASE("a dial without an answer is repeated") {
  // Packets to a listener whose queue is full are dropped, as those to a VM
  // that is off.
  const int silent = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(address);
  REQUIRE(bind(silent, reinterpret_cast<sockaddr *>(&address), size) == 0);
  REQUIRE(listen(silent, 0) == 0);
  getsockname(silent, reinterpret_cast<sockaddr *>(&address), &size);
  const std::string target =
      "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
  const int queued = rawConnect(target);
  EventLoop loop;
  PeerNetworkOptions options = Node::networkOptions(sessionOptions("a"), 1024);
  // Only ConnectTimeout can end a dial within the limit of the test.
  options.ReceiveTimeout = 10 * TestLimit;
  PeerNetwork network(loop, options,
                      {[](const auto &) {},
                       [](const auto &, LinkCloseReason) {},
                       [](const auto &, std::uint16_t, std::string_view) {}});
  network.setTargets({target});
  CHECK(loop.runUntil(
      [&] { return network.closeCount(LinkCloseReason::ConnectFailed) >= 2; },
      TestLimit));
  close(queued);
  close(silent);
}

// Guards against a peer that fills the memory with one frame.
TEST_CASE("a frame above the limit ends the session before it is received") {
  const auto announce = [](std::uint32_t n) {
    std::string header;
    for (int shift = 24; shift >= 0; shift -= 8)
      header.push_back(static_cast<char>((n >> shift) & 0xff));
    return header + std::string(12, '\0');
  };
  std::vector<PeerFrame> frames;
  PeerSession fresh(sessionOptions("a"), false, randomNonce());
  CHECK(fresh.receive(announce(4096), frames) == LinkCloseReason::None);
  PeerSession other(sessionOptions("a"), false, randomNonce());
  CHECK(other.receive(announce(4097), frames) == LinkCloseReason::TooLarge);
  SessionPair up(sessionOptions("a"), sessionOptions("b"));
  up.exchange();
  REQUIRE(up.A.isUp());
  CHECK(up.A.receive(announce(MaxFramePayload), frames) ==
        LinkCloseReason::None);
  SessionPair next(sessionOptions("a"), sessionOptions("b"));
  next.exchange();
  CHECK(next.A.receive(announce(MaxFramePayload + 1), frames) ==
        LinkCloseReason::TooLarge);
}

// Guards against sessions that disagree on the version or on each other's
// identity, and against messages that are altered or too large.
TEST_CASE("sessions agree on a version, identities and messages") {
  auto newer = sessionOptions("b");
  auto older = sessionOptions("a");
  older.MaxVersion = 2;
  newer.MinVersion = 2;
  newer.MaxVersion = 3;
  SessionPair pair(older, newer);
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
  REQUIRE(pair.ReceivedByB.size() == 1);
  CHECK(pair.ReceivedByB[0].Payload == "hello");
}

// Guards against a key rotation that interrupts links, and against peers that
// are accepted without a common key or version.
TEST_CASE("two valid keys allow a rotation, and a peer without a common key or "
          "version is rejected") {
  SessionPair rotation(sessionOptions("a", {"old", "new"}),
                       sessionOptions("b", {"new"}));
  rotation.exchange();
  CHECK(rotation.A.isUp());
  CHECK(rotation.B.isUp());
  SessionPair withoutCommonKey(sessionOptions("a", {"old"}),
                               sessionOptions("b", {"new"}));
  withoutCommonKey.exchange();
  CHECK(withoutCommonKey.CloseReasonB == LinkCloseReason::NoCommonKey);
  CHECK_FALSE(withoutCommonKey.B.isUp());
  auto newerOnly = sessionOptions("b");
  newerOnly.MinVersion = 2;
  newerOnly.MaxVersion = 2;
  SessionPair withoutCommonVersion(sessionOptions("a"), newerOnly);
  withoutCommonVersion.exchange();
  CHECK(withoutCommonVersion.CloseReasonB == LinkCloseReason::VersionMismatch);
}

// Guards against frames that are accepted twice, out of order, or from another
// session.
TEST_CASE("a replayed, reordered, reflected or foreign frame closes the "
          "session") {
  SessionPair pair(sessionOptions("a"), sessionOptions("b"));
  pair.exchange();
  REQUIRE(pair.A.send(TestType, "first"));
  const std::string first = pair.A.takeOutput();
  REQUIRE(pair.A.send(TestType, "second"));
  const std::string second = pair.A.takeOutput();
  SECTION("replay") {
    CHECK(pair.B.receive(first, pair.ReceivedByB) == LinkCloseReason::None);
    CHECK(pair.B.receive(first, pair.ReceivedByB) ==
          LinkCloseReason::BadSequence);
  }
  SECTION("reordered") {
    CHECK(pair.B.receive(second, pair.ReceivedByB) ==
          LinkCloseReason::BadSequence);
  }
  SECTION("reflected") {
    CHECK(pair.A.receive(first, pair.ReceivedByA) == LinkCloseReason::BadMac);
  }
  SECTION("other session") {
    SessionPair otherSession(sessionOptions("a"), sessionOptions("b"));
    otherSession.exchange();
    CHECK(otherSession.B.receive(first, otherSession.ReceivedByB) ==
          LinkCloseReason::BadMac);
  }
}

// Guards against bytes that are not covered by a check of their integrity.
TEST_CASE("no altered bit is accepted, in the handshake or in messages") {
  std::mt19937_64 random(7);
  for (int round = 0; round != 400; ++round) {
    SessionPair pair(sessionOptions("a"), sessionOptions("b"));
    const bool inHandshake = round % 2 == 0;
    if (!inHandshake) {
      pair.exchange();
      REQUIRE(pair.A.send(TestType, "payload"));
    }
    std::string bytes = pair.A.takeOutput();
    // The MAC field of the hello, its last 16 bytes, is not verified.
    const std::size_t n = bytes.size() - (inHandshake ? 16 : 0);
    char &altered = bytes[random() % n];
    altered = static_cast<char>(static_cast<unsigned char>(altered) ^
                                (1U << (random() % 8)));
    pair.CloseReasonB = pair.B.receive(bytes, pair.ReceivedByB);
    pair.exchange();
    CHECK(pair.ReceivedByB.empty());
    if (inHandshake)
      CHECK_FALSE((pair.A.isUp() && pair.B.isUp()));
  }
}

// Guards against a parser that accepts a handshake without a key, or that reads
// out of bounds.
TEST_CASE("random bytes never bring a session up") {
  std::mt19937_64 random(11);
  for (int round = 0; round != 2000; ++round) {
    PeerSession session(sessionOptions("a"), false, randomNonce());
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

// Guards against two daemons that keep two links, or none, because each closes
// the link that the other one keeps.
TEST_CASE("daemons that dial each other keep one link and exchange messages") {
  EventLoop loop;
  Node a(loop, sessionOptions("a"));
  Node b(loop, sessionOptions("b"));
  a.Network.setTargets({b.Address});
  b.Network.setTargets({a.Address});
  const PeerIdentity idB{"b", "i-1", "", ""};
  const PeerIdentity idA{"a", "i-1", "", ""};
  const std::string big(MaxFramePayload, 'x');
  REQUIRE(loop.runUntil(
      [&] { return a.LinkUps > a.LinkDowns && b.LinkUps > b.LinkDowns; },
      TestLimit));
  loop.runUntil([] { return false; }, 300ms);
  CHECK(a.Network.connected().size() == 1);
  CHECK(b.Network.connected().size() == 1);
  REQUIRE(a.Network.send(idB, TestType, big));
  REQUIRE(b.Network.send(idA, TestType, "answer"));
  REQUIRE(loop.runUntil(
      [&] { return b.Received == big && a.Received == "answer"; }, TestLimit));
}

// Guards against a daemon that stops dialling a peer after its link went down.
TEST_CASE("a link that goes down is dialled again") {
  EventLoop loop;
  Node a(loop, sessionOptions("a"));
  auto b = std::make_unique<Node>(loop, sessionOptions("b"));
  const std::string address = b->Address;
  a.Network.setTargets({address});
  REQUIRE(loop.runUntil([&] { return a.LinkUps == 1; }, TestLimit));
  b.reset();
  REQUIRE(loop.runUntil([&] { return a.LinkDowns == 1; }, TestLimit));
  REQUIRE(a.waitClosed(LinkCloseReason::ConnectFailed));
}

// Guards against failed handshakes that are not counted under their reason.
TEST_CASE("wrong keys, truncated frames and missing handshakes are counted") {
  EventLoop loop;
  Node a(loop, sessionOptions("a"));
  SECTION("wrong key") {
    Node b(loop, sessionOptions("b", {"other"}));
    b.Network.setTargets({a.Address});
    CHECK(a.waitClosed(LinkCloseReason::NoCommonKey));
    CHECK(a.LinkUps == 0);
  }
  SECTION("connection closed inside a frame") {
    const int fd = rawConnect(a.Address);
    PeerSession session(sessionOptions("c"), true, randomNonce());
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

// Guards against links that stay up although the peer is paused, and against
// memory that grows while a peer does not read.
TEST_CASE("an authenticated peer that stops sending or reading is "
          "disconnected") {
  EventLoop loop;
  Node a(loop, sessionOptions("a"), 4U << 20);
  const int fd = rawConnect(a.Address);
  PeerSession session(sessionOptions("c"), true, randomNonce());
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
        return a.LinkUps == 1;
      },
      TestLimit);
  REQUIRE(isUp);
  SECTION("silent") {
    CHECK(a.waitClosed(LinkCloseReason::Silent));
    CHECK(a.LinkDowns == 1);
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
