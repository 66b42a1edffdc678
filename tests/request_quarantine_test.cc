#include "coordination/request_quarantine.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <optional>

using namespace galenaflow::coordination;
using namespace std::chrono_literals;
using galenaflow::state::RequestFingerprint;

namespace {

constexpr RequestFingerprint Deadly{1, 2};
constexpr RequestFingerprint Other{3, 4};

/// An execution of `lasted` that ends now.
ExecutionEnd lost(TimePoint now, std::uint32_t n, Duration lasted = 0ms) {
  return {now - lasted, n};
}

ExecutionEnd answered(TimePoint now, std::uint32_t lost = 0) {
  return {now, lost, true};
}

struct Fixture {
  TimePoint Now{1h};
  QuarantineOptions Options;
  RequestQuarantine First{std::mt19937_64(1), Options};
  RequestQuarantine Second{std::mt19937_64(2), Options};

  void exchange() {
    Second.merge(First.takeNew(Now), Now);
    First.merge(Second.takeNew(Now), Now);
  }
};

} // namespace

// Guards against a request that ends one replica after the other.
TEST_CASE("a request is suspect after one lost execution and quarantined after "
          "the second") {
  Fixture it;
  CHECK(it.First.onEnded(Deadly, lost(it.Now, 20), it.Now) ==
        RequestStanding::Suspect);
  it.Now += 100ms;
  CHECK(it.First.onEnded(Deadly, lost(it.Now, 1), it.Now) ==
        RequestStanding::Quarantined);
  CHECK(it.First.standing(Other, it.Now) == RequestStanding::Normal);
  it.Now += it.Options.MinQuarantineTime - 1us;
  CHECK(it.First.standing(Deadly, it.Now) == RequestStanding::Quarantined);
  it.Now += 1us;
  CHECK(it.First.standing(Deadly, it.Now) == RequestStanding::Suspect);
  CHECK(it.First.remaining(Deadly, 1, it.Now) == 0s);
  CHECK(it.First.onEnded(Deadly, lost(it.Now, 1), it.Now) ==
        RequestStanding::Quarantined);
  it.Now += 2 * it.Options.MinQuarantineTime - 1us;
  CHECK(it.First.standing(Deadly, it.Now) == RequestStanding::Quarantined);
  it.Now += 1us;
  CHECK(it.First.standing(Deadly, it.Now) == RequestStanding::Suspect);
}

// Guards against a popular request that is rejected because many of its
// executions were at work when the replicas crashed for another reason.
TEST_CASE("executions that overlap count as one, at one daemon or at several") {
  Fixture it;
  for (int i = 0; i != 30; ++i) {
    it.Now += 10ms;
    it.First.onEnded(Other, lost(it.Now, 2, 700ms), it.Now);
    it.Second.onEnded(Other, lost(it.Now, 2, 700ms), it.Now);
    it.exchange();
  }
  CHECK(it.First.standing(Other, it.Now) == RequestStanding::Suspect);
  CHECK(it.Second.standing(Other, it.Now) == RequestStanding::Suspect);
  it.Now += 49ms;
  it.First.onEnded(Other, lost(it.Now, 2, 340ms), it.Now);
  CHECK(it.First.standing(Other, it.Now) == RequestStanding::Suspect);
  it.Now += 100ms;
  it.First.onEnded(Other, lost(it.Now, 2, 50ms), it.Now);
  CHECK(it.First.standing(Other, it.Now) == RequestStanding::Quarantined);
}

// Guards against verdicts that depend on the way on which evidence arrives, and
// against daemons that pass evidence back and forth without end.
TEST_CASE("evidence yields the same verdict in any order, and is passed on a "
          "limited number of times") {
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    INFO("seed " << seed);
    std::mt19937_64 random(seed);
    Fixture it;
    // Moments at which executions overlap, each further from the next one.
    std::vector<galenaflow::state::RequestEvidence> evidence;
    const std::size_t moments = 1 + random() % 4;
    for (std::size_t i = 0; i != moments; ++i)
      for (std::size_t n = 1 + random() % 12; n != 0; --n) {
        const Duration age = 1s * static_cast<int>(i) + 1ms * (random() % 40);
        evidence.push_back({Other, random() | 1, 1, age, age + 5ms});
      }
    std::optional<RequestStanding> standing;
    for (int round = 0; round != 5; ++round) {
      std::shuffle(evidence.begin(), evidence.end(), random);
      RequestQuarantine merged(std::mt19937_64(seed), it.Options);
      merged.merge(evidence, it.Now);
      CHECK(merged.standing(Other, it.Now) ==
            standing.value_or(merged.standing(Other, it.Now)));
      standing = merged.standing(Other, it.Now);
      for (int repeat = 0; repeat != 3; ++repeat) {
        static_cast<void>(merged.takeNew(it.Now));
        merged.merge(evidence, it.Now);
      }
      CHECK_FALSE(merged.hasNew());
    }
    CHECK(*standing == (moments > 2 ? RequestStanding::Quarantined
                                    : RequestStanding::Suspect));
  }
}

// Guards against a harmless request that stays rejected since nothing can show
// that it is harmless, and against trials that end replica after replica.
TEST_CASE("a quarantined request is tried at one daemon after a pause, which "
          "doubles, and a limited number of times") {
  Fixture it;
  constexpr std::uint32_t daemons = 2;
  it.First.onEnded(Deadly, lost(it.Now, 3), it.Now);
  it.Now += 100ms;
  it.First.onEnded(Deadly, lost(it.Now, 1), it.Now);
  it.exchange();
  CHECK_FALSE(it.First.tryTrial(Deadly, daemons, it.Now));
  CHECK(it.First.remaining(Deadly, daemons, it.Now) == it.Options.TrialPause);
  it.Now += it.Options.TrialPause;
  CHECK_FALSE(it.Second.tryTrial(Deadly, daemons, it.Now));
  REQUIRE(it.First.tryTrial(Deadly, daemons, it.Now));
  CHECK_FALSE(it.First.tryTrial(Deadly, daemons, it.Now));
  SECTION("and is cleared by an answer") {
    it.First.onEnded(Deadly, answered(it.Now), it.Now);
    it.exchange();
    CHECK(it.Second.standing(Deadly, it.Now) == RequestStanding::Normal);
  }
  SECTION("and stays quarantined when it is lost again") {
    it.First.onEnded(Deadly, lost(it.Now, 1), it.Now);
    it.exchange();
    it.Now += 2 * it.Options.TrialPause - 1ms;
    CHECK_FALSE(it.First.tryTrial(Deadly, daemons, it.Now));
    CHECK_FALSE(it.Second.tryTrial(Deadly, daemons, it.Now));
    it.Now += 1ms;
    REQUIRE(it.First.tryTrial(Deadly, daemons, it.Now));
    it.First.onEnded(Deadly, lost(it.Now, 1), it.Now);
    it.exchange();
    it.Now += it.Options.MinQuarantineTime;
    CHECK_FALSE(it.First.tryTrial(Deadly, daemons, it.Now));
    CHECK_FALSE(it.Second.tryTrial(Deadly, daemons, it.Now));
  }
  SECTION("and soon once more when no replica could run it") {
    it.First.onEnded(Deadly, {it.Now, 0, false, false}, it.Now);
    CHECK_FALSE(it.First.tryTrial(Deadly, daemons, it.Now));
    it.Now += it.Options.TrialRetryPause;
    CHECK(it.First.tryTrial(Deadly, daemons, it.Now));
  }
  SECTION("and later by another daemon when the first one is gone") {
    it.Now += daemons * it.Options.TrialSpread;
    CHECK(it.Second.tryTrial(Deadly, daemons, it.Now));
  }
  SECTION("and once more when its caller has left") {
    it.Now += 2 * it.Options.TrialPause;
    CHECK(it.First.tryTrial(Deadly, daemons, it.Now));
  }
}

// Guards against a harmless request that is condemned because the replicas that
// ran it were ended by another one.
TEST_CASE("an answer of a replica clears a request") {
  Fixture it;
  it.First.onEnded(Other, lost(it.Now, 3), it.Now);
  it.exchange();
  it.Now += 1ms;
  CHECK(it.Second.onEnded(Other, answered(it.Now, 1), it.Now) ==
        RequestStanding::Normal);
  it.exchange();
  CHECK(it.First.standing(Other, it.Now) == RequestStanding::Normal);
  it.Now += 1ms;
  CHECK(it.First.onEnded(Other, lost(it.Now, 3), it.Now) ==
        RequestStanding::Suspect);
}

// Guards against two daemons that each know of one execution, and against
// evidence that counts twice because it arrives on two ways.
TEST_CASE("the evidence of all daemons counts once") {
  Fixture it;
  it.First.onEnded(Deadly, lost(it.Now, 20), it.Now);
  const auto evidence = it.First.takeNew(it.Now);
  it.Second.merge(evidence, it.Now);
  it.Second.merge(evidence, it.Now);
  CHECK(it.Second.standing(Deadly, it.Now) == RequestStanding::Suspect);
  CHECK(it.Second.takeNew(it.Now).size() == 1);
  it.Now += 100ms;
  it.Second.onEnded(Deadly, lost(it.Now, 1), it.Now);
  it.exchange();
  CHECK(it.First.standing(Deadly, it.Now) == RequestStanding::Quarantined);
  RequestQuarantine started(std::mt19937_64(3), it.Options);
  started.merge(it.First.all(it.Now), it.Now);
  CHECK(started.standing(Deadly, it.Now) == RequestStanding::Quarantined);
}

// Guards against evidence that is older than an answer and arrives after it.
TEST_CASE("evidence from before an answer is ignored") {
  Fixture it;
  it.First.onEnded(Other, lost(it.Now, 3), it.Now);
  const auto late = it.First.takeNew(it.Now);
  it.Second.onEnded(Other, lost(it.Now, 2), it.Now);
  it.Now += 5ms;
  it.Second.onEnded(Other, answered(it.Now), it.Now);
  auto delayed = late;
  delayed.front().Age = 5ms;
  delayed.front().StartAge = 5ms;
  it.Second.merge(delayed, it.Now);
  CHECK(it.Second.standing(Other, it.Now) == RequestStanding::Normal);
}

// Guards against callers that use up the memory by requests that are lost.
TEST_CASE("the number of remembered requests is limited") {
  Fixture it;
  it.First.onEnded(Deadly, lost(it.Now, 20), it.Now);
  it.Now += 100ms;
  it.First.onEnded(Deadly, lost(it.Now, 1), it.Now);
  for (std::uint64_t i = 0; i != 2 * RequestQuarantine::MaxEntries; ++i) {
    it.Now += 1ms;
    it.First.onEnded({9, i}, lost(it.Now, 2), it.Now);
  }
  CHECK(it.First.all(it.Now).size() == RequestQuarantine::MaxEntries);
  it.Now += it.Options.MinQuarantineTime + it.Options.SuspicionTime;
  CHECK(it.First.all(it.Now).empty());
  CHECK(it.First.empty());
}
