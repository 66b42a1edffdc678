#include "transport/peer_session.h"

#include <algorithm>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

// A frame is: u32 payload length, u16 type, u16 version, u64 sequence number,
// payload, 16 bytes of MAC. Numbers are big-endian.
//
// Both sides first send a hello: nonce, version range, ids of their keys and
// identity. Its MAC is zero, since no key is agreed on yet. The transcript (the
// hello of the dialling side, then that of the accepting side, each with its
// header) is covered by the proofs and by the session keys, so an altered hello
// makes the proof fail. Both sides use the key with the smallest id that both
// hold, so they select the same key during a rotation. The proof includes the
// role of its sender, so a proof that is reflected to its sender is rejected.
//
// There is one session key for each direction. The sequence number of a frame
// must be the next one, and the MAC covers it. A recorded frame is therefore
// rejected when it is replayed, reordered, or sent in another direction or
// session.

namespace galenaflow::transport {

namespace {

constexpr std::size_t HeaderBytes = 16;
constexpr std::size_t MacBytes = 16;
constexpr std::size_t KeyIdBytes = 8;
constexpr std::size_t MaxHelloPayload = 4096;
constexpr std::size_t MaxKeys = 2;

constexpr std::uint16_t HelloType = 1;
constexpr std::uint16_t ProofType = 2;
constexpr std::uint16_t HeartbeatType = 3;

template <typename T> void appendNumber(std::string &out, T value) {
  for (int shift = 8 * (static_cast<int>(sizeof(T)) - 1); shift >= 0;
       shift -= 8)
    out.push_back(static_cast<char>((value >> shift) & 0xff));
}

template <typename T> T readNumber(std::string_view bytes) {
  T value = 0;
  for (std::size_t i = 0; i != sizeof(T); ++i)
    value = static_cast<T>((value << 8) | static_cast<unsigned char>(bytes[i]));
  return value;
}

void appendText(std::string &out, std::string_view text) {
  appendNumber(out, static_cast<std::uint16_t>(text.size()));
  out.append(text);
}

/// Reads fields from untrusted bytes. `Failed` stays set after a short read.
struct FieldReader {
  std::string_view Remaining;
  bool Failed = false;

  std::string_view bytes(std::size_t n) {
    if (Failed || Remaining.size() < n) {
      Failed = true;
      return {};
    }
    const std::string_view field = Remaining.substr(0, n);
    Remaining.remove_prefix(n);
    return field;
  }
  std::uint16_t number() {
    const auto field = bytes(2);
    return Failed ? std::uint16_t{0} : readNumber<std::uint16_t>(field);
  }
  std::string text() { return std::string(bytes(number())); }
};

std::string hmac(std::string_view key, std::string_view text) {
  unsigned char digest[EVP_MAX_MD_SIZE];
  unsigned int size = 0;
  HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
       reinterpret_cast<const unsigned char *>(text.data()), text.size(),
       digest, &size);
  return {reinterpret_cast<const char *>(digest), size};
}

std::string keyId(std::string_view key) {
  return hmac(key, "galenaflow peer key id").substr(0, KeyIdBytes);
}

bool equalConstantTime(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

std::string encodeHeader(std::size_t size, std::uint16_t type,
                         std::uint16_t version, std::uint64_t sequence) {
  std::string header;
  appendNumber(header, static_cast<std::uint32_t>(size));
  appendNumber(header, type);
  appendNumber(header, version);
  appendNumber(header, sequence);
  return header;
}

} // namespace

std::string_view linkCloseName(LinkCloseReason reason) {
  constexpr std::array<std::string_view, LinkCloseReasonCount> names = {
      "none",           "local",
      "peer_closed",    "truncated",
      "connect_failed", "handshake_timeout",
      "bad_hello",      "version_mismatch",
      "no_common_key",  "bad_proof",
      "too_large",      "bad_version",
      "bad_sequence",   "bad_mac",
      "silent",         "output_overflow",
      "duplicate",      "self_connection"};
  return names[static_cast<std::size_t>(reason)];
}

PeerNonce randomNonce() {
  PeerNonce nonce{};
  RAND_bytes(nonce.data(), static_cast<int>(nonce.size()));
  return nonce;
}

PeerSession::PeerSession(const PeerSessionOptions &options, bool dialled,
                         const PeerNonce &nonce)
    : Options(options), Dialled(dialled) {
  writeHello(nonce);
}

void PeerSession::writeHello(const PeerNonce &nonce) {
  std::string payload(reinterpret_cast<const char *>(nonce.data()),
                      nonce.size());
  appendNumber(payload, Options.MinVersion);
  appendNumber(payload, Options.MaxVersion);
  const std::size_t n = std::min(Options.Keys.size(), MaxKeys);
  appendNumber(payload, static_cast<std::uint16_t>(n));
  for (std::size_t i = 0; i != n; ++i)
    payload += keyId(Options.Keys[i]);
  appendText(payload, Options.Self.VmId);
  appendText(payload, Options.Self.Instance);
  appendText(payload, Options.Self.DataCentre);
  appendText(payload, Options.Self.Address);
  OwnHello =
      encodeHeader(payload.size(), HelloType, Options.MaxVersion, NextSent++) +
      payload;
  Output += OwnHello;
  Output.append(MacBytes, '\0');
}

LinkCloseReason PeerSession::receive(std::string_view bytes,
                                     std::vector<PeerFrame> &frames) {
  Input.append(bytes);
  std::size_t consumed = 0;
  LinkCloseReason result = LinkCloseReason::None;
  while (result == LinkCloseReason::None &&
         Input.size() - consumed >= HeaderBytes) {
    const std::string_view rest = std::string_view(Input).substr(consumed);
    const std::size_t size = readNumber<std::uint32_t>(rest);
    // Before the handshake is complete, the sender is not authenticated. The
    // smaller limit bounds the memory that such a sender can occupy.
    if (size > (isUp() ? MaxFramePayload : MaxHelloPayload))
      return LinkCloseReason::TooLarge;
    if (rest.size() < HeaderBytes + size + MacBytes)
      break;
    result = processFrame(rest.substr(0, HeaderBytes),
                          rest.substr(HeaderBytes, size),
                          rest.substr(HeaderBytes + size, MacBytes), frames);
    consumed += HeaderBytes + size + MacBytes;
  }
  Input.erase(0, consumed);
  return result;
}

LinkCloseReason PeerSession::processFrame(std::string_view header,
                                          std::string_view payload,
                                          std::string_view mac,
                                          std::vector<PeerFrame> &frames) {
  if (Phase == HandshakePhase::Hello)
    return processHello(header, payload);
  const LinkCloseReason fault = verifyFrame(header, payload, mac);
  if (fault != LinkCloseReason::None)
    return fault;
  const auto type = readNumber<std::uint16_t>(header.substr(4));
  if (Phase == HandshakePhase::Proof)
    return processProof(type, payload);
  if (type >= FirstMessageType)
    frames.push_back({type, std::string(payload)});
  return LinkCloseReason::None;
}

LinkCloseReason PeerSession::verifyFrame(std::string_view header,
                                         std::string_view payload,
                                         std::string_view mac) {
  if (readNumber<std::uint16_t>(header.substr(6)) != Version)
    return LinkCloseReason::BadVersion;
  if (readNumber<std::uint64_t>(header.substr(8)) != NextReceived)
    return LinkCloseReason::BadSequence;
  std::string text(header);
  text.append(payload);
  if (!equalConstantTime(hmac(ReceiveKey, text).substr(0, MacBytes), mac))
    return LinkCloseReason::BadMac;
  ++NextReceived;
  return LinkCloseReason::None;
}

LinkCloseReason PeerSession::processHello(std::string_view header,
                                          std::string_view payload) {
  FieldReader in{payload};
  const auto nonce = in.bytes(std::tuple_size_v<PeerNonce>);
  const std::uint16_t minVersion = in.number();
  const std::uint16_t maxVersion = in.number();
  const std::uint16_t keyCount = in.number();
  if (readNumber<std::uint16_t>(header.substr(4)) != HelloType ||
      readNumber<std::uint64_t>(header.substr(8)) != 0 || keyCount > MaxKeys)
    return LinkCloseReason::BadHello;
  std::vector<std::string> peerKeyIds;
  for (std::uint16_t i = 0; i != keyCount; ++i)
    peerKeyIds.emplace_back(in.bytes(KeyIdBytes));
  Peer = {in.text(), in.text(), in.text(), in.text()};
  if (in.Failed || Peer.VmId.empty() || minVersion > maxVersion)
    return LinkCloseReason::BadHello;
  if (std::string_view(OwnHello).substr(HeaderBytes, nonce.size()) == nonce)
    return LinkCloseReason::BadHello;
  Version = std::min(maxVersion, Options.MaxVersion);
  if (Version < std::max(minVersion, Options.MinVersion))
    return LinkCloseReason::VersionMismatch;
  PeerHello = std::string(header).append(payload);
  ++NextReceived;
  return selectKey(peerKeyIds);
}

LinkCloseReason
PeerSession::selectKey(const std::vector<std::string> &peerKeyIds) {
  std::string bestId;
  for (std::size_t i = 0; i != std::min(Options.Keys.size(), MaxKeys); ++i) {
    const std::string id = keyId(Options.Keys[i]);
    const bool shared = std::ranges::find(peerKeyIds, id) != peerKeyIds.end();
    if (shared && (bestId.empty() || id < bestId)) {
      bestId = id;
      Key = Options.Keys[i];
    }
  }
  if (bestId.empty())
    return LinkCloseReason::NoCommonKey;
  const std::string transcript =
      Dialled ? OwnHello + PeerHello : PeerHello + OwnHello;
  const std::string fromDialler = hmac(Key, "frames of dialler" + transcript);
  const std::string fromAcceptor = hmac(Key, "frames of acceptor" + transcript);
  SendKey = Dialled ? fromDialler : fromAcceptor;
  ReceiveKey = Dialled ? fromAcceptor : fromDialler;
  Phase = HandshakePhase::Proof;
  writeFrame(ProofType, computeProof(Dialled));
  return LinkCloseReason::None;
}

std::string PeerSession::computeProof(bool ofDialler) const {
  const std::string transcript =
      Dialled ? OwnHello + PeerHello : PeerHello + OwnHello;
  return hmac(Key, (ofDialler ? "proof of dialler" : "proof of acceptor") +
                       transcript);
}

LinkCloseReason PeerSession::processProof(std::uint16_t type,
                                          std::string_view payload) {
  if (type != ProofType || !equalConstantTime(computeProof(!Dialled), payload))
    return LinkCloseReason::BadProof;
  Phase = HandshakePhase::Up;
  return LinkCloseReason::None;
}

bool PeerSession::send(std::uint16_t type, std::string_view payload) {
  if (!isUp() || payload.size() > MaxFramePayload || type < FirstMessageType)
    return false;
  writeFrame(type, payload);
  return true;
}

void PeerSession::sendHeartbeat() { writeFrame(HeartbeatType, {}); }

void PeerSession::writeFrame(std::uint16_t type, std::string_view payload) {
  std::string frame = encodeHeader(payload.size(), type, Version, NextSent++);
  frame.append(payload);
  Output += frame;
  Output.append(hmac(SendKey, frame), 0, MacBytes);
}

std::string PeerSession::takeOutput() {
  std::string taken;
  taken.swap(Output);
  return taken;
}

} // namespace galenaflow::transport
