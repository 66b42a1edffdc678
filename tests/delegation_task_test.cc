#include "forwarding/delegation_task.h"
#include "forwarding/executor_task.h"
#include "support/process.h"

#include <catch2/catch.hpp>

using namespace galenaflow;
using namespace galenaflow::forwarding;
using namespace std::chrono_literals;

// Two daemons over real links: a weak one, which gets the requests of callers,
// and a strong one, which is its executor.

namespace {

constexpr auto TestLimit = 5s;

state::RouteTablePtr makeTable(std::uint64_t version) {
  state::Route route;
  route.Name = "all";
  route.Host = "h";
  route.Prefix = "/";
  route.IsIdempotent = true;
  route.Timeout = 400ms;
  route.LatencyObjective = 80ms;
  route.MaxAttempts = 2;
  for (int i = 0; i != 20; ++i)
    route.Shards.Services.push_back("s" + std::to_string(i));
  return std::make_shared<const state::RouteTable>(
      version, std::vector<state::Route>{route},
      std::vector<state::RoutedService>(), state::CallerLimits());
}

/// Completes each call in the next iteration of the loop, or only when the test
/// calls complete().
struct FakeForwarder final : Forwarder {
  explicit FakeForwarder(transport::EventLoop &loop) : Loop(loop) {}

  transport::EventLoop &Loop;
  bool CompletesCalls = true;
  std::vector<ForwardCall> Calls;
  std::map<ForwardId, ForwardCallback> OpenCalls;
  std::vector<ForwardId> Cancelled;
  state::TimePoint ExitAt = state::TimePoint::max();

  ForwardId forward(ForwardCall call, ForwardCallback callback) override {
    Calls.push_back(std::move(call));
    const ForwardId id = Calls.size();
    OpenCalls[id] = std::move(callback);
    if (CompletesCalls)
      Loop.post([this, id] { complete(id); });
    return id;
  }
  void cancel(ForwardId id) override {
    Cancelled.push_back(id);
    OpenCalls.erase(id);
  }
  void startDrain(state::TimePoint exitAt) override { ExitAt = exitAt; }
  void complete(ForwardId id) {
    ForwardResult result;
    result.Outcome = coordination::MergedAnswer{{"sig"}, 1, "records"};
    result.Counts.Parts = 20;
    result.Counts.Hedges = 3;
    complete(id, std::move(result));
  }
  void complete(ForwardId id, ForwardResult result) {
    auto node = OpenCalls.extract(id);
    if (!node.empty())
      node.mapped()(std::move(result));
  }
};

/// A directory whose reads never end.
struct UnresponsiveSource final : DirectorySource {
  void readAll(DirectoryCallback) override {}
  void readChanges(const state::DirectoryPosition &,
                   DirectoryCallback) override {}
  void readRoutes(DirectoryCallback) override {}
  state::RouteTablePtr decodeRoutes(std::string_view) const override {
    return nullptr;
  }
};

struct Daemon {
  Daemon(transport::EventLoop &loop, const std::string &address,
         std::uint32_t millicores, double pendingNoticeFraction,
         coordination::gate::RegionPolicy regions = {})
      : Relay(loop, Source, relayOptions(address, millicores), Metrics),
        Local(loop), Executor(loop, Relay, Local,
                              {12, millicores, pendingNoticeFraction}, Metrics),
        Delegation(loop, Relay, Local,
                   delegationOptions(address, millicores, std::move(regions)),
                   Metrics) {
    Relay.addListener(Executor);
    Relay.addListener(Delegation);
    REQUIRE(Relay.listen(*transport::parseSocketAddress(address)));
    Executor.setRoutes(makeTable(5));
  }
  static RelayTaskOptions relayOptions(const std::string &address,
                                       std::uint32_t millicores) {
    RelayTaskOptions options;
    options.Network.Session.Self = {"vm" + address, "1", "dc", address};
    options.Network.Session.Keys = {"a key of the deployment, long enough"};
    options.Millicores = millicores;
    return options;
  }
  static DelegationTaskOptions
  delegationOptions(const std::string &address, std::uint32_t millicores,
                    coordination::gate::RegionPolicy regions) {
    DelegationTaskOptions options;
    options.Regions = std::move(regions);
    options.Self = {address, "dc", millicores};
    return options;
  }

  state::MetricRegistry Metrics;
  UnresponsiveSource Source;
  RelayTask Relay;
  FakeForwarder Local;
  ExecutorTask Executor;
  DelegationTask Delegation;
};

struct DaemonPair {
  transport::EventLoop Loop;
  std::string StrongAddress = support::reserveAddress();
  std::unique_ptr<Daemon> Weak;
  std::unique_ptr<Daemon> Strong;
  state::RouteTablePtr Table = makeTable(5);
  std::vector<ForwardResult> Results;

  /// The strong daemon reports a request as in progress after
  /// `pendingNoticeFraction` of the latency objective.
  explicit DaemonPair(double pendingNoticeFraction = 0.7,
                      coordination::gate::RegionPolicy regions = {})
      : Weak(std::make_unique<Daemon>(Loop, support::reserveAddress(), 120, 0.7,
                                      std::move(regions))),
        Strong(std::make_unique<Daemon>(Loop, StrongAddress, 500,
                                        pendingNoticeFraction)) {
    Weak->Delegation.setExecutors({{StrongAddress, "dc", 500}});
    REQUIRE(Loop.runUntil([this] { return Weak->Delegation.isDelegating(); },
                          TestLimit));
  }
  ForwardId call(state::Duration remaining = 300ms) {
    ForwardedRequest message;
    message.RequestId = "id-1";
    message.Method = "GET";
    message.Path = "/x?q=1";
    message.Host = "h";
    message.Headers.add("a", "b");
    const state::Route &route = Table->routes().front();
    return Weak->Delegation.forward(
        {std::make_shared<const ForwardedRequest>(std::move(message)), Table,
         &route, route.Shards.Services, remaining},
        [this](ForwardResult result) { Results.push_back(std::move(result)); });
  }
  bool waitFor(const std::function<bool()> &done) {
    return Loop.runUntil(done, TestLimit);
  }
  bool waitForResults(std::size_t n) {
    return waitFor([&] { return Results.size() == n; });
  }
  void runFor(state::Duration d) {
    Loop.runUntil([] { return false; }, d);
  }
};

} // namespace

TEST_CASE("a request over many shards is run by the executor, unchanged") {
  DaemonPair it;
  it.call();
  REQUIRE(it.waitForResults(1));
  const auto &merged =
      std::get<coordination::MergedAnswer>(it.Results[0].Outcome);
  CHECK(merged.Signatures == std::vector<std::string>{"sig"});
  CHECK(merged.Missing == 1);
  CHECK(merged.Records == "records");
  CHECK(it.Results[0].Counts.Hedges == 3);
  CHECK(it.Results[0].Executor == it.StrongAddress);
  CHECK(it.Weak->Local.Calls.empty());
  REQUIRE(it.Strong->Local.Calls.size() == 1);
  const ForwardCall &call = it.Strong->Local.Calls[0];
  CHECK(call.Message->RequestId == "id-1");
  CHECK(call.Message->Path == "/x?q=1");
  CHECK(call.Message->Host == "h");
  CHECK(call.Message->Headers.find("a") == "b");
  CHECK(call.Services.size() == 20);
  CHECK(call.Remaining == 300ms);
  CHECK(call.ReturnTime == 5ms);
  CHECK(it.Strong->Executor.openRequests() == 0);
}

// Guards against a body that is sent to a daemon outside of the regions of its
// route and of the daemon that received it.
TEST_CASE("a request is delegated only to a daemon in an allowed region or in "
          "the own one") {
  const coordination::gate::RegionMap regions{{"dc", "eu"}, {"other", "us"}};
  const auto isDelegated = [&regions](const std::string &executorDataCentre,
                                      const std::vector<std::string> &allowed,
                                      bool isNoneAllowed = false) {
    DaemonPair it(0.7, coordination::gate::RegionPolicy("dc", "", regions));
    it.Weak->Delegation.setExecutors(
        {{it.StrongAddress, executorDataCentre, 500}});
    state::Route route = it.Table->routes().front();
    route.AllowedRegions = allowed;
    route.IsNoRegionAllowed = isNoneAllowed;
    it.Table = std::make_shared<const state::RouteTable>(
        5, std::vector{route}, std::vector<state::RoutedService>(),
        state::CallerLimits());
    it.Strong->Executor.setRoutes(it.Table);
    it.call();
    REQUIRE(it.waitForResults(1));
    return it.Strong->Local.Calls.size() == 1;
  };
  CHECK(isDelegated("other", {}));
  CHECK(isDelegated("unknown", {}));
  CHECK(isDelegated("other", {"us"}));
  CHECK(isDelegated("dc", {"us"}));
  CHECK_FALSE(isDelegated("other", {"eu"}));
  CHECK_FALSE(isDelegated("other", {"asia"}));
  CHECK_FALSE(isDelegated("unknown", {"eu", "us"}));
  CHECK_FALSE(isDelegated("dc", {}, true));
}

// Guards against an answer that states more missing parts than the request has.
TEST_CASE("a reply that lacks more parts than were asked for is a failure") {
  DaemonPair it;
  it.Strong->Local.CompletesCalls = false;
  it.call();
  REQUIRE(it.waitFor([&] { return it.Strong->Local.OpenCalls.size() == 1; }));
  ForwardResult wrong;
  wrong.Outcome = coordination::MergedAnswer{{"sig"}, 4'000'000'000, "records"};
  it.Strong->Local.complete(1, std::move(wrong));
  REQUIRE(it.waitForResults(1));
  const auto *failure =
      std::get_if<coordination::ForwardFailure>(&it.Results[0].Outcome);
  REQUIRE(failure != nullptr);
  CHECK(failure->Fault == coordination::ForwardFault::BackendFailed);
  CHECK(failure->Ran == coordination::ExecutionState::Unknown);
}

TEST_CASE("a request that the executor refuses is executed locally with the "
          "time remaining") {
  DaemonPair it;
  SECTION("a newer version of the routes") {
    it.Strong->Executor.setRoutes(makeTable(6));
  }
  SECTION("an older version of the routes") {
    it.Strong->Executor.setRoutes(makeTable(4));
  }
  SECTION("an executor that is stopping") { it.Strong->Executor.startDrain(); }
  it.call();
  REQUIRE(it.waitForResults(1));
  CHECK(it.Strong->Local.Calls.empty());
  REQUIRE(it.Weak->Local.Calls.size() == 1);
  CHECK(it.Weak->Local.Calls[0].Remaining <= 300ms);
  CHECK(it.Weak->Local.Calls[0].Remaining > 200ms);
  CHECK(it.Results[0].Executor.empty());
  // The executor is not used again immediately.
  it.call();
  CHECK(it.Weak->Local.Calls.size() == 2);
}

TEST_CASE("a request for one service, over few shards, not idempotent or with "
          "little time remaining is executed locally") {
  DaemonPair it;
  state::Route route = it.Table->routes().front();
  state::Duration remaining = 300ms;
  SECTION("one service") { route.Shards.Services.clear(); }
  SECTION("few shards") { route.Shards.Services.resize(15); }
  SECTION("not idempotent") { route.IsIdempotent = false; }
  SECTION("little time") { remaining = 10ms; }
  it.Table = std::make_shared<const state::RouteTable>(
      5, std::vector<state::Route>{route}, std::vector<state::RoutedService>(),
      state::CallerLimits());
  it.call(remaining);
  CHECK(it.Weak->Local.Calls.size() == 1);
}

// Guards against an executor that accepts more requests than it can execute in
// time.
TEST_CASE("an executor limits its open requests, and further ones are executed "
          "locally") {
  DaemonPair it;
  it.Strong->Local.CompletesCalls = false;
  for (int i = 0; i != 6; ++i)
    it.call();
  REQUIRE(it.waitFor([&] { return it.Strong->Executor.openRequests() == 6; }));
  it.call();
  REQUIRE(it.waitForResults(1));
  CHECK(it.Weak->Local.Calls.size() == 1);
  CHECK(it.Strong->Executor.openRequests() == 6);
}

// Guards against requests that are lost with an executor that stops, although
// their daemon has time to execute them.
TEST_CASE("a request that a stopping executor has not started is executed "
          "locally, and one that it may have started is not") {
  DaemonPair it;
  it.Strong->Local.CompletesCalls = false;
  it.call();
  REQUIRE(it.waitFor([&] { return it.Strong->Executor.openRequests() == 1; }));
  coordination::ForwardFailure failure;
  failure.Fault = coordination::ForwardFault::Stopping;
  const auto endAtExecutor = [&] {
    ForwardResult result;
    result.Outcome = failure;
    it.Strong->Local.complete(1, std::move(result));
  };
  SECTION("not started") {
    endAtExecutor();
    REQUIRE(it.waitForResults(1));
    CHECK(it.Weak->Local.Calls.size() == 1);
    CHECK(std::holds_alternative<coordination::MergedAnswer>(
        it.Results[0].Outcome));
  }
  SECTION("may have been started") {
    failure.Ran = coordination::ExecutionState::Unknown;
    endAtExecutor();
    REQUIRE(it.waitForResults(1));
    CHECK(it.Weak->Local.Calls.empty());
    const auto &reported =
        std::get<coordination::ForwardFailure>(it.Results[0].Outcome);
    CHECK(reported.Fault == coordination::ForwardFault::Stopping);
    CHECK(reported.Ran == coordination::ExecutionState::Unknown);
  }
}

// Guards against a daemon that exits while an executor works for its caller.
TEST_CASE("a delegated request gets its result before its daemon exits") {
  DaemonPair it;
  it.Strong->Local.CompletesCalls = false;
  it.call(300ms);
  REQUIRE(it.waitFor([&] { return it.Strong->Executor.openRequests() == 1; }));
  const auto exitAt = it.Loop.now() + 50ms;
  it.Weak->Delegation.startDrain(exitAt);
  CHECK(it.Weak->Local.ExitAt == exitAt);
  it.call(300ms);
  REQUIRE(it.waitFor([&] { return it.Strong->Local.Calls.size() == 2; }));
  CHECK(it.Strong->Local.Calls[1].Remaining <= 50ms);
  it.runFor(60ms);
  REQUIRE(it.Results.size() == 2);
  for (const ForwardResult &result : it.Results) {
    const auto &failure =
        std::get<coordination::ForwardFailure>(result.Outcome);
    CHECK(failure.Fault == coordination::ForwardFault::Stopping);
    CHECK(failure.Ran == coordination::ExecutionState::Unknown);
  }
}

// Guards against work of replicas for a caller that has disconnected.
TEST_CASE("a request that its caller cancels is cancelled at the executor") {
  DaemonPair it;
  it.Strong->Local.CompletesCalls = false;
  const ForwardId id = it.call();
  REQUIRE(it.waitFor([&] { return it.Strong->Executor.openRequests() == 1; }));
  it.Weak->Delegation.cancel(id);
  REQUIRE(it.waitFor([&] { return !it.Strong->Local.Cancelled.empty(); }));
  CHECK(it.Strong->Executor.openRequests() == 0);
  it.runFor(50ms);
  CHECK(it.Results.empty());
}

// Guards against executing a request twice when a lost executor may have
// started it.
TEST_CASE("a request whose executor is lost fails as possibly run, and the "
          "next one is executed locally") {
  DaemonPair it;
  it.Strong->Local.CompletesCalls = false;
  it.call();
  REQUIRE(it.waitFor([&] { return it.Strong->Executor.openRequests() == 1; }));
  it.Strong.reset();
  REQUIRE(it.waitForResults(1));
  const auto &failure =
      std::get<coordination::ForwardFailure>(it.Results[0].Outcome);
  CHECK(failure.Fault == coordination::ForwardFault::BackendFailed);
  CHECK(failure.Ran == coordination::ExecutionState::Unknown);
  CHECK(it.Weak->Local.Calls.empty());
  it.call();
  CHECK(it.Weak->Local.Calls.size() == 1);
}

// Guards against a large fleet whose daemons connect to every shard whenever no
// executor is reported to them for a second.
TEST_CASE("a daemon that has recently lost its executor still counts as "
          "delegating") {
  DaemonPair it;
  it.Weak->Delegation.setExecutors({});
  it.runFor(50ms);
  CHECK(it.Weak->Delegation.isDelegating());
  it.Weak->Delegation.setExecutors({{it.StrongAddress, "dc", 500}});
  it.Strong.reset();
  it.runFor(50ms);
  CHECK(it.Weak->Delegation.isDelegating());
  it.call();
  CHECK(it.Weak->Local.Calls.size() == 1);
}

TEST_CASE("an executor cancels the requests of a daemon that is disconnected") {
  DaemonPair it;
  it.Strong->Local.CompletesCalls = false;
  it.call();
  REQUIRE(it.waitFor([&] { return it.Strong->Executor.openRequests() == 1; }));
  it.Weak.reset();
  REQUIRE(it.waitFor([&] { return !it.Strong->Local.Cancelled.empty(); }));
  CHECK(it.Strong->Executor.openRequests() == 0);
}

TEST_CASE("an executor that does not reply costs one request, which fails at "
          "its deadline") {
  DaemonPair it(10);
  it.Strong->Local.CompletesCalls = false;
  const auto start = it.Loop.now();
  it.call(200ms);
  it.runFor(100ms);
  // The latency objective of 80 ms has passed, so the executor is in cooldown.
  it.call();
  CHECK(it.Weak->Local.Calls.size() == 1);
  REQUIRE(it.waitForResults(2));
  const auto *failure =
      std::get_if<coordination::ForwardFailure>(&it.Results[1].Outcome);
  REQUIRE(failure != nullptr);
  CHECK(failure->Fault == coordination::ForwardFault::DeadlineExceeded);
  CHECK(it.Loop.now() - start < 250ms);
  // The executor ends the request as well.
  CHECK(it.waitFor([&] { return it.Strong->Executor.openRequests() == 0; }));
}

// Guards against a cooldown for an executor that waits for slow shards, as any
// daemon would.
TEST_CASE("an executor that waits for replicas is not treated as "
          "unresponsive") {
  DaemonPair it;
  it.Strong->Local.CompletesCalls = false;
  it.call(200ms);
  it.runFor(100ms);
  it.call();
  CHECK(it.waitFor([&] { return it.Strong->Local.Calls.size() == 2; }));
  CHECK(it.Weak->Local.Calls.empty());
  it.Strong->Local.complete(2);
  CHECK(it.waitForResults(1));
}

// Guards against a weak daemon that runs a request which its executor has
// rejected since the replicas have no room, and against a lost time to return.
TEST_CASE("a rejection for want of room is passed on with its time to return") {
  DaemonPair pair;
  pair.Strong->Local.CompletesCalls = false;
  pair.call();
  REQUIRE(pair.Loop.runUntil([&] { return !pair.Strong->Local.Calls.empty(); },
                             TestLimit));
  ForwardResult rejected;
  coordination::ForwardFailure failure{coordination::ForwardFault::NoRoom,
                                       coordination::ExecutionState::NotRun,
                                       {}};
  failure.RetryAfter = 120ms;
  rejected.Outcome = failure;
  pair.Strong->Local.complete(1, std::move(rejected));
  REQUIRE(pair.Loop.runUntil([&] { return !pair.Results.empty(); }, TestLimit));
  const auto *result =
      std::get_if<coordination::ForwardFailure>(&pair.Results[0].Outcome);
  REQUIRE(result != nullptr);
  CHECK(result->Fault == coordination::ForwardFault::NoRoom);
  CHECK(result->Ran == coordination::ExecutionState::NotRun);
  CHECK(result->RetryAfter == state::Duration(120ms));
  CHECK(pair.Weak->Local.Calls.empty());
}

// Guards against callers who are rejected since the executor has too few
// connections, while their own daemon could run the request.
TEST_CASE("a request for which only the executor has no connection is executed "
          "locally") {
  DaemonPair pair;
  pair.Strong->Local.CompletesCalls = false;
  pair.call();
  REQUIRE(pair.Loop.runUntil([&] { return !pair.Strong->Local.Calls.empty(); },
                             TestLimit));
  ForwardResult rejected;
  rejected.Outcome =
      coordination::ForwardFailure{coordination::ForwardFault::NoCapacity,
                                   coordination::ExecutionState::NotRun,
                                   {}};
  pair.Strong->Local.complete(1, std::move(rejected));
  REQUIRE(pair.Loop.runUntil([&] { return !pair.Results.empty(); }, TestLimit));
  CHECK(pair.Weak->Local.Calls.size() == 1);
  CHECK(std::holds_alternative<coordination::MergedAnswer>(
      pair.Results[0].Outcome));
}
