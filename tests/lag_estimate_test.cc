#include "coordination/lag_estimate.h"

#include <catch2/catch.hpp>

using namespace galenaflow::coordination;
using namespace std::chrono_literals;

// Guards against partial answers that go out in time by the clock and reach
// the caller after its objective, because the VM is slow.
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

TEST_CASE("a pause of the VM counts as a bounded lag") {
  LagEstimate lag;
  lag.add(5s);
  CHECK(lag.value() == 15ms);
}
