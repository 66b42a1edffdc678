#ifndef GALENAFLOW_STATE_CLOCK_H
#define GALENAFLOW_STATE_CLOCK_H

#include <chrono>

/// The time source of all decisions. No module below `transport` and `daemon`
/// reads the clocks of the operating system; each is given a Clock, which tests
/// replace.
namespace galenaflow::state {

using Duration = std::chrono::microseconds;
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// Milliseconds since the Unix epoch. Used only for issue times inside request
/// ids and for display, because the wall clock can step.
using WallMillis = std::chrono::milliseconds;

class Clock {
public:
  virtual ~Clock() = default;

  /// Monotonic time.
  virtual TimePoint now() const = 0;

  /// Wall-clock time.
  virtual WallMillis wallNow() const = 0;
};

/// Reads the clocks of the operating system.
class SystemClock final : public Clock {
public:
  TimePoint now() const override;
  WallMillis wallNow() const override;
};

/// Advances only by calls, for tests and models. Starts at one hour, so that
/// the first reading minus a duration stays positive.
class ManualClock final : public Clock {
public:
  TimePoint now() const override { return Now; }
  WallMillis wallNow() const override { return Wall; }

  /// Advances both clocks.
  void advance(Duration d);

  /// Steps the wall clock alone, as an administrator or NTP would.
  void stepWall(std::chrono::milliseconds d) { Wall += d; }

private:
  TimePoint Now{std::chrono::hours(1)};
  WallMillis Wall{std::chrono::hours(24 * 365 * 50)};
  Duration WallRemainder{0}; ///< elapsed time below the resolution of Wall
};

} // namespace galenaflow::state

#endif
