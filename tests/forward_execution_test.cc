#include "coordination/forward_execution.h"

#include <catch2/catch.hpp>
#include <random>
#include <set>

using namespace galenaflow;
using namespace galenaflow::coordination;
using namespace std::chrono_literals;

namespace {

struct Policy final : ForwardPolicy {
  int Tokens = 100;
  std::size_t Replicas = 2; ///< of each service
  int Taken = 0;

  bool tryTakeExtra(std::string_view) override {
    if (Taken == Tokens)
      return false;
    ++Taken;
    return true;
  }
  bool hasOther(std::string_view,
                std::span<const state::ReplicaId> tried) override {
    return tried.size() < Replicas;
  }
};

struct Fixture {
  TimePoint Now{1h};
  Policy Shared;
  state::Route Route;
  ForwardOptions Options;
  std::unique_ptr<ForwardExecution> Execution;
  std::vector<SendAttempt> Attempts;
  std::vector<CancelAttempt> Cancelled;
  std::optional<FinishForward> Finished;
  TimePoint Timer = TimePoint::max();

  explicit Fixture(std::size_t shards = 0, double minRatio = 0.75) {
    Route.IsIdempotent = true;
    Route.MaxAttempts = 2;
    Options.Services = {"s"};
    if (shards != 0) {
      Options.Services.clear();
      for (std::size_t i = 0; i != shards; ++i)
        Options.Services.push_back("s" + std::to_string(i));
      Route.Shards = {Options.Services, 10, minRatio};
    }
    Options.DeadlineAt = Now + 400ms;
  }

  void start() {
    Options.Route = &Route;
    Execution = std::make_unique<ForwardExecution>(Options, Shared);
    take(Execution->start(Now));
  }
  void take(ForwardActions actions) {
    for (auto &action : actions) {
      REQUIRE_FALSE(Finished);
      if (const auto *attempt = std::get_if<SendAttempt>(&action))
        Attempts.push_back(*attempt);
      else if (const auto *cancelled = std::get_if<CancelAttempt>(&action))
        Cancelled.push_back(*cancelled);
      else if (const auto *timer = std::get_if<SetTimer>(&action))
        Timer = timer->At;
      else
        Finished = std::move(std::get<FinishForward>(action));
    }
  }
  void sent(AttemptNumber number) {
    take(Execution->onSent(number, "r" + std::to_string(number), Now));
  }
  void sendAll() {
    for (AttemptNumber i = 0; i != Attempts.size(); ++i)
      sent(i);
  }
  void answer(AttemptNumber number, int status = 200) {
    take(Execution->onResponse(number,
                               {status, {}, std::string(16, 'a'), "sig"}, Now));
  }
  void fail(AttemptNumber number, AttemptEnd end) {
    take(Execution->onFailure(number, {end, {}}, Now));
  }
  void fire() {
    Now = std::max(Now, Timer);
    take(Execution->onTimer(Now));
  }
  const ForwardFailure &failure() {
    return std::get<ForwardFailure>(Finished->Result);
  }
};

} // namespace

TEST_CASE("a success of the only replica is delivered") {
  Fixture it;
  it.start();
  it.sent(0);
  it.answer(0);
  REQUIRE(it.Finished);
  CHECK(std::get<BackendResponse>(it.Finished->Result).Signature == "sig");
}

TEST_CASE("idempotent requests are retried within attempts and budget") {
  Fixture it;
  it.start();
  it.sent(0);
  SECTION("with a token") {
    it.fail(0, AttemptEnd::Unknown);
    REQUIRE(it.Attempts.size() == 2);
    it.sent(1);
    it.fail(1, AttemptEnd::Unknown);
    REQUIRE(it.Finished);
    CHECK(it.failure().Ran == ExecutionState::Unknown);
    CHECK(it.Shared.Taken == 1);
  }
  SECTION("without a token") {
    it.Shared.Tokens = 0;
    it.fail(0, AttemptEnd::Unknown);
    CHECK(it.Attempts.size() == 1);
    CHECK(it.Finished);
  }
  SECTION("with one attempt allowed") {
    it.Route.MaxAttempts = 1;
    it.fail(0, AttemptEnd::Unknown);
    CHECK(it.Finished);
  }
}

// Guards against a request that runs twice.
TEST_CASE(
    "other requests are sent again only when they certainly did not run") {
  Fixture it;
  it.Route.IsIdempotent = false;
  it.Options.HedgeAfter = 10ms;
  it.start();
  it.sent(0);
  CHECK(it.Timer == it.Options.DeadlineAt);
  SECTION("rejected") {
    it.fail(0, AttemptEnd::Rejected);
    CHECK(it.Attempts.size() == 2);
    CHECK(it.Shared.Taken == 1);
  }
  SECTION("not sent") {
    it.fail(0, AttemptEnd::NotSent);
    CHECK(it.Attempts.size() == 2);
    CHECK(it.Shared.Taken == 0);
  }
  SECTION("misdirected") {
    it.fail(0, AttemptEnd::Misdirected);
    CHECK(it.Attempts.size() == 2);
    CHECK(it.Shared.Taken == 0);
  }
  SECTION("unknown") {
    it.fail(0, AttemptEnd::Unknown);
    CHECK(it.failure().Ran == ExecutionState::Unknown);
  }
  SECTION("failed by the replica") {
    it.answer(0, 500);
    CHECK(it.failure().Ran == ExecutionState::Ran);
    CHECK(it.failure().Response->Status == 500);
  }
  SECTION("silent until the deadline") {
    it.fire();
    CHECK(it.failure().Fault == ForwardFault::DeadlineExceeded);
    CHECK(it.failure().Ran == ExecutionState::Unknown);
  }
}

TEST_CASE(
    "rejections by every replica end as not run, after a bounded number") {
  Fixture it;
  it.Shared.Replicas = 50;
  it.start();
  for (AttemptNumber i = 0; !it.Finished; ++i) {
    it.sent(i);
    it.fail(i, AttemptEnd::Rejected);
  }
  CHECK(it.Attempts.size() == 4);
  CHECK(it.failure().Ran == ExecutionState::NotRun);
  CHECK(it.failure().Fault == ForwardFault::RejectedByServer);
}

TEST_CASE("a client error of the replica is final") {
  Fixture it;
  it.start();
  it.sent(0);
  it.answer(0, 404);
  REQUIRE(it.Finished);
  CHECK(std::get<BackendResponse>(it.Finished->Result).Status == 404);
}

TEST_CASE("a hedge goes out after the delay, once, and the loser is dropped") {
  Fixture it;
  it.Options.HedgeAfter = 30ms;
  it.start();
  it.sent(0);
  CHECK(it.Timer == it.Now + 30ms);
  it.fire();
  REQUIRE(it.Attempts.size() == 2);
  CHECK(it.Attempts[1].Kind == AttemptKind::Hedge);
  it.sent(1);
  CHECK(it.Timer == it.Options.DeadlineAt);
  it.answer(1);
  REQUIRE(it.Finished);
  REQUIRE(it.Cancelled.size() == 1);
  CHECK(it.Cancelled[0].Number == 0);
}

TEST_CASE("a hedge that lacks a token is tried again soon") {
  Fixture it;
  it.Options.HedgeAfter = 30ms;
  it.Shared.Tokens = 0;
  it.start();
  it.sent(0);
  it.fire();
  CHECK(it.Attempts.size() == 1);
  it.Shared.Tokens = 1;
  it.fire();
  CHECK(it.Attempts.size() == 2);
}

TEST_CASE("a partial answer goes out when its time has come and the minimum is "
          "in") {
  Fixture it(4);
  it.Options.PartialAt = it.Now + 50ms;
  it.start();
  it.sendAll();
  it.answer(0);
  it.answer(1);
  it.answer(2);
  CHECK_FALSE(it.Finished);
  it.fire();
  REQUIRE(it.Finished);
  const auto &merged = std::get<MergedAnswer>(it.Finished->Result);
  CHECK(merged.Signatures.size() == 3);
  CHECK(merged.Missing == 1);
  CHECK(merged.Records.size() == 48);
  CHECK(it.Cancelled.size() == 1);
}

TEST_CASE("below the minimum nothing goes out before the deadline") {
  Fixture it(4);
  it.Options.PartialAt = it.Now + 50ms;
  it.start();
  it.sendAll();
  it.answer(0);
  it.answer(1);
  it.fire();
  CHECK_FALSE(it.Finished);
  SECTION("the minimum arrives late") {
    it.answer(2);
    REQUIRE(it.Finished);
    CHECK(std::get<MergedAnswer>(it.Finished->Result).Missing == 1);
  }
  SECTION("it never arrives") {
    it.fire();
    REQUIRE(it.Finished);
    CHECK(it.failure().Ran == ExecutionState::Ran);
  }
}

// A request that cannot succeed any more is answered at once, so that the
// caller has time to ask elsewhere.
TEST_CASE("a shard set that cannot reach its minimum fails at once") {
  Fixture it(4);
  it.Shared.Replicas = 1;
  it.start();
  it.sendAll();
  it.fail(0, AttemptEnd::Unknown);
  CHECK_FALSE(it.Finished);
  it.fail(1, AttemptEnd::Unknown);
  REQUIRE(it.Finished);
  CHECK(it.failure().Fault == ForwardFault::TooFewParts);
  CHECK(it.Cancelled.size() == 2);
}

TEST_CASE("a failure of a replica is no part") {
  Fixture it(2, 0.5);
  it.Shared.Replicas = 1;
  it.start();
  it.sendAll();
  it.answer(0, 404);
  it.answer(1);
  REQUIRE(it.Finished);
  CHECK(std::get<MergedAnswer>(it.Finished->Result).Missing == 1);
}

TEST_CASE("a caller that leaves ends all attempts and their work") {
  Fixture it(3);
  it.start();
  it.sendAll();
  it.take(it.Execution->onCallerCancel(it.Now));
  REQUIRE(it.Finished);
  CHECK(it.Cancelled.size() == 3);
}

// Random events in random order: each part runs at most the route's attempts,
// and there is exactly one end with truthful counts.
TEST_CASE("no schedule of events breaks the limits of a route") {
  for (std::uint64_t seed = 0; seed != 2000; ++seed) {
    INFO("seed " << seed);
    std::mt19937_64 random(seed);
    const auto pick = [&random](std::size_t n) {
      return static_cast<std::size_t>(random() % n);
    };
    Fixture it(pick(2) == 0 ? 0 : 1 + pick(5), 0.5);
    it.Shared.Tokens = static_cast<int>(pick(6));
    it.Shared.Replicas = 1 + pick(3);
    it.Route.IsIdempotent = pick(3) != 0;
    it.Route.MaxAttempts = static_cast<std::uint32_t>(1 + pick(2));
    it.Options.HedgeAfter = 20ms;
    it.Options.PartialAt = it.Now + 60ms;
    it.start();
    std::map<AttemptNumber, bool> open; ///< whether it was sent
    std::map<std::uint32_t, std::uint32_t> runs;
    std::size_t known = 0;
    for (int step = 0; step != 300 && !it.Finished; ++step) {
      for (; known != it.Attempts.size(); ++known)
        open[static_cast<AttemptNumber>(known)] = false;
      for (const CancelAttempt &cancelled : it.Cancelled)
        open.erase(cancelled.Number);
      if (open.empty() || pick(8) == 0) {
        it.fire();
        continue;
      }
      auto attempt = open.begin();
      std::advance(attempt, static_cast<long>(pick(open.size())));
      const AttemptNumber number = attempt->first;
      if (!attempt->second) {
        attempt->second = true;
        it.sent(number);
        continue;
      }
      open.erase(attempt);
      const std::uint32_t part = it.Attempts[number].Part;
      switch (pick(5)) {
      case 0:
        it.fail(number, AttemptEnd::Rejected);
        break;
      case 1:
        it.fail(number, AttemptEnd::NotSent);
        break;
      case 2:
        ++runs[part];
        it.fail(number, AttemptEnd::Unknown);
        break;
      case 3:
        ++runs[part];
        it.answer(number, 500);
        break;
      default:
        ++runs[part];
        it.answer(number);
      }
    }
    REQUIRE(it.Finished);
    const std::uint32_t allowed = it.Route.IsIdempotent || it.Route.isSharded()
                                      ? it.Route.MaxAttempts
                                      : 1;
    std::uint32_t total = 0;
    for (const auto &[part, n] : runs) {
      CHECK(n <= allowed);
      total += n;
    }
    if (const auto *failure = std::get_if<ForwardFailure>(&it.Finished->Result);
        failure != nullptr && failure->Ran == ExecutionState::NotRun)
      CHECK(total == 0);
    CHECK(it.Shared.Taken <= it.Shared.Tokens);
  }
}
