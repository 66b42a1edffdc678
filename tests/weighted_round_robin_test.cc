#include "coordination/weighted_round_robin.h"

#include <catch2/catch.hpp>
#include <cmath>
#include <numeric>
#include <rapidcheck.h>

using galenaflow::coordination::WeightedRoundRobin;

// Guards against random deviations from the weights: a few hundred requests per
// daemon must match the operator's weights.
TEST_CASE("the count of a target differs from its share by at most the number "
          "of targets") {
  rc::check([] {
    const auto weights = *rc::gen::suchThat(
        rc::gen::container<std::vector<double>>(rc::gen::map(
            rc::gen::inRange(0, 100), [](int n) { return n / 10.0; })),
        [](const std::vector<double> &w) {
          return std::accumulate(w.begin(), w.end(), 0.0) > 0;
        });
    const double sum = std::accumulate(weights.begin(), weights.end(), 0.0);
    WeightedRoundRobin roundRobin;
    std::vector<int> counts(weights.size());
    for (int n = 1; n <= 300; ++n) {
      ++counts[roundRobin.next(weights)];
      for (std::size_t i = 0; i != counts.size(); ++i)
        RC_ASSERT(std::abs(counts[i] - n * weights[i] / sum) <=
                  static_cast<double>(counts.size()));
    }
  });
}

// Guards against credits of earlier weights that are used with new ones.
TEST_CASE("new weights reset the credits") {
  WeightedRoundRobin roundRobin;
  CHECK(roundRobin.next(std::vector<double>{1, 0}) == 0);
  CHECK(roundRobin.next(std::vector<double>{0, 1}) == 1);
  CHECK(roundRobin.next(std::vector<double>{0, 1, 0}) == 1);
}
