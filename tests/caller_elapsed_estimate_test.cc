#include "coordination/caller_elapsed_estimate.h"

#include <catch2/catch.hpp>

using namespace galenaflow::coordination;
using namespace std::chrono_literals;

TEST_CASE("the elapsed time is the decrease of the time remaining") {
  CallerElapsedEstimate estimate;
  CHECK(estimate.observe(400ms) == 0ms);
  CHECK(estimate.observe(330ms) == 70ms);
  CHECK(estimate.observe(400ms) == 0ms);
}

// Guards against partial answers to all callers after a request of one caller
// with a much longer deadline than the others.
TEST_CASE("one caller with a long deadline does not affect the others") {
  CallerElapsedEstimate estimate;
  estimate.observe(400ms);
  CHECK(estimate.observe(3s) == 0ms);
  CHECK(estimate.observe(400ms) == 0ms);
}
