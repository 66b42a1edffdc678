#include "coordination/lag_estimate.h"

#include <catch2/catch.hpp>

using namespace galenaflow::coordination;
using namespace std::chrono_literals;

// Guards against partial answers that are sent on time by the clock but reach
// the caller after its latency objective, because the process of a slow VM acts
// late on its timers.
TEST_CASE("the estimate follows the largest recent lag") {
  LagEstimate lag;
  lag.add(9ms);
  CHECK(lag.value() == 9ms);
  lag.add(1ms);
  CHECK(lag.value() > 8ms);
  for (int i = 0; i != 100; ++i)
    lag.add(1ms);
  CHECK(lag.value() < 1100us);
}

// Guards against an estimate that one long pause raises so far that the next
// partial answers are sent much too early.
TEST_CASE("a pause of the VM counts as a bounded lag") {
  LagEstimate lag;
  lag.add(5s);
  CHECK(lag.value() == 15ms);
}
