#ifndef GALENAFLOW_COORDINATION_LAG_ESTIMATE_H
#define GALENAFLOW_COORDINATION_LAG_ESTIMATE_H

#include "state/clock.h"

#include <algorithm>

namespace galenaflow::coordination {

using state::Duration;

/// Estimates how late this process currently acts on a timer. The estimate
/// rises immediately and decays slowly, because acting too late costs more than
/// acting too early. A small VM with an eighth of a core needs several
/// milliseconds to merge an answer from 90 shards.
class LagEstimate {
public:
  void add(Duration lag) {
    const Duration sample = std::min(lag, MaxSample);
    Value = sample >= Value ? sample : Value - (Value - sample) / DecayDivisor;
  }
  Duration value() const { return Value; }

private:
  static constexpr std::int64_t DecayDivisor = 10;

  /// A longer lag is due to a pause of the VM and does not predict the next
  /// one.
  static constexpr Duration MaxSample = std::chrono::milliseconds(15);

  Duration Value = std::chrono::milliseconds(2);
};

} // namespace galenaflow::coordination

#endif
