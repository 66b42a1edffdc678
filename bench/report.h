#ifndef GALENAFLOW_BENCH_REPORT_H
#define GALENAFLOW_BENCH_REPORT_H

#include "load_generator.h"

#include <optional>
#include <string>
#include <vector>

namespace galenaflow::bench {

/// Sub-requests that the backend stand-ins had run when a phase began; one more
/// than phases, the last for the end of the run.
struct BackendReading {
  std::uint64_t Run = 0;
  std::uint64_t Repeated = 0;  ///< hedges and retries
  std::uint64_t Primaries = 0; ///< these three as the daemons count them
  std::uint64_t Hedges = 0;
  std::uint64_t Retries = 0;
};

/// The smallest of sorted microseconds that `part` of them does not exceed.
double percentileMs(const std::vector<std::uint32_t> &sorted, double part);

/// Answers that arrived within the phase, per second; an item or all of them.
double goodput(const Scenario &scenario, const std::vector<Sample> &samples,
               std::uint32_t phase, std::optional<std::uint32_t> item = {});

/// JSON with latency percentiles, coverage, refusals, goodput and extra
/// backend load for each phase and item of the mix.
std::string toJson(const Scenario &scenario, const std::vector<Sample> &samples,
                   const std::vector<BackendReading> &readings);

/// Latency by percentile of answered requests, one line for each phase.
std::string toSvg(const Scenario &scenario, const std::vector<Sample> &samples);

} // namespace galenaflow::bench

#endif
