#ifndef GALENAFLOW_PROTOCOL_FLATBUFFER_BYTES_H
#define GALENAFLOW_PROTOCOL_FLATBUFFER_BYTES_H

#include <cstdint>
#include <flatbuffers/flatbuffers.h>
#include <string>
#include <string_view>
#include <vector>

/// What the messages between daemons share in reading and writing FlatBuffers.
namespace galenaflow::protocol {

/// A copy of received bytes in aligned memory, which FlatBuffers needs to read
/// numbers in place.
class AlignedBytes {
public:
  explicit AlignedBytes(std::string_view bytes)
      : Words(bytes.size() / sizeof(std::uint64_t) + 1), Size(bytes.size()) {
    bytes.copy(reinterpret_cast<char *>(Words.data()), bytes.size());
  }

  /// The message in the bytes, or null when they are not one. It lives as long
  /// as the bytes.
  template <typename Message> const Message *verifiedRoot() const {
    const auto *data = reinterpret_cast<const std::uint8_t *>(Words.data());
    flatbuffers::Verifier verifier(data, Size);
    return verifier.VerifyBuffer<Message>(nullptr)
               ? flatbuffers::GetRoot<Message>(data)
               : nullptr;
  }

private:
  std::vector<std::uint64_t> Words;
  std::size_t Size;
};

/// An absent text is an empty one.
inline std::string textOf(const flatbuffers::String *text) {
  return text == nullptr ? std::string() : text->str();
}

/// The bytes of a finished message.
inline std::string bytesOf(const flatbuffers::FlatBufferBuilder &builder) {
  return {reinterpret_cast<const char *>(builder.GetBufferPointer()),
          builder.GetSize()};
}

} // namespace galenaflow::protocol

#endif
