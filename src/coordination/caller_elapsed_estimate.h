#ifndef GALENAFLOW_COORDINATION_CALLER_ELAPSED_ESTIMATE_H
#define GALENAFLOW_COORDINATION_CALLER_ELAPSED_ESTIMATE_H

#include "state/clock.h"

#include <algorithm>

namespace galenaflow::coordination {

using state::Duration;

/// Estimates the time elapsed since a caller's first attempt, for requests of
/// one class. A latency objective counts from the first attempt, but callers
/// state only the time remaining until their deadline. The longest time
/// remaining that was seen is therefore taken as that of first attempts.
class CallerElapsedEstimate {
public:
  /// Records the time remaining of a request and returns the estimate for it.
  Duration observe(Duration remaining) {
    MaxRemaining = std::max(MaxRemaining, remaining);
    const Duration elapsed = MaxRemaining - remaining;
    // A difference of more than half the longest time is not counted as a
    // retry. Otherwise a single caller with a longer deadline would make the
    // objective of all other callers look missed, and they would immediately
    // get partial answers.
    return elapsed > MaxRemaining / 2 ? Duration(0) : elapsed;
  }

private:
  Duration MaxRemaining{0};
};

} // namespace galenaflow::coordination

#endif
