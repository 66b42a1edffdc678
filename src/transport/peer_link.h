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
  /// A heartbeat is sent when nothing else has been sent for this time.
  state::Duration Heartbeat = std::chrono::milliseconds(500);
  /// A link on which nothing is received for this time is closed. Also limits
  /// the time of a handshake.
  state::Duration ReceiveTimeout = std::chrono::seconds(2);
  /// A dial that has not connected after this time is repeated. The system
  /// repeats the first packet to a VM that is still off only after a second.
  state::Duration ConnectTimeout = std::chrono::milliseconds(300);
  /// Limit on the bytes queued for one peer. A peer that does not read is
  /// disconnected when its queue exceeds the limit.
  std::size_t MaxOutputBytes = 8U << 20;
  /// Limit on accepted connections that have not finished their handshake.
  /// Further connections are closed when accepted.
  std::size_t MaxUnauthenticated = 64;
  /// Delay before a failed dial is repeated. It doubles with each failure up to
  /// the maximum, and is multiplied by a random factor between 0.5 and 1.
  state::Duration MinBackoff = std::chrono::milliseconds(100);
  state::Duration MaxBackoff = std::chrono::seconds(5);
  std::uint64_t Seed = 1; ///< of the jitter
};

/// Events of the links. OnLinkUp precedes the messages of a link, OnLinkDown
/// follows them.
struct PeerCallbacks {
  std::function<void(const PeerIdentity &)> OnLinkUp;
  std::function<void(const PeerIdentity &, LinkCloseReason)> OnLinkDown;
  std::function<void(const PeerIdentity &, std::uint16_t type,
                     std::string_view payload)>
      OnMessage;
};

/// Keeps authenticated links to other daemons, at most one to each (VM id,
/// instance). Messages on one link arrive in order or the link goes down; a
/// message that was sent shortly before a link went down may be lost.
class PeerNetwork {
public:
  PeerNetwork(EventLoop &loop, PeerNetworkOptions options,
              PeerCallbacks callbacks);
  ~PeerNetwork();
  PeerNetwork(const PeerNetwork &) = delete;
  PeerNetwork &operator=(const PeerNetwork &) = delete;

  /// Starts to accept links from peers. Returns the bound address, which also
  /// becomes the address of this daemon's identity when that has none. Error:
  /// Unavailable.
  state::Result<SocketAddress> listen(SocketAddress address);

  /// Sets the addresses (IP:PORT) to which links are kept. Links to other
  /// addresses stay up but are not dialled again.
  void setTargets(const std::vector<std::string> &addresses);

  /// Replaces the keys for new links, for key rotation. Open links stay up.
  void setKeys(std::vector<std::string> keys);

  /// Queues a message. Returns false when there is no link to the peer, when
  /// the payload exceeds MaxFramePayload, or when the link is closed because
  /// its queue exceeds MaxOutputBytes.
  bool send(const PeerIdentity &peer, std::uint16_t type,
            std::string_view payload);

  /// The peers to which a link is up.
  std::vector<PeerIdentity> connected() const;

  /// Number of links and dials that ended for `reason`.
  std::uint64_t closeCount(LinkCloseReason reason) const;
  std::uint64_t bytesSent() const;
  std::uint64_t bytesReceived() const;

  struct Impl;

private:
  std::shared_ptr<Impl> Self;
};

} // namespace galenaflow::transport

#endif
