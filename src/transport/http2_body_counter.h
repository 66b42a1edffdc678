#ifndef GALENAFLOW_TRANSPORT_HTTP2_BODY_COUNTER_H
#define GALENAFLOW_TRANSPORT_HTTP2_BODY_COUNTER_H

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <unordered_map>

namespace galenaflow::transport {

/// Counts the bytes of the request bodies of one HTTP/2 connection that have
/// begun and not ended, from the frames that the client sends. Decides nothing
/// about their validity.
class Http2BodyCounter {
public:
  /// Takes the next bytes of the connection, from the client preface on.
  void feed(std::string_view bytes);

  /// Capacity of the buffers of these bodies, which are doubled.
  std::size_t heldBytes() const { return Held; }

private:
  static constexpr std::size_t PrefaceBytes = 24;
  static constexpr std::size_t HeaderBytes = 9;

  void onFrame();
  void grow(std::uint32_t stream, std::size_t bytes);
  void end(std::uint32_t stream);

  std::size_t PrefaceLeft = PrefaceBytes;
  std::array<unsigned char, HeaderBytes> Header{};
  std::size_t HeaderSize = 0;  ///< bytes of Header that have arrived
  std::size_t PayloadLeft = 0; ///< of the frame whose header has arrived
  std::unordered_map<std::uint32_t, std::size_t> Bodies; ///< bytes by stream
  std::size_t Held = 0;
};

} // namespace galenaflow::transport

#endif
