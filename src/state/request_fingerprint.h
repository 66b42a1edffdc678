#ifndef GALENAFLOW_STATE_REQUEST_FINGERPRINT_H
#define GALENAFLOW_STATE_REQUEST_FINGERPRINT_H

#include <compare>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace galenaflow::state {

/// Identifies requests with equal content on all daemons: the first 128 bits of
/// a SHA-256, so that no caller can make a request that is taken for another.
struct RequestFingerprint {
  std::uint64_t High = 0;
  std::uint64_t Low = 0;

  auto operator<=>(const RequestFingerprint &) const = default;

  /// 32 lower-case hexadecimal digits.
  std::string toText() const;
};

/// Returns the fingerprint of the parts, in which their order and lengths
/// count.
RequestFingerprint fingerprintOf(std::span<const std::string_view> parts);

} // namespace galenaflow::state

#endif
