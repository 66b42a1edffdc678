// Input: one byte of options, one byte of chunk length, then what a backend
// server sends before it closes its connection. The result must not depend on
// how the bytes are split into reads, and no byte may be read twice or lost.
#include "fuzz/fuzz.h"
#include "transport/http_response_parser.h"

#include <algorithm>

using namespace galenaflow;
using transport::HttpResponseParser;
using State = HttpResponseParser::State;

namespace {

HttpResponseParser parse(std::string_view input,
                         transport::HttpResponseParserOptions options,
                         std::size_t chunk) {
  HttpResponseParser parser(options);
  State state = State::Incomplete;
  while (!input.empty()) {
    const std::size_t n = std::min(chunk, input.size());
    state = parser.feed(input.substr(0, n));
    input.remove_prefix(n);
    if (state == State::Invalid)
      return parser;
  }
  if (state == State::Incomplete)
    parser.finish();
  return parser;
}

State finalState(HttpResponseParser &parser) {
  return parser.finish(); // has no effect after the end
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data,
                                      std::size_t size) {
  std::string_view input = fuzz::asText(data, size);
  const std::uint8_t flags = fuzz::takeByte(input);
  const std::size_t chunk = std::max<std::size_t>(1, fuzz::takeByte(input));
  transport::HttpResponseParserOptions options;
  options.IsHead = (flags & 1U) != 0;
  options.AcceptUnframed = (flags & 2U) != 0;
  if ((flags & 4U) != 0) {
    // Limits that inputs of the fuzzer's length reach.
    options.MaxHeadBytes = 200;
    options.MaxInterimResponses = 3;
    options.MaxBodyBytes = 100;
    options.MaxFramingBytes = 60;
  }
  HttpResponseParser whole = parse(input, options, input.size() + 1);
  HttpResponseParser pieces = parse(input, options, chunk);
  const State state = finalState(whole);
  fuzz::require(state != State::Incomplete,
                "a closed connection ends the response");
  fuzz::require(finalState(pieces) == state,
                "the split into reads does not change the result");
  fuzz::require(whole.heldBytes() <= input.size() &&
                    pieces.heldBytes() <= input.size(),
                "a parser holds no more than the input");
  if (state == State::Invalid) {
    fuzz::require(!whole.error().empty(), "an error has a text");
    return 0;
  }
  fuzz::require(whole.response().Status == pieces.response().Status &&
                    whole.response().Body == pieces.response().Body &&
                    whole.response().Headers.items() ==
                        pieces.response().Headers.items() &&
                    whole.excess() == pieces.excess(),
                "the split into reads does not change the response");
  fuzz::require(whole.excess().empty() || !whole.isPersistent(),
                "a connection with excess bytes is not reused");
  fuzz::require(whole.response().Body.size() <= input.size(),
                "a body is no longer than the input");
  return 0;
}
