#ifndef GALENAFLOW_COORDINATION_ADAPTIVE_CONCURRENCY_H
#define GALENAFLOW_COORDINATION_ADAPTIVE_CONCURRENCY_H

#include "state/clock.h"

#include <cstddef>

namespace galenaflow::coordination {

using state::Duration;
using state::TimePoint;

struct ConcurrencyOptions {
  double Min = 1;
  double Max = 100; ///< the slots share
  double Initial = 20;
  double Tolerance = 2; ///< latency over the baseline before the limit falls
  std::size_t Window = 100; ///< samples for one adjustment
};

/// Limits concurrency by the gradient of latency: the limit falls when recent
/// latency rises above Tolerance times the long-term baseline, and grows slowly
/// while the limit is in use.
class AdaptiveConcurrency {
public:
  explicit AdaptiveConcurrency(ConcurrencyOptions options);

  /// A request of known latency has ended with `inFlight` at its start.
  void onSample(Duration latency, double inFlight);

  /// The bounds follow the slots share. Before the first adjustment the limit
  /// starts again at `initial`.
  void setBounds(double min, double max, double initial);
  double limit() const { return Limit; }

private:
  void adjust();

  ConcurrencyOptions Options;
  double Limit;
  double Baseline = 0; ///< microseconds
  double Sum = 0;
  double MostInFlight = 0;
  std::size_t Samples = 0;
};

} // namespace galenaflow::coordination

#endif
