// Input: one byte of mode, one byte of chunk length, then bytes.
//   0  the bytes are received instead of a handshake
//   1  the bytes are received after a handshake
//   2  the bytes are the position of a change in the stream of frames (two
//      bytes), a mask for that change, and the payloads of the messages, each
//      after a byte that states its length
// Without the key, no input may establish a session or be delivered as a
// message, and the result must not depend on how the bytes are split into
// reads.
#include "fuzz/fuzz.h"
#include "transport/peer_session.h"

#include <algorithm>

using namespace galenaflow;
using transport::LinkCloseReason;
using transport::PeerFrame;
using transport::PeerSession;

namespace {

transport::PeerSessionOptions makeOptions(const std::string &name) {
  transport::PeerSessionOptions options;
  options.Self = {name, "1", "a", "127.0.0.1:1"};
  options.Keys = {"0123456789abcdef0123456789abcdef"};
  return options;
}

transport::PeerNonce makeNonce(unsigned char fill) {
  transport::PeerNonce nonce;
  nonce.fill(fill);
  return nonce;
}

/// Two sessions with fixed nonces, so that the result depends only on the
/// input.
struct SessionPair {
  PeerSession Dialler{makeOptions("vm-1"), true, makeNonce(1)};
  PeerSession Acceptor{makeOptions("vm-2"), false, makeNonce(2)};

  void completeHandshake() {
    std::vector<PeerFrame> none;
    for (int round = 0; round != 2; ++round) {
      Acceptor.receive(Dialler.takeOutput(), none);
      Dialler.receive(Acceptor.takeOutput(), none);
    }
    fuzz::require(Dialler.isUp() && Acceptor.isUp(), "a handshake succeeds");
  }
};

LinkCloseReason receiveInChunks(PeerSession &session, std::string_view bytes,
                                std::size_t chunk,
                                std::vector<PeerFrame> &frames) {
  LinkCloseReason result = LinkCloseReason::None;
  while (!bytes.empty() && result == LinkCloseReason::None) {
    result = session.receive(bytes.substr(0, chunk), frames);
    bytes.remove_prefix(std::min(chunk, bytes.size()));
  }
  return result;
}

void checkForeignBytes(std::string_view bytes, std::size_t chunk, bool isUp) {
  SessionPair whole;
  SessionPair chunked;
  if (isUp) {
    whole.completeHandshake();
    chunked.completeHandshake();
  }
  std::vector<PeerFrame> frames;
  const LinkCloseReason result = whole.Acceptor.receive(bytes, frames);
  const LinkCloseReason same =
      receiveInChunks(chunked.Acceptor, bytes, chunk, frames);
  fuzz::require(result == same, "the result is independent of the reads");
  fuzz::require(frames.empty(), "nothing is delivered without the key");
  fuzz::require(whole.Acceptor.isUp() == isUp &&
                    chunked.Acceptor.isUp() == isUp,
                "no session is established without the key");
}

/// Checks that the delivered messages are the first of those sent, and that all
/// of them are delivered if and only if nothing was altered.
void checkDelivered(const std::vector<PeerFrame> &sent,
                    const std::vector<PeerFrame> &received, bool isAltered) {
  fuzz::require(isAltered ? received.size() < sent.size()
                          : received.size() == sent.size(),
                "all messages are delivered if and only if none is altered");
  for (std::size_t i = 0; i != received.size(); ++i)
    fuzz::require(received[i].Type == sent[i].Type &&
                      received[i].Payload == sent[i].Payload,
                  "messages arrive unaltered and in order");
}

void checkStream(std::string_view input, std::size_t chunk) {
  SessionPair pair;
  pair.completeHandshake();
  const std::uint16_t position = fuzz::takeNumber(input);
  const std::uint8_t mask = fuzz::takeByte(input);
  std::vector<PeerFrame> sent;
  do {
    const std::size_t payloadSize = 1U + fuzz::takeByte(input);
    const std::size_t n = std::min(payloadSize, input.size());
    const auto type =
        static_cast<std::uint16_t>(transport::FirstMessageType + sent.size());
    sent.push_back({type, std::string(input.substr(0, n))});
    input.remove_prefix(n);
    pair.Dialler.send(type, sent.back().Payload);
  } while (!input.empty());
  std::string stream = pair.Dialler.takeOutput();
  char &altered = stream[position % stream.size()];
  altered = static_cast<char>(altered ^ mask);
  std::vector<PeerFrame> received;
  receiveInChunks(pair.Acceptor, stream, chunk, received);
  checkDelivered(sent, received, mask != 0);
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data,
                                      std::size_t size) {
  std::string_view input = fuzz::asText(data, size);
  const int mode = fuzz::takeByte(input) % 3;
  const std::size_t chunk = 1 + fuzz::takeByte(input);
  if (mode == 2)
    checkStream(input, chunk);
  else
    checkForeignBytes(input, chunk, mode == 1);
  return 0;
}
