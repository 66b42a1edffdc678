#include "coordination/caller_elapsed_estimate.h"

#include <catch2/catch.hpp>

using namespace galenaflow::coordination;
using namespace std::chrono_literals;

TEST_CASE("a shorter deadline shows how long ago the first attempt began") {
  CallerElapsedEstimate estimate;
  CHECK(estimate.observe(400ms) == 0ms);
  CHECK(estimate.observe(330ms) == 70ms);
  CHECK(estimate.observe(400ms) == 0ms);
}

// Guards against partial answers for everyone after one caller with a much
// longer deadline than the others.
TEST_CASE("one caller with a long deadline changes nothing for the others") {
  CallerElapsedEstimate estimate;
  estimate.observe(400ms);
  CHECK(estimate.observe(3s) == 0ms);
  CHECK(estimate.observe(400ms) == 0ms);
}
