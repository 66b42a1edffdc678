#include "coordination/request_limiter.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
#include <random>
#include <vector>

using namespace galenaflow::coordination;
using namespace std::chrono_literals;

namespace {

/// All daemons of a fleet, with requests for one replica.
struct Fleet {
  struct Daemon {
    FleetComposition View;
    RequestLimiter Limiter;
  };
  TimePoint Now{1h};
  bool IsDelegated = false;
  std::vector<Daemon> Daemons;
  std::vector<TimePoint> Sent;
  std::mt19937_64 Random;

  Fleet(std::uint32_t daemons, std::uint32_t executors, double limit,
        std::uint64_t seed)
      : IsDelegated(executors != 0), Random(seed) {
    for (std::uint32_t i = 0; i != daemons; ++i)
      Daemons.push_back(
          {{daemons, true, executors, i < executors, i >= executors},
           RequestLimiter(limit, Random(), Now)});
  }

  /// Every daemon gets requests at this rate for `duration`.
  void run(Duration duration, double perSecond) {
    constexpr auto step = 5ms;
    std::bernoulli_distribution arrives(
        std::min(1.0, perSecond * std::chrono::duration<double>(step).count()));
    for (const TimePoint end = Now + duration; Now < end; Now += step)
      for (Daemon &it : Daemons) {
        const LimitShare share{limitFraction(it.View, IsDelegated), 0};
        if (!arrives(Random) || it.Limiter.available(share, Now) == 0)
          continue;
        it.Limiter.onSent(share, Now);
        Sent.push_back(Now);
      }
  }

  std::size_t mostIn(Duration window) const {
    std::size_t most = 0;
    std::size_t first = 0;
    for (std::size_t i = 0; i != Sent.size(); ++i) {
      while (Sent[i] - Sent[first] >= window)
        ++first;
      most = std::max(most, i + 1 - first);
    }
    return most;
  }
};

} // namespace

// Guards against daemons that each keep the limit for themselves, so that the
// replica gets a multiple of it.
TEST_CASE("the daemons together keep the limit of a replica") {
  const std::uint32_t daemons = GENERATE(1, 6, 9, 78, 295);
  const std::uint32_t executors = GENERATE_COPY(0U, daemons / 10);
  const double limit = GENERATE(1.0, 3.1, 8.7, 21.7);
  const std::uint64_t seed = GENERATE(1, 2, 3);
  INFO(daemons << " daemons, " << executors << " executors, limit " << limit);
  Fleet fleet(daemons, executors, limit, seed);
  fleet.run(4s, 0);
  fleet.run(10s, 40);
  fleet.run(5s, 0.2);
  fleet.run(10s, 40);
  CHECK(static_cast<double>(fleet.mostIn(4s)) <= 1.5 * 4 * limit + 5);
}

TEST_CASE("under load the daemons use most of the limit") {
  const std::uint32_t daemons = GENERATE(1, 6, 78, 295);
  const double limit = GENERATE(2.0, 21.7);
  INFO(daemons << " daemons, limit " << limit);
  Fleet fleet(daemons, 0, limit, 7);
  fleet.run(60s, 40);
  CHECK(static_cast<double>(fleet.Sent.size()) >= 0.7 * 60 * limit);
}

TEST_CASE("the fractions of all daemons sum up to one") {
  for (const std::uint32_t executors : {0U, 6U}) {
    constexpr std::uint32_t daemons = 78;
    double sum = 0;
    for (std::uint32_t i = 0; i != daemons; ++i)
      sum +=
          limitFraction({daemons, true, executors, i < executors, false}, true);
    CHECK(sum == Approx(1));
  }
}

// Guards against queries that never find enough shards at once, because each
// replica allows this daemon a request at another time.
TEST_CASE("a daemon with a small fraction may send to all shards in the same "
          "turn") {
  TimePoint now{1h};
  const LimitShare share{1.0 / 295, 0};
  RequestLimiter first(8, 42, now);
  RequestLimiter second(8, 42, now);
  int turns = 0;
  for (int i = 0; i != 2000; ++i, now += 1s) {
    CHECK(first.available(share, now) == second.available(share, now));
    turns += static_cast<int>(first.available(share, now));
  }
  CHECK(turns > 20);
}
