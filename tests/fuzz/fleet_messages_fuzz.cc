// Input: two bytes of message type, then the payload of the frame. What decodes
// must encode to bytes that decode to the same message, within the size that
// the peer link carries.
#include "fuzz/fuzz.h"
#include "protocol/fleet_messages.h"

using namespace galenaflow;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data,
                                      std::size_t size) {
  std::string_view input = fuzz::asText(data, size);
  const std::uint16_t type = fuzz::takeNumber(input);
  // FlatBuffers need the alignment of a separate allocation, which frames have.
  const std::vector<std::uint8_t> bytes(input.begin(), input.end());
  const auto message = protocol::decodeFleetMessage(type, bytes);
  if (!message)
    return 0;
  fuzz::require(protocol::fleetMessageType(message->Body) == type,
                "the type number is that of the body");
  const auto encoded = protocol::encodeFleetMessage(*message);
  fuzz::require(encoded.size() <= protocol::MaxFleetMessageBytes,
                "a decoded message fits into a frame");
  const auto again = protocol::decodeFleetMessage(type, encoded);
  fuzz::require(again && *again == *message, "the message survives encoding");
  return 0;
}
