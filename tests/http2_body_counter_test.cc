#include "transport/http2_body_counter.h"

#include <catch2/catch.hpp>
#include <string>

using galenaflow::transport::Http2BodyCounter;

namespace {

constexpr const char *Preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
constexpr char Data = 0;
constexpr char Headers = 1;
constexpr char Reset = 3;
constexpr char EndOfStream = 1;

/// A frame with a payload of this size, whose bytes look like frame headers.
std::string frame(char type, char flags, char stream, std::size_t bytes) {
  return std::string{'\0', static_cast<char>(bytes >> 8),
                     static_cast<char>(bytes)} +
         type + flags + std::string(3, '\0') + stream +
         std::string(bytes, '\1');
}

} // namespace

// Guards against bodies of HTTP/2 that are not counted until they are complete.
TEST_CASE("bodies of HTTP/2 count from their first frame to their end") {
  Http2BodyCounter counter;
  counter.feed(Preface + frame(Headers, 0, 1, 30));
  CHECK(counter.heldBytes() == 0);
  counter.feed(frame(Data, 0, 1, 1000));
  CHECK(counter.heldBytes() == 1024);
  counter.feed(frame(Data, 0, 3, 5000) + frame(Data, 0, 1, 100));
  CHECK(counter.heldBytes() == 8192 + 2048);
  SECTION("the last frame of a body") {
    counter.feed(frame(Data, EndOfStream, 3, 10));
    CHECK(counter.heldBytes() == 2048);
  }
  SECTION("a trailer") {
    counter.feed(frame(Headers, EndOfStream, 3, 10));
    CHECK(counter.heldBytes() == 2048);
  }
  SECTION("a reset") {
    counter.feed(frame(Reset, 0, 3, 4) + frame(Reset, 0, 1, 4));
    CHECK(counter.heldBytes() == 0);
  }
}

TEST_CASE("frames of HTTP/2 are counted alike however they arrive") {
  const std::string bytes = Preface + frame(Headers, 0, 1, 20) +
                            frame(Data, 0, 1, 700) + frame(Data, 0, 5, 3000) +
                            frame(Data, EndOfStream, 1, 1);
  for (const std::size_t piece : {1, 2, 7, 9, 100, 10'000}) {
    Http2BodyCounter counter;
    for (std::size_t at = 0; at < bytes.size(); at += piece)
      counter.feed(std::string_view(bytes).substr(at, piece));
    CHECK(counter.heldBytes() == 4096);
  }
}
