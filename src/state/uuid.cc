// The 128 bits are held as two halves. The first holds the time stamp, the
// version and 12 random bits, the second the variant and 62 random bits. Upper
// case is converted to lower case, because two spellings of one key must not
// identify two writes.
#include "state/uuid.h"

#include <array>
#include <cstdint>

namespace galenaflow::state {

namespace {

constexpr std::size_t TextLength = 36;
constexpr std::string_view HexDigits = "0123456789abcdef";
constexpr std::uint64_t TimeMask = (std::uint64_t{1} << 48) - 1;
constexpr std::uint64_t Version = 7;

bool isDashPosition(std::size_t i) {
  return i == 8 || i == 13 || i == 18 || i == 23;
}

char lower(char c) {
  return c >= 'A' && c <= 'F' ? static_cast<char>(c + ('a' - 'A')) : c;
}

std::string toText(std::array<std::uint64_t, 2> halves) {
  std::string text(TextLength, '-');
  unsigned nibble = 0;
  for (std::size_t i = 0; i != TextLength; ++i) {
    if (isDashPosition(i))
      continue;
    const std::uint64_t half = halves[nibble / 16];
    text[i] = HexDigits[half >> (60 - 4 * (nibble % 16)) & 15];
    ++nibble;
  }
  return text;
}

std::optional<std::array<std::uint64_t, 2>> toHalves(std::string_view text) {
  std::array<std::uint64_t, 2> halves{};
  unsigned nibble = 0;
  for (std::size_t i = 0; i != TextLength; ++i) {
    if (isDashPosition(i)) {
      if (text[i] != '-')
        return std::nullopt;
      continue;
    }
    const std::size_t digit = HexDigits.find(lower(text[i]));
    if (digit == std::string_view::npos)
      return std::nullopt;
    halves[nibble / 16] = halves[nibble / 16] << 4 | digit;
    ++nibble;
  }
  return halves;
}

} // namespace

UuidV7 makeUuidV7(WallMillis now, std::mt19937_64 &random) {
  const std::uint64_t time = static_cast<std::uint64_t>(now.count()) & TimeMask;
  const std::uint64_t high = time << 16 | Version << 12 | (random() & 0xfff);
  const std::uint64_t low = std::uint64_t{2} << 62 | random() >> 2;
  return {toText({high, low}), WallMillis(time)};
}

std::optional<UuidV7> parseUuidV7(std::string_view text) {
  if (text.size() != TextLength)
    return std::nullopt;
  const auto halves = toHalves(text);
  if (!halves || ((*halves)[0] >> 12 & 15) != Version ||
      (*halves)[1] >> 62 != 2)
    return std::nullopt;
  return UuidV7{toText(*halves), WallMillis((*halves)[0] >> 16)};
}

} // namespace galenaflow::state
