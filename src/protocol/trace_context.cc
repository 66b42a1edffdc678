// The fields of the header have fixed positions, so each field is read at its
// offset and must consist of lower-case hexadecimal digits only.
#include "protocol/trace_context.h"

namespace galenaflow::protocol {

namespace {

constexpr std::size_t HeaderLength = 55; // "00-" 32 "-" 16 "-" 2
constexpr std::string_view HexDigits = "0123456789abcdef";

std::optional<std::uint64_t> parseHex(std::string_view text) {
  std::uint64_t value = 0;
  for (const char c : text) {
    const std::size_t digit = HexDigits.find(c);
    if (digit == std::string_view::npos)
      return std::nullopt;
    value = value << 4 | digit;
  }
  return value;
}

std::string toHex(std::uint64_t value) {
  std::string text(16, '0');
  for (std::size_t i = 16; i-- != 0; value >>= 4)
    text[i] = HexDigits[value & 15];
  return text;
}

std::uint64_t randomNonZero(std::mt19937_64 &random) {
  std::uint64_t value = 0;
  while (value == 0)
    value = random();
  return value;
}

bool hasValidLayout(std::string_view header) {
  if (header.size() < HeaderLength || header[2] != '-' || header[35] != '-' ||
      header[52] != '-')
    return false;
  const auto version = parseHex(header.substr(0, 2));
  if (!version || *version == 0xff)
    return false;
  if (header.size() == HeaderLength)
    return true;
  return *version != 0 && header[HeaderLength] == '-';
}

} // namespace

std::optional<TraceContext> parseTraceparent(std::string_view header) {
  if (!hasValidLayout(header))
    return std::nullopt;
  const auto high = parseHex(header.substr(3, 16));
  const auto low = parseHex(header.substr(19, 16));
  const auto span = parseHex(header.substr(36, 16));
  const auto flags = parseHex(header.substr(53, 2));
  if (!high || !low || !span || !flags)
    return std::nullopt;
  if ((*high | *low) == 0 || *span == 0)
    return std::nullopt;
  return TraceContext{*high, *low, *span, (*flags & 1) != 0};
}

std::string formatTraceparent(const TraceContext &context) {
  return "00-" + traceIdText(context) + "-" + spanIdText(context.SpanId) +
         (context.IsSampled ? "-01" : "-00");
}

TraceContext newTrace(std::mt19937_64 &random, bool isSampled) {
  return {randomNonZero(random), randomNonZero(random), randomNonZero(random),
          isSampled};
}

TraceContext childOf(const TraceContext &parent, std::mt19937_64 &random) {
  TraceContext child = parent;
  child.SpanId = randomNonZero(random);
  return child;
}

std::string traceIdText(const TraceContext &context) {
  return toHex(context.TraceIdHigh) + toHex(context.TraceIdLow);
}

std::string spanIdText(std::uint64_t spanId) { return toHex(spanId); }

} // namespace galenaflow::protocol
