#include "runner.h"

#include <fstream>
#include <iostream>
#include <iterator>

// Runs the scenario of a JSON file (see scenario.h) and writes a report and
// optionally a plot of the latencies.
//
//   galenaflow-bench SCENARIO REPORT.json [PLOT.svg]

int main(int argc, char **argv) {
  using namespace galenaflow;
  if (argc < 3) {
    std::cerr << "usage: galenaflow-bench SCENARIO REPORT.json [PLOT.svg]\n";
    return 2;
  }
  std::ifstream in(argv[1]);
  const std::string text(std::istreambuf_iterator<char>(in), {});
  const auto scenario = bench::parseScenario(text);
  if (!scenario) {
    std::cerr << "galenaflow-bench: " << scenario.error().Text << "\n";
    return 2;
  }
  const auto result = bench::runScenario(*scenario);
  std::ofstream(argv[2]) << bench::toJson(*scenario, result.Samples,
                                          result.Readings)
                         << "\n";
  if (argc > 3)
    std::ofstream(argv[3]) << bench::toSvg(*scenario, result.Samples);
  return 0;
}
