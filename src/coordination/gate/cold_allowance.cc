#include "coordination/gate/cold_allowance.h"

#include "coordination/request_limiter.h"
#include "state/hash.h"

#include <algorithm>
#include <cmath>
#include <string>

// Let B be the most requests that may arrive in a second, N the number of
// daemons, and W the ColdWindow. Requests of a window W may arrive within one
// second, since some take longer to arrive than others. Each daemon plans for
// 2N daemons, so that a count of half the daemons still keeps the bound.
//
// * Few daemons: each may send k = floor(B / 2N) requests in any W. They are
//   spaced by W / k, so nothing is saved up, and the sum is at most B.
// * Many daemons (k = 0): time is divided into turns, which are not aligned
//   between daemons, and a daemon may send one request in a turn with the
//   probability p. A window W touches at most W / turn + 1 turns of each
//   daemon. The sum is a sum of independent draws, and its tail above the mean
//   is at most that of a Poisson distribution of the same mean (Hoeffding,
//   1956). With the largest mean m whose tail above B is 1e-9,
//   p = m / (2N (W / turn + 1)). Short turns lose little to the "+ 1".
//
// A daemon of the second kind sends at most one request in any W, too. Daemons
// that disagree on N may mix both kinds: if N <= B, each sends at most
// max(1, B / N) in a window, so the sum is at most B. If N > B, counts of at
// least N / 2 give k = 0, so all are of the second kind.
//
// Where executors run the requests, they are divided as for request limits. If
// the executors' part allows the first kind, the bound is split between
// executors and others; otherwise all draw for the common bound.

namespace galenaflow::coordination::gate {

namespace {

/// Probability with which a bound may be exceeded, for each replica and second.
constexpr double MaxExcessProbability = 1e-9;

/// How many times more daemons than counted there may be.
constexpr double CountMargin = 2;

/// The part of a bound that belongs to daemons of one kind.
std::uint32_t perWindow(double bound, double daemons) {
  return static_cast<std::uint32_t>(bound / (CountMargin * daemons) + 1e-9);
}

double turnProbability(std::uint32_t bound, double fraction) {
  const double turns = static_cast<double>(ColdWindow / ColdTurn) + 1;
  return fraction * maxPoissonMean(bound) / (CountMargin * turns);
}

ColdShare equalShare(std::uint32_t bound, double daemons) {
  const std::uint32_t n = perWindow(bound, daemons);
  return n != 0 ? ColdShare{n, 0}
                : ColdShare{0, turnProbability(bound, 1 / daemons)};
}

double poissonTail(std::uint32_t most, double mean) {
  // Terms fall by at least mean / (most + 2) each, which is below one here.
  constexpr int maxTerms = 1000;
  constexpr double relativeEnd = 1e-12;
  double term = std::exp((most + 1) * std::log(mean) - mean -
                         std::lgamma(static_cast<double>(most) + 2));
  double sum = 0;
  for (int i = 2; i != maxTerms && term > sum * relativeEnd; ++i) {
    sum += term;
    term *= mean / (static_cast<double>(most) + i);
  }
  return sum;
}

} // namespace

std::uint32_t maxColdArrivals(double ratePerSecond, const ColdBounds &bounds) {
  constexpr double most = 1e6;
  return static_cast<std::uint32_t>(
      std::clamp(ratePerSecond * bounds.Overage + bounds.Slack, 0.0, most));
}

double maxPoissonMean(std::uint32_t most) {
  constexpr int steps = 60;
  double low = 0;
  double high = static_cast<double>(most) + 1;
  for (int i = 0; i != steps; ++i) {
    const double middle = (low + high) / 2;
    (poissonTail(most, middle) <= MaxExcessProbability ? low : high) = middle;
  }
  return low;
}

ColdShare coldShare(std::uint32_t maxArrivals, const FleetComposition &fleet,
                    bool isDelegated) {
  const double daemons = std::max(1U, fleet.Daemons);
  const double executors = fleet.Executors;
  if (!isDelegated || executors == 0 || executors >= daemons)
    return equalShare(maxArrivals, daemons);
  FleetComposition executorView = fleet;
  executorView.IsExecutor = true;
  const auto executorPart = static_cast<std::uint32_t>(
      maxArrivals * executors * limitFraction(executorView, true));
  const std::uint32_t n = perWindow(executorPart, executors);
  if (n == 0)
    return {0, turnProbability(maxArrivals, limitFraction(fleet, true))};
  return fleet.IsExecutor
             ? ColdShare{n, 0}
             : equalShare(maxArrivals - executorPart, daemons - executors);
}

double drawColdTurn(std::uint64_t seed, std::string_view group, TimePoint now) {
  const std::int64_t turn = now.time_since_epoch() / ColdTurn;
  std::string key(reinterpret_cast<const char *>(&turn), sizeof(turn));
  key += group;
  return std::ldexp(static_cast<double>(state::hash64(key, seed) >> 11), -53);
}

bool ColdAllowance::allows(const ColdShare &share, std::string_view group,
                           std::uint64_t seed, TimePoint now) const {
  const Duration spacing =
      ColdWindow / static_cast<int>(std::max(1U, share.PerWindow));
  // The smallest time, of a replica to which nothing was sent, allows no
  // subtraction.
  if (LastSentAt != TimePoint::min() && now - LastSentAt <= spacing)
    return false;
  return share.PerWindow != 0 ||
         drawColdTurn(seed, group, now) < share.TurnProbability;
}

void ColdAllowance::onSent(TimePoint now) {
  SentBefore = LastSentAt;
  LastSentAt = now;
}

void ColdAllowance::onReturned(TimePoint sentAt) {
  if (LastSentAt == sentAt)
    LastSentAt = SentBefore;
}

} // namespace galenaflow::coordination::gate
