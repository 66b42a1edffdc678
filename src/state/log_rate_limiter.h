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
  double PerSecond = 20; ///< lines of one kind, in the long run
  double Burst = 100;    ///< lines of one kind at once
};

/// Bounds the log lines of each kind of event by a token bucket, so that a
/// flood of one kind neither fills the log nor hides the others.
class LogRateLimiter {
public:
  explicit LogRateLimiter(LogRateLimits limits = {}) : Limits(limits) {}

  /// Whether an event of this kind may be written now. Nothing when it may not;
  /// otherwise the number that was left out since the last one.
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
