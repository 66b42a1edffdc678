#include "protocol/quarantine_messages.h"

#include <array>
#include <catch2/catch.hpp>

using namespace galenaflow;
using namespace std::chrono_literals;

// Guards against executions that seem independent of each other because the
// message loses when they began.
TEST_CASE("evidence is read as it was written, and begins no later than it "
          "ends") {
  const state::RequestEvidence lost{{1, 2}, 7, 3, 20ms, 90ms};
  const std::array sent{lost, state::RequestEvidence{{1, 2}, 8, 1, 20ms, 0ms}};
  const auto received =
      protocol::decodeEvidence(protocol::encodeEvidence(sent));
  REQUIRE(received);
  REQUIRE(received->size() == 2);
  CHECK(received->front() == lost);
  CHECK(received->back().StartAge == 20ms);
}
