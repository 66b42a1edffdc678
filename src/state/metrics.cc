// Histogram bins have equal widths on a logarithmic axis. The exposition merges
// them into a few buckets with round bounds, which keeps a scrape small;
// quantiles inside the process use all bins.
#include "state/metrics.h"

#include <array>
#include <boost/histogram.hpp>
#include <cmath>
#include <deque>
#include <map>

namespace galenaflow::state {

namespace {

namespace bh = boost::histogram;

constexpr double MinBoundUs = 100;
constexpr double MaxBoundUs = 1e8;
constexpr unsigned BinCount = 122; // (1e8 / 100)^(1/122) = 1.12

using Axis = bh::axis::regular<double, bh::axis::transform::log>;
using Histogram =
    decltype(bh::make_histogram_with(std::vector<std::uint64_t>(), Axis()));

constexpr std::array<Duration, 15> ExpositionBounds{
    Duration(1'000),      Duration(2'000),      Duration(5'000),
    Duration(10'000),     Duration(20'000),     Duration(50'000),
    Duration(100'000),    Duration(200'000),    Duration(500'000),
    Duration(1'000'000),  Duration(2'000'000),  Duration(5'000'000),
    Duration(10'000'000), Duration(30'000'000), Duration(60'000'000)};

std::string escapeLabel(std::string_view value) {
  std::string text;
  for (const char c : value) {
    if (c == '\\' || c == '"')
      text += '\\';
    if (c == '\n')
      text += "\\n";
    else
      text += c;
  }
  return text;
}

std::string labelText(const Labels &labels) {
  std::string text;
  for (const auto &[name, value] : labels) {
    text += text.empty() ? "" : ",";
    text.append(name).append("=\"").append(escapeLabel(value)).append("\"");
  }
  return text;
}

std::string numberText(double value) {
  std::array<char, 32> buf{};
  const int n = std::snprintf(buf.data(), buf.size(), "%.9g", value);
  return {buf.data(), static_cast<std::size_t>(n)};
}

std::string secondsText(Duration d) {
  return numberText(std::chrono::duration<double>(d).count());
}

/// One line: NAME{LABELS} VALUE.
void appendSample(std::string &text, std::string_view name,
                  std::string_view labels, std::string_view value) {
  text += name;
  if (!labels.empty())
    text.append("{").append(labels).append("}");
  text.append(" ").append(value).append("\n");
}

void appendMetric(std::string &text, const std::string &name,
                  const std::string &labels, const Counter &metric) {
  appendSample(text, name, labels, std::to_string(metric.value()));
}

void appendMetric(std::string &text, const std::string &name,
                  const std::string &labels, const Gauge &metric) {
  appendSample(text, name, labels, numberText(metric.value()));
}

void appendMetric(std::string &text, const std::string &name,
                  const std::string &labels, const LatencyHistogram &metric) {
  const std::string prefix = labels.empty() ? "" : labels + ",";
  const std::string bucket = name + "_bucket";
  for (const Duration bound : ExpositionBounds)
    appendSample(text, bucket, prefix + "le=\"" + secondsText(bound) + "\"",
                 std::to_string(metric.countUpTo(bound)));
  appendSample(text, bucket, prefix + "le=\"+Inf\"",
               std::to_string(metric.count()));
  appendSample(text, name + "_sum", labels, secondsText(metric.sum()));
  appendSample(text, name + "_count", labels, std::to_string(metric.count()));
}

/// All metrics of one type, by name (the family) and label text.
template <typename Metric> struct Families {
  struct Family {
    std::string Help;
    std::map<std::string, Metric> Members;
  };
  std::map<std::string, Family, std::less<>> ByName;

  Metric &get(std::string_view name, std::string_view help,
              const Labels &labels) {
    auto it = ByName.find(name);
    if (it == ByName.end())
      it = ByName.try_emplace(std::string(name)).first;
    if (it->second.Help.empty())
      it->second.Help = help;
    return it->second.Members.try_emplace(labelText(labels)).first->second;
  }

  void append(std::string &text, std::string_view type) const {
    for (const auto &[name, family] : ByName) {
      text.append("# HELP ").append(name).append(" ").append(family.Help);
      text.append("\n# TYPE ").append(name).append(" ").append(type);
      text += '\n';
      for (const auto &[labels, metric] : family.Members)
        appendMetric(text, name, labels, metric);
    }
  }
};

} // namespace

struct LatencyHistogram::Bins {
  Histogram Values = bh::make_histogram_with(
      std::vector<std::uint64_t>(), Axis(BinCount, MinBoundUs, MaxBoundUs));

  /// Upper bound of bin `i`; bin -1 holds the values below the axis.
  double upperBound(int i) const {
    const int last = static_cast<int>(BinCount) - 1;
    return Values.axis().value(std::min(i, last) + 1);
  }
};

LatencyHistogram::LatencyHistogram() : Self(std::make_unique<Bins>()) {}

LatencyHistogram::~LatencyHistogram() = default;

void LatencyHistogram::record(Duration latency) {
  // Zero and negative values have no logarithm; they count in the lowest bin.
  Self->Values(std::max(1.0, static_cast<double>(latency.count())));
  ++Count;
  Sum += latency;
}

Duration LatencyHistogram::quantile(double q) const {
  if (Count == 0)
    return Duration(0);
  const double exactRank = std::ceil(q * static_cast<double>(Count));
  const auto rank = static_cast<std::uint64_t>(std::max(1.0, exactRank));
  std::uint64_t seen = 0;
  int i = -1;
  for (; i <= static_cast<int>(BinCount); ++i) {
    seen += Self->Values.at(i);
    if (seen >= rank)
      break;
  }
  return Duration(static_cast<std::int64_t>(std::ceil(Self->upperBound(i))));
}

std::uint64_t LatencyHistogram::countUpTo(Duration bound) const {
  // A bound inside a bin counts the whole bin, so that the error is at most the
  // width of one bin and counts never decrease from one bound to the next.
  const auto us = static_cast<double>(bound.count());
  std::uint64_t n = 0;
  for (int i = -1; i < static_cast<int>(BinCount); ++i) {
    if (i >= 0 && Self->Values.axis().value(i) >= us)
      break;
    n += Self->Values.at(i);
  }
  return n;
}

struct MetricRegistry::Impl {
  Families<Counter> Counters;
  Families<Gauge> Gauges;
  Families<LatencyHistogram> Histograms;
};

MetricRegistry::MetricRegistry() : Self(std::make_unique<Impl>()) {}

MetricRegistry::~MetricRegistry() = default;

Counter &MetricRegistry::counter(std::string_view name, std::string_view help,
                                 const Labels &labels) {
  return Self->Counters.get(name, help, labels);
}

Gauge &MetricRegistry::gauge(std::string_view name, std::string_view help,
                             const Labels &labels) {
  return Self->Gauges.get(name, help, labels);
}

LatencyHistogram &MetricRegistry::histogram(std::string_view name,
                                            std::string_view help,
                                            const Labels &labels) {
  return Self->Histograms.get(name, help, labels);
}

std::string MetricRegistry::exposition() const {
  std::string text;
  Self->Counters.append(text, "counter");
  Self->Gauges.append(text, "gauge");
  Self->Histograms.append(text, "histogram");
  return text;
}

} // namespace galenaflow::state
