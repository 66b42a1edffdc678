#include "coordination/adaptive_concurrency.h"

#include <algorithm>
#include <cmath>

// The algorithm follows Netflix's Gradient2 limit. For each window of samples,
// gradient = tolerance * baseline / mean latency, clamped to [0.5, 1], and the
// new limit is limit * gradient + sqrt(limit), smoothed exponentially. The
// baseline drops immediately to a lower mean and rises slowly, so that a long
// overload does not become the baseline.

namespace galenaflow::coordination {

namespace {

/// Weight of the new limit. With 0.2, a limit of 4 had not recovered to 60
/// after 5,000 samples.
constexpr double LimitSmoothing = 0.4;

/// Weight of a mean latency above the baseline. The baseline takes some hundred
/// windows to double. With 0.02, it had adapted to a tenfold latency after
/// fifty windows.
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
  // Low latency justifies a higher limit only while the limit is in use.
  if (gradient == 1 && state.MaxInFlight < Limit / 2)
    return;
  const double target = Limit * gradient + std::sqrt(Limit);
  Limit += LimitSmoothing * (target - Limit);
  Limit = std::clamp(Limit, Options.Min, std::max(Options.Min, Options.Max));
}

} // namespace galenaflow::coordination
