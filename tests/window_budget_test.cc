#include "coordination/window_budget.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>
#include <vector>

using namespace galenaflow::coordination;
using namespace std::chrono_literals;

// Guards against a restart that gives the budget a second slack, which an
// earlier incarnation of the daemon may have used.
TEST_CASE("nothing is allowed before the first requests, and the slack only "
          "after a window") {
  const TimePoint start{1h};
  WindowBudget budget({10s, 0.2}, start);
  CHECK_FALSE(budget.tryTake(3, start + 9s));
  for (int i = 0; i != 5; ++i)
    budget.onRequest(start + 9s);
  CHECK(budget.tryTake(3, start + 9s));
  CHECK_FALSE(budget.tryTake(3, start + 9s));
  for (int i = 0; i != 3; ++i)
    CHECK(budget.tryTake(3, start + 10s));
  CHECK_FALSE(budget.tryTake(3, start + 10s));
}

// Guards against more extra attempts than the operator's limit, which holds for
// every window of 10 s, wherever it begins. The slow reference records the time
// of each request and extra attempt.
TEST_CASE("no window holds more than the ratio and the slack allow") {
  for (std::uint64_t seed = 0; seed != 40; ++seed) {
    INFO("seed " << seed);
    std::mt19937_64 random(seed);
    const TimePoint start{1h};
    constexpr double slack = 4;
    WindowBudget budget({10s, 0.2}, start);
    std::vector<TimePoint> requests;
    std::vector<TimePoint> extras;
    TimePoint now = start;
    int taken = 0;
    for (int step = 0; step != 4000; ++step) {
      // Bursts and quiet periods alternate.
      const bool isBurst = (step / 500) % 2 == 0;
      now += Duration(
          static_cast<std::int64_t>(random() % (isBurst ? 4000U : 60000U)));
      if (random() % 3 != 0) {
        budget.onRequest(now);
        requests.push_back(now);
      } else if (budget.tryTake(slack, now)) {
        extras.push_back(now);
        ++taken;
      }
    }
    CHECK(taken > 100);
    for (const TimePoint end : extras) {
      const auto in = [end](TimePoint at) {
        return at > end - 10s && at <= end;
      };
      const auto n = std::count_if(requests.begin(), requests.end(), in);
      const auto extra = std::count_if(extras.begin(), extras.end(), in);
      REQUIRE(static_cast<double>(extra) <=
              0.2 * static_cast<double>(n) + slack + 1e-9);
    }
  }
}
