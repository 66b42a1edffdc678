#include "coordination/membership.h"
#include "support/message_exchange.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>

using namespace galenaflow;
using namespace galenaflow::coordination;
using namespace std::chrono_literals;
using test::MessageExchange;

namespace {

struct Node {
  ListedVm Vm;
  std::unique_ptr<Membership> Machine;
  bool IsRunning = true;
  std::size_t Pauses = 0;
  std::vector<MemberChanged> Changes;
};

struct Fleet {
  state::ManualClock Clock;
  MessageExchange Exchange;
  std::vector<Node> Nodes;
  std::size_t LargestMessage = 0;
  std::size_t Sent = 0;

  explicit Fleet(std::size_t n, std::uint64_t seed = 1) : Exchange(seed) {
    for (std::size_t i = 0; i != n; ++i)
      add("vm-" + std::to_string(i), "1", seed + i);
    list();
  }

  Node &add(const std::string &vm, const std::string &instance,
            std::uint64_t seed) {
    ListedVm self{{vm, instance}, "127.0.0.1:" + vm, "dc", false};
    Node node;
    node.Vm = self;
    node.Machine = std::make_unique<Membership>(
        MembershipOptions{}, self, std::mt19937_64(seed), Clock.now());
    Nodes.push_back(std::move(node));
    return Nodes.back();
  }

  void list() {
    std::vector<ListedVm> vms;
    for (const Node &it : Nodes)
      vms.push_back(it.Vm);
    for (Node &it : Nodes)
      take(it, it.Machine->applyList(vms, Clock.now()));
  }

  void take(Node &node, const MembershipActions &actions) {
    for (const MembershipAction &action : actions) {
      if (const auto *change = std::get_if<MemberChanged>(&action))
        node.Changes.push_back(*change);
      if (std::holds_alternative<LocalPause>(action))
        ++node.Pauses;
      if (const auto *send = std::get_if<SendMessage>(&action)) {
        const auto bytes =
            protocol::encodeFleetMessage({node.Vm.Id, send->To, send->Body});
        LargestMessage = std::max(LargestMessage, bytes.size());
        ++Sent;
        Exchange.send(node.Vm.Id, send->To, send->Body, Clock.now());
      }
    }
  }

  void run(Duration time) {
    constexpr Duration step = 50ms;
    for (Duration done{0}; done < time; done += step) {
      Clock.advance(step);
      Exchange.deliver(Clock.now(), [&](const protocol::FleetMessage &it) {
        for (Node &node : Nodes)
          if (node.IsRunning && node.Vm.Id == it.To)
            take(node, node.Machine->receive(it.From, it.Body, Clock.now()));
      });
      for (Node &node : Nodes)
        if (node.IsRunning)
          take(node, node.Machine->tick(Clock.now()));
    }
  }

  /// Running nodes that see `id` in `state`.
  std::size_t see(const MemberId &id, MemberState state) const {
    return static_cast<std::size_t>(
        std::ranges::count_if(Nodes, [&](const Node &node) {
          const auto it = node.Machine->members().find(id);
          return node.IsRunning && it != node.Machine->members().end() &&
                 it->second.State == state;
        }));
  }
};

bool sawDeath(const Node &node) {
  return std::ranges::any_of(node.Changes, [](const MemberChanged &it) {
    return it.State == MemberState::Dead;
  });
}

} // namespace

TEST_CASE("a stopped daemon is found dead by all, a running one is not") {
  Fleet fleet(8, GENERATE(range(1U, 21U)));
  fleet.Exchange.Faults.Loss = 0.05;
  fleet.run(60s);
  for (const Node &it : fleet.Nodes)
    CHECK_FALSE(sawDeath(it));
  fleet.Nodes[3].IsRunning = false;
  // At most 7 periods until it is probed, suspicion, and dissemination.
  fleet.run(15s);
  CHECK(fleet.see(fleet.Nodes[3].Vm.Id, MemberState::Dead) == 7);
}

TEST_CASE("a paused daemon reports it and returns with a new incarnation") {
  Fleet fleet(8, GENERATE(range(1U, 21U)));
  fleet.run(5s);
  Node &paused = fleet.Nodes[2];
  paused.IsRunning = false;
  fleet.run(20s);
  REQUIRE(fleet.see(paused.Vm.Id, MemberState::Dead) == 7);
  paused.IsRunning = true;
  fleet.take(paused, paused.Machine->tick(fleet.Clock.now()));
  CHECK(paused.Pauses == 1);
  CHECK_FALSE(paused.Machine->isCountedAlive());
  fleet.run(15s);
  CHECK(paused.Machine->isCountedAlive());
  CHECK(paused.Machine->incarnation() > 1);
  CHECK(fleet.see(paused.Vm.Id, MemberState::Alive) == 7);
}

TEST_CASE("an ended partition heals") {
  Fleet fleet(6, GENERATE(range(1U, 21U)));
  fleet.Exchange.SideOf = [](const MemberId &id) { return id.Vm < "vm-3"; };
  fleet.run(30s);
  CHECK(fleet.see(fleet.Nodes[0].Vm.Id, MemberState::Dead) == 3);
  fleet.Exchange.SideOf = [](const MemberId &) { return 0; };
  fleet.run(30s);
  for (const Node &it : fleet.Nodes)
    CHECK(fleet.see(it.Vm.Id, MemberState::Alive) == 5);
}

TEST_CASE("a VM replaced under the same address is a new member") {
  Fleet fleet(5);
  fleet.run(3s);
  const MemberId old = fleet.Nodes[4].Vm.Id;
  fleet.Nodes.pop_back();
  fleet.add("vm-4", "2", 77);
  fleet.list();
  fleet.run(5s);
  CHECK(fleet.see(old, MemberState::Dead) == 4);
  CHECK(fleet.see({"vm-4", "2"}, MemberState::Alive) == 4);
  // A list that still names the old instance must not harm the new one.
  std::vector<ListedVm> stale;
  for (const Node &it : fleet.Nodes)
    stale.push_back(it.Vm);
  stale.back().Id = old;
  auto machine =
      Membership({}, stale.front(), std::mt19937_64(1), fleet.Clock.now());
  protocol::Ping ping;
  ping.Updates = {{{"vm-4", "2"}, "a", "dc", MemberState::Alive, 1}};
  machine.receive(old, ping, fleet.Clock.now());
  machine.applyList(stale, fleet.Clock.now());
  CHECK(machine.members().at({"vm-4", "2"}).State == MemberState::Alive);
}

TEST_CASE("a leaving daemon is not taken for a failed one") {
  Fleet fleet(6, GENERATE(range(1U, 21U)));
  fleet.run(3s);
  Node &it = fleet.Nodes[1];
  fleet.take(it, it.Machine->leave(fleet.Clock.now()));
  it.IsRunning = false;
  fleet.run(10s);
  CHECK(fleet.see(it.Vm.Id, MemberState::Left) == 5);
}

TEST_CASE("messages and traffic do not grow with the fleet") {
  Fleet small(8);
  small.run(30s);
  Fleet large(64);
  large.run(30s);
  CHECK(large.LargestMessage < 1400);
  CHECK(large.Sent / 64 <= small.Sent / 8 + 10);
}
