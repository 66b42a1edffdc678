#ifndef GALENAFLOW_TRANSPORT_PEER_SESSION_H
#define GALENAFLOW_TRANSPORT_PEER_SESSION_H

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace galenaflow::transport {

/// Identifies a daemon. A VM replaced under the same address has a new
/// instance.
struct PeerIdentity {
  std::string VmId;
  std::string Instance;
  std::string DataCentre;
  std::string Address; ///< IP:PORT on which the daemon accepts peers

  auto operator<=>(const PeerIdentity &) const = default;
};

/// The reason for which a link ended. Each reason has a counter.
enum class LinkCloseReason : std::uint8_t {
  None,
  Local,            ///< closed by this side, for example at shutdown
  PeerClosed,       ///< the peer closed between two frames
  Truncated,        ///< the connection ended inside a frame
  ConnectFailed,    ///< the peer did not accept the connection
  HandshakeTimeout, ///< no complete handshake within the receive timeout
  BadHello,         ///< the first frame is malformed
  VersionMismatch,  ///< the version ranges do not overlap
  NoCommonKey,      ///< the peer has none of the valid keys
  BadProof,         ///< the peer does not hold the key whose id it sent
  TooLarge,         ///< a frame above the size limit
  BadVersion,       ///< a frame with a version that was not agreed on
  BadSequence,      ///< a replayed, lost or reordered frame
  BadMac,           ///< an altered frame, or one of another session
  Silent,           ///< nothing received within the receive timeout
  OutputOverflow,   ///< the peer does not read, and its queue is full
  Duplicate,        ///< another link to the same daemon is kept
  SelfConnection,   ///< the dialled address belongs to this daemon
};
constexpr std::size_t LinkCloseReasonCount = 18;

/// The name of the reason in snake_case.
std::string_view linkCloseName(LinkCloseReason reason);

/// Frame types below this value are reserved for the link itself.
constexpr std::uint16_t FirstMessageType = 16;

constexpr std::size_t MaxFramePayload = 1'500'000; // bytes

struct PeerFrame {
  std::uint16_t Type = 0;
  std::string Payload;
};

struct PeerSessionOptions {
  PeerIdentity Self;
  /// One shared key, or two during a rotation.
  std::vector<std::string> Keys;
  /// Range of protocol versions that this program supports.
  std::uint16_t MinVersion = 1;
  std::uint16_t MaxVersion = 1;
};

using PeerNonce = std::array<unsigned char, 32>;
PeerNonce randomNonce();

/// Implements the handshake and framing of one connection, without I/O. The
/// owner passes received bytes to receive() and sends the bytes of
/// takeOutput().
class PeerSession {
public:
  PeerSession(const PeerSessionOptions &options, bool dialled,
              const PeerNonce &nonce);

  /// Processes bytes from the connection and appends complete messages to
  /// `frames`. The owner must close the connection after any result other than
  /// None.
  LinkCloseReason receive(std::string_view bytes,
                          std::vector<PeerFrame> &frames);

  /// Whether the handshake is complete, so that the peer is authenticated.
  bool isUp() const { return Phase == HandshakePhase::Up; }

  /// Valid once the session is up.
  const PeerIdentity &peer() const { return Peer; }
  std::uint16_t version() const { return Version; }

  /// Queues a message. Returns false when the session is not up, when the
  /// payload exceeds MaxFramePayload, or when `type` is reserved for the link.
  bool send(std::uint16_t type, std::string_view payload);
  void sendHeartbeat();

  std::size_t outputBytes() const { return Output.size(); }
  std::string takeOutput();

  /// Whether an incomplete frame has been received.
  bool hasPartialFrame() const { return !Input.empty(); }

private:
  enum class HandshakePhase { Hello, Proof, Up };

  LinkCloseReason processFrame(std::string_view header,
                               std::string_view payload, std::string_view mac,
                               std::vector<PeerFrame> &frames);
  LinkCloseReason verifyFrame(std::string_view header, std::string_view payload,
                              std::string_view mac);
  LinkCloseReason processHello(std::string_view header,
                               std::string_view payload);
  LinkCloseReason selectKey(const std::vector<std::string> &peerKeyIds);
  LinkCloseReason processProof(std::uint16_t type, std::string_view payload);
  void writeHello(const PeerNonce &nonce);
  void writeFrame(std::uint16_t type, std::string_view payload);
  std::string computeProof(bool ofDialler) const;

  const PeerSessionOptions Options;
  const bool Dialled;
  HandshakePhase Phase = HandshakePhase::Hello;
  std::string OwnHello;
  std::string PeerHello;
  std::string Key;
  std::string SendKey;
  std::string ReceiveKey;
  std::uint16_t Version = 0;
  std::uint64_t NextSent = 0;
  std::uint64_t NextReceived = 0;
  PeerIdentity Peer;
  std::string Input;
  std::string Output;
};

} // namespace galenaflow::transport

#endif
