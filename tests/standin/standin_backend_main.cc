#include "standin/backend_process.h"

#include <fstream>
#include <iostream>
#include <iterator>

// Usage: standin-backend [CONFIG]. Without a file, the configuration is read
// from standard input up to its end. The bound addresses are printed as one
// line.

int main(int argc, char **argv) {
  using namespace galenaflow;
  std::string config;
  if (argc > 1) {
    std::ifstream in(argv[1]);
    config.assign(std::istreambuf_iterator<char>(in), {});
  } else {
    config.assign(std::istreambuf_iterator<char>(std::cin), {});
  }
  transport::EventLoop loop;
  standin::BackendProcess process(loop);
  const auto report = process.start(config);
  if (!report) {
    std::cerr << "standin-backend: " << report.error().Text << "\n";
    return 1;
  }
  std::cout << *report << std::endl;
  loop.run();
  return 0;
}
