#ifndef GALENAFLOW_COORDINATION_WEIGHTED_ROUND_ROBIN_H
#define GALENAFLOW_COORDINATION_WEIGHTED_ROUND_ROBIN_H

#include <cstddef>
#include <span>
#include <vector>

namespace galenaflow::coordination {

/// Distributes requests over targets in proportion to weights. After any number
/// of requests, each target's share is off by less than one request per target,
/// so that a few hundred requests are enough to keep the operator's weights.
class WeightedRoundRobin {
public:
  /// Index of the next target. The weights must be the same at each call;
  /// otherwise the rotation starts again. Precondition: not empty.
  std::size_t next(std::span<const double> weights);

private:
  std::vector<double> Weights;
  std::vector<double> Credits;
};

} // namespace galenaflow::coordination

#endif
