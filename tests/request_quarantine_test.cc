#include "coordination/request_quarantine.h"

#include <catch2/catch.hpp>

using namespace galenaflow::coordination;
using namespace std::chrono_literals;
using galenaflow::state::RequestFingerprint;

namespace {

constexpr RequestFingerprint Deadly{1, 2};
constexpr RequestFingerprint Other{3, 4};

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
  CHECK(it.First.onEnded(Deadly, 20, false, it.Now) ==
        RequestStanding::Suspect);
  CHECK(it.First.onEnded(Deadly, 1, false, it.Now) ==
        RequestStanding::Quarantined);
  CHECK(it.First.remaining(Deadly, it.Now) == it.Options.MinQuarantineTime);
  CHECK(it.First.standing(Other, it.Now) == RequestStanding::Normal);
  it.Now += it.Options.MinQuarantineTime;
  CHECK(it.First.standing(Deadly, it.Now) == RequestStanding::Suspect);
  CHECK(it.First.onEnded(Deadly, 1, false, it.Now) ==
        RequestStanding::Quarantined);
  CHECK(it.First.remaining(Deadly, it.Now) == 2 * it.Options.MinQuarantineTime);
}

// Guards against a harmless request that is condemned because the replicas that
// ran it were ended by another one.
TEST_CASE("an answer of a replica clears a request") {
  Fixture it;
  it.First.onEnded(Other, 3, false, it.Now);
  it.exchange();
  it.Now += 1ms;
  CHECK(it.Second.onEnded(Other, 1, true, it.Now) == RequestStanding::Normal);
  it.exchange();
  CHECK(it.First.standing(Other, it.Now) == RequestStanding::Normal);
  it.Now += 1ms;
  CHECK(it.First.onEnded(Other, 3, false, it.Now) == RequestStanding::Suspect);
}

// Guards against two daemons that each know of one execution, and against
// evidence that counts twice because it arrives on two ways.
TEST_CASE("the evidence of all daemons counts once") {
  Fixture it;
  it.First.onEnded(Deadly, 20, false, it.Now);
  const auto evidence = it.First.takeNew(it.Now);
  it.Second.merge(evidence, it.Now);
  it.Second.merge(evidence, it.Now);
  CHECK(it.Second.standing(Deadly, it.Now) == RequestStanding::Suspect);
  CHECK(it.Second.takeNew(it.Now).size() == 1);
  it.Second.onEnded(Deadly, 1, false, it.Now);
  it.exchange();
  CHECK(it.First.standing(Deadly, it.Now) == RequestStanding::Quarantined);
  RequestQuarantine started(std::mt19937_64(3), it.Options);
  started.merge(it.First.all(it.Now), it.Now);
  CHECK(started.standing(Deadly, it.Now) == RequestStanding::Quarantined);
}

// Guards against evidence that is older than an answer and arrives after it.
TEST_CASE("evidence from before an answer is ignored") {
  Fixture it;
  it.First.onEnded(Other, 3, false, it.Now);
  const auto late = it.First.takeNew(it.Now);
  it.Second.onEnded(Other, 2, false, it.Now);
  it.Now += 5ms;
  it.Second.onEnded(Other, 0, true, it.Now);
  auto delayed = late;
  delayed.front().Age = 5ms;
  it.Second.merge(delayed, it.Now);
  CHECK(it.Second.standing(Other, it.Now) == RequestStanding::Normal);
}

// Guards against callers that use up the memory by requests that are lost.
TEST_CASE("the number of remembered requests is limited") {
  Fixture it;
  it.First.onEnded(Deadly, 20, false, it.Now);
  it.First.onEnded(Deadly, 1, false, it.Now);
  for (std::uint64_t i = 0; i != 2 * RequestQuarantine::MaxEntries; ++i) {
    it.Now += 1ms;
    it.First.onEnded({9, i}, 2, false, it.Now);
  }
  CHECK(it.First.all(it.Now).size() == RequestQuarantine::MaxEntries);
  it.Now += it.Options.MinQuarantineTime + it.Options.SuspicionTime;
  CHECK(it.First.all(it.Now).empty());
  CHECK(it.First.empty());
}
