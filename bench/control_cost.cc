#include "coordination/config_distribution.h"
#include "coordination/reader_election.h"
#include "coordination/share_ledger.h"
#include "support/simulated_network.h"

#include <algorithm>
#include <ctime>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>
#include <sys/resource.h>

// Measures the cost of coordination between daemons. The state machines of all
// daemons run in this process on simulated time and exchange encoded messages
// in memory. Costs are printed per daemon and second of simulated time, after
// start-up. Bytes are those of the FlatBuffers messages, without frames and
// TCP.
//
//   control_cost                  the sizes of today, with share ledgers
//   control_cost DAEMONS SECONDS  eight data centres, without share ledgers
//                                 (which send status messages to every peer);
//                                 also the delay of a change and the start-up
//                                 reads

using namespace galenaflow;
using namespace galenaflow::coordination;
using namespace std::chrono_literals;

namespace {

constexpr Duration Step = 100ms;
constexpr Duration DistributionStep = 5ms;
constexpr std::size_t PlanCount = 10;

struct FleetSize {
  std::size_t Daemons = 8;
  std::size_t DataCentres = 3;
  bool HasLedgers = true;
};

struct Node {
  ListedVm Vm;
  std::unique_ptr<Membership> Members;
  std::unique_ptr<ConfigDistribution> Config;
  std::unique_ptr<ReaderElection> Election;
  std::unique_ptr<ShareLedger> Ledger;
  std::uint64_t PlansVersion = 0;
  bool IsWatchingPlans = false;
};

class Fleet {
public:
  explicit Fleet(FleetSize size) : Size(size) {
    const std::size_t n = size.Daemons;
    for (std::size_t i = 0; i != n; ++i)
      Vms.push_back({{"vm-" + std::to_string(i), "i-0123456789abcdef"},
                     "10.0.0." + std::to_string(i) + ":9000",
                     "dc-" + std::to_string(i % size.DataCentres)});
    for (std::size_t i = 0; i != n; ++i)
      Nodes.push_back(makeNode(Vms[i], i));
  }

  /// Moves demand between daemons at random, as a change of load does.
  void moveDemand() {
    for (Node &node : Nodes)
      for (std::size_t i = 0; i != PlanCount; ++i)
        node.Ledger->setDemand(planName(i),
                               Random() % 2 * 200000 / Nodes.size());
  }

  void run(Duration time, bool isDemandMoving) {
    for (Duration elapsed{0}; elapsed < time; elapsed += Step) {
      if (isDemandMoving && elapsed % Duration(5s) == 0ms)
        moveDemand();
      deliver(Step);
      runTimers(elapsed % Duration(1s) == 0ms);
    }
  }

  /// Publishes a version of the plans. Returns the time until all daemons have
  /// it, 20 s at most.
  Duration distribute(std::uint64_t version, const std::string &value) {
    const TimePoint begin = Clock.now();
    for (Node &node : Nodes)
      if (std::exchange(node.IsWatchingPlans, false))
        executeActions(node,
                       node.Config->onRead(protocol::ConfigKey::Plans,
                                           ReadValue{version, value}, begin));
    const auto isBehind = [&](const Node &it) {
      return it.PlansVersion != version;
    };
    // Timers still run only once per Step, because they take most of the time.
    for (Duration elapsed{0};
         std::ranges::any_of(Nodes, isBehind) && elapsed < 20s;
         elapsed += DistributionStep) {
      deliver(DistributionStep);
      if (elapsed % Step == 0ms)
        runTimers(false);
    }
    return std::chrono::duration_cast<Duration>(Clock.now() - begin);
  }

  void setLoss(double p) { Network.Faults.Loss = p; }

  std::uint64_t Bytes = 0;
  std::uint64_t ShareBytes = 0;
  std::uint64_t Messages = 0;
  std::uint64_t Reads = 0;

private:
  static std::string planName(std::size_t i) {
    return "plan:" + std::to_string(i) + ":rate";
  }

  Node makeNode(const ListedVm &vm, std::size_t seed) {
    const TimePoint now = Clock.now();
    Node node;
    node.Vm = vm;
    node.Members = std::make_unique<Membership>(MembershipOptions{}, vm,
                                                std::mt19937_64(seed), now);
    node.Members->applyList(Vms, now);
    const auto validator = [](ConfigKey, const std::string &) {
      return state::Findings();
    };
    node.Config = std::make_unique<ConfigDistribution>(
        ConfigDistributionOptions{}, vm.Id, validator, std::mt19937_64(seed),
        now);
    node.Config->setPeers(Vms);
    node.Config->setListedPeers(Vms.size() - 1);
    node.Election =
        std::make_unique<ReaderElection>(ReaderElectionOptions{}, vm);
    if (Size.HasLedgers)
      startLedger(node, now);
    return node;
  }

  void startLedger(Node &node, TimePoint now) {
    node.Ledger =
        std::make_unique<ShareLedger>(ShareLedgerOptions{}, node.Vm.Id, now);
    std::vector<ShareResource> limits;
    for (std::size_t i = 0; i != PlanCount; ++i)
      limits.push_back({planName(i), 100000});
    node.Ledger->setLimits(limits);
    std::vector<MemberId> ids;
    for (const ListedVm &it : Vms)
      ids.push_back(it.Id);
    node.Ledger->applyList(1, ids, now);
  }

  void send(const Node &from, const SendMessage &it) {
    const auto bytes =
        protocol::encodeFleetMessage({from.Vm.Id, it.To, it.Body});
    Bytes += bytes.size();
    if (std::holds_alternative<protocol::ShareExchange>(it.Body))
      ShareBytes += bytes.size();
    ++Messages;
    // The message is decoded as well, because decoding is part of the cost.
    const auto decoded = protocol::decodeFleetMessage(
        protocol::fleetMessageType(it.Body), bytes);
    if (decoded)
      Network.send(from.Vm.Id, it.To, decoded->Body, Clock.now());
  }

  void executeActions(Node &node, const MembershipActions &actions) {
    for (const MembershipAction &action : actions) {
      if (const auto *message = std::get_if<SendMessage>(&action))
        send(node, *message);
      if (const auto *digest = std::get_if<DigestReceived>(&action))
        executeActions(node,
                       node.Config->onDigest(find(digest->From).Vm,
                                             digest->Digest, Clock.now()));
    }
  }

  void executeActions(Node &node, const ConfigActions &actions) {
    for (const ConfigAction &action : actions) {
      if (const auto *message = std::get_if<SendMessage>(&action))
        send(node, *message);
      if (const auto *apply = std::get_if<ApplyValue>(&action);
          apply && apply->Key == protocol::ConfigKey::Plans)
        node.PlansVersion = apply->Version;
      if (const auto *read = std::get_if<ReadKey>(&action)) {
        ++Reads;
        node.IsWatchingPlans |=
            read->Wait != 0ms && read->Key == protocol::ConfigKey::Plans;
        if (read->Wait == 0ms)
          executeActions(node, node.Config->onRead(
                                   read->Key, ReadValue{1, "{}"}, Clock.now()));
      }
    }
  }

  void deliver(Duration time) {
    Clock.advance(time);
    Network.deliver(Clock.now(), [&](const protocol::FleetMessage &it) {
      receive(find(it.To), it);
    });
  }

  void runTimers(bool isElecting) {
    const TimePoint now = Clock.now();
    for (Node &node : Nodes) {
      if (isElecting)
        node.Config->setReader(
            node.Election->update(node.Members->liveMembers(), now));
      node.Members->setDigest(node.Config->digest());
      executeActions(node, node.Members->tick(now));
      executeActions(node, node.Config->tick(now));
      if (node.Ledger)
        for (const SendMessage &it : node.Ledger->tick(now))
          send(node, it);
    }
  }

  void receive(Node &node, const protocol::FleetMessage &message) {
    const TimePoint now = Clock.now();
    if (const auto *share = std::get_if<protocol::ShareExchange>(&message.Body))
      for (const SendMessage &it :
           node.Ledger->receive(message.From, *share, now))
        send(node, it);
    executeActions(node,
                   node.Members->receive(message.From, message.Body, now));
    executeActions(
        node, node.Config->receive(find(message.From).Vm, message.Body, now));
  }

  Node &find(const MemberId &id) { return Nodes[std::stoul(id.Vm.substr(3))]; }

  FleetSize Size;
  state::ManualClock Clock;
  test::SimulatedNetwork Network{1};
  std::vector<ListedVm> Vms;
  std::vector<Node> Nodes;
  std::mt19937_64 Random{1};
};

/// Prints the costs of `n` daemons with share ledgers.
void measure(std::size_t n, bool isDemandMoving) {
  constexpr auto warmUp = 10s;
  constexpr auto time = 20s;
  Fleet fleet({n, 3, true});
  fleet.run(warmUp, isDemandMoving);
  fleet.Bytes = fleet.ShareBytes = fleet.Messages = fleet.Reads = 0;
  const std::clock_t begin = std::clock();
  fleet.run(time, isDemandMoving);
  const double cpu = static_cast<double>(std::clock() - begin) / CLOCKS_PER_SEC;
  const double daemonSeconds =
      static_cast<double>(n) * static_cast<double>(time.count());
  const nlohmann::json line{
      {"daemons", n},
      {"demand", isDemandMoving ? "moves every 5 s" : "none"},
      {"bytes_per_s", static_cast<double>(fleet.Bytes) / daemonSeconds},
      {"share_bytes_per_s",
       static_cast<double>(fleet.ShareBytes) / daemonSeconds},
      {"messages_per_s", static_cast<double>(fleet.Messages) / daemonSeconds},
      {"cpu_us_per_s", cpu * 1e6 / daemonSeconds},
      {"platform_reads_per_s",
       static_cast<double>(fleet.Reads) / static_cast<double>(time.count())}};
  std::cout << line.dump() << std::endl;
}

/// Returns a document of the size that the plans document has today.
std::string plansDocument() { return std::string(4000, 'p'); }

/// Prints the costs of `n` daemons without share ledgers, and the delay of a
/// change without and with lost messages.
void measureLargeFleet(std::size_t n, std::chrono::seconds time) {
  Fleet fleet({n, 8, false});
  // After this time the readers wait for changes.
  constexpr auto startup = 12s;
  fleet.run(startup, false);
  const std::uint64_t startupReads = fleet.Reads;
  fleet.Bytes = fleet.Messages = fleet.Reads = 0;
  const std::clock_t begin = std::clock();
  fleet.run(time, false);
  const double cpu = static_cast<double>(std::clock() - begin) / CLOCKS_PER_SEC;
  const double daemonSeconds =
      static_cast<double>(n) * static_cast<double>(time.count());
  nlohmann::json line{
      {"daemons", n},
      {"bytes_per_s", static_cast<double>(fleet.Bytes) / daemonSeconds},
      {"messages_per_s", static_cast<double>(fleet.Messages) / daemonSeconds},
      {"cpu_us_per_s", cpu * 1e6 / daemonSeconds},
      {"startup_reads", startupReads},
      {"platform_reads_per_s",
       static_cast<double>(fleet.Reads) / static_cast<double>(time.count())}};
  fleet.Bytes = fleet.Messages = 0;
  const auto delay = fleet.distribute(2, plansDocument());
  line["change_ms"] = static_cast<double>(delay.count()) / 1000;
  line["change_bytes"] =
      static_cast<double>(fleet.Bytes) / static_cast<double>(n);
  fleet.run(2s, false);
  fleet.setLoss(0.1);
  const auto delayWithLoss = fleet.distribute(3, plansDocument());
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  line["kb_per_daemon"] =
      static_cast<double>(usage.ru_maxrss) / static_cast<double>(n);
  line["change_ms_10_percent_loss"] =
      static_cast<double>(delayWithLoss.count()) / 1000;
  std::cout << line.dump() << std::endl;
}

} // namespace

int main(int argc, char **argv) {
  if (argc == 3) {
    measureLargeFleet(std::strtoul(argv[1], nullptr, 10),
                      std::chrono::seconds(std::strtol(argv[2], nullptr, 10)));
    return 0;
  }
  for (const std::size_t n : {8U, 32U, 64U})
    measure(n, true);
  for (const std::size_t n : {8U, 32U, 64U, 128U})
    measure(n, false);
}
