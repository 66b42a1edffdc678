#include "state/distinct_count.h"

#include <catch2/catch.hpp>
#include <cmath>
#include <random>
#include <set>
#include <string>

using galenaflow::state::DistinctCount;

namespace {

std::string makeName(int i) { return "10.0.0." + std::to_string(i) + ":7240"; }

} // namespace

// Guards against a daemon that is counted twice because it has just changed the
// relay to which it reports.
TEST_CASE("a name that was added to several counters counts once") {
  std::mt19937 random(5);
  for (int round = 0; round != 50; ++round) {
    const int n = 1 + static_cast<int>(random() % 1500);
    std::set<std::string> exact;
    std::vector<std::uint32_t> values;
    for (int part = 0; part != 5; ++part) {
      DistinctCount counter;
      for (int i = 0; i != 200; ++i) {
        const std::string name = makeName(static_cast<int>(random()) % n);
        exact.insert(name);
        counter.add(name);
      }
      for (int twice = 0; twice != 2; ++twice)
        values.insert(values.end(), counter.values().begin(),
                      counter.values().end());
    }
    CHECK(DistinctCount::fromValues(values).count() == exact.size());
  }
}

TEST_CASE("a count above the exact range is close to the true number") {
  for (const int n : {3000, 5700, 20000}) {
    std::vector<std::uint32_t> values;
    for (int i = 0; i != n; ++i) {
      DistinctCount one;
      one.add(makeName(i));
      values.push_back(one.values().front());
    }
    const auto counter = DistinctCount::fromValues(values);
    INFO("names " << n << ", counted " << counter.count());
    CHECK(counter.values().size() == DistinctCount::MaxValues);
    // Three standard errors of 1/sqrt(2048).
    CHECK(std::abs(static_cast<double>(counter.count()) - n) < 0.067 * n);
  }
}

TEST_CASE("a counter is restored from its values in any order") {
  DistinctCount counter;
  for (int i = 0; i != 40; ++i)
    counter.add(makeName(i));
  const std::vector<std::uint32_t> sent(counter.values().rbegin(),
                                        counter.values().rend());
  CHECK(DistinctCount::fromValues(sent) == counter);
  CHECK(DistinctCount().count() == 0);
}
