#ifndef GALENAFLOW_BENCH_REPORT_H
#define GALENAFLOW_BENCH_REPORT_H

#include "load_generator.h"

#include <string>
#include <vector>

namespace galenaflow::bench {

/// Sub-requests that the backend stand-ins had run when a phase began; one more
/// than phases, the last for the end of the run.
struct BackendReading {
  std::uint64_t Run = 0;
  std::uint64_t Repeated = 0; ///< hedges and retries
};

/// JSON with latency percentiles, coverage, refusals, goodput and extra
/// backend load for each phase and item of the mix.
std::string toJson(const Scenario &scenario, const std::vector<Sample> &samples,
                   const std::vector<BackendReading> &readings);

/// Latency by percentile of answered requests, one line for each phase.
std::string toSvg(const Scenario &scenario, const std::vector<Sample> &samples);

} // namespace galenaflow::bench

#endif
