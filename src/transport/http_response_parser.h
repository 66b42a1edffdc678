#ifndef GALENAFLOW_TRANSPORT_HTTP_RESPONSE_PARSER_H
#define GALENAFLOW_TRANSPORT_HTTP_RESPONSE_PARSER_H

#include "state/error.h"
#include "transport/http_message.h"
#include "transport/receive_limits.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace galenaflow::transport {

struct HttpResponseParserOptions {
  /// Whether the response belongs to a HEAD request and so has no body.
  bool IsHead = false;

  /// Whether a body without a length, which is delimited by the end of the
  /// connection, is accepted when the connection was closed cleanly. Otherwise
  /// such a body is an error, because a truncated body looks like a complete
  /// one.
  bool AcceptUnframed = false;

  /// Largest accepted body in bytes.
  std::size_t MaxBodyBytes = std::size_t{4} << 20;

  /// Largest accepted head in bytes, including the interim (1xx) responses
  /// before it.
  std::size_t MaxHeadBytes = std::size_t{64} << 10;

  /// Most interim responses that are skipped before the final one.
  std::size_t MaxInterimResponses = 16;

  /// Largest framing of a chunked body in bytes: the sizes and extensions of
  /// its chunks and the trailer section.
  std::size_t MaxFramingBytes = std::size_t{1} << 20;
};

/// Parses one HTTP/1.x response from the bytes of a connection. Any input from
/// a backend server results in a complete response or in an error.
class HttpResponseParser {
public:
  enum class State {
    Incomplete, ///< more bytes are needed
    Complete,   ///< response() is complete
    Invalid,    ///< error() describes the fault
  };

  explicit HttpResponseParser(HttpResponseParserOptions options)
      : Options(options) {}

  /// Parses further bytes. After Complete, excess() holds the bytes that follow
  /// the response.
  State feed(std::string_view bytes);

  /// Ends the input after the connection was closed cleanly.
  State finish();

  HttpResponse &response() { return Response; }
  const std::string &error() const { return Error; }
  ResponseLimit exceededLimit() const { return ExceededLimit; }
  const std::string &excess() const { return Excess; }

  /// Bytes that the parser holds of the response and of what follows it.
  std::size_t heldBytes() const {
    return HeadBytes + Buffer.size() + Response.Body.size() + Excess.size();
  }

  /// Whether the connection can carry another request after this response.
  bool isPersistent() const { return Persistent; }

private:
  enum class Framing { None, ContentLength, Chunked, UntilClose };

  enum class HeadResult { Incomplete, Interim, Final, Invalid };

  State parseHeads();
  HeadResult parseHead();
  State chooseFraming();
  State readSizedBody();
  State decodeChunks(std::size_t newBytes);
  State checkBodySize();
  State fail(std::string text);
  State failAtLimit(ResponseLimit limit, std::size_t got, std::size_t max);
  State complete(std::string_view excess);

  HttpResponseParserOptions Options;
  State CurrentState = State::Incomplete;
  bool HeadParsed = false;
  bool Started = false;
  bool Persistent = false;
  int MinorVersion = 0;
  Framing BodyFraming = Framing::None;
  std::size_t ContentLength = 0;
  std::size_t LastHeadSize = 0;
  std::size_t HeadBytes = 0; ///< of the heads that have been parsed
  std::size_t InterimResponses = 0;
  std::size_t FramingBytes = 0;
  std::string Buffer; ///< bytes of the head, or of a body with a length
  HttpResponse Response;
  std::string Error;
  ResponseLimit ExceededLimit = ResponseLimit::None;
  std::string Excess;

  /// State of the chunked decoder, with the members of phr_chunked_decoder.
  struct ChunkState {
    std::size_t BytesLeft = 0;
    char ConsumeTrailer = 1;
    char HexCount = 0;
    char Phase = 0;
  } Chunks;
};

} // namespace galenaflow::transport

#endif
