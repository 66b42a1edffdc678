#ifndef GALENAFLOW_STATE_METRICS_H
#define GALENAFLOW_STATE_METRICS_H

#include "state/clock.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

/// Metrics of this process. Not thread-safe: as all state, they are used only
/// on the thread of the event loop.
namespace galenaflow::state {

using Labels = std::vector<std::pair<std::string, std::string>>;

class Counter {
public:
  void add(std::uint64_t n = 1) { Total += n; }
  std::uint64_t value() const { return Total; }

private:
  std::uint64_t Total = 0;
};

class Gauge {
public:
  void set(double value) { Current = value; }
  void add(double d) { Current += d; }
  double value() const { return Current; }

private:
  double Current = 0;
};

/// Counts latencies in bins whose bounds grow by 12 %, from 100 us to 100 s. A
/// quantile is therefore at most 12 % above the true value.
class LatencyHistogram {
public:
  LatencyHistogram();
  ~LatencyHistogram();
  LatencyHistogram(const LatencyHistogram &) = delete;
  LatencyHistogram &operator=(const LatencyHistogram &) = delete;

  void record(Duration latency);
  std::uint64_t count() const { return Count; }
  Duration sum() const { return Sum; }

  /// Upper bound of the bin that holds quantile `q` (0 to 1). Zero when empty.
  Duration quantile(double q) const;

  /// Number of latencies up to `bound`, counting the bin of `bound` in full.
  std::uint64_t countUpTo(Duration bound) const;

private:
  struct Bins;
  std::unique_ptr<Bins> Self;
  std::uint64_t Count = 0;
  Duration Sum{0};
};

/// Owns metrics, which are identified by a name and labels. References to them
/// stay valid as long as the registry exists. Each name belongs to one type of
/// metric; using it for two types makes the exposition invalid.
class MetricRegistry {
public:
  MetricRegistry();
  ~MetricRegistry();
  MetricRegistry(const MetricRegistry &) = delete;
  MetricRegistry &operator=(const MetricRegistry &) = delete;

  /// Each of the three finds a metric or creates it. `help` is stored only when
  /// the name has no help text yet.
  Counter &counter(std::string_view name, std::string_view help,
                   const Labels &labels = {});
  Gauge &gauge(std::string_view name, std::string_view help,
               const Labels &labels = {});

  /// Written to the exposition in seconds.
  LatencyHistogram &histogram(std::string_view name, std::string_view help,
                              const Labels &labels = {});

  /// All metrics in the Prometheus text exposition format, version 0.0.4.
  std::string exposition() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Self;
};

} // namespace galenaflow::state

#endif
