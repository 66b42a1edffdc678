#include "state/request_fingerprint.h"

#include <array>
#include <cstdio>
#include <openssl/evp.h>

namespace galenaflow::state {

namespace {

std::uint64_t bigEndian(std::span<const unsigned char> bytes) {
  std::uint64_t value = 0;
  for (const unsigned char byte : bytes)
    value = value << 8 | byte;
  return value;
}

} // namespace

std::string RequestFingerprint::toText() const {
  std::array<char, 33> buf{};
  std::snprintf(buf.data(), buf.size(), "%016llx%016llx",
                static_cast<unsigned long long>(High),
                static_cast<unsigned long long>(Low));
  return buf.data();
}

RequestFingerprint fingerprintOf(std::span<const std::string_view> parts) {
  // The lengths keep parts apart whose concatenation is equal.
  std::string lengths;
  for (const std::string_view part : parts)
    lengths += std::to_string(part.size()) + ',';
  EVP_MD_CTX *context = EVP_MD_CTX_new();
  EVP_DigestInit_ex(context, EVP_sha256(), nullptr);
  EVP_DigestUpdate(context, lengths.data(), lengths.size());
  for (const std::string_view part : parts)
    EVP_DigestUpdate(context, part.data(), part.size());
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  EVP_DigestFinal_ex(context, digest.data(), nullptr);
  EVP_MD_CTX_free(context);
  const std::span<const unsigned char> bytes(digest);
  return {bigEndian(bytes.subspan(0, 8)), bigEndian(bytes.subspan(8, 8))};
}

} // namespace galenaflow::state
