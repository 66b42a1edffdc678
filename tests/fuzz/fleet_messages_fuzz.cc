// Input: two bytes of message type, then the payload of the frame. A decoded
// message must encode to bytes that decode to the same message and that do not
// exceed the largest message of a peer link.
#include "fuzz/fuzz.h"
#include "protocol/fleet_messages.h"

using namespace galenaflow;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data,
                                      std::size_t size) {
  std::string_view input = fuzz::asText(data, size);
  const std::uint16_t type = fuzz::takeNumber(input);
  // FlatBuffers need the alignment of an allocation of its own, which the
  // payload of a frame has too.
  const std::vector<std::uint8_t> bytes(input.begin(), input.end());
  const auto message = protocol::decodeFleetMessage(type, bytes);
  if (!message)
    return 0;
  fuzz::require(protocol::fleetMessageType(message->Body) == type,
                "the type number belongs to the body");
  const auto encoded = protocol::encodeFleetMessage(*message);
  fuzz::require(encoded.size() <= protocol::MaxFleetMessageBytes,
                "a decoded message fits into a frame");
  const auto again = protocol::decodeFleetMessage(type, encoded);
  fuzz::require(again && *again == *message,
                "the message is unchanged by encoding");
  return 0;
}
