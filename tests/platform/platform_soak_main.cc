#include "platform/soak.h"

#include <cstdlib>
#include <iostream>

// Usage: platform-soak FIRST_SEED COUNT. Exit code 1 when a promise was broken.
int main(int argc, char **argv) {
  using namespace galenaflow::standin;
  const std::uint64_t first =
      argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
  const std::uint64_t count =
      argc > 2 ? std::strtoull(argv[2], nullptr, 10) : 1;
  std::size_t broken = 0;
  for (std::uint64_t seed = first; seed != first + count; ++seed) {
    SoakOptions options;
    options.Seed = seed;
    broken += Soak(options).run().size();
  }
  std::cout << count << " seeds, " << broken << " broken promises" << std::endl;
  return broken == 0 ? 0 : 1;
}
