#include "coordination/request_limiter.h"

#include "state/hash.h"
#include "state/request_limit.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <string_view>

// A replica counts the requests of all daemons in windows of some seconds and
// tolerates a burst. What the daemons save together must stay below that burst:
//
// * Few daemons, compared with the limit: a token bucket each. A bucket holds
//   the tokens of a second, and at least one, so that requests that arrive
//   unevenly are not turned away.
// * Many daemons: a token saved by each would be a burst of as many requests.
//   Time is divided into turns, and a daemon may send one request in a turn
//   with a probability that yields its rate. Unused turns expire. The draw of a
//   turn is the same for the replicas of equal rank of all services: a query
//   needs most of its shards at the same time.

namespace galenaflow::coordination {

namespace {

/// Part of a limit that executors use for services whose requests they run. The
/// rest is for the daemons that run a request themselves when executors refuse
/// it.
constexpr double ExecutorPart = 0.75;

/// What a replica gets beyond its limit in any BurstWindow must not exceed this
/// part of what the limit allows in it, and BurstExtra requests more.
constexpr double ToleratedExcess = 0.5;
constexpr double BurstWindowSeconds = 4;
constexpr double BurstExtra = 4;

/// Tokens that a bucket holds at most, in seconds of its rate.
constexpr double BucketSeconds = 1;

constexpr Duration TurnDuration = std::chrono::seconds(1);

/// Fraction of the limit that turns use. The number of daemons that draw the
/// same turn varies.
constexpr double UsedTurnFraction = 0.8;

double toSeconds(Duration d) {
  return std::chrono::duration<double>(d).count();
}

std::int64_t turnAt(TimePoint now) {
  return now.time_since_epoch() / TurnDuration;
}

/// Returns a number in [0, 1) that is uniformly distributed over daemons and
/// turns.
double drawTurn(std::uint64_t seed, std::uint32_t rank, std::int64_t turn) {
  const std::array<std::int64_t, 2> key{turn, rank};
  const std::string_view bytes(reinterpret_cast<const char *>(key.data()),
                               sizeof(key));
  return std::ldexp(static_cast<double>(state::hash64(bytes, seed) >> 11), -53);
}

} // namespace

double limitFraction(const FleetComposition &fleet, bool isDelegated) {
  const double daemons = std::max(1U, fleet.Daemons);
  if (!isDelegated || fleet.Executors == 0)
    return 1 / daemons;
  const double executors = fleet.Executors;
  if (fleet.IsExecutor)
    return ExecutorPart / executors;
  return (1 - ExecutorPart) / std::max(1.0, daemons - executors);
}

RequestLimiter::RequestLimiter(double perSecond, std::uint64_t seed,
                               TimePoint now)
    : PerSecond(std::clamp(perSecond, state::MinRequestLimit,
                           state::MaxRequestLimit)),
      Seed(seed), Tokens(drawTurn(seed, 0, turnAt(now))), RefilledAt(now) {}

void RequestLimiter::setLimit(double perSecond) {
  PerSecond =
      std::clamp(perSecond, state::MinRequestLimit, state::MaxRequestLimit);
}

bool RequestLimiter::usesBucket(const LimitShare &share) const {
  const double tolerated =
      ToleratedExcess * BurstWindowSeconds * PerSecond + BurstExtra;
  return 1 / share.Fraction <= tolerated;
}

void RequestLimiter::refill(const LimitShare &share, TimePoint now) {
  const double rate = share.Fraction * PerSecond;
  const double elapsed = toSeconds(now - RefilledAt);
  RefilledAt = now;
  Tokens =
      std::min(std::max(1.0, rate * BucketSeconds), Tokens + rate * elapsed);
}

std::uint32_t RequestLimiter::available(const LimitShare &share,
                                        TimePoint now) {
  refill(share, now);
  if (usesBucket(share))
    return static_cast<std::uint32_t>(std::max(0.0, std::floor(Tokens)));
  const std::int64_t turn = turnAt(now);
  const double probability =
      UsedTurnFraction * share.Fraction * PerSecond * toSeconds(TurnDuration);
  return turn != LastUsedTurn && drawTurn(Seed, share.Rank, turn) < probability
             ? 1
             : 0;
}

void RequestLimiter::onSent(const LimitShare &share, TimePoint now) {
  refill(share, now);
  Tokens -= 1;
  LastUsedTurn = turnAt(now);
}

} // namespace galenaflow::coordination
