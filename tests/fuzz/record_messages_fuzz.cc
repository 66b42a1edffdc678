// Input: two bytes of message type, then the payload of the frame. A decoded
// message must encode to bytes that decode and encode to the same bytes again.
#include "fuzz/fuzz.h"
#include "protocol/records_messages.h"

using namespace galenaflow;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data,
                                      std::size_t size) {
  std::string_view input = fuzz::asText(data, size);
  const std::uint16_t type = fuzz::takeNumber(input);
  // FlatBuffers need the alignment of an allocation of its own, which the
  // payload of a frame has too.
  const std::vector<char> bytes(input.begin(), input.end());
  const auto message =
      protocol::decodeRecordMessage(type, {bytes.data(), bytes.size()});
  if (!message)
    return 0;
  fuzz::require(protocol::isRecordMessageType(type),
                "only record message types are accepted");
  const std::string encoded = protocol::encodeRecordMessage(*message);
  const auto again = protocol::decodeRecordMessage(type, encoded);
  fuzz::require(again.has_value(), "an encoded message decodes");
  fuzz::require(again->Type == message->Type, "the type is kept");
  fuzz::require(protocol::encodeRecordMessage(*again) == encoded,
                "the message is unchanged by encoding");
  return 0;
}
