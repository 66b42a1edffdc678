#ifndef GALENAFLOW_STATE_UUID_H
#define GALENAFLOW_STATE_UUID_H

#include "state/clock.h"

#include <optional>
#include <random>
#include <string>
#include <string_view>

/// UUID version 7 (RFC 9562): 48 bits of milliseconds and 74 random bits.
namespace galenaflow::state {

struct UuidV7 {
  std::string Text; ///< 36 characters, lower case
  WallMillis Issued{0};
};

/// Makes an id with the issue time `now`.
UuidV7 makeUuidV7(WallMillis now, std::mt19937_64 &random);

/// Accepts upper and lower case. Nothing when the text is malformed or has a
/// different version or variant.
std::optional<UuidV7> parseUuidV7(std::string_view text);

} // namespace galenaflow::state

#endif
