// The values of XXH3 are fixed by its specification, so hashes may be compared
// between machines and releases.
#include "state/hash.h"

#include <array>
#include <openssl/sha.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace galenaflow::state {

std::string sha256Hex(std::string_view data) {
  constexpr std::string_view hexDigits = "0123456789abcdef";
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(reinterpret_cast<const unsigned char *>(data.data()), data.size(),
         digest.data());
  std::string text;
  text.reserve(2 * digest.size());
  for (const unsigned char byte : digest) {
    text += hexDigits[byte >> 4];
    text += hexDigits[byte & 15];
  }
  return text;
}

std::uint64_t hash64(std::string_view data, std::uint64_t seed) {
  return XXH3_64bits_withSeed(data.data(), data.size(), seed);
}

} // namespace galenaflow::state
