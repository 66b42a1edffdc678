#include "coordination/drain.h"

#include <catch2/catch.hpp>
#include <random>

using namespace galenaflow;
using namespace galenaflow::coordination;
using namespace std::chrono_literals;

// Guards against a stopping process that keeps requests which it cannot end, or
// refuses some which it can.
TEST_CASE("an attempt ends in time if its turn comes early enough") {
  CHECK(canEndWithin(2s, 0, 2, 2s));
  CHECK(canEndWithin(2s, 1, 2, 2s));
  CHECK_FALSE(canEndWithin(2s, 2, 2, 2s));
  CHECK(canEndWithin(4s, 3, 2, 2s));
  CHECK_FALSE(canEndWithin(1999ms, 0, 2, 2s));
  CHECK(canEndWithin(2s, 0, 0, 2s));
  CHECK_FALSE(canEndWithin(-1s, 0, 1, 0s));
}

// Guards against a stopping process that exits before its work is handed over,
// or never exits.
TEST_CASE(
    "a graceful stop keeps its order and time limits, and ignores further "
    "signals") {
  for (std::uint64_t seed = 1; seed <= 500; ++seed) {
    std::mt19937_64 random(seed);
    state::ManualClock clock;
    Drain drain(clock, {});
    CHECK(drain.isHealthy());
    REQUIRE(drain.requestStop().FailHealth);
    const auto startedAt = clock.now();
    DrainProgress progress{random() % 5, false, false, false};
    const bool isStuck = random() % 4 == 0;
    bool exited = false;
    int exits = 0;
    DrainPhase last = drain.phase();
    for (int i = 0; i != 800; ++i) {
      clock.advance(100ms);
      if (random() % 10 == 0) // a second signal
        CHECK_FALSE(drain.requestStop().FailHealth);
      const DrainActions actions = drain.tick(progress);
      CHECK(drain.phase() >= last);
      last = drain.phase();
      const auto elapsed = clock.now() - startedAt;
      if (actions.HandOverLeases || actions.HandOverGrants || actions.Exit)
        CHECK(elapsed >= 5s);
      if (actions.Exit) {
        ++exits;
        exited = true;
        const bool hasTimedOut = elapsed >= 65s;
        CHECK((hasTimedOut ||
               (progress.OpenRequests == 0 && progress.RecordsCopied &&
                progress.GrantsHandedOver && progress.LeasesHandedOver)));
        CHECK(elapsed <= 65s);
      }
      if (actions.HandOverLeases && random() % 3 == 0)
        progress.LeasesHandedOver = !isStuck;
      if (actions.HandOverGrants && random() % 3 == 0)
        progress.GrantsHandedOver = true;
      if (actions.CopyRecords && random() % 3 == 0)
        progress.RecordsCopied = true;
      if (progress.OpenRequests != 0 && random() % 20 == 0)
        --progress.OpenRequests;
    }
    CHECK(exited);
    CHECK(exits == 1);
    CHECK(drain.isTimedOut() == isStuck);
  }
}
