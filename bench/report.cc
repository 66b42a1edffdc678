#include "report.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <sstream>

// Percentiles are exact: all latencies of a group are sorted. A percentile is
// the smallest latency that at least that fraction of the requests does not
// exceed.

namespace galenaflow::bench {

using nlohmann::json;

double percentileMs(const std::vector<std::uint32_t> &sorted, double quantile) {
  if (sorted.empty())
    return 0;
  const auto n = static_cast<double>(sorted.size());
  const auto rank = static_cast<std::size_t>(std::ceil(quantile * n));
  return sorted[std::min(std::max<std::size_t>(rank, 1), sorted.size()) - 1] /
         1000.0;
}

double goodput(const Scenario &scenario, const std::vector<Sample> &samples,
               std::uint32_t phase, std::optional<std::uint32_t> item) {
  double begin = 0;
  for (std::uint32_t i = 0; i != phase; ++i)
    begin += scenario.Phases[i].Seconds;
  const double seconds = scenario.Phases[phase].Seconds;
  const auto n =
      std::count_if(samples.begin(), samples.end(), [&](const Sample &sample) {
        const double at = static_cast<double>(sample.DoneUs) / 1e6;
        return sample.Result == Outcome::Answered && at >= begin &&
               at < begin + seconds && (!item || sample.Item == *item);
      });
  return static_cast<double>(n) / seconds;
}

namespace {

json percentiles(const std::vector<std::uint32_t> &sorted) {
  return {{"count", sorted.size()},
          {"p50_ms", percentileMs(sorted, 0.5)},
          {"p99_ms", percentileMs(sorted, 0.99)},
          {"p99_9_ms", percentileMs(sorted, 0.999)},
          {"max_ms", percentileMs(sorted, 1)}};
}

json summarize(const Scenario &scenario, const std::vector<Sample> &samples,
               std::uint32_t phase, std::uint32_t item) {
  std::vector<std::uint32_t> answered;
  std::vector<std::uint32_t> refused;
  std::size_t failed = 0;
  std::uint64_t asked = 0;
  std::uint64_t covered = 0;
  for (const Sample &sample : samples) {
    if (sample.Phase != phase || sample.Item != item)
      continue;
    if (sample.Result == Outcome::Refused) {
      refused.push_back(sample.ServiceUs);
    } else if (sample.Result == Outcome::Failed) {
      ++failed;
    } else {
      answered.push_back(sample.LatencyUs);
      asked += sample.Asked;
      covered += sample.Covered;
    }
  }
  std::sort(answered.begin(), answered.end());
  std::sort(refused.begin(), refused.end());
  json entry = {{"item", scenario.Mix[item].Name},
                {"answered", percentiles(answered)},
                {"refused", percentiles(refused)},
                {"failed", failed},
                {"goodput_per_s", goodput(scenario, samples, phase, item)}};
  if (asked != 0)
    entry["coverage"] =
        static_cast<double>(covered) / static_cast<double>(asked);
  return entry;
}

} // namespace

std::string toJson(const Scenario &scenario, const std::vector<Sample> &samples,
                   const std::vector<BackendReading> &readings) {
  json phases = json::array();
  for (std::uint32_t i = 0; i != scenario.Phases.size(); ++i) {
    json items = json::array();
    for (std::uint32_t k = 0; k != scenario.Mix.size(); ++k)
      items.push_back(summarize(scenario, samples, i, k));
    json phase = {{"name", scenario.Phases[i].Name},
                  {"seconds", scenario.Phases[i].Seconds},
                  {"rate", scenario.Phases[i].Rate},
                  {"items", std::move(items)}};
    if (i + 1 < readings.size()) {
      const auto run = readings[i + 1].Run - readings[i].Run;
      const auto repeated = readings[i + 1].Repeated - readings[i].Repeated;
      phase["backend"] = {
          {"run", run},
          {"repeated", repeated},
          {"primaries", readings[i + 1].Primaries - readings[i].Primaries},
          {"hedges", readings[i + 1].Hedges - readings[i].Hedges},
          {"retries", readings[i + 1].Retries - readings[i].Retries}};
    }
    phases.push_back(std::move(phase));
  }
  return json{{"seed", scenario.Seed}, {"phases", std::move(phases)}}.dump(2);
}

std::string toSvg(const Scenario &scenario,
                  const std::vector<Sample> &samples) {
  constexpr double width = 640;
  constexpr double height = 360;
  constexpr int points = 200;
  std::vector<std::vector<std::uint32_t>> latencies(scenario.Phases.size());
  std::uint32_t maxUs = 1;
  for (const Sample &sample : samples)
    if (sample.Result == Outcome::Answered) {
      latencies[sample.Phase].push_back(sample.LatencyUs);
      maxUs = std::max(maxUs, sample.LatencyUs);
    }
  std::ostringstream out;
  out << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << width
      << "\" height=\"" << height << "\" font-family=\"sans-serif\">\n"
      << "<text x=\"10\" y=\"16\">latency by percentile (50 to 100), top "
      << maxUs / 1000.0 << " ms</text>\n";
  for (std::size_t i = 0; i != latencies.size(); ++i) {
    std::sort(latencies[i].begin(), latencies[i].end());
    const auto hue = 360 * i / latencies.size();
    out << "<polyline fill=\"none\" stroke=\"hsl(" << hue
        << ",70%,45%)\" points=\"";
    for (int k = 0; k <= points; ++k) {
      const double quantile = 0.5 + 0.5 * k / points;
      const double y = percentileMs(latencies[i], quantile) * 1000.0 / maxUs;
      out << width * k / points << "," << height - y * (height - 40) << " ";
    }
    out << "\"/>\n<text x=\"10\" y=\"" << 34 + 16 * i << "\" fill=\"hsl(" << hue
        << ",70%,45%)\">" << scenario.Phases[i].Name << "</text>\n";
  }
  out << "</svg>\n";
  return out.str();
}

} // namespace galenaflow::bench
