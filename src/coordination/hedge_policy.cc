#include "coordination/hedge_policy.h"

#include <algorithm>
#include <bit>

// The histogram has eight buckets for each power of two of microseconds, so
// that computing an index needs no logarithm. The quantile is read for every
// sub-request sent, so it is cached and recomputed after every 32 samples.

namespace galenaflow::coordination {

namespace {

constexpr std::size_t SubBucketCount = 8;
constexpr int SubBucketBits = 3;
constexpr std::size_t EstimateInterval = 32;

std::size_t bucketIndex(std::uint64_t micros) {
  if (micros < SubBucketCount)
    return micros;
  const int shift =
      static_cast<int>(std::bit_width(micros)) - SubBucketBits - 1;
  return static_cast<std::size_t>(shift) * SubBucketCount + (micros >> shift);
}

std::uint64_t bucketUpperBound(std::size_t bucket) {
  if (bucket < 2 * SubBucketCount)
    return bucket + 1;
  const std::size_t shift = bucket / SubBucketCount - 1;
  return (SubBucketCount + bucket % SubBucketCount + 1) << shift;
}

} // namespace

LatencyQuantile::LatencyQuantile(double quantile, std::size_t halfLife)
    : Quantile(quantile), HalfLife(halfLife) {}

void LatencyQuantile::add(Duration d) {
  const auto micros = static_cast<std::uint64_t>(std::max<long>(0, d.count()));
  Buckets[std::min(bucketIndex(micros), BucketCount - 1)] += 1;
  ++SampleCount;
  if (SampleCount % HalfLife == 0)
    decay();
  if (SampleCount == MinSamples ||
      (SampleCount > MinSamples && SampleCount % EstimateInterval == 0))
    updateEstimate();
}

void LatencyQuantile::decay() {
  for (float &it : Buckets)
    it /= 2;
}

void LatencyQuantile::updateEstimate() {
  double total = 0;
  for (const float it : Buckets)
    total += it;
  double remaining = total * Quantile;
  for (std::size_t i = 0; i < BucketCount; ++i) {
    remaining -= Buckets[i];
    if (remaining > 0)
      continue;
    Estimate = Duration(bucketUpperBound(i));
    return;
  }
}

AdaptiveHedgePolicy::AdaptiveHedgePolicy(HedgeOptions options)
    : Options(options), Budget(options.Budget), Latency(options.Quantile) {}

std::optional<Duration> AdaptiveHedgePolicy::p95() const {
  const auto value = Latency.value();
  if (!value)
    return std::nullopt;
  return std::max(*value, Options.MinDelay);
}

} // namespace galenaflow::coordination
