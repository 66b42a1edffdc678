#ifndef GALENAFLOW_PROTOCOL_JSON_SCANNER_H
#define GALENAFLOW_PROTOCOL_JSON_SCANNER_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace galenaflow::protocol {

/// Reads JSON text from front to back without building a document. Every
/// reading function first skips white space. It returns false or nothing at a
/// fault, after which the scanner must not be used. Skipped values are fully
/// validated, so that their raw text can be embedded in an answer.
class JsonScanner {
public:
  explicit JsonScanner(std::string_view text) : Text(text) {}

  /// Consumes `c` when it is the next character.
  bool consume(char c);

  /// Reads a string and resolves its escapes.
  std::optional<std::string> readString();

  /// Reads a finite number.
  std::optional<double> readNumber();

  /// Reads a whole number without sign, fraction and exponent.
  std::optional<std::uint64_t> readUnsigned();

  /// Reads any value and returns its raw text.
  std::optional<std::string_view> readRaw();

  /// Whether only white space remains.
  bool atEnd();

  /// Returns the offset of the first character that has not been read.
  std::size_t position() const { return Pos; }

  /// Skips white space and returns the offset of the next character.
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

/// Reads the members of an object: calls `member(name)` with the scanner before
/// each value. Returns false when a call returns false or the text is
/// malformed.
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

/// Reads the items of an array: calls `item()` with the scanner before each
/// item. Returns false when a call returns false or the text is malformed.
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
