// Input: two bytes of frame type, then the payload of a frame of the directory
// relay or of delegation. A decoded message must encode to bytes that decode to
// the same message.
#include "fuzz/fuzz.h"
#include "protocol/delegation_messages.h"
#include "protocol/directory_messages.h"

using namespace galenaflow;
using protocol::DelegationMessageType;
using protocol::DirectoryMessageType;

namespace {

template <typename Decode, typename Encode>
void check(std::string_view input, Decode decode, Encode encode) {
  const auto message = decode(input);
  if (!message)
    return;
  const std::string bytes = encode(*message);
  const auto again = decode(bytes);
  fuzz::require(again.has_value(), "an encoded message decodes");
  fuzz::require(encode(*again) == bytes,
                "the message is unchanged by encoding");
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data,
                                      std::size_t size) {
  std::string_view input = fuzz::asText(data, size);
  const std::uint16_t type = fuzz::takeNumber(input);
  switch (type) {
  case static_cast<std::uint16_t>(DirectoryMessageType::Request):
    check(input, protocol::decodeDirectoryRequest,
          protocol::encodeDirectoryRequest);
    break;
  case static_cast<std::uint16_t>(DirectoryMessageType::Reply):
    check(input, protocol::decodeDirectoryReply,
          protocol::encodeDirectoryReply);
    break;
  case static_cast<std::uint16_t>(DirectoryMessageType::Routes):
    check(input, protocol::decodeDirectoryRoutes,
          protocol::encodeDirectoryRoutes);
    break;
  case static_cast<std::uint16_t>(DelegationMessageType::Request):
    check(input, protocol::decodeDelegatedRequest,
          protocol::encodeDelegatedRequest);
    break;
  case static_cast<std::uint16_t>(DelegationMessageType::Reply):
    check(input, protocol::decodeDelegatedReply,
          protocol::encodeDelegatedReply);
    break;
  case static_cast<std::uint16_t>(DelegationMessageType::Cancel):
    check(input, protocol::decodeDelegationCancel,
          protocol::encodeDelegationCancel);
    break;
  default:
    break;
  }
  return 0;
}
