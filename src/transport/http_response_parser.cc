#include "transport/http_response_parser.h"

#include "transport/h2o_api.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>
#include <utility>

// The tokenizer is picohttpparser, which h2o contains and exports. The HTTP
// client of h2o 2.2 is not used, because an assertion in it ends the process
// when a peer sends bytes that belong to no request.
//
// Framing follows RFC 9112, section 6.3: no body for HEAD, 1xx, 204 and 304;
// then chunked; then content-length; otherwise the body is delimited by the end
// of the connection. Contradictory lengths are an error, since either could be
// wrong.
//
// A peer may send bytes without end. Everything that does not add to the body
// is therefore limited as well: heads, interim responses, and the framing of
// chunks. The limits apply to sums that only grow, so the result does not
// depend on how the bytes are split into reads.

namespace galenaflow::transport {

namespace {

constexpr std::size_t MaxHeaders = 100;

std::optional<std::size_t> parseLength(std::string_view text) {
  std::size_t n = 0;
  const auto [end, ec] =
      std::from_chars(text.data(), text.data() + text.size(), n);
  if (ec != std::errc() || end != text.data() + text.size())
    return std::nullopt;
  return n;
}

} // namespace

HttpResponseParser::State HttpResponseParser::fail(std::string text) {
  Error = std::move(text);
  return CurrentState = State::Invalid;
}

HttpResponseParser::State HttpResponseParser::failAtLimit(ResponseLimit limit,
                                                          std::size_t got,
                                                          std::size_t max) {
  ExceededLimit = limit;
  return fail("response exceeds " + std::string(responseLimitName(limit)) +
              ": got " + std::to_string(got) + ", expected at most " +
              std::to_string(max));
}

HttpResponseParser::State
HttpResponseParser::complete(std::string_view excess) {
  Excess = excess;
  if (!Excess.empty())
    Persistent = false;
  return CurrentState = State::Complete;
}

HttpResponseParser::State HttpResponseParser::feed(std::string_view bytes) {
  if (CurrentState == State::Complete)
    Excess += bytes;
  if (CurrentState != State::Incomplete || bytes.empty())
    return CurrentState;
  Started = true;
  if (!HeadParsed) {
    Buffer += bytes;
    return parseHeads();
  }
  switch (BodyFraming) {
  case Framing::ContentLength:
    Buffer += bytes;
    return readSizedBody();
  case Framing::Chunked:
    Response.Body += bytes;
    return decodeChunks(bytes.size());
  case Framing::UntilClose:
    Response.Body += bytes;
    return checkBodySize();
  case Framing::None:
    break;
  }
  return CurrentState;
}

HttpResponseParser::State HttpResponseParser::finish() {
  if (CurrentState != State::Incomplete)
    return CurrentState;
  if (HeadParsed && BodyFraming == Framing::UntilClose &&
      Options.AcceptUnframed)
    return complete({});
  return fail(Started ? "the connection was closed inside a response"
                      : "the connection was closed before a response");
}

// Interim responses are discarded; the final one follows.
HttpResponseParser::State HttpResponseParser::parseHeads() {
  HeadResult result = parseHead();
  while (result == HeadResult::Interim && !Buffer.empty())
    result = parseHead();
  if (result != HeadResult::Final)
    return CurrentState;
  HeadParsed = true;
  return chooseFraming();
}

HttpResponseParser::HeadResult HttpResponseParser::parseHead() {
  std::array<phr_header, MaxHeaders> headers{};
  std::size_t count = headers.size();
  int status = 0;
  const char *message = nullptr;
  std::size_t messageSize = 0;
  const int n = phr_parse_response(Buffer.data(), Buffer.size(), &MinorVersion,
                                   &status, &message, &messageSize,
                                   headers.data(), &count, LastHeadSize);
  if (n == -1) {
    fail("the bytes are not an HTTP response");
    return HeadResult::Invalid;
  }
  const bool isComplete = n >= 0;
  const std::size_t size =
      HeadBytes + (isComplete ? static_cast<std::size_t>(n) : Buffer.size());
  if (size > Options.MaxHeadBytes) {
    failAtLimit(ResponseLimit::HeadBytes, size, Options.MaxHeadBytes);
    return HeadResult::Invalid;
  }
  if (!isComplete) {
    LastHeadSize = Buffer.size();
    return HeadResult::Incomplete;
  }
  LastHeadSize = 0;
  if (status < 100 || status > 599) {
    fail("invalid status: got " + std::to_string(status) +
         ", expected 100 to 599");
    return HeadResult::Invalid;
  }
  // No request here asks for another protocol.
  if (status == 101) {
    fail("unrequested change of the protocol");
    return HeadResult::Invalid;
  }
  const bool isInterim = status < 200;
  if (isInterim && ++InterimResponses > Options.MaxInterimResponses) {
    failAtLimit(ResponseLimit::InterimResponses, InterimResponses,
                Options.MaxInterimResponses);
    return HeadResult::Invalid;
  }
  for (std::size_t i = 0; i != count; ++i) {
    if (headers[i].name == nullptr) {
      fail("folded header line");
      return HeadResult::Invalid;
    }
    if (!isInterim)
      Response.Headers.add({headers[i].name, headers[i].name_len},
                           {headers[i].value, headers[i].value_len});
  }
  Response.Status = status;
  Buffer.erase(0, static_cast<std::size_t>(n));
  HeadBytes = size;
  return isInterim ? HeadResult::Interim : HeadResult::Final;
}

HttpResponseParser::State HttpResponseParser::chooseFraming() {
  bool isChunked = false;
  bool hasClose = false;
  bool hasKeepAlive = false;
  std::optional<std::size_t> length;
  for (const auto &[name, value] : Response.Headers.items()) {
    if (equalIgnoringCase(name, "transfer-encoding")) {
      if (!equalIgnoringCase(value, "chunked"))
        return fail("unknown transfer encoding");
      isChunked = true;
    } else if (equalIgnoringCase(name, "content-length")) {
      const auto n = parseLength(value);
      if (!n || (length && length != n))
        return fail("invalid content length");
      length = n;
    } else if (equalIgnoringCase(name, "connection")) {
      hasClose |= listContains(value, "close");
      hasKeepAlive |= listContains(value, "keep-alive");
    }
  }
  Persistent = MinorVersion >= 1 ? !hasClose : hasKeepAlive && !hasClose;
  if (isChunked && length)
    return fail("both chunked and with a content length");
  const int status = Response.Status;
  const bool isBodiless = status == 204 || status == 304;
  // A peer that announces a body may send one, later than its head.
  if (isBodiless && (isChunked || length.value_or(0) != 0))
    Persistent = false;
  if (Options.IsHead || isBodiless)
    return complete(std::exchange(Buffer, {}));
  if (isChunked) {
    BodyFraming = Framing::Chunked;
    Response.Body = std::exchange(Buffer, {});
    return Response.Body.empty() ? CurrentState
                                 : decodeChunks(Response.Body.size());
  }
  if (length) {
    if (*length > Options.MaxBodyBytes)
      return failAtLimit(ResponseLimit::BodyBytes, *length,
                         Options.MaxBodyBytes);
    BodyFraming = Framing::ContentLength;
    ContentLength = *length;
    return readSizedBody();
  }
  if (!Options.AcceptUnframed)
    return fail("response has no length");
  Persistent = false;
  BodyFraming = Framing::UntilClose;
  Response.Body = std::exchange(Buffer, {});
  return checkBodySize();
}

HttpResponseParser::State HttpResponseParser::checkBodySize() {
  if (Response.Body.size() > Options.MaxBodyBytes)
    return failAtLimit(ResponseLimit::BodyBytes, Response.Body.size(),
                       Options.MaxBodyBytes);
  return CurrentState;
}

HttpResponseParser::State HttpResponseParser::readSizedBody() {
  if (Buffer.size() < ContentLength)
    return CurrentState;
  const std::string excess = Buffer.substr(ContentLength);
  Buffer.resize(ContentLength);
  Response.Body = std::move(Buffer);
  return complete(excess);
}

HttpResponseParser::State
HttpResponseParser::decodeChunks(std::size_t newBytes) {
  phr_chunked_decoder decoder{Chunks.BytesLeft, Chunks.ConsumeTrailer,
                              Chunks.HexCount, Chunks.Phase};
  const std::size_t decoded = Response.Body.size() - newBytes;
  std::size_t n = newBytes;
  const ssize_t unconsumed =
      phr_decode_chunked(&decoder, Response.Body.data() + decoded, &n);
  if (unconsumed == -1)
    return fail("invalid chunk");
  Chunks = {decoder.bytes_left_in_chunk, decoder.consume_trailer,
            decoder._hex_count, decoder._state};
  // A complete body is followed by `unconsumed` bytes that are not part of it.
  const std::string excess =
      unconsumed > 0 ? Response.Body.substr(
                           decoded + n, static_cast<std::size_t>(unconsumed))
                     : std::string();
  Response.Body.resize(decoded + n);
  if (checkBodySize() == State::Invalid)
    return CurrentState;
  FramingBytes += newBytes - n - excess.size();
  if (FramingBytes > Options.MaxFramingBytes)
    return failAtLimit(ResponseLimit::FramingBytes, FramingBytes,
                       Options.MaxFramingBytes);
  return unconsumed >= 0 ? complete(excess) : CurrentState;
}

} // namespace galenaflow::transport
