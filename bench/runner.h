#ifndef GALENAFLOW_BENCH_RUNNER_H
#define GALENAFLOW_BENCH_RUNNER_H

#include "report.h"

#include <vector>

namespace galenaflow::bench {

struct RunResult {
  std::vector<Sample> Samples;

  /// One for the start of each phase, and one for the end of the run.
  std::vector<BackendReading> Readings;
};

/// Runs all phases of a scenario. Blocks until the last request has ended.
RunResult runScenario(const Scenario &scenario);

} // namespace galenaflow::bench

#endif
