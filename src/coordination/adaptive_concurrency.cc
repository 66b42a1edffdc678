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
constexpr double Smoothing = 0.4;
/// Doubling the baseline takes some hundred windows. With 0.02, fifty windows
/// of tenfold latency were already taken for normal.
constexpr double BaselineRise = 0.002;

} // namespace

AdaptiveConcurrency::AdaptiveConcurrency(ConcurrencyOptions options)
    : Options(options), Limit(std::clamp(options.Initial, options.Min,
                                         std::max(options.Min, options.Max))) {}

void AdaptiveConcurrency::setBounds(double min, double max, double initial) {
  Options.Min = min;
  Options.Max = std::max(max, min);
  Limit = std::clamp(Adjusted ? Limit : initial, Options.Min, Options.Max);
}

void AdaptiveConcurrency::onSample(Duration latency, double inFlight,
                                   std::size_t kind) {
  Kind &known = Kinds[kind];
  known.Sum += static_cast<double>(latency.count());
  known.MostInFlight = std::max(known.MostInFlight, inFlight);
  if (++known.Samples < Options.Window)
    return;
  adjust(known);
  known = {.Baseline = known.Baseline};
}

void AdaptiveConcurrency::adjust(Kind &kind) {
  const double recent =
      std::max(kind.Sum / static_cast<double>(kind.Samples), 1.0);
  if (kind.Baseline == 0 || recent < kind.Baseline)
    kind.Baseline = recent;
  else
    kind.Baseline += BaselineRise * (recent - kind.Baseline);
  Adjusted = true;
  const double gradient =
      std::clamp(Options.Tolerance * kind.Baseline / recent, 0.5, 1.0);
  // Without use of the limit, low latency says nothing about a higher one.
  if (gradient == 1 && kind.MostInFlight < Limit / 2)
    return;
  const double target = Limit * gradient + std::sqrt(Limit);
  Limit += Smoothing * (target - Limit);
  Limit = std::clamp(Limit, Options.Min, std::max(Options.Min, Options.Max));
}

} // namespace galenaflow::coordination
