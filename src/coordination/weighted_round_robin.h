#ifndef GALENAFLOW_COORDINATION_WEIGHTED_ROUND_ROBIN_H
#define GALENAFLOW_COORDINATION_WEIGHTED_ROUND_ROBIN_H

#include <cstddef>
#include <span>
#include <vector>

namespace galenaflow::coordination {

/// Distributes requests over targets in proportion to weights. After any number
/// of requests, each target's count differs from its exact share by less than
/// the number of targets, so that a few hundred requests are enough to match
/// the operator's weights.
class WeightedRoundRobin {
public:
  /// Index of the next target. When the weights differ from those of the
  /// previous call, all credits start at 0 again. Precondition: not empty.
  std::size_t next(std::span<const double> weights);

private:
  std::vector<double> Weights;
  std::vector<double> Credits;
};

} // namespace galenaflow::coordination

#endif
