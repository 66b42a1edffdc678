#include "coordination/gate/cold_allowance.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <random>
#include <string>
#include <vector>

using namespace galenaflow::coordination;
using namespace galenaflow::coordination::gate;
using namespace std::chrono_literals;

namespace {

/// How a fleet differs from one whose daemons know each other exactly.
struct Disturbance {
  bool DisagreesOnCount = false; ///< counts from half to all of the daemons
  bool Restarts = false;         ///< half of the fleet every three seconds
};

/// All daemons of a fleet, each of which always has a request for the same
/// cold replica.
class Fleet {
public:
  Fleet(std::uint32_t daemons, std::uint32_t executors, double rate,
        Disturbance disturbance, std::uint64_t seed)
      : MaxArrivals(maxColdArrivals(rate, {})), Disturbed(disturbance),
        Random(seed) {
    std::uniform_real_distribution<double> part(0.5, 1);
    std::uniform_int_distribution<int> offset(0, 1'000'000);
    for (std::uint32_t i = 0; i != daemons; ++i) {
      FleetComposition view{daemons, true, executors, i < executors, false};
      if (disturbance.DisagreesOnCount) {
        const double counted = part(Random);
        view.Daemons = static_cast<std::uint32_t>(std::ceil(counted * daemons));
        view.Executors =
            static_cast<std::uint32_t>(std::ceil(counted * executors));
      }
      Daemons.push_back({coldShare(MaxArrivals, view, executors != 0),
                         {},
                         Random(),
                         Duration(offset(Random)),
                         TimePoint::min()});
    }
  }

  /// Runs all daemons. Requests take up to 200 ms longer to arrive than others.
  void run(Duration duration) {
    constexpr auto step = 10ms;
    std::uniform_int_distribution<int> delay(0, 200'000);
    TimePoint restartAt = Now + 3s;
    for (const TimePoint end = Now + duration; Now < end; Now += step) {
      if (Disturbed.Restarts && Now >= restartAt) {
        restartHalf();
        restartAt += 3s;
      }
      for (Daemon &it : Daemons) {
        const TimePoint local = Now + it.Offset;
        if (Now < it.UnusedUntil ||
            !it.Allowance.allows(it.Share, "east", it.Seed, local))
          continue;
        it.Allowance.onSent(local);
        Arrivals.push_back(Now + Duration(delay(Random)));
      }
    }
    std::sort(Arrivals.begin(), Arrivals.end());
  }

  /// Returns the most arrivals in any second.
  std::size_t mostInSecond() const {
    std::size_t most = 0;
    std::size_t first = 0;
    for (std::size_t i = 0; i != Arrivals.size(); ++i) {
      while (Arrivals[i] - Arrivals[first] >= 1s)
        ++first;
      most = std::max(most, i - first + 1);
    }
    return most;
  }
  std::size_t arrivals() const { return Arrivals.size(); }
  std::uint32_t maxArrivals() const { return MaxArrivals; }

private:
  struct Daemon {
    ColdShare Share;
    ColdAllowance Allowance;
    std::uint64_t Seed;
    Duration Offset; ///< of its clock
    TimePoint UnusedUntil;
  };

  // The gate gives a daemon that has started nothing for one window.
  void restartHalf() {
    for (std::size_t i = 0; i < Daemons.size(); i += 2) {
      Daemons[i].Allowance = {};
      Daemons[i].Seed = Random();
      Daemons[i].UnusedUntil = Now + ColdWindow;
    }
  }

  std::uint32_t MaxArrivals;
  Disturbance Disturbed;
  std::mt19937_64 Random;
  TimePoint Now{1h};
  std::vector<Daemon> Daemons;
  std::vector<TimePoint> Arrivals;
};

double poissonTail(std::uint32_t most, double mean) {
  double sum = 0;
  for (std::uint32_t k = most + 1; k != most + 200; ++k)
    sum += std::exp(k * std::log(mean) - mean - std::lgamma(k + 1.0));
  return sum;
}

} // namespace

TEST_CASE("the bound of arrivals follows from rate, overage and slack") {
  CHECK(maxColdArrivals(2, {1.5, 5}) == 8);
  CHECK(maxColdArrivals(6, {1.5, 5}) == 14);
  CHECK(maxColdArrivals(20, {1.5, 5}) == 35);
  CHECK(maxColdArrivals(0.5, {1, 0}) == 0);
}

TEST_CASE("the mean of the draws has a tail of 1e-9") {
  for (const std::uint32_t most : {1U, 8U, 14U, 35U, 200U}) {
    const double mean = maxPoissonMean(most);
    CHECK(poissonTail(most, mean) <= 1.0001e-9);
    CHECK(poissonTail(most, 1.01 * mean) > 1e-9);
  }
}

// Guards against a crash of a cold replica under the requests of the whole
// fleet. The probability of a false alarm is below 1e-6 over all runs.
TEST_CASE("all daemons together keep the bound of a cold replica") {
  std::uint64_t seed = 1;
  for (const std::uint32_t daemons : {6U, 33U, 86U, 295U, 1300U})
    for (const double rate : {2.0, 6.0, 20.0})
      for (const bool hasExecutors : {false, true})
        for (const Disturbance disturbance :
             {Disturbance{false, false}, Disturbance{true, false},
              Disturbance{true, true}}) {
          const std::uint32_t executors = hasExecutors ? daemons / 8 : 0;
          INFO("daemons " << daemons << " rate " << rate << " executors "
                          << executors << " disagree "
                          << disturbance.DisagreesOnCount << " restarts "
                          << disturbance.Restarts);
          Fleet fleet(daemons, executors, rate, disturbance, seed++);
          fleet.run(60s);
          CHECK(fleet.mostInSecond() <= fleet.maxArrivals());
        }
}

// Guards against a bound that is kept by sending nothing.
TEST_CASE("a cold replica gets part of its rate") {
  const auto ratio = [](std::uint32_t daemons, double rate) {
    Fleet fleet(daemons, 0, rate, {}, 99);
    fleet.run(300s);
    return static_cast<double>(fleet.arrivals()) / (300 * rate);
  };
  CHECK(ratio(6, 6) > 0.7);
  CHECK(ratio(6, 20) > 0.45);
  CHECK(ratio(86, 2) > 0.04);
  CHECK(ratio(86, 6) > 0.07);
  CHECK(ratio(1300, 6) > 0.07);
  CHECK(ratio(1300, 20) > 0.12);
}

TEST_CASE("a share is spaced evenly and nothing is saved up") {
  const ColdShare share{2, 0};
  ColdAllowance allowance;
  TimePoint now{1h};
  CHECK(allowance.allows(share, "east", 1, now));
  allowance.onSent(now);
  CHECK_FALSE(allowance.allows(share, "east", 1, now + 600ms));
  now += 20s;
  CHECK(allowance.allows(share, "east", 1, now));
  allowance.onSent(now);
  CHECK_FALSE(allowance.allows(share, "east", 1, now));
}

TEST_CASE("a request that did not arrive is returned to the allowance") {
  const ColdShare share{1, 0};
  ColdAllowance allowance;
  const TimePoint now{1h};
  allowance.onSent(now);
  allowance.onReturned(now - 1s);
  CHECK_FALSE(allowance.allows(share, "east", 1, now + 1ms));
  allowance.onReturned(now);
  CHECK(allowance.allows(share, "east", 1, now + 1ms));
}
