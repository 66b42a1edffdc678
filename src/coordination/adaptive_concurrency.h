#ifndef GALENAFLOW_COORDINATION_ADAPTIVE_CONCURRENCY_H
#define GALENAFLOW_COORDINATION_ADAPTIVE_CONCURRENCY_H

#include "state/clock.h"

#include <array>
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

  /// Requests of different kinds, which take different times.
  static constexpr std::size_t KindCount = 2;

  /// A request of known latency has ended with `inFlight` at its start. Latency
  /// is compared within a kind only.
  void onSample(Duration latency, double inFlight,
                std::size_t requestClass = 0);

  /// The bounds follow the slots share. Before the first adjustment the limit
  /// starts again at `initial`.
  void setBounds(double min, double max, double initial);
  double limit() const { return Limit; }

private:
  struct ClassState {
    double Baseline = 0; ///< microseconds
    double Sum = 0;
    double MaxInFlight = 0;
    std::size_t Samples = 0;
  };

  void adjust(ClassState &state);

  ConcurrencyOptions Options;
  double Limit;
  bool IsAdjusted = false;
  std::array<ClassState, KindCount> Classes;
};

} // namespace galenaflow::coordination

#endif
