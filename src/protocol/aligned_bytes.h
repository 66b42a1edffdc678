#ifndef GALENAFLOW_PROTOCOL_ALIGNED_BYTES_H
#define GALENAFLOW_PROTOCOL_ALIGNED_BYTES_H

#include <cstdint>
#include <string_view>
#include <vector>

namespace galenaflow::protocol {

/// A copy of received bytes in aligned memory, which FlatBuffers needs to read
/// numbers in place.
class AlignedBytes {
public:
  explicit AlignedBytes(std::string_view bytes)
      : Words(bytes.size() / sizeof(std::uint64_t) + 1), Size(bytes.size()) {
    bytes.copy(reinterpret_cast<char *>(Words.data()), bytes.size());
  }

  const std::uint8_t *data() const {
    return reinterpret_cast<const std::uint8_t *>(Words.data());
  }
  std::size_t size() const { return Size; }

private:
  std::vector<std::uint64_t> Words;
  std::size_t Size;
};

} // namespace galenaflow::protocol

#endif
