#ifndef GALENAFLOW_COORDINATION_HEDGE_POLICY_H
#define GALENAFLOW_COORDINATION_HEDGE_POLICY_H

#include "coordination/query_policies.h"
#include "coordination/retry_budget.h"

#include <array>

namespace galenaflow::coordination {

/// Estimates a quantile of recent durations with an error of at most 12.5 %.
/// The weight of a sample halves after every HalfLife further samples.
class LatencyQuantile {
public:
  explicit LatencyQuantile(double quantile, std::size_t halfLife = 2000);

  void add(Duration d);

  /// The upper bound of the histogram bucket that contains the quantile, or
  /// nothing before MinSamples samples.
  std::optional<Duration> value() const { return Estimate; }

  static constexpr std::size_t MinSamples = 50;

private:
  void decay();
  void updateEstimate();

  static constexpr std::size_t BucketCount = 256;
  std::array<float, BucketCount> Buckets{};
  double Quantile;
  std::size_t HalfLife;
  std::size_t SampleCount = 0;
  std::optional<Duration> Estimate;
};

struct HedgeOptions {
  TokenBudgetOptions Budget;
  Duration MinDelay = std::chrono::milliseconds(1);
  double Quantile = 0.95; ///< of recent latencies
};

/// Decides on hedges for one service and operation: after the quantile of
/// recent latencies, and within a token budget.
class AdaptiveHedgePolicy final : public HedgePolicy {
public:
  explicit AdaptiveHedgePolicy(HedgeOptions options = {});

  void onPrimariesSent(std::size_t n) override { Budget.onPrimariesSent(n); }
  void onLatency(Duration latency) override { Latency.add(latency); }
  std::optional<Duration> p95() const override;
  bool tryTake() override { return !Saturated && Budget.tryTake(); }

  /// Turns hedging off while admission is saturated.
  void setSaturated(bool saturated) { Saturated = saturated; }

private:
  HedgeOptions Options;
  TokenBudget Budget;
  LatencyQuantile Latency;
  bool Saturated = false;
};

} // namespace galenaflow::coordination

#endif
