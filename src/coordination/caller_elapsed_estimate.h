#ifndef GALENAFLOW_COORDINATION_CALLER_ELAPSED_ESTIMATE_H
#define GALENAFLOW_COORDINATION_CALLER_ELAPSED_ESTIMATE_H

#include "state/clock.h"

#include <algorithm>

namespace galenaflow::coordination {

using state::Duration;

/// Tells how long ago a caller began with its first attempt, for requests of
/// one kind: a latency objective counts from there. Callers state only the time
/// that is left, so the longest one seen is taken for that of first attempts.
class CallerElapsedEstimate {
public:
  Duration observe(Duration left) {
    Longest = std::max(Longest, left);
    const Duration before = Longest - left;
    // A difference above half is not taken for a retry: a single caller with a
    // longer deadline would otherwise make the objective of all others look
    // missed, and they would get partial answers at once.
    return before > Longest / 2 ? Duration(0) : before;
  }

private:
  Duration Longest{0};
};

} // namespace galenaflow::coordination

#endif
