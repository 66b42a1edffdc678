#include "transport/http2_body_counter.h"

#include <algorithm>
#include <bit>

// h2o keeps the body of each stream in a buffer that it does not show, and
// allows a client a hundred of them. Their sizes follow from the frame headers
// (RFC 9113, section 4.1): u24 length, u8 type, u8 flags, u32 stream. A body
// that has ended is passed on and counted as a request. A stream that the
// server resets stays counted until the connection ends.

namespace galenaflow::transport {

namespace {

constexpr unsigned DataFrame = 0;
constexpr unsigned HeadersFrame = 1;
constexpr unsigned ResetFrame = 3;
constexpr unsigned EndStreamFlag = 1;

/// Capacity of a buffer with this many bytes.
std::size_t capacityOf(std::size_t bytes) {
  return bytes == 0 ? 0 : std::bit_ceil(bytes);
}

} // namespace

void Http2BodyCounter::feed(std::string_view bytes) {
  const std::size_t preface = std::min(PrefaceLeft, bytes.size());
  PrefaceLeft -= preface;
  bytes.remove_prefix(preface);
  while (!bytes.empty()) {
    if (PayloadLeft != 0) {
      const std::size_t n = std::min(PayloadLeft, bytes.size());
      PayloadLeft -= n;
      bytes.remove_prefix(n);
      continue;
    }
    Header[HeaderSize++] = static_cast<unsigned char>(bytes.front());
    bytes.remove_prefix(1);
    if (HeaderSize == HeaderBytes) {
      HeaderSize = 0;
      onFrame();
    }
  }
}

void Http2BodyCounter::onFrame() {
  const auto number = [this](std::size_t at, std::size_t size) {
    std::uint32_t value = 0;
    for (std::size_t i = at; i != at + size; ++i)
      value = value << 8 | Header[i];
    return value;
  };
  PayloadLeft = number(0, 3);
  const unsigned type = Header[3];
  const bool isEnd = (Header[4] & EndStreamFlag) != 0;
  const std::uint32_t stream = number(5, 4);
  if (type == DataFrame && !isEnd)
    grow(stream, PayloadLeft);
  else if (type == ResetFrame ||
           ((type == DataFrame || type == HeadersFrame) && isEnd))
    end(stream);
}

void Http2BodyCounter::grow(std::uint32_t stream, std::size_t bytes) {
  std::size_t &body = Bodies[stream];
  Held -= capacityOf(body);
  body += bytes;
  Held += capacityOf(body);
}

void Http2BodyCounter::end(std::uint32_t stream) {
  const auto it = Bodies.find(stream);
  if (it == Bodies.end())
    return;
  Held -= capacityOf(it->second);
  Bodies.erase(it);
}

} // namespace galenaflow::transport
