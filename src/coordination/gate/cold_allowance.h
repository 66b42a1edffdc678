#ifndef GALENAFLOW_COORDINATION_GATE_COLD_ALLOWANCE_H
#define GALENAFLOW_COORDINATION_GATE_COLD_ALLOWANCE_H

#include "coordination/connection_plan.h"
#include "state/clock.h"

#include <cstdint>
#include <string_view>

namespace galenaflow::coordination::gate {

using state::Duration;
using state::TimePoint;

/// What a cold replica tolerates from all daemons together: in any second, the
/// rate of its service times Overage, plus Slack.
struct ColdBounds {
  double Overage = 1.5;
  double Slack = 5;
};

/// Returns the most requests that may arrive at a cold replica in a second.
std::uint32_t maxColdArrivals(double ratePerSecond, const ColdBounds &bounds);

/// Returns the largest mean for which a Poisson-distributed number exceeds
/// `most` with a probability of at most 1e-9.
double maxPoissonMean(std::uint32_t most);

/// What this daemon may send to one cold replica.
struct ColdShare {
  /// Requests in each ColdWindow, evenly spaced. Zero: there are too many
  /// daemons, and TurnProbability applies.
  std::uint32_t PerWindow = 0;

  /// Probability that the daemon may send one request in a ColdTurn.
  double TurnProbability = 0;
};

/// Returns this daemon's part in `maxArrivals`. All daemons together stay
/// within it, also if each counts half of the daemons that there are.
/// `isDelegated`: see limitFraction().
ColdShare coldShare(std::uint32_t maxArrivals, const FleetComposition &fleet,
                    bool isDelegated);

/// Requests that are sent in a window of this length may arrive within one
/// second.
constexpr Duration ColdWindow = std::chrono::milliseconds(1250);

/// Turns of the draw among many daemons.
constexpr Duration ColdTurn = std::chrono::milliseconds(250);

/// Bounds the requests of this daemon to one cold replica.
class ColdAllowance {
public:
  /// Whether a request may be sent now. `group` and `seed` identify the draw:
  /// the replicas of one group are drawn together.
  bool allows(const ColdShare &share, std::string_view group,
              std::uint64_t seed, TimePoint now) const;

  void onSent(TimePoint now);

  /// The request that was sent at `sentAt` did not arrive at the replica.
  void onReturned(TimePoint sentAt);

private:
  TimePoint LastSentAt = TimePoint::min();
  TimePoint SentBefore = TimePoint::min(); ///< the one before LastSentAt
};

/// Returns a number in [0, 1) that is uniformly distributed over the seeds,
/// groups and turns.
double drawColdTurn(std::uint64_t seed, std::string_view group, TimePoint now);

} // namespace galenaflow::coordination::gate

#endif
