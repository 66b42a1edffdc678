#ifndef GALENAFLOW_PROTOCOL_FLATBUFFER_BYTES_H
#define GALENAFLOW_PROTOCOL_FLATBUFFER_BYTES_H

#include "state/clock.h"

#include <algorithm>
#include <cstdint>
#include <flatbuffers/flatbuffers.h>
#include <string>
#include <string_view>
#include <vector>

/// Helpers for reading and writing messages between daemons as FlatBuffers.
namespace galenaflow::protocol {

/// Holds a copy of received bytes in aligned memory, because FlatBuffers reads
/// numbers in place.
class AlignedBytes {
public:
  explicit AlignedBytes(std::string_view bytes)
      : Words(bytes.size() / sizeof(std::uint64_t) + 1), Size(bytes.size()) {
    bytes.copy(reinterpret_cast<char *>(Words.data()), bytes.size());
  }

  /// Returns the message in the bytes, or null when the bytes are not a valid
  /// message. The message is valid for the lifetime of this object.
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

/// Longer times of a peer are shortened to this, so that sums and differences
/// with them cannot overflow. No time in a message is as long.
constexpr state::Duration MaxPeerTime = std::chrono::hours(24);

/// Returns a time that a peer states in microseconds, from zero to MaxPeerTime.
inline state::Duration timeOf(std::int64_t us) {
  return std::clamp(state::Duration(us), state::Duration(0), MaxPeerTime);
}

/// Returns an empty string for an absent field.
inline std::string textOf(const flatbuffers::String *text) {
  return text == nullptr ? std::string() : text->str();
}

/// Returns the bytes of a finished message.
inline std::string bytesOf(const flatbuffers::FlatBufferBuilder &builder) {
  return {reinterpret_cast<const char *>(builder.GetBufferPointer()),
          builder.GetSize()};
}

} // namespace galenaflow::protocol

#endif
