#ifndef GALENAFLOW_PROTOCOL_TRACE_CONTEXT_H
#define GALENAFLOW_PROTOCOL_TRACE_CONTEXT_H

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <string_view>

/// Trace context as defined by W3C Trace Context, version 00.
namespace galenaflow::protocol {

struct TraceContext {
  std::uint64_t TraceIdHigh = 0;
  std::uint64_t TraceIdLow = 0;
  std::uint64_t SpanId = 0;
  bool IsSampled = false;

  bool operator==(const TraceContext &) const = default;
};

/// Parses a traceparent header. Returns nothing when the header is malformed or
/// holds a zero id. Accepts higher versions, as the standard requires, and
/// reads their first four fields.
std::optional<TraceContext> parseTraceparent(std::string_view header);

/// Formats "00-TRACE-SPAN-FLAGS".
std::string formatTraceparent(const TraceContext &context);

/// Starts a new trace.
TraceContext newTrace(std::mt19937_64 &random, bool isSampled);

/// Starts a new span of the same trace.
TraceContext childOf(const TraceContext &parent, std::mt19937_64 &random);

/// Format an id as 32 or 16 lower-case hexadecimal digits.
std::string traceIdText(const TraceContext &context);
std::string spanIdText(std::uint64_t spanId);

} // namespace galenaflow::protocol

#endif
