#include "state/distinct_count.h"

#include "state/hash.h"

#include <algorithm>
#include <cmath>

// The k-minimum-values algorithm: each name is hashed to 32 bits, and the
// smallest MaxValues hashes are kept. Counters are merged by keeping the
// smallest hashes of all of them, so a name that is in several counts once.
// Hashes are spread evenly over their range, so the largest one that is kept
// gives the density of all hashes and with it their number.

namespace galenaflow::state {

void DistinctCount::add(std::string_view name) {
  Values.push_back(static_cast<std::uint32_t>(hash64(name)));
  normalize();
}

void DistinctCount::normalize() {
  std::sort(Values.begin(), Values.end());
  Values.erase(std::unique(Values.begin(), Values.end()), Values.end());
  if (Values.size() > MaxValues)
    Values.resize(MaxValues);
}

std::uint32_t DistinctCount::count() const {
  if (Values.size() < MaxValues)
    return static_cast<std::uint32_t>(Values.size());
  constexpr double range = 4294967296.0;
  const double density = static_cast<double>(MaxValues - 1) /
                         (static_cast<double>(Values.back()) + 1);
  return static_cast<std::uint32_t>(std::lround(density * range));
}

DistinctCount DistinctCount::fromValues(std::vector<std::uint32_t> values) {
  DistinctCount counter;
  counter.Values = std::move(values);
  counter.normalize();
  return counter;
}

} // namespace galenaflow::state
