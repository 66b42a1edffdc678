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

/// Who a daemon is. A VM replaced under the same address has a new instance.
struct PeerIdentity {
  std::string VmId;
  std::string Instance;
  std::string DataCentre;
  std::string Address; ///< IP:PORT on which the daemon accepts peers

  auto operator<=>(const PeerIdentity &) const = default;
};

/// Why a link ended. Each reason has a counter.
enum class LinkCloseReason : std::uint8_t {
  None,
  Local,            ///< closed by this side, for example at shutdown
  PeerClosed,       ///< the peer closed between two frames
  Truncated,        ///< the connection ended inside a frame
  ConnectFailed,    ///< the peer did not accept the connection
  HandshakeTimeout, ///< no complete handshake within the silence limit
  BadHello,         ///< the first frame is malformed
  VersionMismatch,  ///< the version ranges do not overlap
  NoCommonKey,      ///< the peer has none of the valid keys
  BadProof,         ///< the peer does not hold the key that it names
  TooLarge,         ///< a frame above the size limit
  BadVersion,       ///< a frame with a version that was not agreed on
  BadSequence,      ///< a replayed, lost or reordered frame
  BadMac,           ///< an altered frame, or one of another session
  Silent,           ///< nothing received for the silence limit
  OutputOverflow,   ///< the peer does not read
  Duplicate,        ///< another link to the same daemon is kept
  SelfConnection,   ///< the address leads back to this daemon
};
constexpr std::size_t LinkCloseReasonCount = 18;

/// The reason in snake_case.
std::string_view linkCloseName(LinkCloseReason reason);

/// Frame types below this are used by the link itself.
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
  /// Protocol versions that this program speaks.
  std::uint16_t MinVersion = 1;
  std::uint16_t MaxVersion = 1;
};

using PeerNonce = std::array<unsigned char, 32>;
PeerNonce randomNonce();

/// Handshake and framing of one connection, without I/O. Bytes go in through
/// receive() and come out through takeOutput().
class PeerSession {
public:
  PeerSession(const PeerSessionOptions &options, bool dialled,
              const PeerNonce &nonce);

  /// Takes bytes from the connection and appends complete messages to
  /// `frames`. Any result other than None closes the connection.
  LinkCloseReason receive(std::string_view bytes,
                          std::vector<PeerFrame> &frames);

  /// Whether the peer has proved its identity.
  bool isUp() const { return Phase == HandshakePhase::Up; }

  /// Valid once the session is up.
  const PeerIdentity &peer() const { return Peer; }
  std::uint16_t version() const { return Version; }

  /// Queues a message. Requires isUp(). Returns false above MaxFramePayload.
  bool send(std::uint16_t type, std::string_view payload);
  void sendHeartbeat();

  std::size_t outputBytes() const { return Output.size(); }
  std::string takeOutput();

  /// Whether a part of a frame has been received.
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
