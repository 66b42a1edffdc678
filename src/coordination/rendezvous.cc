#include "coordination/rendezvous.h"

#include <algorithm>
#include <utility>

// FNV-1a over the key and the id, followed by the finalizer of MurmurHash3. FNV
// alone changes the high bits too little when short strings differ in their
// last characters, which would make the ranking the same for all keys.

namespace galenaflow::coordination {

namespace {

std::uint64_t addBytes(std::uint64_t hash, std::string_view bytes) {
  for (const char c : bytes)
    hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001b3U;
  // A separator, so that "ab" + "c" differs from "a" + "bc".
  return (hash ^ 0xffU) * 0x100000001b3U;
}

std::uint64_t mix(std::uint64_t hash) {
  hash = (hash ^ (hash >> 33U)) * 0xff51afd7ed558ccdU;
  hash = (hash ^ (hash >> 33U)) * 0xc4ceb9fe1a85ec53U;
  return hash ^ (hash >> 33U);
}

} // namespace

std::uint64_t rendezvousScore(std::string_view key,
                              const protocol::MemberId &member) {
  std::uint64_t hash = addBytes(0xcbf29ce484222325U, key);
  hash = addBytes(hash, member.Vm);
  return mix(addBytes(hash, member.Instance));
}

std::size_t rendezvousRank(std::string_view key,
                           const protocol::MemberId &member,
                           std::span<const protocol::MemberId> members) {
  const auto own = std::pair(rendezvousScore(key, member), member);
  return static_cast<std::size_t>(
      std::ranges::count_if(members, [&](const protocol::MemberId &other) {
        return std::pair(rendezvousScore(key, other), other) > own;
      }));
}

} // namespace galenaflow::coordination
