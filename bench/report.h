#ifndef GALENAFLOW_BENCH_REPORT_H
#define GALENAFLOW_BENCH_REPORT_H

#include "load_generator.h"

#include <optional>
#include <string>
#include <vector>

namespace galenaflow::bench {

/// Counts of sub-requests at one time, since the start of the processes.
struct BackendReading {
  // Counted by the backend stand-ins.
  std::uint64_t Run = 0;
  std::uint64_t Repeated = 0; ///< hedges and retries

  // Counted by the daemons.
  std::uint64_t Primaries = 0;
  std::uint64_t Hedges = 0;
  std::uint64_t Retries = 0;
};

/// Returns a quantile of sorted values in microseconds, in milliseconds: the
/// smallest value that at least the fraction `quantile` of them does not
/// exceed. 0 without values.
double percentileMs(const std::vector<std::uint32_t> &sorted, double quantile);

/// Returns the answers per second that arrived within the phase, of one item or
/// of all items.
double goodput(const Scenario &scenario, const std::vector<Sample> &samples,
               std::uint32_t phase, std::optional<std::uint32_t> item = {});

/// Returns JSON with latency percentiles, coverage, refusals and goodput for
/// each phase and item of the mix, and the backend load of each phase. There is
/// one reading for the start of each phase and one for the end of the run.
std::string toJson(const Scenario &scenario, const std::vector<Sample> &samples,
                   const std::vector<BackendReading> &readings);

/// Returns a plot of latency by percentile of answered requests, with one line
/// for each phase.
std::string toSvg(const Scenario &scenario, const std::vector<Sample> &samples);

} // namespace galenaflow::bench

#endif
