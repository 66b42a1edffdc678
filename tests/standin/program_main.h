#ifndef GALENAFLOW_STANDIN_PROGRAM_MAIN_H
#define GALENAFLOW_STANDIN_PROGRAM_MAIN_H

#include "transport/event_loop.h"

#include <fstream>
#include <iostream>
#include <iterator>
#include <string>

namespace galenaflow::standin {

/// Runs a stand-in: reads its configuration from the file in the first
/// argument, or from standard input up to its end if there is no argument,
/// prints the bound addresses as one line, and serves until it is killed.
/// Returns 1 if the start fails.
template <typename Process> int runProgram(int argc, char **argv) {
  std::string config;
  if (argc > 1) {
    std::ifstream in(argv[1]);
    config.assign(std::istreambuf_iterator<char>(in), {});
  } else {
    config.assign(std::istreambuf_iterator<char>(std::cin), {});
  }
  transport::EventLoop loop;
  Process process(loop);
  const auto report = process.start(config);
  if (!report) {
    std::cerr << argv[0] << ": " << report.error().Text << "\n";
    return 1;
  }
  std::cout << *report << std::endl;
  loop.run();
  return 0;
}

} // namespace galenaflow::standin

#endif
