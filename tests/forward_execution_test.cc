#include "coordination/forward_execution.h"

#include <catch2/catch.hpp>
#include <random>
#include <set>

using namespace galenaflow;
using namespace galenaflow::coordination;
using namespace std::chrono_literals;

namespace {

struct FakePolicy final : ForwardPolicy {
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
  bool isAtLimit(std::string_view service) override {
    return AtLimit.contains(std::string(service));
  }
  std::set<std::string> AtLimit; ///< services
  bool hasIdle(std::string_view, std::span<const state::ReplicaId>) override {
    return IsIdle;
  }
  bool IsIdle = true;
  bool isEvacuated(std::string_view service) override {
    return Evacuated.contains(std::string(service));
  }
  std::set<std::string> Evacuated; ///< services
};

struct Fixture {
  TimePoint Now{1h};
  FakePolicy Policy;
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
    Execution = std::make_unique<ForwardExecution>(Options, Policy);
    executeActions(Execution->start(Now));
  }
  void executeActions(ForwardActions actions) {
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
  void markSent(AttemptNumber number) {
    executeActions(
        Execution->onSent(number, "r" + std::to_string(number), Now));
  }
  void markAllSent() {
    for (AttemptNumber i = 0; i != Attempts.size(); ++i)
      markSent(i);
  }
  void respond(AttemptNumber number, int status = 200) {
    executeActions(Execution->onResponse(
        number, {status, {}, std::string(16, 'a'), "sig"}, Now));
  }
  void fail(AttemptNumber number, AttemptEnd end) {
    executeActions(Execution->onFailure(number, {end, {}}, Now));
  }
  void lose(AttemptNumber number) {
    executeActions(
        Execution->onFailure(number, {AttemptEnd::Unknown, {}, {}, true}, Now));
  }
  void fireTimer() {
    Now = std::max(Now, Timer);
    executeActions(Execution->onTimer(Now));
  }
  const ForwardFailure &failure() {
    return std::get<ForwardFailure>(Finished->Result);
  }
};

} // namespace

// Guards against a request that uses up the limits of some replicas and then
// fails for want of the others.
TEST_CASE("a request whose services are at their limits is rejected before any "
          "attempt") {
  const std::size_t shards = GENERATE(0, 4);
  Fixture it(shards);
  it.Policy.AtLimit = {"s", "s0", "s1"};
  it.start();
  CHECK(it.Attempts.empty());
  REQUIRE(it.Finished);
  const auto &failure = std::get<ForwardFailure>(it.Finished->Result);
  CHECK(failure.Fault == ForwardFault::ServerLimit);
  CHECK(failure.Ran == ExecutionState::NotRun);
}

// Guards against a request that waits for replicas in evacuated data centres,
// and against an answer that tells its caller to return when there is room.
TEST_CASE("a request whose services are evacuated is rejected before any "
          "attempt") {
  const std::size_t shards = GENERATE(0, 4);
  Fixture it(shards);
  it.Policy.Evacuated = {"s", "s0", "s1"};
  if (GENERATE(false, true))
    it.Options.RejectedFor = 40ms;
  it.start();
  CHECK(it.Attempts.empty());
  REQUIRE(it.Finished);
  CHECK(it.failure().Fault == ForwardFault::Evacuated);
  CHECK(it.failure().Ran == ExecutionState::NotRun);
  CHECK(forwardFaultName(it.failure().Fault) == "evacuated");
}

TEST_CASE("evacuated shards are left out if the others are enough") {
  Fixture it(4);
  it.Policy.Evacuated = {"s2"};
  it.Options.LeftOut = {2};
  it.start();
  CHECK(it.Attempts.size() == 3);
  CHECK_FALSE(it.Finished);
}

// Guards against a reason that does not name the evacuation when it begins
// while the attempt waits.
TEST_CASE("a waiting request whose services become evacuated is rejected") {
  Fixture it;
  it.start();
  it.Policy.Evacuated = {"s"};
  it.Policy.Replicas = 0;
  it.fail(0, AttemptEnd::NotSent);
  REQUIRE(it.Finished);
  CHECK(it.failure().Fault == ForwardFault::Evacuated);
  CHECK(it.failure().Ran == ExecutionState::NotRun);
}

TEST_CASE("shards at their limits are left out if the others are enough") {
  Fixture it(4);
  it.Policy.AtLimit = {"s2"};
  it.start();
  CHECK(it.Attempts.size() == 3);
  CHECK_FALSE(it.Finished);
}

TEST_CASE("a successful response of the only replica is the result") {
  Fixture it;
  it.start();
  it.markSent(0);
  it.respond(0);
  REQUIRE(it.Finished);
  CHECK(std::get<BackendResponse>(it.Finished->Result).Signature == "sig");
}

TEST_CASE(
    "idempotent requests are retried within the limit of attempts and the "
    "budget") {
  Fixture it;
  it.start();
  it.markSent(0);
  SECTION("with a token") {
    it.fail(0, AttemptEnd::Unknown);
    REQUIRE(it.Attempts.size() == 2);
    it.markSent(1);
    it.fail(1, AttemptEnd::Unknown);
    REQUIRE(it.Finished);
    CHECK(it.failure().Ran == ExecutionState::Unknown);
    CHECK(it.Policy.Taken == 1);
  }
  SECTION("without a token") {
    it.Policy.Tokens = 0;
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
  it.markSent(0);
  CHECK(it.Timer == it.Options.DeadlineAt);
  SECTION("rejected") {
    it.fail(0, AttemptEnd::Rejected);
    CHECK(it.Attempts.size() == 2);
    CHECK(it.Policy.Taken == 1);
  }
  SECTION("not sent") {
    it.fail(0, AttemptEnd::NotSent);
    CHECK(it.Attempts.size() == 2);
    CHECK(it.Policy.Taken == 0);
  }
  SECTION("misdirected") {
    it.fail(0, AttemptEnd::Misdirected);
    CHECK(it.Attempts.size() == 2);
    CHECK(it.Policy.Taken == 0);
  }
  SECTION("unknown") {
    it.fail(0, AttemptEnd::Unknown);
    CHECK(it.failure().Ran == ExecutionState::Unknown);
  }
  SECTION("failed by the replica") {
    it.respond(0, 500);
    CHECK(it.failure().Ran == ExecutionState::Ran);
    CHECK(it.failure().Response->Status == 500);
  }
  SECTION("no response until the deadline") {
    it.fireTimer();
    CHECK(it.failure().Fault == ForwardFault::DeadlineExceeded);
    CHECK(it.failure().Ran == ExecutionState::Unknown);
  }
}

TEST_CASE(
    "a request that every replica rejects ends as not run after a limited "
    "number of attempts") {
  Fixture it;
  it.Policy.Replicas = 50;
  it.start();
  for (AttemptNumber i = 0; !it.Finished; ++i) {
    it.markSent(i);
    it.fail(i, AttemptEnd::Rejected);
  }
  CHECK(it.Attempts.size() == 4);
  CHECK(it.failure().Ran == ExecutionState::NotRun);
  CHECK(it.failure().Fault == ForwardFault::RejectedByServer);
}

// Guards against a process that is killed for its memory because the replicas
// of many shards send more than the merge needs.
TEST_CASE("a request keeps only the records and signatures that its merge "
          "needs") {
  constexpr std::size_t shards = 180;
  Fixture it(shards);
  it.start();
  it.markAllSent();
  std::string body(std::size_t{1} << 20, 'a');
  for (AttemptNumber i = 0; i != shards - 1; ++i) {
    // The greatest record stands at the end.
    std::string greatest = "z" + std::to_string(i);
    greatest.resize(16, '.');
    body.replace(body.size() - greatest.size(), greatest.size(), greatest);
    BackendResponse response{200, {{"x-large", body}}, body, "sig"};
    it.executeActions(it.Execution->onResponse(i, std::move(response), it.Now));
  }
  CHECK(it.Execution->heldBytes() < shards * 1024);
  it.respond(shards - 1);
  REQUIRE(it.Finished);
  const auto &merged = std::get<MergedAnswer>(it.Finished->Result);
  CHECK(merged.Signatures.size() == shards);
  CHECK(merged.Records.substr(0, 16) == "z99.............");
  CHECK(merged.Records.size() == 160);
}

TEST_CASE("a part with a signature that is too long is a failed attempt") {
  Fixture it(4);
  it.start();
  it.markAllSent();
  it.executeActions(it.Execution->onResponse(
      0, {200, {}, std::string(16, 'a'), std::string(257, 's')}, it.Now));
  REQUIRE(it.Attempts.size() == 5);
  it.markSent(4);
  it.executeActions(it.Execution->onResponse(
      4, {200, {}, std::string(16, 'a'), std::string(256, 's')}, it.Now));
  for (AttemptNumber i = 1; i != 4; ++i)
    it.respond(i);
  REQUIRE(it.Finished);
  CHECK(std::get<MergedAnswer>(it.Finished->Result).Signatures.size() == 4);
}

TEST_CASE("a client error of the replica is final") {
  Fixture it;
  it.start();
  it.markSent(0);
  it.respond(0, 404);
  REQUIRE(it.Finished);
  CHECK(std::get<BackendResponse>(it.Finished->Result).Status == 404);
}

TEST_CASE("one hedge is sent after the delay, and the slower attempt is "
          "cancelled") {
  Fixture it;
  it.Options.HedgeAfter = 30ms;
  it.start();
  it.markSent(0);
  CHECK(it.Timer == it.Now + 30ms);
  it.fireTimer();
  REQUIRE(it.Attempts.size() == 2);
  CHECK(it.Attempts[1].Kind == AttemptKind::Hedge);
  it.markSent(1);
  CHECK(it.Timer == it.Options.DeadlineAt);
  it.respond(1);
  REQUIRE(it.Finished);
  REQUIRE(it.Cancelled.size() == 1);
  CHECK(it.Cancelled[0].Number == 0);
}

TEST_CASE(
    "a hedge for which no token is available is tried again shortly after") {
  Fixture it;
  it.Options.HedgeAfter = 30ms;
  it.Policy.Tokens = 0;
  it.start();
  it.markSent(0);
  it.fireTimer();
  CHECK(it.Attempts.size() == 1);
  it.Policy.Tokens = 1;
  it.fireTimer();
  CHECK(it.Attempts.size() == 2);
}

TEST_CASE("a partial answer is returned once PartialAt has passed and the "
          "minimum of parts has responded") {
  Fixture it(4);
  it.Options.PartialAt = it.Now + 50ms;
  it.start();
  it.markAllSent();
  it.respond(0);
  it.respond(1);
  it.respond(2);
  CHECK_FALSE(it.Finished);
  it.fireTimer();
  REQUIRE(it.Finished);
  const auto &merged = std::get<MergedAnswer>(it.Finished->Result);
  CHECK(merged.Signatures.size() == 3);
  CHECK(merged.Missing == 1);
  CHECK(merged.Records.size() == 48);
  CHECK(it.Cancelled.size() == 1);
}

TEST_CASE("with less than the minimum of parts, nothing is returned before the "
          "deadline") {
  Fixture it(4);
  it.Options.PartialAt = it.Now + 50ms;
  it.start();
  it.markAllSent();
  it.respond(0);
  it.respond(1);
  it.fireTimer();
  CHECK_FALSE(it.Finished);
  SECTION("the minimum is reached later") {
    it.respond(2);
    REQUIRE(it.Finished);
    CHECK(std::get<MergedAnswer>(it.Finished->Result).Missing == 1);
  }
  SECTION("the minimum is never reached") {
    it.fireTimer();
    REQUIRE(it.Finished);
    CHECK(it.failure().Ran == ExecutionState::Ran);
  }
}

// A request that cannot succeed any more fails immediately, so that the caller
// has time to send it elsewhere.
TEST_CASE("a shard set that cannot reach its minimum fails immediately") {
  Fixture it(4);
  it.Policy.Replicas = 1;
  it.start();
  it.markAllSent();
  it.fail(0, AttemptEnd::Unknown);
  CHECK_FALSE(it.Finished);
  it.fail(1, AttemptEnd::Unknown);
  REQUIRE(it.Finished);
  CHECK(it.failure().Fault == ForwardFault::TooFewParts);
  CHECK(it.Cancelled.size() == 2);
}

TEST_CASE("a failure response of a replica does not count as a part") {
  Fixture it(2, 0.5);
  it.Policy.Replicas = 1;
  it.start();
  it.markAllSent();
  it.respond(0, 404);
  it.respond(1);
  REQUIRE(it.Finished);
  CHECK(std::get<MergedAnswer>(it.Finished->Result).Missing == 1);
}

// Guards against a request that ends both replicas of every shard, by its
// hedges and retries, before any of it has been answered.
TEST_CASE("a request that ends all replicas reaches one replica of each shard "
          "and one more") {
  Fixture it(20);
  it.Options.HedgeAfter = 50ms;
  it.start();
  it.markAllSent();
  it.fireTimer();
  CHECK(it.Attempts.size() == 20);
  for (AttemptNumber i = 0; i != it.Attempts.size(); ++i) {
    if (i == 20)
      it.markSent(i);
    it.lose(i);
  }
  CHECK(it.Attempts.size() == 21);
  REQUIRE(it.Finished);
  CHECK(it.failure().Ran == ExecutionState::Unknown);
}

// Guards against a suspect request that ends a replica of each shard when it
// comes again.
TEST_CASE("a suspect request is sent to one replica first") {
  Fixture it(4);
  it.Options.IsSuspect = true;
  it.Options.FirstPart = 6;
  it.start();
  REQUIRE(it.Attempts.size() == 1);
  CHECK(it.Attempts[0].Part == 2);
  it.markSent(0);
  SECTION("and to no other when that one is lost") {
    it.lose(0);
    CHECK(it.Attempts.size() == 1);
    REQUIRE(it.Finished);
    CHECK(it.failure().Ran == ExecutionState::Unknown);
    CHECK(it.Execution->counts().Lost == 1);
    CHECK_FALSE(it.Execution->counts().IsAnswered);
  }
  SECTION("and to all others when that one has answered") {
    it.respond(0);
    REQUIRE(it.Attempts.size() == 4);
    for (AttemptNumber i = 1; i != 4; ++i) {
      it.markSent(i);
      it.respond(i);
    }
    REQUIRE(it.Finished);
    CHECK(std::get<MergedAnswer>(it.Finished->Result).Missing == 0);
  }
  SECTION("and to the next one when that one did not run it") {
    it.Policy.Replicas = 1;
    it.fail(0, AttemptEnd::NotSent);
    REQUIRE(it.Attempts.size() == 2);
    CHECK(it.Attempts[1].Part == 3);
  }
}

// Guards against lost answers of other requests: a replica that crashes, or
// connections that are reset, must cost no part.
TEST_CASE("lost attempts are retried and hedges sent once a replica has "
          "answered") {
  Fixture it(4);
  it.Options.HedgeAfter = 50ms;
  it.start();
  it.markAllSent();
  it.lose(0);
  it.lose(1);
  it.fireTimer();
  CHECK(it.Attempts.size() == 4);
  it.respond(2);
  REQUIRE(it.Attempts.size() == 6);
  CHECK(it.Attempts[4].Kind == AttemptKind::Retry);
  it.fireTimer();
  REQUIRE(it.Attempts.size() == 7);
  CHECK(it.Attempts[6].Kind == AttemptKind::Hedge);
  CHECK(it.Attempts[6].Part == 3);
}

// Guards against freed memory that is read when the first answer releases a
// held retry, whose attempt moves the others. Shown by the address sanitizer.
TEST_CASE("the first answer ends the other attempts of its own part only") {
  Fixture it(2);
  it.start();
  it.markAllSent();
  it.lose(0);
  it.respond(1);
  REQUIRE(it.Attempts.size() == 3);
  CHECK(it.Attempts[2].Part == 0);
  CHECK(it.Cancelled.empty());
  it.markSent(2);
  it.respond(2);
  REQUIRE(it.Finished);
  CHECK(std::get<MergedAnswer>(it.Finished->Result).Missing == 0);
}

// Guards against requests that fail because all connections were reset.
TEST_CASE("a request whose connections are all lost succeeds after one retry "
          "has been answered") {
  Fixture it(3);
  it.start();
  it.markAllSent();
  for (AttemptNumber i = 0; i != 3; ++i)
    it.lose(i);
  REQUIRE(it.Attempts.size() == 4);
  it.markSent(3);
  it.respond(3);
  REQUIRE(it.Attempts.size() == 6);
  for (const AttemptNumber i : {4U, 5U}) {
    it.markSent(i);
    it.respond(i);
  }
  REQUIRE(it.Finished);
  CHECK(std::get<MergedAnswer>(it.Finished->Result).Missing == 0);
}

// Guards against requests that the exit of the process cuts off, and against an
// answer that calls one of them not run although it may have run.
TEST_CASE("a stop ends a request before the process exits") {
  Fixture it;
  it.Route.IsIdempotent = GENERATE(true, false);
  it.start();
  const bool isSent = GENERATE(true, false);
  if (isSent)
    it.markSent(0);
  const TimePoint exitAt = it.Now + 100ms;
  it.executeActions(it.Execution->onStop(exitAt, it.Now));
  CHECK(it.Timer == exitAt);
  SECTION("at the exit") { it.fireTimer(); }
  SECTION("when it is known that it cannot end in time") {
    if (isSent)
      it.fireTimer();
    else
      it.fail(0, AttemptEnd::Stopping);
    CHECK(it.Attempts.size() == 1);
  }
  REQUIRE(it.Finished);
  CHECK(it.failure().Fault == ForwardFault::Stopping);
  CHECK(it.failure().Ran ==
        (isSent ? ExecutionState::Unknown : ExecutionState::NotRun));
}

TEST_CASE("when the caller cancels, all attempts are cancelled") {
  Fixture it(3);
  it.start();
  it.markAllSent();
  it.executeActions(it.Execution->onCallerCancel(it.Now));
  REQUIRE(it.Finished);
  CHECK(it.Cancelled.size() == 3);
}

// Guards against an unsafe request that runs at two replicas: a failure that a
// replica answers must not let the held primaries repeat the part that ran.
TEST_CASE("a suspect request that its first replica answers with a failure is "
          "not sent to another one") {
  Fixture it;
  it.Route.IsIdempotent = false;
  it.Options.IsSuspect = true;
  it.start();
  it.markSent(0);
  it.respond(0, 500);
  CHECK(it.Attempts.size() == 1);
  REQUIRE(it.Finished);
  CHECK(it.failure().Ran == ExecutionState::Ran);
  CHECK(it.failure().Response->Status == 500);
}

// Guards against a part that runs at more replicas than the route allows,
// because a hedge that was held is sent beside a retry that waits for a
// connection.
TEST_CASE("an attempt that waits for a connection counts towards the limit") {
  Fixture it(2);
  it.Options.HedgeAfter = 20ms;
  it.start();
  it.markAllSent();
  it.fireTimer();
  it.fail(0, AttemptEnd::Unknown);
  REQUIRE(it.Attempts.size() == 3);
  it.respond(1);
  it.fireTimer();
  CHECK(it.Attempts.size() == 3);
}

// With random events in random order, each part may run at most as often as the
// route allows, and the request ends exactly once with correct counts. Guards
// against any path that sends an attempt without asking whether the part may
// run once more.
TEST_CASE("no order of events exceeds the limits of a route") {
  for (std::uint64_t seed = 0; seed != 20'000; ++seed) {
    INFO("seed " << seed);
    std::mt19937_64 random(seed);
    const auto pick = [&random](std::size_t n) {
      return static_cast<std::size_t>(random() % n);
    };
    Fixture it(pick(2) == 0 ? 0 : 1 + pick(5), 0.5);
    it.Policy.Tokens = static_cast<int>(pick(6));
    it.Policy.Replicas = 1 + pick(4);
    it.Route.IsIdempotent = pick(3) != 0;
    it.Route.MaxAttempts = static_cast<std::uint32_t>(1 + pick(3));
    it.Options.IsSuspect = pick(2) == 0;
    it.Options.FirstPart = pick(5);
    it.Options.HedgeAfter = 20ms;
    it.Options.PartialAt = it.Now + 60ms;
    it.start();
    std::map<AttemptNumber, bool> openAttempts; // true once sent
    // Attempts of each part that ran, may have run or may still run.
    std::map<std::uint32_t, std::uint32_t> runs;
    std::size_t listed = 0;
    for (int step = 0; step != 300 && !it.Finished; ++step) {
      for (; listed != it.Attempts.size(); ++listed)
        openAttempts[static_cast<AttemptNumber>(listed)] = false;
      for (const CancelAttempt &cancelled : it.Cancelled)
        openAttempts.erase(cancelled.Number);
      if (openAttempts.empty() || pick(8) == 0) {
        it.fireTimer();
        continue;
      }
      auto attempt = openAttempts.begin();
      std::advance(attempt, static_cast<long>(pick(openAttempts.size())));
      const AttemptNumber number = attempt->first;
      const std::uint32_t part = it.Attempts[number].Part;
      if (!attempt->second) {
        if (pick(8) == 0) {
          openAttempts.erase(attempt);
          it.fail(number, AttemptEnd::NotSent);
          continue;
        }
        attempt->second = true;
        ++runs[part];
        it.markSent(number);
        continue;
      }
      openAttempts.erase(attempt);
      switch (pick(6)) {
      case 0:
        --runs[part];
        it.fail(number, AttemptEnd::Rejected);
        break;
      case 1:
        --runs[part];
        it.fail(number, AttemptEnd::NotSent);
        break;
      case 2:
        it.fail(number, AttemptEnd::Unknown);
        break;
      case 3:
        it.lose(number);
        break;
      case 4:
        it.respond(number, 500);
        break;
      default:
        it.respond(number);
      }
    }
    REQUIRE(it.Finished);
    const std::uint32_t allowed =
        it.Route.IsIdempotent ? it.Route.MaxAttempts : 1;
    std::uint32_t total = 0;
    for (const auto &[part, n] : runs) {
      CHECK(n <= allowed);
      total += n;
    }
    if (const auto *failure = std::get_if<ForwardFailure>(&it.Finished->Result);
        failure != nullptr && failure->Ran == ExecutionState::NotRun)
      CHECK(total == 0);
    CHECK(it.Policy.Taken <= it.Policy.Tokens);
  }
}

// Guards against parts that use room which others need, of a request that is
// rejected all the same.
TEST_CASE("a request that is rejected for want of room sends nothing") {
  Fixture test(20);
  test.Options.RejectedFor = 150ms;
  test.start();
  CHECK(test.Attempts.empty());
  REQUIRE(test.Finished);
  const auto &failure = std::get<ForwardFailure>(test.Finished->Result);
  CHECK(failure.Fault == ForwardFault::NoRoom);
  CHECK(failure.Ran == ExecutionState::NotRun);
  CHECK(failure.RetryAfter == Duration(150ms));
}

// Guards against an answer that states another coverage than it has.
TEST_CASE("parts without room are left out and counted as missing") {
  Fixture test(20);
  test.Options.LeftOut = {2, 5};
  test.start();
  CHECK(test.Attempts.size() == 18);
  test.markAllSent();
  for (AttemptNumber i = 0; i != 18; ++i)
    test.executeActions(test.Execution->onResponse(
        i, {200, {}, "0123456789abcdef", "sig" + std::to_string(i)}, test.Now));
  REQUIRE(test.Finished);
  CHECK(std::get<MergedAnswer>(test.Finished->Result).Missing == 2);
}

// Guards against hedges that take the place of other requests when there is no
// room.
TEST_CASE("no hedge is sent while only busy replicas are left") {
  Fixture test;
  test.Options.HedgeAfter = 20ms;
  test.Policy.IsIdle = false;
  test.start();
  test.markAllSent();
  test.Now += 25ms;
  test.executeActions(test.Execution->onTimer(test.Now));
  CHECK(test.Attempts.size() == 1);
  test.Policy.IsIdle = true;
  test.Now += 25ms;
  test.executeActions(test.Execution->onTimer(test.Now));
  CHECK(test.Attempts.size() == 2);
}

// Guards against a request that is sent although it cannot succeed, and against
// one that fails although enough of its shards are in allowed regions.
TEST_CASE("a request whose replicas are in no allowed region is rejected at "
          "once") {
  Fixture it;
  it.Options.Forbidden = {0};
  it.Options.RejectedFor = 50ms;
  it.start();
  CHECK(it.Attempts.empty());
  REQUIRE(it.Finished);
  const auto &failure = std::get<ForwardFailure>(it.Finished->Result);
  CHECK(failure.Fault == ForwardFault::RegionNotAllowed);
  CHECK(failure.Ran == ExecutionState::NotRun);
  CHECK(failure.RetryAfter == 1s);
  CHECK(forwardFaultName(failure.Fault) == "region_not_allowed");
}

TEST_CASE("shards in no allowed region are left out of the answer while enough "
          "others remain") {
  Fixture few(4);
  few.Options.Forbidden = {1, 2};
  few.Options.LeftOut = {1, 3};
  few.start();
  CHECK(few.Attempts.empty());
  REQUIRE(few.Finished);
  const auto &failure = std::get<ForwardFailure>(few.Finished->Result);
  CHECK(failure.Fault == ForwardFault::RegionNotAllowed);
  CHECK(failure.Ran == ExecutionState::NotRun);
  Fixture enough(4);
  enough.Options.Forbidden = {2};
  enough.Options.LeftOut = {2};
  enough.start();
  CHECK_FALSE(enough.Finished);
  CHECK(enough.Attempts.size() == 3);
}

// Guards against a part that is counted as failed twice, with which a request
// fails although enough of its parts are left.
TEST_CASE("a part that is evacuated and in no allowed region fails once") {
  Fixture test(4);
  test.Policy.Evacuated = {test.Options.Services[2]};
  test.Options.Forbidden = {2};
  test.Options.LeftOut = {2};
  test.start();
  CHECK_FALSE(test.Finished);
  CHECK(test.Attempts.size() == 3);
}
