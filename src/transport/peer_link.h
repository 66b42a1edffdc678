#ifndef GALENAFLOW_TRANSPORT_PEER_LINK_H
#define GALENAFLOW_TRANSPORT_PEER_LINK_H

#include "transport/event_loop.h"
#include "transport/peer_session.h"
#include "transport/socket_address.h"

#include <functional>
#include <memory>

namespace galenaflow::transport {

struct PeerNetworkOptions {
  PeerSessionOptions Session;
  /// A heartbeat is sent when nothing else was for this long.
  state::Duration Heartbeat = std::chrono::milliseconds(500);
  /// A link on which nothing arrives for this long is closed.
  state::Duration ReceiveTimeout = std::chrono::seconds(2);
  /// Bytes waiting for one peer. A peer that does not read is disconnected.
  std::size_t MaxOutputBytes = 8U << 20;
  /// Accepted connections that have not finished their handshake.
  std::size_t MaxUnauthenticated = 64;
  /// Wait before a failed dial is repeated; doubles up to the maximum, and is
  /// multiplied by a random factor between 0.5 and 1.
  state::Duration MinBackoff = std::chrono::milliseconds(100);
  state::Duration MaxBackoff = std::chrono::seconds(5);
  std::uint64_t Seed = 1; ///< of the jitter
};

struct PeerCallbacks {
  std::function<void(const PeerIdentity &)> OnLinkUp;
  std::function<void(const PeerIdentity &, LinkCloseReason)> OnLinkDown;
  std::function<void(const PeerIdentity &, std::uint16_t type,
                     std::string_view payload)>
      OnMessage;
};

/// Authenticated links to other daemons: at most one to each (VM, instance).
/// Messages on one link arrive in order or the link goes down; a message that
/// was sent shortly before a link went down may be lost.
class PeerNetwork {
public:
  PeerNetwork(EventLoop &loop, PeerNetworkOptions options,
              PeerCallbacks callbacks);
  ~PeerNetwork();
  PeerNetwork(const PeerNetwork &) = delete;
  PeerNetwork &operator=(const PeerNetwork &) = delete;

  /// Accepts peers. Returns the bound address. When the identity has no
  /// address yet, the bound one is used. Error: Unavailable.
  state::Result<SocketAddress> listen(SocketAddress address);

  /// Addresses (IP:PORT) to which a link is kept. Links to others stay up but
  /// are not dialled again.
  void setTargets(const std::vector<std::string> &addresses);

  /// Replaces the keys for new links, for rotation. Live links stay up.
  void setKeys(std::vector<std::string> keys);

  /// Queues a message. Returns false without a link or above the size limit.
  bool send(const PeerIdentity &peer, std::uint16_t type,
            std::string_view payload);

  std::vector<PeerIdentity> connected() const;

  /// Links that ended for `reason`.
  std::uint64_t closeCount(LinkCloseReason reason) const;
  std::uint64_t bytesSent() const;
  std::uint64_t bytesReceived() const;

  struct Impl;

private:
  std::shared_ptr<Impl> Self;
};

} // namespace galenaflow::transport

#endif
