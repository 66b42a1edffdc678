#ifndef GALENAFLOW_COORDINATION_LAG_ESTIMATE_H
#define GALENAFLOW_COORDINATION_LAG_ESTIMATE_H

#include "state/clock.h"

#include <algorithm>

namespace galenaflow::coordination {

using state::Duration;

/// How late this process acts on a timer, as it was lately. It rises at once
/// and falls slowly, because acting too late loses more than acting early. A
/// small VM with an eighth of a core needs several milliseconds to merge an
/// answer from 90 shards.
class LagEstimate {
public:
  void add(Duration lag) {
    const Duration sample = std::min(lag, MaxSample);
    Value = sample >= Value ? sample : Value - (Value - sample) / DecayDivisor;
  }
  Duration value() const { return Value; }

private:
  static constexpr std::int64_t DecayDivisor = 10;

  /// A longer lag is a pause of the VM and says nothing about the next timer.
  static constexpr Duration MaxSample = std::chrono::milliseconds(15);

  Duration Value = std::chrono::milliseconds(2);
};

} // namespace galenaflow::coordination

#endif
