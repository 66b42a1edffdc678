#include "coordination/weighted_round_robin.h"

#include <algorithm>
#include <numeric>

// Smooth weighted round robin: at each request, every target's credit grows by
// its weight. The target with the greatest credit is chosen, and its credit is
// reduced by the sum of all weights.

namespace galenaflow::coordination {

std::size_t WeightedRoundRobin::next(std::span<const double> weights) {
  if (!std::equal(weights.begin(), weights.end(), Weights.begin(),
                  Weights.end())) {
    Weights.assign(weights.begin(), weights.end());
    Credits.assign(weights.size(), 0);
  }
  for (std::size_t i = 0; i != Weights.size(); ++i)
    Credits[i] += Weights[i];
  const auto chosen = std::max_element(Credits.begin(), Credits.end());
  *chosen -= std::accumulate(Weights.begin(), Weights.end(), 0.0);
  return static_cast<std::size_t>(chosen - Credits.begin());
}

} // namespace galenaflow::coordination
