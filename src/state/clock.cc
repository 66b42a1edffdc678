#include "state/clock.h"

namespace galenaflow::state {

TimePoint SystemClock::now() const {
  return std::chrono::time_point_cast<Duration>(
      std::chrono::steady_clock::now());
}

WallMillis SystemClock::wallNow() const {
  return std::chrono::duration_cast<WallMillis>(
      std::chrono::system_clock::now().time_since_epoch());
}

void ManualClock::advance(Duration d) {
  Now += d;
  WallRemainder += d;
  const auto whole = std::chrono::duration_cast<WallMillis>(WallRemainder);
  Wall += whole;
  WallRemainder -= whole;
}

} // namespace galenaflow::state
