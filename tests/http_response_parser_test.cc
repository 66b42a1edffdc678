#include "transport/http_response_parser.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace galenaflow::transport;
using State = HttpResponseParser::State;

namespace {

/// Feeds `text` in pieces of `step` bytes.
State feedInSteps(HttpResponseParser &parser, std::string_view text,
                  std::size_t step) {
  State state = State::Incomplete;
  for (std::size_t i = 0; i < text.size(); i += step)
    state = parser.feed(text.substr(i, step));
  return state;
}

constexpr std::string_view Plain =
    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-A: b\r\n\r\nhello";
constexpr std::string_view Chunked =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    "3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n";

} // namespace

TEST_CASE("a response is parsed identically however its bytes are split") {
  for (const std::string_view text : {Plain, Chunked})
    for (std::size_t step = 1; step <= text.size(); ++step) {
      HttpResponseParser parser({});
      INFO("step " << step);
      REQUIRE(feedInSteps(parser, text, step) == State::Complete);
      CHECK(parser.response().Status == 200);
      CHECK(parser.response().Body == "hello");
      CHECK(parser.excess().empty());
      CHECK(parser.isPersistent());
    }
}

// Guards against bytes of a duplicated response that are parsed as the response
// to the next request.
TEST_CASE("bytes after a response are kept separately and end persistence") {
  for (const std::string_view text : {Plain, Chunked}) {
    HttpResponseParser parser({});
    REQUIRE(parser.feed(std::string(text) + "HTTP/1.1 200") == State::Complete);
    CHECK(parser.response().Body == "hello");
    CHECK(parser.excess() == "HTTP/1.1 200");
    CHECK_FALSE(parser.isPersistent());
  }
}

// Guards against a truncated response that looks complete.
TEST_CASE("a response that is truncated after any byte is an error") {
  for (const std::string_view text : {Plain, Chunked})
    for (std::size_t n = 0; n != text.size(); ++n) {
      HttpResponseParser parser({});
      parser.feed(text.substr(0, n));
      INFO("after " << n);
      CHECK(parser.finish() == State::Invalid);
    }
}

TEST_CASE("a body without a length is accepted only by option and after a "
          "clean close") {
  constexpr std::string_view text = "HTTP/1.1 200 OK\r\n\r\nhello";
  HttpResponseParser strict({});
  CHECK(strict.feed(text) == State::Invalid);
  HttpResponseParserOptions options;
  options.AcceptUnframed = true;
  HttpResponseParser parser(options);
  CHECK(parser.feed(text) == State::Incomplete);
  REQUIRE(parser.finish() == State::Complete);
  CHECK(parser.response().Body == "hello");
  CHECK_FALSE(parser.isPersistent());
}

TEST_CASE("contradictory or unknown framing is an error") {
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  const std::string chunked = "Transfer-Encoding: chunked\r\n";
  const std::vector<std::string> texts = {
      ok + "Content-Length: 1\r\nContent-Length: 2\r\n\r\n",
      ok + "Content-Length: 1x\r\n\r\n",
      ok + "Content-Length: 1\r\n" + chunked + "\r\n",
      ok + "Transfer-Encoding: gzip\r\n\r\n",
      ok + chunked + "\r\nzz\r\n",
      "HTTP/1.1 999 OK\r\n\r\n",
      "no response at all\r\n\r\n"};
  for (const std::string &text : texts) {
    INFO(text);
    HttpResponseParser parser({});
    CHECK(parser.feed(text) == State::Invalid);
    CHECK_FALSE(parser.error().empty());
  }
}

TEST_CASE("interim responses are skipped and HEAD has no body") {
  HttpResponseParser parser({});
  REQUIRE(parser.feed("HTTP/1.1 100 Continue\r\n\r\n") == State::Incomplete);
  REQUIRE(parser.feed(Plain) == State::Complete);
  CHECK(parser.response().Body == "hello");
  HttpResponseParserOptions options;
  options.IsHead = true;
  HttpResponseParser head(options);
  REQUIRE(head.feed("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n") ==
          State::Complete);
  CHECK(head.response().Body.empty());
}

TEST_CASE("a head or body above its limit is an error") {
  HttpResponseParserOptions options;
  options.MaxBodyBytes = 4;
  options.MaxHeadBytes = 50;
  HttpResponseParser body(options);
  CHECK(body.feed(Plain) == State::Invalid);
  HttpResponseParser head(options);
  CHECK(head.feed("HTTP/1.1 200 OK\r\nX: " + std::string(100, 'a')) ==
        State::Invalid);
}

namespace {

std::string repeat(std::string_view text, std::size_t n) {
  std::string all;
  all.reserve(text.size() * n);
  for (std::size_t i = 0; i != n; ++i)
    all += text;
  return all;
}

/// Feeds copies of `text` until the parser ends or has got `limit` bytes, as
/// from a peer that sends until its connection is closed. Returns the bytes
/// that were fed.
std::size_t feedUntilEnd(HttpResponseParser &parser, std::string_view text,
                         std::size_t limit) {
  std::size_t n = 0;
  while (n < limit && parser.feed(text) == State::Incomplete)
    n += text.size();
  return n;
}

constexpr std::size_t EndlessBytes = std::size_t{64} << 20;

} // namespace

// Guards against a backend server that ends the process by many interim
// responses in one read, each of which used a frame of the stack.
TEST_CASE("interim responses are limited in number, also in one read") {
  constexpr std::string_view interim = "HTTP/1.1 100 Continue\r\n\r\n";
  for (const std::size_t n : {std::size_t{17}, std::size_t{200'000}}) {
    HttpResponseParser parser({});
    REQUIRE(parser.feed(repeat(interim, n) + std::string(Plain)) ==
            State::Invalid);
    CHECK(parser.exceededLimit() == ResponseLimit::InterimResponses);
  }
  HttpResponseParser parser({});
  REQUIRE(parser.feed(repeat(interim, 16) + std::string(Plain)) ==
          State::Complete);
  CHECK(parser.response().Body == "hello");
}

TEST_CASE("the heads of interim responses count towards the head limit") {
  const std::string interim =
      "HTTP/1.1 103 Early Hints\r\nLink: " + std::string(6000, 'a') +
      "\r\n\r\n";
  for (const std::size_t step : {std::size_t{1000}, std::size_t{1'000'000}}) {
    HttpResponseParser parser({});
    REQUIRE(feedInSteps(parser, repeat(interim, 12), step) == State::Invalid);
    CHECK(parser.exceededLimit() == ResponseLimit::HeadBytes);
  }
}

// Guards against bytes that never end a response and so occupy the process
// until the deadline.
TEST_CASE("a response without end is ended by a limit") {
  struct Case {
    std::string Start;
    std::string Repeated;
    ResponseLimit Limit;
    std::size_t MaxBytes;
  };
  const HttpResponseParserOptions limits;
  const std::string chunked =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::vector<Case> cases = {
      {"HTTP/1.1 200 OK\r\nX: ", "aaaaaaaa", ResponseLimit::HeadBytes,
       limits.MaxHeadBytes},
      {"HTTP/1.1 ", "2000", ResponseLimit::HeadBytes, limits.MaxHeadBytes},
      {"HTTP/1.1 200 OK\r\n", "X: a\r\n", ResponseLimit::HeadBytes,
       limits.MaxHeadBytes},
      {chunked + "1;", "extension", ResponseLimit::FramingBytes,
       limits.MaxFramingBytes},
      {chunked, "1;extension=value\r\nx\r\n", ResponseLimit::FramingBytes,
       2 * limits.MaxFramingBytes},
      {chunked + "0\r\n", "Trailer: value\r\n", ResponseLimit::FramingBytes,
       limits.MaxFramingBytes},
      {chunked + "0\r\nTrailer: ", "value", ResponseLimit::FramingBytes,
       limits.MaxFramingBytes},
      {chunked, "400\r\n" + std::string(1024, 'a') + "\r\n",
       ResponseLimit::BodyBytes, 2 * limits.MaxBodyBytes},
      {"HTTP/1.1 200 OK\r\n\r\n", "body", ResponseLimit::BodyBytes,
       limits.MaxBodyBytes}};
  for (const Case &it : cases)
    for (const std::size_t copies : {std::size_t{1}, std::size_t{4096}}) {
      INFO(it.Start << it.Repeated.substr(0, 20) << " times " << copies);
      HttpResponseParserOptions options;
      options.AcceptUnframed = true;
      HttpResponseParser parser(options);
      parser.feed(it.Start);
      const std::string text = repeat(it.Repeated, copies);
      const std::size_t n = feedUntilEnd(parser, text, EndlessBytes);
      CHECK(n <= it.MaxBytes + text.size());
      CHECK_FALSE(parser.error().empty());
      CHECK(parser.exceededLimit() == it.Limit);
    }
}

TEST_CASE("the limit on framing admits a body in small chunks") {
  const std::size_t n = 50'000;
  HttpResponseParser parser({});
  parser.feed("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
  parser.feed(repeat("1\r\nx\r\n", n));
  REQUIRE(parser.feed("0\r\n\r\n") == State::Complete);
  CHECK(parser.response().Body.size() == n);
}

// Guards against a body that escapes the limit because it arrives together with
// its head. Found by the fuzz target.
TEST_CASE("an unframed body above the limit is an error, also in one read") {
  const std::string text = "HTTP/1.1 200 OK\r\n\r\n" + std::string(101, 'a');
  HttpResponseParserOptions options;
  options.AcceptUnframed = true;
  options.MaxBodyBytes = 100;
  for (const std::size_t step : {std::size_t{1}, text.size()}) {
    HttpResponseParser parser(options);
    REQUIRE(feedInSteps(parser, text, step) == State::Invalid);
    CHECK(parser.exceededLimit() == ResponseLimit::BodyBytes);
  }
}

TEST_CASE("connections that the peer will close are not persistent") {
  HttpResponseParser closing({});
  closing.feed("HTTP/1.1 200 OK\r\nConnection: x, Close\r\n"
               "Content-Length: 0\r\n\r\n");
  CHECK_FALSE(closing.isPersistent());
  HttpResponseParser old({});
  old.feed("HTTP/1.0 200 OK\r\nContent-Length: 0\r\n\r\n");
  CHECK_FALSE(old.isPersistent());
}

// Guards against bytes of a peer that end the process.
TEST_CASE("a corrupt response is always either complete or invalid") {
  rc::check([](std::uint8_t at, unsigned char byte, std::uint8_t step) {
    for (const std::string_view text : {Plain, Chunked}) {
      std::string corrupt(text);
      corrupt[at % corrupt.size()] = static_cast<char>(byte);
      HttpResponseParser parser({});
      feedInSteps(parser, corrupt, step % 40 + std::size_t{1});
      const State end = parser.finish();
      RC_ASSERT(end == State::Complete || end == State::Invalid);
    }
  });
}

namespace {

/// What follows "HTTP/1.1 " in status lines that no response may have. The last
/// ones are 200 modulo a power of two.
const std::vector<std::string> InvalidStatuses = {"000 OK",
                                                  "099 OK",
                                                  "600 OK",
                                                  "999 OK",
                                                  "20 OK",
                                                  "2000 OK",
                                                  "-1 OK",
                                                  "-200 OK",
                                                  "+200 OK",
                                                  "0200 OK",
                                                  "00200 OK",
                                                  "200x OK",
                                                  "2x0 OK",
                                                  "0xc8 OK",
                                                  "2 00 OK",
                                                  "abc OK",
                                                  " OK",
                                                  "OK",
                                                  "",
                                                  " 200 OK",
                                                  "200.0 OK",
                                                  "2e2 OK",
                                                  "4294967496 OK",
                                                  "18446744073709551816 OK",
                                                  "65736 OK",
                                                  "100000000200 OK"};

const std::string NoBody = "\r\nContent-Length: 0\r\n\r\n";

std::string join(std::initializer_list<std::string_view> parts) {
  std::string text;
  for (const std::string_view part : parts)
    text += part;
  return text;
}

} // namespace

// Guards against a response of a server in trouble that is taken as an answer:
// a status of 000 was handed on to callers.
TEST_CASE("a status line without a status from 100 to 599 is an error, also "
          "after interim responses") {
  for (const std::string &status : InvalidStatuses)
    for (const std::string interim :
         {"", "HTTP/1.1 100 Continue\r\n\r\n",
          "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"})
      for (const std::size_t step : {std::size_t{1}, std::size_t{1000}}) {
        INFO(interim << status << " in steps of " << step);
        HttpResponseParser parser({});
        feedInSteps(parser, join({interim, "HTTP/1.1 ", status, NoBody}), step);
        CHECK(parser.finish() == State::Invalid);
        CHECK_FALSE(parser.error().empty());
        CHECK(parser.response().Headers.items().empty());
      }
}

TEST_CASE("any reason, or none, may follow the status") {
  for (const std::string status : {"200 ", "200 OK", "599 -1", "404 20"}) {
    INFO(status);
    HttpResponseParser parser({});
    REQUIRE(parser.feed(join({"HTTP/1.1 ", status, NoBody})) ==
            State::Complete);
    CHECK(parser.response().Status == std::stoi(status));
  }
}

// Guards against an interim response, or a change of the protocol that was not
// asked for, that is taken as the answer.
TEST_CASE("a 1xx status is never the final one") {
  HttpResponseParserOptions options;
  options.AcceptUnframed = GENERATE(false, true);
  for (const std::string status : {"100", "101", "102", "103", "199"})
    for (const std::string &rest : std::vector<std::string>{
             "\r\n\r\n", NoBody,
             "\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n\r\nabc",
             "\r\nX-Signature: s\r\nContent-Length: 2\r\n\r\nab"}) {
      INFO(status << rest);
      HttpResponseParser parser(options);
      parser.feed(join({"HTTP/1.1 ", status, " x", rest}));
      CHECK(parser.finish() == State::Invalid);
    }
}

// Guards against the body of a response that has none which is read as the
// response to the next request on the connection.
TEST_CASE("204 and 304 have no body, and one that is announced ends "
          "persistence") {
  for (const std::string status : {"204", "304"}) {
    const std::string head = "HTTP/1.1 " + status + " x\r\nX: y\r\n";
    for (const std::string rest : {"\r\n", "Content-Length: 0\r\n\r\n"}) {
      HttpResponseParser parser({});
      REQUIRE(parser.feed(head + rest) == State::Complete);
      CHECK(parser.isPersistent());
    }
    for (const std::string rest :
         {"Content-Length: 5\r\n\r\n", "Content-Length: 5\r\n\r\nhello",
          "Transfer-Encoding: chunked\r\n\r\n",
          "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n",
          "\r\nhello"}) {
      INFO(status << rest);
      HttpResponseParser parser({});
      REQUIRE(parser.feed(head + rest) == State::Complete);
      CHECK(std::to_string(parser.response().Status) == status);
      CHECK(parser.response().Body.empty());
      CHECK_FALSE(parser.isPersistent());
    }
  }
}

// Guards against a length or chunk size that is taken modulo a power of two, or
// with a sign, so that the body of one response becomes the next response.
TEST_CASE("a length that is no number within the limit is an error") {
  const std::string head = "HTTP/1.1 200 OK\r\n";
  const std::vector<std::string> lengths = {"-1",
                                            "+1",
                                            "-0",
                                            "",
                                            " ",
                                            "1 1",
                                            "1,1",
                                            "1, 1",
                                            "0x1",
                                            "1.0",
                                            "1e0",
                                            "18446744073709551616",
                                            "18446744073709551617",
                                            "9223372036854775808",
                                            "4194305",
                                            "99999999999999999999999999"};
  for (const std::string &length : lengths) {
    INFO(length);
    HttpResponseParser parser({});
    CHECK(parser.feed(join({head, "Content-Length: ", length, "\r\n\r\nx"})) ==
          State::Invalid);
  }
  const std::vector<std::string> sizes = {"-1",
                                          "+1",
                                          "",
                                          "x",
                                          "0x1",
                                          "1 1",
                                          "ffffffffffffffff",
                                          "8000000000000000",
                                          "10000000000000001",
                                          "00000000000000001",
                                          "400001"};
  for (const std::string &size : sizes) {
    INFO(size);
    HttpResponseParser parser({});
    parser.feed(head + "Transfer-Encoding: chunked\r\n\r\n");
    feedUntilEnd(parser, size + "\r\n" + std::string(65536, 'x'),
                 2 * HttpResponseParserOptions().MaxBodyBytes);
    CHECK(parser.finish() == State::Invalid);
  }
}
