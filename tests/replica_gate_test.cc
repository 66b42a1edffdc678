#include "coordination/gate/replica_gate.h"

#include <catch2/catch.hpp>
#include <chrono>

using namespace galenaflow;
using namespace galenaflow::coordination::gate;
using namespace std::chrono_literals;
using coordination::FleetComposition;
using state::TimePoint;

namespace {

state::ReplicaRecord record(const std::string &id, const std::string &service,
                            const std::string &dataCentre,
                            std::uint64_t incarnation = 1) {
  state::ReplicaRecord it;
  it.Id = id;
  it.Service = service;
  it.DataCentre = dataCentre;
  it.Incarnation = incarnation;
  return it;
}

ReplicaGate::Records records(std::vector<state::ReplicaRecord> list) {
  ReplicaGate::Records result;
  for (auto &it : list)
    result.emplace(it.Id, it);
  return result;
}

ReplicaGateOptions options() {
  ReplicaGateOptions it;
  it.AssumedDaemons = 1;
  it.UncountedDaemons = 100;
  it.Seed = 7;
  return it;
}

/// A service whose replicas are cold for 10 s and then tolerate `rate` requests
/// a second.
ReplicaGate::Services coldService(double rate) {
  state::RoutedService it;
  it.Name = "s";
  it.ColdDuration = 10s;
  it.ColdRequestRate = rate;
  return {{"s", it}};
}

/// One daemon alone with two replicas of a service in two data centres.
struct Gate {
  TimePoint Now{1h};
  ReplicaGate It{options()};
  ReplicaGate::Records Listed =
      records({record("r1", "s", "east"), record("r2", "s", "west")});
  Gate() {
    It.setFleet(FleetComposition{1, true, 0, false, false}, Now);
    Now += 10s; // until the number of daemons counts as settled
    It.setReplicas(Listed, Now);
  }

  /// Sends as many requests to the replica as it is allowed, for a second.
  int sendForSecond(std::string_view id) {
    int sent = 0;
    for (const TimePoint end = Now + 1s; Now < end; Now += 5ms)
      if (It.allows(id, Now)) {
        It.onSent(id, Now);
        ++sent;
      }
    return sent;
  }

  /// The reason of the only change since the last call.
  ColdReason takeReason() {
    const auto changes = It.takeColdChanges(Now);
    REQUIRE(changes.size() == 1);
    CHECK(changes[0].Replica == "r1");
    CHECK(changes[0].Service == "s");
    return changes[0].Reason;
  }
};

/// As sendForSecond() of a replica that is not restricted.
constexpr int Unrestricted = 200;

} // namespace

TEST_CASE("a replica without statements is not restricted") {
  Gate gate;
  CHECK(gate.It.allows("r1", gate.Now));
  CHECK_FALSE(gate.It.available("r1", gate.Now));
  CHECK_FALSE(gate.It.isAnyRestricted(gate.Now));
  CHECK(gate.It.allows("unknown", gate.Now));
}

TEST_CASE("a paused replica is not allowed until its pause ends") {
  Gate gate;
  CHECK(gate.It.onPause("r1", 1, 2s, gate.Now));
  CHECK_FALSE(gate.It.onPause("r1", 1, 1s, gate.Now));
  CHECK_FALSE(gate.It.allows("r1", gate.Now));
  CHECK(gate.It.allows("r2", gate.Now));
  CHECK(gate.It.isAnyRestricted(gate.Now));
  const std::vector<std::string> services{"s"};
  CHECK_FALSE(gate.It.pauseOf(services, gate.Now));
  gate.It.onPause("r2", 1, 5s, gate.Now);
  CHECK(gate.It.pauseOf(services, gate.Now) == 2s);
  CHECK(gate.It.allows("r1", gate.Now + 2s));
  CHECK_FALSE(gate.It.isAnyRestricted(gate.Now + 5s));
}

// Guards against a time to return that follows from replicas which may not get
// the request.
TEST_CASE("only replicas in allowed data centres count for a pause") {
  Gate gate;
  const std::vector<std::string> services{"s"};
  const auto isEast = [](std::string_view name) { return name == "east"; };
  const auto isWest = [](std::string_view name) { return name == "west"; };
  const auto isNone = [](std::string_view) { return false; };
  gate.It.onPause("r1", 1, 2s, gate.Now);
  CHECK(gate.It.pauseOf(services, gate.Now, isEast) == 2s);
  CHECK_FALSE(gate.It.pauseOf(services, gate.Now, isWest));
  CHECK_FALSE(gate.It.pauseOf(services, gate.Now, isNone));
  gate.It.onPause("r2", 1, 5s, gate.Now);
  CHECK(gate.It.pauseOf(services, gate.Now, isWest) == 5s);
  CHECK(gate.It.pauseOf(services, gate.Now) == 2s);
}

TEST_CASE("only replicas in allowed data centres are stated as cold") {
  Gate gate;
  gate.It.setServices(coldService(6), {});
  gate.It.onResponse("r1", 1, 60s, gate.Now);
  gate.It.onSent("r1", gate.Now);
  const auto inEast = gate.It.withheldCold(
      "s", gate.Now, [](std::string_view name) { return name == "east"; });
  REQUIRE(inEast);
  CHECK(inEast->Cold == 1);
  CHECK(inEast->Replicas == 1);
  CHECK_FALSE(gate.It.withheldCold(
      "s", gate.Now, [](std::string_view name) { return name == "west"; }));
}

// Guards against a pause of a process that has ended being applied to the one
// that was started under the same id.
TEST_CASE("the pause of an earlier incarnation is ignored") {
  Gate gate;
  gate.It.setReplicas(records({record("r1", "s", "east", 2)}), gate.Now);
  CHECK_FALSE(gate.It.onPause("r1", 1, 2s, gate.Now));
  CHECK(gate.It.allows("r1", gate.Now));
}

TEST_CASE("a request limit is divided among the daemons") {
  Gate gate;
  gate.It.setFleet({4, true, 0, false, false}, gate.Now);
  CHECK(gate.It.setRequestLimit("r1", 8, gate.Now) == LimitChange::Set);
  CHECK(gate.It.setRequestLimit("r1", 8, gate.Now) == LimitChange::None);
  CHECK(gate.It.isLimited("r1"));
  CHECK(gate.It.limitFraction("r1") == 0.25);
  int sent = 0;
  for (int i = 0; i != 1000; ++i, gate.Now += 10ms)
    if (gate.It.allows("r1", gate.Now)) {
      CHECK(gate.It.onSent("r1", gate.Now));
      ++sent;
    }
  CHECK(sent >= 19);
  CHECK(sent <= 22);
  CHECK(gate.It.setRequestLimit("r1", 0, gate.Now) == LimitChange::Ended);
  CHECK_FALSE(gate.It.onSent("r1", gate.Now));
  CHECK(gate.It.setRequestLimit("unknown", 8, gate.Now) == LimitChange::None);
}

// Guards against a larger share after the relays are lost.
TEST_CASE("the last known number of daemons is used while it is not known") {
  Gate gate;
  gate.It.setFleet({40, true, 0, false, false}, gate.Now);
  gate.It.setFleet({0, true, 0, false, false}, gate.Now);
  CHECK(gate.It.limitFraction("r1") == 1.0 / 40);
}

// Guards against one request more of each daemon when registrations expire in
// an outage of the store and return.
TEST_CASE("statements outlive the registration, but not the incarnation") {
  Gate gate;
  gate.It.setRequestLimit("r1", 0.5, gate.Now);
  gate.It.onPause("r2", 1, 10s, gate.Now);
  while (!gate.It.allows("r1", gate.Now))
    gate.Now += 100ms;
  gate.It.onSent("r1", gate.Now);
  gate.It.setReplicas({}, gate.Now);
  gate.It.setReplicas(gate.Listed, gate.Now);
  CHECK(gate.It.isLimited("r1"));
  CHECK_FALSE(gate.It.allows("r1", gate.Now));
  CHECK_FALSE(gate.It.allows("r2", gate.Now));
  gate.It.setReplicas(
      records({record("r1", "s", "east", 2), record("r2", "s", "west", 2)}),
      gate.Now);
  CHECK_FALSE(gate.It.isLimited("r1"));
  CHECK(gate.It.allows("r2", gate.Now));
}

TEST_CASE("a limit that ended while the replica was not listed stays ended") {
  Gate gate;
  gate.It.setRequestLimit("r1", 0.5, gate.Now);
  gate.It.setReplicas({}, gate.Now);
  gate.It.setRequestLimit("r1", 0, gate.Now);
  gate.It.setReplicas(gate.Listed, gate.Now);
  CHECK_FALSE(gate.It.isLimited("r1"));
}

TEST_CASE("a replica of an evacuated data centre is never allowed") {
  Gate gate;
  gate.It.setEvacuated({"east"}, gate.Now);
  CHECK(gate.It.isEvacuated("east"));
  CHECK_FALSE(gate.It.allows("r1", gate.Now));
  CHECK(gate.It.allows("r2", gate.Now));
  CHECK(gate.It.isAnyRestricted(gate.Now));
  // One that registers during the evacuation.
  gate.Listed.emplace("r3", record("r3", "s", "east"));
  gate.It.setReplicas(gate.Listed, gate.Now);
  CHECK_FALSE(gate.It.allows("r3", gate.Now));
  gate.It.setEvacuated({}, gate.Now);
  CHECK(gate.It.allows("r1", gate.Now));
}

TEST_CASE("a replica is cold for the time that its registration states") {
  Gate gate;
  gate.It.setServices(coldService(6), {});
  gate.Listed["r1"].ColdUntil = gate.Now + 8s;
  gate.It.setReplicas(gate.Listed, gate.Now);
  CHECK(gate.It.isCold("r1", gate.Now));
  CHECK_FALSE(gate.It.isCold("r2", gate.Now));
  CHECK(gate.It.coldReplicas(gate.Now) == 1);
  CHECK(gate.It.isAnyRestricted(gate.Now));
  CHECK(gate.takeReason() == ColdReason::Registration);
  // One daemon alone: 14 / 2 requests in 1.25 s.
  const int sent = gate.sendForSecond("r1");
  CHECK(sent >= 5);
  CHECK(sent <= 7);
  CHECK(gate.sendForSecond("r2") == Unrestricted);
  // An unchanged record that is set again does not begin another cold time.
  gate.Now += 6s;
  gate.It.setReplicas(gate.Listed, gate.Now);
  CHECK_FALSE(gate.It.isCold("r1", gate.Now));
  CHECK(gate.takeReason() == ColdReason::None);
}

// Guards against any effect in deployments that state no rate.
TEST_CASE("nothing counts as cold without a rate") {
  Gate gate;
  gate.It.setServices(coldService(0), {});
  gate.Listed["r1"].ColdUntil = gate.Now + 8s;
  gate.It.setReplicas(gate.Listed, gate.Now);
  gate.It.onResponse("r1", 1, 5s, gate.Now);
  gate.It.onConnectionLost("r1", 1, gate.Now);
  gate.It.setEvacuated({"east"}, gate.Now);
  gate.It.setEvacuated({}, gate.Now);
  CHECK_FALSE(gate.It.isCold("r1", gate.Now));
  CHECK_FALSE(gate.It.available("r1", gate.Now));
  CHECK(gate.sendForSecond("r1") == Unrestricted);
  gate.Now += 30s;
  CHECK_FALSE(gate.It.available("r1", gate.Now));
  CHECK(gate.It.takeColdChanges(gate.Now).empty());
}

TEST_CASE("a response states that its replica is cold") {
  Gate gate;
  gate.It.setServices(coldService(6), {});
  gate.It.onResponse("r1", 1, 3s, gate.Now);
  CHECK(gate.takeReason() == ColdReason::Response);
  // Neither a shorter time nor an earlier incarnation changes that.
  gate.It.onResponse("r1", 1, 1s, gate.Now);
  gate.It.onResponse("r1", 1, std::nullopt, gate.Now);
  gate.It.onResponse("r1", 0, 60s, gate.Now);
  CHECK(gate.It.isCold("r1", gate.Now + 2900ms));
  CHECK_FALSE(gate.It.isCold("r1", gate.Now + 3s));
}

TEST_CASE("a replica that is registered with a new incarnation is cold") {
  Gate gate;
  gate.It.setServices(coldService(6), {});
  gate.Listed["r1"].Incarnation = 2;
  gate.It.setReplicas(gate.Listed, gate.Now);
  CHECK(gate.takeReason() == ColdReason::Restart);
  CHECK(gate.It.isCold("r1", gate.Now + 9s));
  CHECK_FALSE(gate.It.isCold("r1", gate.Now + 10s));
}

// Guards against full use of a replica that has restarted and whose
// registration has not arrived.
TEST_CASE("a lost connection makes a replica cold until after its response") {
  Gate gate;
  gate.It.setServices(coldService(6), {});
  gate.It.onConnectionLost("r1", 1, gate.Now);
  CHECK(gate.takeReason() == ColdReason::LostConnection);
  gate.Now += 60s;
  CHECK(gate.It.isCold("r1", gate.Now));
  SECTION("a response ends the loss") {
    gate.It.onResponse("r1", 1, std::nullopt, gate.Now);
  }
  SECTION("a new connection ends the loss") {
    gate.It.onConnected("r1", gate.Now);
  }
  CHECK(gate.It.isCold("r1", gate.Now + 9s));
  CHECK_FALSE(gate.It.isCold("r1", gate.Now + 10s));
  // Neither has an effect on a replica that was not lost.
  gate.It.onResponse("r2", 1, std::nullopt, gate.Now);
  gate.It.onConnected("r2", gate.Now);
  CHECK_FALSE(gate.It.isCold("r2", gate.Now));
}

TEST_CASE("all replicas of a data centre are cold after its evacuation") {
  Gate gate;
  for (int i = 10; i != 100; ++i) {
    const std::string id = "e" + std::to_string(i);
    gate.Listed.emplace(id, record(id, "s", "east"));
  }
  gate.It.setServices(coldService(6), {});
  gate.It.setReplicas(gate.Listed, gate.Now);
  gate.It.setEvacuated({"east"}, gate.Now);
  CHECK_FALSE(gate.It.allows("r1", gate.Now));
  gate.It.setEvacuated({}, gate.Now);
  CHECK(gate.It.coldReplicas(gate.Now) == 91);
  CHECK_FALSE(gate.It.isCold("r2", gate.Now));
  CHECK(gate.It.takeColdChanges(gate.Now).size() == 91);
  CHECK(gate.It.isCold("e10", gate.Now + 11900ms));
  CHECK_FALSE(gate.It.isCold("e10", gate.Now + 12s));
}

// Guards against all daemons using a replica fully in the same moment.
TEST_CASE("the use of a replica grows after its cold time") {
  Gate gate;
  gate.It.setServices(coldService(6), {});
  gate.It.onResponse("r1", 1, 1s, gate.Now);
  gate.Now += 1s;
  std::vector<int> sent;
  for (int i = 0; i != 6; ++i)
    sent.push_back(gate.sendForSecond("r1"));
  CHECK(sent[0] < Unrestricted);
  CHECK(sent[5] == Unrestricted);
  int sum = 0;
  for (const int n : sent)
    sum += n;
  CHECK(sum > 300);
  CHECK(sum < 1000);
}

TEST_CASE("after its cold time a replica without others is used fully") {
  Gate gate;
  gate.It.setServices(coldService(6), {});
  gate.It.setReplicas(records({record("r1", "s", "east")}), gate.Now);
  gate.It.onResponse("r1", 1, 1s, gate.Now);
  gate.Now += 1s;
  CHECK(gate.sendForSecond("r1") == Unrestricted);
}

// Guards against a daemon that has lost its relays, or is still counting,
// taking the share of a small fleet.
TEST_CASE("the largest recent number of daemons divides a cold rate") {
  Gate gate;
  gate.It.setServices(coldService(6), {});
  gate.It.onResponse("r1", 1, 600s, gate.Now);
  CHECK(gate.sendForSecond("r1") > 4);
  gate.It.setFleet({86, true, 0, false, false}, gate.Now);
  gate.Now += 10s;
  gate.It.setFleet({1, true, 0, false, false}, gate.Now);
  int sent = 0;
  for (int i = 0; i != 20; ++i)
    sent += gate.sendForSecond("r1");
  CHECK(sent < 5);
  SECTION("the number is forgotten after ten minutes") {
    gate.Now += 5min;
    gate.It.setFleet({1, true, 0, false, false}, gate.Now);
    gate.Now += 5min;
    gate.It.setFleet({1, true, 0, false, false}, gate.Now);
    gate.It.onResponse("r1", 1, 600s, gate.Now);
    CHECK(gate.sendForSecond("r1") > 4);
  }
}

TEST_CASE("a daemon that is not counted yet assumes a large fleet") {
  Gate gate;
  ReplicaGate fresh(options());
  fresh.setServices(coldService(6), {});
  fresh.setReplicas(gate.Listed, gate.Now);
  fresh.onResponse("r1", 1, 60s, gate.Now);
  int sent = 0;
  for (int i = 0; i != 1000; ++i, gate.Now += 10ms)
    if (fresh.allows("r1", gate.Now)) {
      fresh.onSent("r1", gate.Now);
      ++sent;
    }
  CHECK(sent < 5);
}

TEST_CASE("a daemon that has just started sends nothing to cold replicas") {
  Gate gate;
  auto started = options();
  started.StartedAt = gate.Now;
  ReplicaGate fresh(started);
  fresh.setFleet({1, true, 0, false, false}, gate.Now - 10s);
  fresh.setServices(coldService(6), {});
  fresh.setReplicas(gate.Listed, gate.Now);
  fresh.onResponse("r1", 1, 60s, gate.Now);
  CHECK_FALSE(fresh.allows("r1", gate.Now + ColdWindow));
  CHECK(fresh.allows("r1", gate.Now + ColdWindow + 1ms));
}

TEST_CASE("a request that another replica received is returned") {
  Gate gate;
  gate.It.setServices(coldService(6), {});
  gate.It.onResponse("r1", 1, 60s, gate.Now);
  CHECK(gate.It.allows("r1", gate.Now));
  gate.It.onSent("r1", gate.Now);
  CHECK_FALSE(gate.It.allows("r1", gate.Now));
  const auto withheld = gate.It.withheldCold("s", gate.Now);
  REQUIRE(withheld);
  CHECK(withheld->Cold == 1);
  CHECK(withheld->Replicas == 2);
  CHECK(withheld->MaxArrivals == 14);
  CHECK(withheld->Daemons == 1);
  gate.It.onMisdirected("r1", gate.Now);
  CHECK(gate.It.allows("r1", gate.Now));
}

TEST_CASE("callers are asked to return soon while all replicas are cold") {
  Gate gate;
  const std::vector<std::string> services{"s"};
  gate.It.setServices(coldService(6), {});
  gate.It.onResponse("r1", 1, 60s, gate.Now);
  CHECK_FALSE(gate.It.pauseOf(services, gate.Now));
  gate.It.onResponse("r2", 1, 60s, gate.Now);
  CHECK(gate.It.pauseOf(services, gate.Now) == 1s);
}
