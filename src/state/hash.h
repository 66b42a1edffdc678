#ifndef GALENAFLOW_STATE_HASH_H
#define GALENAFLOW_STATE_HASH_H

#include <cstdint>
#include <string>
#include <string_view>

namespace galenaflow::state {

/// SHA-256 as 64 lower-case hexadecimal digits.
std::string sha256Hex(std::string_view data);

/// A fast hash (XXH3) for placement decisions, equal on all machines. Not
/// cryptographic.
std::uint64_t hash64(std::string_view data, std::uint64_t seed = 0);

} // namespace galenaflow::state

#endif
