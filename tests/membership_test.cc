#include "coordination/membership.h"
#include "support/simulated_network.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>

using namespace galenaflow;
using namespace galenaflow::coordination;
using namespace std::chrono_literals;
using test::SimulatedNetwork;

namespace {

struct Node {
  ListedVm Vm;
  std::unique_ptr<Membership> StateMachine;
  bool IsRunning = true;
  std::size_t Pauses = 0;
  std::vector<MemberChanged> Changes;
};

struct Fleet {
  state::ManualClock Clock;
  SimulatedNetwork Network;
  std::vector<Node> Nodes;
  std::size_t LargestMessage = 0;
  std::size_t SentMessages = 0;

  explicit Fleet(std::size_t n, std::uint64_t seed = 1) : Network(seed) {
    for (std::size_t i = 0; i != n; ++i)
      add("vm-" + std::to_string(i), "1", seed + i);
    publishList();
  }

  Node &add(const std::string &vm, const std::string &instance,
            std::uint64_t seed) {
    ListedVm self{{vm, instance}, "127.0.0.1:" + vm, "dc", false};
    Node node;
    node.Vm = self;
    node.StateMachine = std::make_unique<Membership>(
        MembershipOptions{}, self, std::mt19937_64(seed), Clock.now());
    Nodes.push_back(std::move(node));
    return Nodes.back();
  }

  void publishList() {
    std::vector<ListedVm> vms;
    for (const Node &it : Nodes)
      vms.push_back(it.Vm);
    for (Node &it : Nodes)
      executeActions(it, it.StateMachine->applyList(vms, Clock.now()));
  }

  void executeActions(Node &node, const MembershipActions &actions) {
    for (const MembershipAction &action : actions) {
      if (const auto *change = std::get_if<MemberChanged>(&action))
        node.Changes.push_back(*change);
      if (std::holds_alternative<LocalPause>(action))
        ++node.Pauses;
      if (const auto *send = std::get_if<SendMessage>(&action)) {
        const auto bytes =
            protocol::encodeFleetMessage({node.Vm.Id, send->To, send->Body});
        LargestMessage = std::max(LargestMessage, bytes.size());
        ++SentMessages;
        Network.send(node.Vm.Id, send->To, send->Body, Clock.now());
      }
    }
  }

  void run(Duration time) {
    constexpr Duration step = 50ms;
    for (Duration elapsed{0}; elapsed < time; elapsed += step) {
      Clock.advance(step);
      Network.deliver(Clock.now(), [&](const protocol::FleetMessage &it) {
        for (Node &node : Nodes)
          if (node.IsRunning && node.Vm.Id == it.To)
            executeActions(node, node.StateMachine->receive(it.From, it.Body,
                                                            Clock.now()));
      });
      for (Node &node : Nodes)
        if (node.IsRunning)
          executeActions(node, node.StateMachine->tick(Clock.now()));
    }
  }

  /// Number of running nodes in whose view `id` is in `state`.
  std::size_t countInState(const MemberId &id, MemberState state) const {
    return static_cast<std::size_t>(
        std::ranges::count_if(Nodes, [&](const Node &node) {
          const auto it = node.StateMachine->members().find(id);
          return node.IsRunning && it != node.StateMachine->members().end() &&
                 it->second.State == state;
        }));
  }
};

bool hasReportedDeath(const Node &node) {
  return std::ranges::any_of(node.Changes, [](const MemberChanged &it) {
    return it.State == MemberState::Dead;
  });
}

} // namespace

// Guards against stopped daemons that some members do not detect, and against
// lost messages that make running daemons appear dead.
TEST_CASE("all members detect a stopped daemon as dead, and no running one") {
  Fleet fleet(8, GENERATE(range(1U, 21U)));
  fleet.Network.Faults.Loss = 0.05;
  fleet.run(60s);
  for (const Node &it : fleet.Nodes)
    CHECK_FALSE(hasReportedDeath(it));
  fleet.Nodes[3].IsRunning = false;
  // Detection takes at most 7 probe periods until the daemon is probed, the
  // suspicion time, and the dissemination.
  fleet.run(15s);
  CHECK(fleet.countInState(fleet.Nodes[3].Vm.Id, MemberState::Dead) == 7);
}

// Guards against a paused daemon that stays dead in the views of the others, or
// that counts itself alive before a peer has confirmed it.
TEST_CASE("a paused daemon reports the pause and rejoins with a new "
          "incarnation") {
  Fleet fleet(8, GENERATE(range(1U, 21U)));
  fleet.run(5s);
  Node &paused = fleet.Nodes[2];
  paused.IsRunning = false;
  fleet.run(20s);
  REQUIRE(fleet.countInState(paused.Vm.Id, MemberState::Dead) == 7);
  paused.IsRunning = true;
  fleet.executeActions(paused, paused.StateMachine->tick(fleet.Clock.now()));
  CHECK(paused.Pauses == 1);
  CHECK_FALSE(paused.StateMachine->isCountedAlive());
  fleet.run(15s);
  CHECK(paused.StateMachine->isCountedAlive());
  CHECK(paused.StateMachine->incarnation() > 1);
  CHECK(fleet.countInState(paused.Vm.Id, MemberState::Alive) == 7);
}

// Guards against members that stay dead in each other's views after a
// partition.
TEST_CASE("members on both sides are alive again after a partition") {
  Fleet fleet(6, GENERATE(range(1U, 21U)));
  fleet.Network.PartitionOf = [](const MemberId &id) { return id.Vm < "vm-3"; };
  fleet.run(30s);
  CHECK(fleet.countInState(fleet.Nodes[0].Vm.Id, MemberState::Dead) == 3);
  fleet.Network.PartitionOf = [](const MemberId &) { return 0; };
  fleet.run(30s);
  for (const Node &it : fleet.Nodes)
    CHECK(fleet.countInState(it.Vm.Id, MemberState::Alive) == 5);
}

// Guards against the state of an old VM being applied to its replacement.
TEST_CASE("a VM that replaces another one under its address is a new member") {
  Fleet fleet(5);
  fleet.run(3s);
  const MemberId oldId = fleet.Nodes[4].Vm.Id;
  fleet.Nodes.pop_back();
  fleet.add("vm-4", "2", 77);
  fleet.publishList();
  fleet.run(5s);
  CHECK(fleet.countInState(oldId, MemberState::Dead) == 4);
  CHECK(fleet.countInState({"vm-4", "2"}, MemberState::Alive) == 4);
  // A stale list that contains the old instance must not change the state of
  // the new one.
  std::vector<ListedVm> stale;
  for (const Node &it : fleet.Nodes)
    stale.push_back(it.Vm);
  stale.back().Id = oldId;
  auto stateMachine =
      Membership({}, stale.front(), std::mt19937_64(1), fleet.Clock.now());
  protocol::Ping ping;
  ping.Updates = {{{"vm-4", "2"}, "a", "dc", MemberState::Alive, 1}};
  stateMachine.receive(oldId, ping, fleet.Clock.now());
  stateMachine.applyList(stale, fleet.Clock.now());
  CHECK(stateMachine.members().at({"vm-4", "2"}).State == MemberState::Alive);
}

// Guards against a planned departure that is treated as a failure.
TEST_CASE("a daemon that leaves is not reported as dead") {
  Fleet fleet(6, GENERATE(range(1U, 21U)));
  fleet.run(3s);
  Node &it = fleet.Nodes[1];
  fleet.executeActions(it, it.StateMachine->leave(fleet.Clock.now()));
  it.IsRunning = false;
  fleet.run(10s);
  CHECK(fleet.countInState(it.Vm.Id, MemberState::Left) == 5);
}

// Guards against message sizes, and message rates per daemon, that grow with
// the number of daemons.
TEST_CASE("message size and rate per daemon do not grow with the fleet") {
  Fleet small(8);
  small.run(30s);
  Fleet large(64);
  large.run(30s);
  CHECK(large.LargestMessage < 1400);
  CHECK(large.SentMessages / 64 <= small.SentMessages / 8 + 10);
}
