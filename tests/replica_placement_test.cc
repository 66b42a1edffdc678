#include "coordination/replica_placement.h"

#include <catch2/catch.hpp>

using namespace galenaflow;
using namespace galenaflow::coordination;
using namespace std::chrono_literals;

namespace {

struct Fixture {
  TimePoint Now{1h};
  std::map<std::string, state::ReplicaRecord, std::less<>> Records;
  ReplicaPlacement Placement{"here", std::mt19937_64(1)};

  explicit Fixture(std::vector<std::string> dataCentres) {
    for (std::size_t i = 0; i != dataCentres.size(); ++i) {
      state::ReplicaRecord it;
      it.Id = std::string(1, static_cast<char>('a' + i));
      it.Service = "s";
      it.Address = "10.0.0.1:" + std::to_string(80 + i);
      it.DataCentre = dataCentres[i];
      it.Slots = 2;
      Records.emplace(it.Id, it);
    }
    apply();
  }

  void apply() { Placement.setReplicas(Records, Now); }
  std::optional<std::string> choose(std::vector<std::string> tried = {}) {
    return Placement.choose(
        "s", tried, [](std::string_view) { return true; }, Now);
  }
  int countChosen(const std::string &id, int n = 200) {
    int count = 0;
    for (int i = 0; i != n; ++i)
      count += choose() == id ? 1 : 0;
    return count;
  }
  /// One attempt that takes `elapsed`.
  void runAttempt(const std::string &id, Duration elapsed,
                  AttemptOutcome outcome = AttemptOutcome::Succeeded) {
    const TimePoint sent = Now;
    Placement.onSent(id, 10ms, Now);
    Now += elapsed;
    Placement.onEnded(id, sent, 10ms, outcome, Now);
  }
};

} // namespace

// Guards against one of several equal replicas receiving all work, and against
// attempts in another data centre without need.
TEST_CASE("equal replicas share the work, and the own data centre is "
          "preferred") {
  Fixture equal({"here", "here"});
  CHECK(equal.countChosen("a") > 50);
  CHECK(equal.countChosen("b") > 50);
  Fixture apart({"there", "here"});
  CHECK(apart.countChosen("b") == 200);
}

// Guards against attempts at replicas that drain, have been tried already, or
// have been removed.
TEST_CASE("draining, tried and unlisted replicas are not chosen") {
  Fixture it({"here", "here"});
  CHECK(it.choose({"a"}) == "b");
  CHECK_FALSE(it.choose({"a", "b"}));
  it.Records.at("b").Draining = true;
  it.apply();
  CHECK(it.countChosen("a") == 200);
  CHECK_FALSE(
      it.Placement.hasOther("s", std::vector<std::string>{"a"}, it.Now));
  it.Records.erase("a");
  it.apply();
  CHECK_FALSE(it.choose());
}

// Guards against requests that wait for a paused replica while another one is
// idle: without a response, only the open attempt indicates the pause.
TEST_CASE("a replica whose attempt is open too long is avoided until it "
          "responds") {
  Fixture it({"here", "there"});
  const TimePoint sent = it.Now;
  it.Placement.onSent("a", 10ms, sent);
  it.Now += 39ms;
  CHECK_FALSE(it.Placement.isStalled("a", it.Now));
  CHECK(it.countChosen("a") == 200);
  it.Now += 2ms;
  CHECK(it.Placement.isStalled("a", it.Now));
  CHECK(it.countChosen("a") == 0);
  it.Placement.onEnded("a", sent, 10ms, AttemptOutcome::Succeeded, it.Now);
  CHECK_FALSE(it.Placement.isStalled("a", it.Now));
}

// Guards against slow replicas that are preferred, or that are never used again
// after they have recovered.
TEST_CASE("a slow replica is avoided and used again after 15 s") {
  Fixture it({"here", "here"});
  it.runAttempt("a", 80ms);
  it.runAttempt("b", 10ms);
  CHECK(it.countChosen("a") == 0);
  it.Now += 15s;
  CHECK(it.countChosen("a") > 20);
}

// Guards against decisions based on a load report that no longer holds: the
// load of the hosts changes many times a second.
TEST_CASE("a recent load report moves work away, and an old one does not") {
  Fixture it({"here", "here"});
  it.Placement.onLoad("a", {2, 6, 2, 1}, it.Now);
  CHECK(it.countChosen("a") == 0);
  it.Now += 1s;
  CHECK(it.countChosen("a") > 50);
  it.Placement.onLoad("b", {0, 0, 2, 3}, it.Now);
  CHECK(it.countChosen("b") == 0);
}

// Guards against a burst that goes to one replica, because no response has come
// back yet.
TEST_CASE("own open attempts spread a burst over the replicas") {
  Fixture it({"here", "here"});
  std::map<std::string, int> counts;
  for (int i = 0; i != 20; ++i) {
    const std::string id = *it.choose();
    ++counts[id];
    it.Placement.onSent(id, 10ms, it.Now);
  }
  CHECK(counts["a"] >= 8);
  CHECK(counts["b"] >= 8);
}

// Guards against attempts at a replica that fails each time, and against a
// service whose replicas are all ejected.
TEST_CASE("a replica that fails repeatedly is ejected, but never both") {
  Fixture it({"here", "here"});
  for (int i = 0; i != 3; ++i)
    it.runAttempt("a", 1ms, AttemptOutcome::Failed);
  CHECK(it.countChosen("a") == 0);
  CHECK_FALSE(it.choose({"b"}));
  for (int i = 0; i != 3; ++i)
    it.runAttempt("b", 1ms, AttemptOutcome::Failed);
  CHECK(it.choose() == "b");
  it.Now += 500ms;
  CHECK(it.choose({"b"}) == "a");
}

// Guards against a restarted replica that is avoided for its former latency.
TEST_CASE("a restart under the same id resets the state") {
  Fixture it({"here", "here"});
  for (int i = 0; i != 3; ++i)
    it.runAttempt("a", 90ms);
  CHECK(it.countChosen("a") == 0);
  it.Records.at("a").Incarnation = 2;
  it.apply();
  CHECK(it.countChosen("a") > 50);
}

// Guards against attempts that another replica receives, since it now has the
// address.
TEST_CASE("a replica whose address another one has taken is not used until it "
          "restarts") {
  Fixture it({"here", "here"});
  it.Placement.onMisdirected("a");
  it.Now += 1h;
  it.apply();
  CHECK(it.countChosen("a") == 0);
  it.Records.at("a").Incarnation = 2;
  it.apply();
  CHECK(it.countChosen("a") > 50);
}

// Guards against a replica that does not respond and is used again as soon as
// its last attempt has timed out: each such attempt costs a hedge of the
// budget.
TEST_CASE("one failed attempt makes a replica the last choice for a while") {
  Fixture it({"here", "there"});
  it.runAttempt("a", 250ms, AttemptOutcome::Failed);
  CHECK(it.countChosen("a") == 0);
  it.Now += 1s;
  CHECK(it.countChosen("a") == 0);
  it.Now += 20s;
  CHECK(it.countChosen("a") == 200);
  it.runAttempt("a", 0ms, AttemptOutcome::Failed);
  CHECK(it.countChosen("a") == 0);
}

// Guards against a replica that rejects most of its work while it reports good
// health: each rejection costs an extra attempt of the budget.
TEST_CASE("a replica that rejects work is avoided for a while") {
  Fixture it({"here", "there"});
  it.runAttempt("a", 1ms, AttemptOutcome::NotRun);
  CHECK(it.countChosen("a") == 0);
  it.Now += 20s;
  CHECK(it.countChosen("a") == 200);
}
