#include "state/log_rate_limiter.h"

#include <algorithm>
#include <utility>

namespace galenaflow::state {

std::optional<std::uint64_t> LogRateLimiter::admit(std::string_view event,
                                                   TimePoint now) {
  auto it = Buckets.find(event);
  if (it == Buckets.end())
    it = Buckets.emplace(event, Bucket{Limits.Burst, now, 0}).first;
  Bucket &bucket = it->second;
  const double seconds =
      std::chrono::duration<double>(now - bucket.RefilledAt).count();
  bucket.Tokens =
      std::min(Limits.Burst, bucket.Tokens + seconds * Limits.PerSecond);
  bucket.RefilledAt = now;
  if (bucket.Tokens < 1) {
    ++bucket.Suppressed;
    return std::nullopt;
  }
  bucket.Tokens -= 1;
  return std::exchange(bucket.Suppressed, 0);
}

} // namespace galenaflow::state
