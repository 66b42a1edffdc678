#include "platform/soak.h"

#include <cstdlib>
#include <iostream>

// Usage: platform-soak FIRST_SEED COUNT [DAEMONS]
//
// Runs the soak with COUNT seeds from FIRST_SEED on and DAEMONS processes. The
// exit code is 1 if a run violated a guarantee.
int main(int argc, char **argv) {
  using namespace galenaflow::standin;
  const std::uint64_t first =
      argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
  const std::uint64_t count =
      argc > 2 ? std::strtoull(argv[2], nullptr, 10) : 1;
  std::size_t violations = 0;
  for (std::uint64_t seed = first; seed != first + count; ++seed) {
    SoakOptions options;
    options.Seed = seed;
    if (argc > 3)
      options.Daemons = std::strtoull(argv[3], nullptr, 10);
    violations += Soak(options).run().size();
  }
  std::cout << count << " seeds, " << violations << " violated guarantees"
            << std::endl;
  return violations == 0 ? 0 : 1;
}
