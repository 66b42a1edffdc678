// A recursive-descent scanner for JSON (RFC 8259). It accepts exactly what
// nlohmann/json accepts, up to MaxDepth; a test compares the two on random
// input. Control characters, escapes and UTF-8 in strings are validated,
// because the text is embedded in answers without being encoded again.
#include "protocol/json_scanner.h"

#include <charconv>
#include <cmath>
#include <nlohmann/json.hpp>

namespace galenaflow::protocol {

namespace {

/// Greatest depth of nesting. Bounds the stack that a hostile response can use.
constexpr int MaxDepth = 64;

/// Characters below this value must be escaped in strings.
constexpr unsigned FirstPrintable = 0x20;

bool isDigit(char c) { return c >= '0' && c <= '9'; }

bool isHexDigit(char c) {
  return isDigit(c) || (c >= 'a' && c <= 'f') || (c >= 'A' && c <= 'F');
}

unsigned byteAt(std::string_view text, std::size_t i) {
  return i < text.size() ? static_cast<unsigned char>(text[i]) : 0;
}

bool isContinuation(unsigned byte) { return (byte & 0xc0) == 0x80; }

/// Returns the length of the UTF-8 sequence at `i`, or 0 when it is not
/// well-formed (table 3-7 of the Unicode standard).
std::size_t sequenceLength(std::string_view text, std::size_t i) {
  const unsigned first = byteAt(text, i);
  const unsigned second = byteAt(text, i + 1);
  if (first >= 0xc2 && first <= 0xdf)
    return isContinuation(second) ? 2 : 0;
  if (!isContinuation(second) || !isContinuation(byteAt(text, i + 2)))
    return 0;
  if (first == 0xe0)
    return second >= 0xa0 ? 3 : 0;
  if (first == 0xed)
    return second <= 0x9f ? 3 : 0;
  if (first > 0xe0 && first <= 0xef)
    return 3;
  if (!isContinuation(byteAt(text, i + 3)))
    return 0;
  if (first == 0xf0)
    return second >= 0x90 ? 4 : 0;
  if (first == 0xf4)
    return second <= 0x8f ? 4 : 0;
  return first > 0xf0 && first < 0xf4 ? 4 : 0;
}

} // namespace

void JsonScanner::skipSpace() {
  while (Pos < Text.size() && (Text[Pos] == ' ' || Text[Pos] == '\n' ||
                               Text[Pos] == '\r' || Text[Pos] == '\t'))
    ++Pos;
}

bool JsonScanner::consume(char c) {
  skipSpace();
  if (Pos >= Text.size() || Text[Pos] != c)
    return false;
  ++Pos;
  return true;
}

bool JsonScanner::atEnd() {
  skipSpace();
  return Pos == Text.size();
}

std::size_t JsonScanner::nextPosition() {
  skipSpace();
  return Pos;
}

std::optional<std::string> JsonScanner::readString() {
  skipSpace();
  const std::size_t start = Pos;
  if (!skipString())
    return std::nullopt;
  const std::string_view raw = Text.substr(start, Pos - start);
  if (raw.find('\\') == std::string_view::npos)
    return std::string(raw.substr(1, raw.size() - 2));
  const auto value = nlohmann::json::parse(raw, nullptr, false);
  if (!value.is_string())
    return std::nullopt;
  return value.get<std::string>();
}

std::optional<double> JsonScanner::readNumber() {
  skipSpace();
  const std::size_t start = Pos;
  if (!skipNumber())
    return std::nullopt;
  double value = 0;
  const auto [stop, ec] =
      std::from_chars(Text.data() + start, Text.data() + Pos, value);
  if (ec != std::errc() || stop != Text.data() + Pos || !std::isfinite(value))
    return std::nullopt;
  return value;
}

std::optional<std::uint64_t> JsonScanner::readUnsigned() {
  skipSpace();
  const std::size_t start = Pos;
  if (!skipNumber())
    return std::nullopt;
  std::uint64_t value = 0;
  const auto [stop, ec] =
      std::from_chars(Text.data() + start, Text.data() + Pos, value);
  if (ec != std::errc() || stop != Text.data() + Pos)
    return std::nullopt;
  return value;
}

std::optional<std::string_view> JsonScanner::readRaw() {
  skipSpace();
  const std::size_t start = Pos;
  if (!skipValue(0))
    return std::nullopt;
  return Text.substr(start, Pos - start);
}

bool JsonScanner::skipLiteral(std::string_view literal) {
  if (!Text.substr(Pos).starts_with(literal))
    return false;
  Pos += literal.size();
  return true;
}

bool JsonScanner::skipString() {
  if (Pos >= Text.size() || Text[Pos] != '"')
    return false;
  ++Pos;
  while (Pos < Text.size() && Text[Pos] != '"')
    if (!skipCharacter())
      return false;
  if (Pos >= Text.size())
    return false;
  ++Pos;
  return true;
}

bool JsonScanner::skipCharacter() {
  const unsigned byte = byteAt(Text, Pos);
  if (byte == '\\')
    return skipEscape();
  if (byte >= 0x80)
    return skipUtf8();
  ++Pos;
  return byte >= FirstPrintable;
}

bool JsonScanner::skipUtf8() {
  const std::size_t length = sequenceLength(Text, Pos);
  Pos += length;
  return length != 0;
}

bool JsonScanner::skipHexDigits() {
  for (int i = 0; i != 4; ++i, ++Pos)
    if (Pos >= Text.size() || !isHexDigit(Text[Pos]))
      return false;
  return true;
}

/// Skips an escape sequence. A surrogate must be part of a pair.
bool JsonScanner::skipEscape() {
  const char kind = static_cast<char>(byteAt(Text, Pos + 1));
  Pos += 2;
  if (kind != 'u')
    return kind != '\0' &&
           std::string_view("\"\\/bfnrt").find(kind) != std::string_view::npos;
  const std::size_t start = Pos;
  if (!skipHexDigits())
    return false;
  unsigned unit = 0;
  std::from_chars(Text.data() + start, Text.data() + Pos, unit, 16);
  if (unit < 0xd800 || unit > 0xdfff)
    return true;
  if (unit >= 0xdc00 || !skipLiteral("\\u") || !skipHexDigits())
    return false;
  std::from_chars(Text.data() + Pos - 4, Text.data() + Pos, unit, 16);
  return unit >= 0xdc00 && unit <= 0xdfff;
}

bool JsonScanner::skipDigits() {
  const std::size_t start = Pos;
  while (Pos < Text.size() && isDigit(Text[Pos]))
    ++Pos;
  return Pos != start;
}

bool JsonScanner::skipNumber() {
  if (byteAt(Text, Pos) == '-')
    ++Pos;
  if (byteAt(Text, Pos) == '0')
    ++Pos;
  else if (!skipDigits())
    return false;
  if (byteAt(Text, Pos) == '.') {
    ++Pos;
    if (!skipDigits())
      return false;
  }
  const unsigned next = byteAt(Text, Pos);
  if (next != 'e' && next != 'E')
    return true;
  ++Pos;
  if (byteAt(Text, Pos) == '+' || byteAt(Text, Pos) == '-')
    ++Pos;
  return skipDigits();
}

bool JsonScanner::skipObject(int depth) {
  return readObject(*this, [this, depth](const std::string & /*name*/) {
    return skipValue(depth + 1);
  });
}

bool JsonScanner::skipArray(int depth) {
  return readArray(*this, [this, depth] { return skipValue(depth + 1); });
}

bool JsonScanner::skipValue(int depth) {
  if (depth > MaxDepth)
    return false;
  skipSpace();
  switch (byteAt(Text, Pos)) {
  case '{':
    return skipObject(depth);
  case '[':
    return skipArray(depth);
  case '"':
    return skipString();
  case 't':
    return skipLiteral("true");
  case 'f':
    return skipLiteral("false");
  case 'n':
    return skipLiteral("null");
  default:
    return skipNumber();
  }
}

} // namespace galenaflow::protocol
