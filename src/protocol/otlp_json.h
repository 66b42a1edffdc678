#ifndef GALENAFLOW_PROTOCOL_OTLP_JSON_H
#define GALENAFLOW_PROTOCOL_OTLP_JSON_H

#include "protocol/trace_context.h"
#include "state/clock.h"

#include <cstdint>
#include <deque>
#include <span>
#include <string>
#include <utility>
#include <vector>

/// Finished trace spans and their encoding for a collector (OTLP/JSON 1.0).
namespace galenaflow::protocol {

enum class SpanKind { Internal = 1, Server = 2, Client = 3 };

/// One finished span of a trace: a step of a request.
struct Span {
  TraceContext Context;
  std::uint64_t ParentSpanId = 0; ///< 0 for the root span of the trace
  std::string Name;
  SpanKind Kind = SpanKind::Internal;
  state::WallMillis Started{0};
  state::Duration Elapsed{0};
  bool IsError = false;
  std::string StatusText; ///< the reason for the error
  std::vector<std::pair<std::string, std::string>> Attributes;
};

/// The process that reports the spans.
struct SpanSource {
  std::string VmId;
  std::string DataCentre;
};

/// Encodes an ExportTraceServiceRequest with all spans in one scope.
std::string encodeSpans(std::span<const Span> spans, const SpanSource &source);

/// Buffers spans that wait for export. When the buffer is full, a new span is
/// dropped and counted, so that a collector that is down costs bounded memory.
class SpanBuffer {
public:
  explicit SpanBuffer(std::size_t maxSpans) : MaxSpans(maxSpans) {}

  /// Returns whether the span was stored.
  bool add(Span span);

  /// Removes and returns up to `n` spans, oldest first.
  std::vector<Span> take(std::size_t n);

  std::size_t size() const { return Spans.size(); }
  std::uint64_t dropped() const { return Dropped; }

private:
  std::size_t MaxSpans;
  std::uint64_t Dropped = 0;
  std::deque<Span> Spans;
};

} // namespace galenaflow::protocol

#endif
