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

/// One daemon alone with two replicas of a service in two data centres.
struct Gate {
  TimePoint Now{1h};
  ReplicaGate It{ReplicaGateOptions{1, 7}};
  ReplicaGate::Records Listed =
      records({record("r1", "s", "east"), record("r2", "s", "west")});
  Gate() {
    It.setFleet(FleetComposition{1, true, 0, false, false});
    It.setReplicas(Listed, Now);
  }
};

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
  gate.It.setFleet({4, true, 0, false, false});
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
  gate.It.setFleet({40, true, 0, false, false});
  gate.It.setFleet({0, true, 0, false, false});
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
