#ifndef GALENAFLOW_BENCH_RUNNER_H
#define GALENAFLOW_BENCH_RUNNER_H

#include "report.h"

#include <vector>

namespace galenaflow::bench {

struct RunResult {
  std::vector<Sample> Samples;
  std::vector<BackendReading> Readings; ///< one more than phases
};

/// Runs all phases of a scenario.
RunResult runScenario(const Scenario &scenario);

} // namespace galenaflow::bench

#endif
