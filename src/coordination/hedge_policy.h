#ifndef GALENAFLOW_COORDINATION_HEDGE_POLICY_H
#define GALENAFLOW_COORDINATION_HEDGE_POLICY_H

#include "coordination/query_policies.h"
#include "coordination/retry_budget.h"

#include <array>

namespace galenaflow::coordination {

/// Estimates a quantile of recent durations with at most 12.5 % error. Older
/// samples lose half their weight with every HalfLife samples.
class LatencyQuantile {
public:
  explicit LatencyQuantile(double quantile, std::size_t halfLife = 2000);

  void add(Duration d);

  /// Upper bound of the quantile's bucket; nothing before MinSamples.
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

/// HedgePolicy for one service and operation: p95 of recent latencies, and a
/// token budget.
class AdaptiveHedgePolicy final : public HedgePolicy {
public:
  explicit AdaptiveHedgePolicy(HedgeOptions options = {});

  void onPrimariesSent(std::size_t n) override { Budget.onPrimariesSent(n); }
  void onLatency(Duration latency) override { Latency.add(latency); }
  std::optional<Duration> p95() const override;
  bool tryTake() override { return !Saturated && Budget.tryTake(); }

  /// While admission is saturated, nothing is hedged.
  void setSaturated(bool saturated) { Saturated = saturated; }

private:
  HedgeOptions Options;
  TokenBudget Budget;
  LatencyQuantile Latency;
  bool Saturated = false;
};

} // namespace galenaflow::coordination

#endif
