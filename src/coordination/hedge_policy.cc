#include "coordination/hedge_policy.h"

#include <algorithm>
#include <bit>

// The histogram has eight buckets for each power of two of microseconds, so
// that an index needs no logarithm. The quantile is computed again after every
// 32 samples, since it is read for every sub-request sent.

namespace galenaflow::coordination {

namespace {

constexpr std::size_t SubBuckets = 8;
constexpr int SubBits = 3;
constexpr std::size_t EstimateEvery = 32;

std::size_t bucketOf(std::uint64_t micros) {
  if (micros < SubBuckets)
    return micros;
  const int shift = static_cast<int>(std::bit_width(micros)) - SubBits - 1;
  return static_cast<std::size_t>(shift) * SubBuckets + (micros >> shift);
}

std::uint64_t upperBound(std::size_t bucket) {
  if (bucket < 2 * SubBuckets)
    return bucket + 1;
  const std::size_t shift = bucket / SubBuckets - 1;
  return (SubBuckets + bucket % SubBuckets + 1) << shift;
}

} // namespace

LatencyQuantile::LatencyQuantile(double quantile, std::size_t halfLife)
    : Quantile(quantile), HalfLife(halfLife) {}

void LatencyQuantile::add(Duration d) {
  const auto micros = static_cast<std::uint64_t>(std::max<long>(0, d.count()));
  Buckets[std::min(bucketOf(micros), BucketCount - 1)] += 1;
  ++Samples;
  if (Samples % HalfLife == 0)
    decay();
  if (Samples == MinSamples ||
      (Samples > MinSamples && Samples % EstimateEvery == 0))
    estimate();
}

void LatencyQuantile::decay() {
  for (float &it : Buckets)
    it /= 2;
}

void LatencyQuantile::estimate() {
  double total = 0;
  for (const float it : Buckets)
    total += it;
  double left = total * Quantile;
  for (std::size_t i = 0; i < BucketCount; ++i) {
    left -= Buckets[i];
    if (left > 0)
      continue;
    Value = Duration(upperBound(i));
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
