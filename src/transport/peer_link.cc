#include "transport/peer_link.h"

#include "transport/h2o_api.h"
#include "transport/socket_input.h"

#include <algorithm>
#include <map>
#include <random>
#include <set>
#include <unistd.h>

// A link is a socket with a PeerSession. One write is in flight at a time;
// output that is queued meanwhile is sent with the next write.
//
// Two daemons may dial each other at the same time. Both then keep the link
// that the daemon with the smaller (VM id, instance) dialled. Two links dialled
// by the same daemon mean that this daemon no longer has the older link, which
// is therefore closed.
//
// One timer serves heartbeats, receive timeouts and dialling. When the timer
// itself runs late, this process was paused, and frames of the peers wait
// unread in the sockets. The receive timeouts of all links are then restarted.

namespace galenaflow::transport {

using DaemonId = std::pair<std::string, std::string>;

namespace {
constexpr state::Duration TickInterval = std::chrono::milliseconds(50);
constexpr int MaxBackoffDoublings = 16;

DaemonId daemonId(const PeerIdentity &peer) {
  return {peer.VmId, peer.Instance};
}

struct Link {
  PeerNetwork::Impl *Network = nullptr;
  h2o_socket_t *Socket = nullptr;
  PeerSession Session;
  bool Dialled;
  bool Connecting;
  bool Registered = false;
  bool Writing = false;
  std::string DialledAddress; // empty for accepted links
  std::string WriteBuffer;    // bytes of the write in flight
  state::TimePoint Created;
  state::TimePoint LastSent;
  state::TimePoint LastReceived;
};
using LinkPtr = std::shared_ptr<Link>;

struct DialTarget {
  state::TimePoint NextAttempt;
  int Failures = 0;
  DaemonId LastPeer; // the last daemon authenticated at the address
};
} // namespace

struct PeerNetwork::Impl {
  EventLoop &Loop;
  PeerNetworkOptions Options;
  PeerCallbacks Callbacks;
  std::mt19937_64 Random;
  h2o_socket_t *Listener = nullptr;
  TimerId Timer = 0;
  state::TimePoint LastTick;
  std::map<Link *, LinkPtr> Links;
  std::map<DaemonId, LinkPtr> LinksByDaemon;
  std::map<std::string, DialTarget> Targets;
  std::array<std::uint64_t, LinkCloseReasonCount> CloseCounts{};
  std::uint64_t BytesSent = 0;
  std::uint64_t BytesReceived = 0;

  Impl(EventLoop &loop, PeerNetworkOptions options, PeerCallbacks callbacks)
      : Loop(loop), Options(std::move(options)),
        Callbacks(std::move(callbacks)), Random(Options.Seed) {}

  LinkPtr addLink(h2o_socket_t *socket, bool dialled,
                  std::string dialledAddress);
  void startReading(const LinkPtr &link);
  void dial(const std::string &address, DialTarget &target);
  void scheduleRedial(const std::string &address);
  bool isLinked(const std::string &address) const;
  void processInput(const LinkPtr &link, std::string_view bytes);
  bool registerLink(const LinkPtr &link);
  void flush(const LinkPtr &link);
  void close(const LinkPtr &link, LinkCloseReason reason);
  void tick();
  void checkLink(const LinkPtr &link, state::TimePoint now);

  static void onAccept(h2o_socket_t *listener, const char *err);
  static void onConnect(h2o_socket_t *socket, const char *err);
  static void onRead(h2o_socket_t *socket, const char *err);
  static void onWritten(h2o_socket_t *socket, const char *err);
  static LinkPtr linkOf(h2o_socket_t *socket);
};

LinkPtr PeerNetwork::Impl::linkOf(h2o_socket_t *socket) {
  auto *link = static_cast<Link *>(socket->data);
  return link->Network->Links.at(link);
}

LinkPtr PeerNetwork::Impl::addLink(h2o_socket_t *socket, bool dialled,
                                   std::string dialledAddress) {
  const auto now = Loop.now();
  auto link = std::make_shared<Link>(
      Link{this, socket, PeerSession(Options.Session, dialled, randomNonce()),
           dialled, dialled, false, false, std::move(dialledAddress), "", now,
           now, now});
  socket->data = link.get();
  Links.emplace(link.get(), link);
  return link;
}

void PeerNetwork::Impl::onAccept(h2o_socket_t *listener, const char *err) {
  if (err != nullptr)
    return;
  auto *self = static_cast<Impl *>(listener->data);
  h2o_socket_t *socket = h2o_evloop_socket_accept(listener);
  if (socket == nullptr)
    return;
  const auto unauthenticated =
      std::ranges::count_if(self->Links, [](const auto &it) {
        return !it.second->Registered && !it.second->Dialled;
      });
  if (static_cast<std::size_t>(unauthenticated) >=
      self->Options.MaxUnauthenticated) {
    h2o_socket_close(socket);
    return;
  }
  self->startReading(self->addLink(socket, false, ""));
}

void PeerNetwork::Impl::startReading(const LinkPtr &link) {
  link->Connecting = false;
  transport::startReading(link->Socket, &Impl::onRead);
  flush(link);
}

void PeerNetwork::Impl::dial(const std::string &address, DialTarget &target) {
  // A failure of this attempt is counted when its link closes. Until then, the
  // pending link prevents another attempt to the address.
  target.NextAttempt = Loop.now() + Options.ReceiveTimeout;
  auto parsed = parseSocketAddress(address);
  h2o_socket_t *socket = nullptr;
  if (parsed)
    socket = h2o_socket_connect(Loop.handle(), parsed->data(), parsed->Length,
                                &Impl::onConnect);
  if (socket == nullptr) {
    ++CloseCounts[static_cast<std::size_t>(LinkCloseReason::ConnectFailed)];
    scheduleRedial(address);
    return;
  }
  addLink(socket, true, address);
}

void PeerNetwork::Impl::scheduleRedial(const std::string &address) {
  const auto it = Targets.find(address);
  if (it == Targets.end())
    return;
  DialTarget &target = it->second;
  const auto wait =
      std::min(Options.MaxBackoff,
               Options.MinBackoff * (std::int64_t{1} << target.Failures));
  target.Failures = std::min(target.Failures + 1, MaxBackoffDoublings);
  std::uniform_int_distribution<std::int64_t> jitter(wait.count() / 2,
                                                     wait.count());
  target.NextAttempt = Loop.now() + state::Duration(jitter(Random));
}

void PeerNetwork::Impl::onConnect(h2o_socket_t *socket, const char *err) {
  if (socket->data == nullptr)
    return;
  const LinkPtr link = linkOf(socket);
  if (err != nullptr)
    link->Network->close(link, LinkCloseReason::ConnectFailed);
  else
    link->Network->startReading(link);
}

void PeerNetwork::Impl::onRead(h2o_socket_t *socket, const char *) {
  if (socket->data == nullptr)
    return;
  const LinkPtr link = linkOf(socket);
  const SocketInput input = readInput(socket);
  if (input.IsClosed || input.IsBroken) {
    link->Network->close(link, link->Session.hasPartialFrame()
                                   ? LinkCloseReason::Truncated
                                   : LinkCloseReason::PeerClosed);
    return;
  }
  if (!input.Bytes.empty())
    link->Network->processInput(link, input.Bytes);
}

void PeerNetwork::Impl::processInput(const LinkPtr &link,
                                     std::string_view bytes) {
  link->LastReceived = Loop.now();
  BytesReceived += bytes.size();
  std::vector<PeerFrame> frames;
  const LinkCloseReason fault = link->Session.receive(bytes, frames);
  if (link->Session.isUp() && !link->Registered && !registerLink(link))
    return;
  // The frames before a faulty one were authenticated, so they are delivered.
  for (const PeerFrame &frame : frames) {
    if (link->Socket == nullptr)
      return;
    Callbacks.OnMessage(link->Session.peer(), frame.Type, frame.Payload);
  }
  if (link->Socket == nullptr)
    return;
  if (fault != LinkCloseReason::None)
    close(link, fault);
  else
    flush(link);
}

bool PeerNetwork::Impl::registerLink(const LinkPtr &link) {
  const DaemonId peerId = daemonId(link->Session.peer());
  const DaemonId ownId = daemonId(Options.Session.Self);
  const auto target = Targets.find(link->DialledAddress);
  if (target != Targets.end())
    target->second.LastPeer = peerId;
  if (peerId == ownId) {
    close(link, LinkCloseReason::SelfConnection);
    return false;
  }
  const auto it = LinksByDaemon.find(peerId);
  if (it != LinksByDaemon.end()) {
    const LinkPtr old = it->second;
    const bool keepDialled = ownId < peerId;
    if (old->Dialled != link->Dialled && old->Dialled == keepDialled) {
      close(link, LinkCloseReason::Duplicate);
      return false;
    }
    close(old, LinkCloseReason::Duplicate);
  }
  link->Registered = true;
  LinksByDaemon[peerId] = link;
  const auto peerTarget = Targets.find(link->Session.peer().Address);
  if (peerTarget != Targets.end())
    peerTarget->second.Failures = 0;
  Callbacks.OnLinkUp(link->Session.peer());
  return link->Socket != nullptr;
}

void PeerNetwork::Impl::flush(const LinkPtr &link) {
  if (link->Session.outputBytes() + link->WriteBuffer.size() >
      Options.MaxOutputBytes) {
    close(link, LinkCloseReason::OutputOverflow);
    return;
  }
  if (link->Writing || link->Connecting || link->Session.outputBytes() == 0)
    return;
  link->WriteBuffer = link->Session.takeOutput();
  link->Writing = true;
  link->LastSent = Loop.now();
  BytesSent += link->WriteBuffer.size();
  h2o_iovec_t buf =
      h2o_iovec_init(link->WriteBuffer.data(), link->WriteBuffer.size());
  h2o_socket_write(link->Socket, &buf, 1, &Impl::onWritten);
}

void PeerNetwork::Impl::onWritten(h2o_socket_t *socket, const char *err) {
  if (socket->data == nullptr)
    return;
  const LinkPtr link = linkOf(socket);
  link->Writing = false;
  link->WriteBuffer.clear();
  if (err != nullptr)
    link->Network->close(link, LinkCloseReason::PeerClosed);
  else
    link->Network->flush(link);
}

void PeerNetwork::Impl::close(const LinkPtr &link, LinkCloseReason reason) {
  if (link->Socket == nullptr)
    return;
  // Keep the link alive, because it owns the bytes of the write in flight.
  Loop.closeSocket(link->Socket, link);
  link->Socket = nullptr;
  Links.erase(link.get());
  ++CloseCounts[static_cast<std::size_t>(reason)];
  if (!link->DialledAddress.empty())
    scheduleRedial(link->DialledAddress);
  if (!link->Registered)
    return;
  const auto it = LinksByDaemon.find(daemonId(link->Session.peer()));
  if (it != LinksByDaemon.end() && it->second == link)
    LinksByDaemon.erase(it);
  Callbacks.OnLinkDown(link->Session.peer(), reason);
}

bool PeerNetwork::Impl::isLinked(const std::string &address) const {
  return std::ranges::any_of(Links, [&](const auto &it) {
    const Link &link = *it.second;
    return link.DialledAddress == address ||
           (link.Registered && link.Session.peer().Address == address);
  });
}

void PeerNetwork::Impl::tick() {
  const auto now = Loop.now();
  const bool paused = now - LastTick > Options.Heartbeat;
  LastTick = now;
  std::vector<LinkPtr> links;
  for (const auto &it : Links)
    links.push_back(it.second);
  for (const LinkPtr &link : links) {
    if (paused)
      link->LastReceived = now;
    checkLink(link, now);
  }
  for (auto &[address, target] : Targets)
    if (now >= target.NextAttempt && address != Options.Session.Self.Address &&
        !isLinked(address))
      dial(address, target);
  Timer = Loop.schedule(TickInterval, [this] { tick(); });
}

void PeerNetwork::Impl::checkLink(const LinkPtr &link, state::TimePoint now) {
  if (link->Socket == nullptr)
    return;
  if (link->Connecting && now - link->Created > Options.ConnectTimeout)
    close(link, LinkCloseReason::ConnectFailed);
  else if (!link->Registered && now - link->Created > Options.ReceiveTimeout)
    close(link, LinkCloseReason::HandshakeTimeout);
  else if (link->Registered &&
           now - link->LastReceived > Options.ReceiveTimeout)
    close(link, LinkCloseReason::Silent);
  else if (link->Registered && now - link->LastSent >= Options.Heartbeat) {
    link->Session.sendHeartbeat();
    flush(link);
  }
}

PeerNetwork::PeerNetwork(EventLoop &loop, PeerNetworkOptions options,
                         PeerCallbacks callbacks)
    : Self(std::make_shared<Impl>(loop, std::move(options),
                                  std::move(callbacks))) {
  Self->LastTick = loop.now();
  Self->Timer =
      loop.schedule(state::Duration(0), [impl = Self.get()] { impl->tick(); });
}

PeerNetwork::~PeerNetwork() {
  Self->Loop.cancel(Self->Timer);
  Self->Callbacks.OnLinkDown = [](const PeerIdentity &, LinkCloseReason) {};
  while (!Self->Links.empty())
    Self->close(LinkPtr(Self->Links.begin()->second), LinkCloseReason::Local);
  if (Self->Listener != nullptr)
    h2o_socket_close(Self->Listener);
}

state::Result<SocketAddress> PeerNetwork::listen(SocketAddress address) {
  const auto fd = listenOn(address);
  if (!fd)
    return tl::unexpected(fd.error());
  Self->Listener = h2o_evloop_socket_create(Self->Loop.handle(), *fd,
                                            H2O_SOCKET_FLAG_DONT_READ);
  Self->Listener->data = Self.get();
  h2o_socket_read_start(Self->Listener, &Impl::onAccept);
  if (Self->Options.Session.Self.Address.empty())
    Self->Options.Session.Self.Address = address.toText();
  return address;
}

void PeerNetwork::setTargets(const std::vector<std::string> &addresses) {
  std::map<std::string, DialTarget> targets;
  for (const std::string &address : addresses) {
    const auto it = Self->Targets.find(address);
    targets[address] = it != Self->Targets.end() ? it->second : DialTarget{};
  }
  Self->Targets = std::move(targets);
}

void PeerNetwork::setKeys(std::vector<std::string> keys) {
  Self->Options.Session.Keys = std::move(keys);
}

bool PeerNetwork::send(const PeerIdentity &peer, std::uint16_t type,
                       std::string_view payload) {
  const auto it = Self->LinksByDaemon.find(daemonId(peer));
  if (it == Self->LinksByDaemon.end())
    return false;
  const LinkPtr link = it->second;
  if (!link->Session.send(type, payload))
    return false;
  Self->flush(link);
  return link->Socket != nullptr;
}

std::vector<PeerIdentity> PeerNetwork::connected() const {
  std::vector<PeerIdentity> peers;
  for (const auto &it : Self->LinksByDaemon)
    peers.push_back(it.second->Session.peer());
  return peers;
}

std::uint64_t PeerNetwork::closeCount(LinkCloseReason reason) const {
  return Self->CloseCounts[static_cast<std::size_t>(reason)];
}

std::uint64_t PeerNetwork::bytesSent() const { return Self->BytesSent; }
std::uint64_t PeerNetwork::bytesReceived() const { return Self->BytesReceived; }

} // namespace galenaflow::transport
