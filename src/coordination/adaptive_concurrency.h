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
  double Max = 100; ///< this daemon's share of the replicas' slots
  double Initial = 20;
  double Tolerance = 2; ///< ratio to the baseline above which the limit falls
  std::size_t Window = 100; ///< samples per adjustment
};

/// Adapts a concurrency limit to the gradient of latency: the limit falls when
/// recent latency rises above Tolerance times the long-term baseline, and grows
/// slowly while it is in use.
class AdaptiveConcurrency {
public:
  explicit AdaptiveConcurrency(ConcurrencyOptions options);

  /// Classes of requests, each with its own baseline because their latencies
  /// differ.
  static constexpr std::size_t RequestClassCount = 2;

  /// Records that a request has ended after `latency`. `inFlight` is the load
  /// when it started, in the unit of limit(). Latency is compared only within a
  /// class, which is a number below RequestClassCount.
  void onSample(Duration latency, double inFlight,
                std::size_t requestClass = 0);

  /// Sets the bounds when this daemon's share of the slots changes. Before the
  /// first adjustment, the limit is reset to `initial`.
  void setBounds(double min, double max, double initial);
  double limit() const { return Limit; }

private:
  struct ClassState {
    double Baseline = 0; ///< microseconds
    double Sum = 0;      ///< of the latencies in the window, microseconds
    double MaxInFlight = 0;
    std::size_t Samples = 0;
  };

  void adjust(ClassState &state);

  ConcurrencyOptions Options;
  double Limit;
  bool IsAdjusted = false;
  std::array<ClassState, RequestClassCount> Classes;
};

} // namespace galenaflow::coordination

#endif
