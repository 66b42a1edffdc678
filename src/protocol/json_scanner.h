#ifndef GALENAFLOW_PROTOCOL_JSON_SCANNER_H
#define GALENAFLOW_PROTOCOL_JSON_SCANNER_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace galenaflow::protocol {

/// Reads JSON text front to back without building a document. Every function
/// skips white space first and returns false or nothing at the first fault, and
/// the scanner must not be used after that. Values that are skipped are
/// checked in full, so that their raw text can be embedded in an answer.
class JsonScanner {
public:
  explicit JsonScanner(std::string_view text) : Text(text) {}

  /// Consumes `c` when it is the next character.
  bool consume(char c);

  /// A string, with its escapes resolved.
  std::optional<std::string> readString();

  /// A finite number.
  std::optional<double> readNumber();

  /// A whole number without sign, fraction and exponent.
  std::optional<std::uint64_t> readUnsigned();

  /// The raw text of any value.
  std::optional<std::string_view> readRaw();

  /// Whether only white space is left.
  bool atEnd();

  /// Offset of the first character not yet read.
  std::size_t position() const { return Pos; }

  /// The same after white space.
  std::size_t nextPosition();

private:
  void skipSpace();
  bool skipLiteral(std::string_view literal);
  bool skipString();
  bool skipCharacter();
  bool skipEscape();
  bool skipHexDigits();
  bool skipUtf8();
  bool skipDigits();
  bool skipNumber();
  bool skipObject(int depth);
  bool skipArray(int depth);
  bool skipValue(int depth);

  std::string_view Text;
  std::size_t Pos = 0;
};

/// Reads the members of an object: calls `member(name)` with the scanner in
/// front of each value. Returns false when a call does or the text is faulty.
template <typename Member>
bool readObject(JsonScanner &scanner, const Member &member) {
  if (!scanner.consume('{'))
    return false;
  if (scanner.consume('}'))
    return true;
  do {
    const std::optional<std::string> name = scanner.readString();
    if (!name || !scanner.consume(':') || !member(*name))
      return false;
  } while (scanner.consume(','));
  return scanner.consume('}');
}

/// Reads the items of an array: calls `item()` in front of each.
template <typename Item>
bool readArray(JsonScanner &scanner, const Item &item) {
  if (!scanner.consume('['))
    return false;
  if (scanner.consume(']'))
    return true;
  do {
    if (!item())
      return false;
  } while (scanner.consume(','));
  return scanner.consume(']');
}

} // namespace galenaflow::protocol

#endif
