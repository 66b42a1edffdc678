#include "coordination/share_ledger.h"
#include "support/simulated_network.h"

#include <catch2/catch.hpp>
#include <cstdlib>
#include <memory>

using namespace galenaflow;
using namespace galenaflow::coordination;
using namespace std::chrono_literals;
using test::SimulatedNetwork;

namespace {

/// A daemon whose clock runs faster or slower than true time.
struct Daemon {
  MemberId Id;
  std::unique_ptr<ShareLedger> Ledger;
  double ClockRate = 1;
  bool IsRunning = true;
  TimePoint PausedUntil{};
  std::vector<std::pair<TimePoint, ShareHold>> Holds; // by true end time

  TimePoint localTime(TimePoint trueNow) const {
    return TimePoint(Duration(static_cast<Duration::rep>(
        static_cast<double>(trueNow.time_since_epoch().count()) * ClockRate)));
  }
};

struct Fleet {
  ShareLedgerOptions Options;
  std::vector<ShareResource> Limits{{"rate", 100}, {"held", 53}};
  std::mt19937_64 Random;
  SimulatedNetwork Network;
  state::ManualClock Clock;
  std::vector<Daemon> Daemons;
  std::uint64_t ListVersion = 0;
  double ClockSkew = 0;
  Duration Step = 20ms;

  explicit Fleet(std::uint64_t seed) : Random(seed), Network(seed + 1) {}

  std::uint64_t pick(std::uint64_t n) { return Random() % n; }

  Daemon &add(const std::string &vm, const std::string &instance) {
    Daemon it;
    it.Id = {vm, instance};
    it.ClockRate = 1 + ClockSkew * (static_cast<double>(pick(2001)) / 1000 - 1);
    it.Ledger = std::make_unique<ShareLedger>(Options, it.Id,
                                              it.localTime(Clock.now()));
    it.Ledger->setLimits(Limits);
    Daemons.push_back(std::move(it));
    return Daemons.back();
  }

  void start(std::size_t n) {
    std::vector<MemberId> ids;
    for (std::size_t i = 0; i != n; ++i)
      ids.push_back(add("vm-" + std::to_string(i), "1").Id);
    ++ListVersion;
    for (Daemon &it : Daemons)
      it.Ledger->applyList(ListVersion, ids, it.localTime(Clock.now()));
  }

  bool isActive(const Daemon &it) const {
    return it.IsRunning && it.PausedUntil <= Clock.now();
  }

  void sendMessages(const Daemon &from,
                    const std::vector<SendMessage> &messages) {
    for (const SendMessage &message : messages)
      Network.send(from.Id, message.To, message.Body, Clock.now());
  }

  /// Overwrites the amounts of all grants when set.
  std::optional<std::uint64_t> FalseAmount;

  void step() {
    Clock.advance(Step);
    Network.deliver(Clock.now(), [&](protocol::FleetMessage message) {
      if (FalseAmount)
        for (auto &grant :
             std::get<protocol::ShareExchange>(message.Body).Grants)
          grant.Amount = *FalseAmount;
      for (Daemon &it : Daemons)
        if (it.Id == message.To && isActive(it))
          sendMessages(it, it.Ledger->receive(
                               message.From,
                               std::get<protocol::ShareExchange>(message.Body),
                               it.localTime(Clock.now())));
    });
    for (Daemon &it : Daemons)
      if (isActive(it))
        sendMessages(it, it.Ledger->tick(it.localTime(Clock.now())));
  }

  void run(Duration time) {
    for (Duration done{0}; done < time; done += Step)
      step();
  }

  /// Units that all running daemons together may use now.
  std::uint64_t totalAllowance(const std::string &resource) const {
    std::uint64_t sum = 0;
    for (const Daemon &it : Daemons)
      if (isActive(it))
        sum += it.Ledger->allowance(resource, it.localTime(Clock.now()));
    return sum;
  }

  /// Units that all daemons together serve: each at most its demand and its
  /// allowance.
  std::uint64_t servedUnits(const std::vector<std::uint64_t> &demand) const {
    std::uint64_t sum = 0;
    for (std::size_t i = 0; i != demand.size(); ++i)
      sum +=
          std::min(demand[i], Daemons[i].Ledger->allowance(
                                  "rate", Daemons[i].localTime(Clock.now())));
    return sum;
  }

  void setDemands(const std::vector<std::uint64_t> &units) {
    for (std::size_t i = 0; i != units.size(); ++i)
      Daemons[i].Ledger->setDemand("rate", units[i]);
  }
};

/// Units that an ideal central limiter would serve.
std::uint64_t idealServed(const std::vector<std::uint64_t> &demand,
                          std::uint64_t limit) {
  std::uint64_t sum = 0;
  for (const std::uint64_t it : demand)
    sum += it;
  return std::min(sum, limit);
}

/// A schedule with random faults of all kinds that satisfies the two
/// assumptions of the proof in share_ledger.cc: removed daemons stop within the
/// removal grace period, and at least one daemon stays listed.
class Schedule {
public:
  Schedule(std::uint64_t seed, ShareLedgerOptions options) : Simulation(seed) {
    Simulation.Options = options;
    Simulation.ClockSkew = 0.05;
    Simulation.Network.Faults.Loss =
        0.01 * static_cast<double>(Simulation.pick(30));
    Simulation.Network.Faults.Duplicates = 0.1;
    constexpr std::array delays{2ms, 30ms, 300ms, 3000ms};
    Simulation.Network.Faults.MaxDelay = delays[Simulation.pick(delays.size())];
    Simulation.start(2 + Simulation.pick(6));
    for (const Daemon &it : Simulation.Daemons)
      Listed.push_back(it.Id);
    Lists.push_back(Listed);
  }

  /// Returns the first resource whose limit was exceeded, or nothing.
  std::optional<std::string> run() {
    for (int i = 0; i != 700; ++i) {
      injectEvents();
      deliverLists();
      Simulation.step();
      acquireAndRelease();
      if (Simulation.totalAllowance("rate") > 100)
        return "rate";
      if (unitsInUse() > 53)
        return "held";
      Peak = std::max(Peak, Simulation.totalAllowance("rate"));
    }
    return std::nullopt;
  }

  std::uint64_t peak() const { return Peak; }

private:
  void injectEvents() {
    for (Daemon &it : Simulation.Daemons)
      if (Simulation.pick(40) == 0)
        it.Ledger->setDemand(
            "rate", Simulation.pick(3) == 0 ? Simulation.pick(150) : 0);
    if (Simulation.pick(100) == 0)
      pauseOne();
    if (Simulation.pick(100) == 0)
      partition();
    if (Simulation.pick(80) == 0)
      changeList();
    stopRemoved();
  }

  void pauseOne() {
    Daemon &it = Simulation.Daemons[Simulation.pick(Simulation.Daemons.size())];
    it.PausedUntil = Simulation.Clock.now() +
                     std::chrono::milliseconds(Simulation.pick(6000));
  }

  void partition() {
    const std::uint64_t sides = Simulation.pick(2) == 0 ? 1 : 2;
    const std::uint64_t salt = Simulation.Random();
    Simulation.Network.PartitionOf = [sides, salt](const MemberId &id) {
      const auto h = std::hash<std::string>()(id.Vm + id.Instance);
      return static_cast<int>((h ^ salt) % 7 % sides);
    };
  }

  // Adds, removes or replaces a VM, or kills a daemon without removing it from
  // the list. The first VM always stays listed.
  void changeList() {
    const std::uint64_t choice = Simulation.pick(4);
    const std::size_t victim =
        1 + Simulation.pick(std::max<std::size_t>(1, Listed.size() - 1));
    if (choice == 0 && Listed.size() < 8) {
      Listed.push_back(
          Simulation.add("vm-" + std::to_string(++LastVm + 100), "1").Id);
    } else if (victim >= Listed.size()) {
      return;
    } else if (choice == 1) {
      remove(Listed[victim]);
      Listed.erase(Listed.begin() + static_cast<std::ptrdiff_t>(victim));
    } else if (choice == 2) {
      remove(Listed[victim]);
      Listed[victim] =
          Simulation.add(Listed[victim].Vm, std::to_string(++LastVm + 1)).Id;
    } else {
      find(Listed[victim]).IsRunning = false;
      return;
    }
    Lists.push_back(Listed);
  }

  Daemon &find(const MemberId &id) {
    for (Daemon &it : Simulation.Daemons)
      if (it.Id == id)
        return it;
    return Simulation.Daemons.front();
  }

  void remove(const MemberId &id) {
    const auto wait = static_cast<std::uint64_t>(
        Simulation.Options.RemovalGrace.count() * 9 / 10);
    Removed.emplace_back(
        Simulation.Clock.now() + Duration(Simulation.pick(wait)), id);
  }

  void stopRemoved() {
    for (const auto &[at, id] : Removed)
      if (at <= Simulation.Clock.now())
        find(id).IsRunning = false;
  }

  // Each daemon receives lists at times of its own, and misses some of them.
  void deliverLists() {
    for (Daemon &it : Simulation.Daemons) {
      if (!Simulation.isActive(it) || Simulation.pick(15) != 0)
        continue;
      const std::size_t back =
          Simulation.pick(std::min<std::size_t>(3, Lists.size()));
      const std::size_t version = Lists.size() - back;
      it.Ledger->applyList(version, Lists[version - 1],
                           it.localTime(Simulation.Clock.now()));
    }
  }

  void acquireAndRelease() {
    const TimePoint now = Simulation.Clock.now();
    for (Daemon &it : Simulation.Daemons) {
      std::erase_if(it.Holds, [&](const auto &entry) {
        if (entry.first > now)
          return false;
        it.Ledger->release(entry.second);
        return true;
      });
      if (!Simulation.isActive(it))
        continue;
      const Duration length = std::chrono::milliseconds(Simulation.pick(2500));
      it.Ledger->setDemand("held", it.Holds.size() + Simulation.pick(30));
      // The deadline is measured on the daemon's own clock.
      const auto end = static_cast<Duration::rep>(
          static_cast<double>(length.count()) * it.ClockRate);
      const TimePoint localNow = it.localTime(now);
      if (auto hold =
              it.Ledger->acquire("held", 1, localNow + Duration(end), localNow))
        it.Holds.emplace_back(now + length, std::move(*hold));
    }
  }

  std::uint64_t unitsInUse() const {
    std::uint64_t sum = 0;
    for (const Daemon &it : Simulation.Daemons)
      if (it.IsRunning)
        for (const auto &[end, hold] : it.Holds)
          sum += end > Simulation.Clock.now() ? hold.Units : 0;
    return sum;
  }

  Fleet Simulation;
  std::vector<MemberId> Listed;
  std::vector<std::vector<MemberId>> Lists; // version - 1 is the index
  std::vector<std::pair<TimePoint, MemberId>> Removed;
  std::uint64_t LastVm = 0;
  std::uint64_t Peak = 0;
};

ShareLedgerOptions shortGraceOptions() {
  ShareLedgerOptions options;
  options.RemovalGrace = 4s; // schedules last 14 s
  return options;
}

std::uint64_t scheduleCount(std::uint64_t usual) {
  const char *text = std::getenv("GALENAFLOW_TEST_SCHEDULES");
  return text ? std::strtoull(text, nullptr, 10) : usual;
}

} // namespace

// Guards against shares that do not add up to the limit.
TEST_CASE("the shares without loans add up to the limit") {
  Fleet fleet(1);
  fleet.start(7);
  fleet.run(4s);
  CHECK(fleet.totalAllowance("rate") == 100);
  CHECK(fleet.totalAllowance("held") == 53);
}

// Guards against units that stay unused at daemons without demand while others
// need them.
TEST_CASE("utilisation follows a change of demand within 2 s") {
  const std::size_t n = GENERATE(6, 8);
  Fleet fleet(n);
  fleet.Limits = {{"rate", 10000}};
  fleet.start(n);
  fleet.run(4s);
  std::uint64_t served = 0;
  std::uint64_t ideal = 0;
  double worstAfterChange = 1;
  for (int change = 0; change != 40; ++change) {
    // All demand is at one daemon, or spread unevenly over all.
    std::vector<std::uint64_t> demand(n, 0);
    if (change % 2 == 0)
      demand[fleet.pick(n)] = 12000;
    else
      for (std::uint64_t &it : demand)
        it = fleet.pick(4000);
    fleet.setDemands(demand);
    fleet.run(2s);
    const std::uint64_t best = idealServed(demand, 10000);
    worstAfterChange = std::min(worstAfterChange,
                                static_cast<double>(fleet.servedUnits(demand)) /
                                    static_cast<double>(best));
    for (int i = 0; i != 150; ++i) {
      fleet.step();
      served += fleet.servedUnits(demand);
      ideal += best;
    }
  }
  const double steady =
      static_cast<double>(served) / static_cast<double>(ideal);
  WARN(n << " daemons: steady utilisation " << steady
         << ", lowest 2 s after a change of demand " << worstAfterChange);
  CHECK(steady >= 0.95);
  CHECK(worstAfterChange >= 0.90);
}

// Guards against a limit that is exceeded because a daemon that has not
// received the new list still uses its larger share.
TEST_CASE("a new daemon has no share until every other one has acknowledged "
          "the list") {
  Fleet fleet(3);
  fleet.start(3);
  fleet.run(4s);
  std::vector<MemberId> ids;
  fleet.add("vm-9", "1");
  for (const Daemon &it : fleet.Daemons)
    ids.push_back(it.Id);
  for (const std::size_t i : {0U, 1U, 3U})
    fleet.Daemons[i].Ledger->applyList(2, ids, fleet.Clock.now());
  fleet.run(40s);
  CHECK(fleet.Daemons[3].Ledger->entitlement("rate") == 0);
  CHECK(fleet.Daemons[0].Ledger->entitlement("rate") <= 25);
  fleet.Daemons[2].Ledger->applyList(2, ids, fleet.Clock.now());
  fleet.run(3s);
  CHECK(fleet.Daemons[3].Ledger->entitlement("rate") == 25);
}

// Guards against a limit that is exceeded because a removed VM is still running
// while the others divide its share.
TEST_CASE("a share rises only after the grace period of a removed VM") {
  Fleet fleet(4);
  fleet.start(4);
  fleet.run(4s);
  std::vector<MemberId> ids;
  for (std::size_t i = 0; i != 3; ++i)
    ids.push_back(fleet.Daemons[i].Id);
  for (Daemon &it : fleet.Daemons)
    it.Ledger->applyList(2, ids, fleet.Clock.now());
  fleet.run(29s);
  CHECK(fleet.totalAllowance("rate") <= 75);
  fleet.Daemons[3].IsRunning = false;
  fleet.run(3s);
  CHECK(fleet.totalAllowance("rate") == 100);
}

// Guards against limits that are exceeded after faults in an order that no
// example test has: skewed clocks, lost, delayed and duplicate messages,
// pauses, partitions, and lists that arrive late.
TEST_CASE("the sum in use never exceeds the limit") {
  std::uint64_t peak = 0;
  for (std::uint64_t seed = 0; seed != scheduleCount(2000); ++seed) {
    Schedule schedule(seed, shortGraceOptions());
    const auto fault = schedule.run();
    INFO("seed " << seed);
    REQUIRE(fault.value_or("none") == "none");
    peak = std::max(peak, schedule.peak());
  }
  // Guards against schedules in which no daemon ever has a share.
  CHECK(peak == 100);
}

// Guards against a lender that uses a lent amount before the borrower's clock
// has ended the lease, and against a checker that would not detect this.
TEST_CASE("the limit is exceeded without the lender's margin, and only then") {
  const Duration margin = GENERATE(0ms, 200ms);
  Fleet fleet(5);
  fleet.Options.LenderMargin = margin;
  fleet.Step = 1ms;
  fleet.start(2);
  // The clock rates are the extremes that the margin covers.
  fleet.Daemons[0].ClockRate = 1.05;
  fleet.Daemons[1].ClockRate = 0.95;
  for (Daemon &it : fleet.Daemons) {
    it.Ledger = std::make_unique<ShareLedger>(fleet.Options, it.Id,
                                              it.localTime(fleet.Clock.now()));
    it.Ledger->setLimits(fleet.Limits);
    const std::array ids{fleet.Daemons[0].Id, fleet.Daemons[1].Id};
    it.Ledger->applyList(1, ids, it.localTime(fleet.Clock.now()));
  }
  fleet.setDemands({0, 100});
  fleet.run(4s);
  REQUIRE(fleet.Daemons[0].Ledger->lent(
              "rate", fleet.Daemons[0].localTime(fleet.Clock.now())) == 50);
  fleet.Network.Faults.Loss = 1;
  std::uint64_t peak = 0;
  for (int i = 0; i != 4000; ++i) {
    fleet.step();
    peak = std::max(peak, fleet.totalAllowance("rate"));
  }
  CHECK((peak > 100) == (margin == 0ms));
}

// Guards against an allowance that exceeds the whole limit, or overflows,
// because a lender grants more than was asked for.
TEST_CASE("a grant counts at most as much as was asked for") {
  Fleet fleet(5);
  fleet.start(3);
  fleet.FalseAmount = UINT64_MAX;
  constexpr std::uint64_t demand = 90;
  fleet.Daemons[0].Ledger->setDemand("rate", demand);
  for (int i = 0; i != 400; ++i) {
    fleet.step();
    const Daemon &it = fleet.Daemons[0];
    // Each of two lenders is asked for the demand at most.
    REQUIRE(it.Ledger->allowance("rate", it.localTime(fleet.Clock.now())) <=
            it.Ledger->entitlement("rate") + 2 * demand);
  }
}
