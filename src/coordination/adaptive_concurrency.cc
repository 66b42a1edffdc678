#include "coordination/adaptive_concurrency.h"

#include <algorithm>
#include <cmath>

// After Netflix's Gradient2 limit: gradient = tolerance * baseline / recent,
// cut to [0.5, 1]; new limit = limit * gradient + sqrt(limit), smoothed. The
// baseline falls at once to a lower mean and rises slowly, so that a long
// overload is not taken for the normal latency.

namespace galenaflow::coordination {

namespace {

/// With 0.2, 5,000 samples did not bring a limit of 4 back to 60.
constexpr double LimitSmoothing = 0.4;
/// Doubling the baseline takes some hundred windows. With 0.02, fifty windows
/// of tenfold latency were already taken for normal.
constexpr double BaselineSmoothing = 0.002;

} // namespace

AdaptiveConcurrency::AdaptiveConcurrency(ConcurrencyOptions options)
    : Options(options), Limit(std::clamp(options.Initial, options.Min,
                                         std::max(options.Min, options.Max))) {}

void AdaptiveConcurrency::setBounds(double min, double max, double initial) {
  Options.Min = min;
  Options.Max = std::max(max, min);
  Limit = std::clamp(IsAdjusted ? Limit : initial, Options.Min, Options.Max);
}

void AdaptiveConcurrency::onSample(Duration latency, double inFlight,
                                   std::size_t requestClass) {
  ClassState &state = Classes[requestClass];
  state.Sum += static_cast<double>(latency.count());
  state.MaxInFlight = std::max(state.MaxInFlight, inFlight);
  if (++state.Samples < Options.Window)
    return;
  adjust(state);
  state = {.Baseline = state.Baseline};
}

void AdaptiveConcurrency::adjust(ClassState &state) {
  const double recent =
      std::max(state.Sum / static_cast<double>(state.Samples), 1.0);
  if (state.Baseline == 0 || recent < state.Baseline)
    state.Baseline = recent;
  else
    state.Baseline += BaselineSmoothing * (recent - state.Baseline);
  IsAdjusted = true;
  const double gradient =
      std::clamp(Options.Tolerance * state.Baseline / recent, 0.5, 1.0);
  // Without use of the limit, low latency says nothing about a higher one.
  if (gradient == 1 && state.MaxInFlight < Limit / 2)
    return;
  const double target = Limit * gradient + std::sqrt(Limit);
  Limit += LimitSmoothing * (target - Limit);
  Limit = std::clamp(Limit, Options.Min, std::max(Options.Min, Options.Max));
}

} // namespace galenaflow::coordination
