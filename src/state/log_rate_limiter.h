#ifndef GALENAFLOW_STATE_LOG_RATE_LIMITER_H
#define GALENAFLOW_STATE_LOG_RATE_LIMITER_H

#include "state/clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace galenaflow::state {

struct LogRateLimits {
  double PerSecond = 20; ///< sustained rate of the lines of one event
  double Burst = 100;    ///< lines of one event at once
};

/// Limits the log lines of each event name with a token bucket, so that a flood
/// of one event neither fills the log nor hides the others.
class LogRateLimiter {
public:
  explicit LogRateLimiter(LogRateLimits limits = {}) : Limits(limits) {}

  /// Returns nothing when this line must be suppressed. Otherwise returns the
  /// number of lines of this event that were suppressed since the last one that
  /// was admitted.
  std::optional<std::uint64_t> admit(std::string_view event, TimePoint now);

private:
  struct Bucket {
    double Tokens = 0;
    TimePoint RefilledAt;
    std::uint64_t Suppressed = 0;
  };

  LogRateLimits Limits;
  std::map<std::string, Bucket, std::less<>> Buckets;
};

} // namespace galenaflow::state

#endif
