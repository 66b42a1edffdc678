#ifndef GALENAFLOW_COORDINATION_REQUEST_LIMITER_H
#define GALENAFLOW_COORDINATION_REQUEST_LIMITER_H

#include "coordination/connection_plan.h"
#include "state/clock.h"

#include <cstdint>

namespace galenaflow::coordination {

using state::Duration;
using state::TimePoint;

/// Returns the fraction of a replica's request limit that this daemon may use.
/// `isDelegated` states whether executors run the requests of the replica's
/// service for the other daemons. The fractions of all daemons sum up to one.
double limitFraction(const FleetComposition &fleet, bool isDelegated);

/// This daemon's part in the limit of a replica.
struct LimitShare {
  double Fraction = 1; ///< see limitFraction()

  /// Position of the replica among those of its service.
  std::uint32_t Rank = 0;
};

/// Bounds the requests of this daemon to one replica that limits the requests
/// of all daemons together. Each daemon uses its fraction of the limit, so that
/// the sum is kept without messages between them.
class RequestLimiter {
public:
  /// `perSecond` is the limit over all daemons. `seed` must differ between
  /// daemons and be equal for the replicas of one daemon.
  RequestLimiter(double perSecond, std::uint64_t seed, TimePoint now);

  /// Changes the limit; what was sent before still counts.
  void setLimit(double perSecond);
  double perSecond() const { return PerSecond; }

  /// Requests that may be sent now.
  std::uint32_t available(const LimitShare &share, TimePoint now);

  /// A request was sent.
  void onSent(const LimitShare &share, TimePoint now);

private:
  bool usesBucket(const LimitShare &share) const;
  void refill(const LimitShare &share, TimePoint now);

  double PerSecond;
  std::uint64_t Seed;
  double Tokens;
  TimePoint RefilledAt;
  std::int64_t LastUsedTurn = -1;
};

} // namespace galenaflow::coordination

#endif
