#include "coordination/share_ledger.h"
#include "support/message_exchange.h"

#include <catch2/catch.hpp>
#include <cstdlib>
#include <memory>

using namespace galenaflow;
using namespace galenaflow::coordination;
using namespace std::chrono_literals;
using test::MessageExchange;

namespace {

/// One daemon with a clock of its own.
struct Daemon {
  MemberId Id;
  std::unique_ptr<ShareLedger> Ledger;
  double ClockRate = 1;
  bool IsRunning = true;
  TimePoint PausedUntil{};
  std::vector<std::pair<TimePoint, ShareHold>> Holds; // by true end time

  TimePoint local(TimePoint trueNow) const {
    return TimePoint(Duration(static_cast<Duration::rep>(
        static_cast<double>(trueNow.time_since_epoch().count()) * ClockRate)));
  }
};

struct Fleet {
  ShareLedgerOptions Options;
  std::vector<ShareResource> Limits{{"rate", 100}, {"held", 53}};
  std::mt19937_64 Random;
  MessageExchange Exchange;
  state::ManualClock Clock;
  std::vector<Daemon> Daemons;
  std::uint64_t ListVersion = 0;
  double ClockSkew = 0;
  Duration Step = 20ms;

  explicit Fleet(std::uint64_t seed) : Random(seed), Exchange(seed + 1) {}

  std::uint64_t pick(std::uint64_t n) { return Random() % n; }

  Daemon &add(const std::string &vm, const std::string &instance) {
    Daemon it;
    it.Id = {vm, instance};
    it.ClockRate = 1 + ClockSkew * (static_cast<double>(pick(2001)) / 1000 - 1);
    it.Ledger =
        std::make_unique<ShareLedger>(Options, it.Id, it.local(Clock.now()));
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
      it.Ledger->applyList(ListVersion, ids, it.local(Clock.now()));
  }

  bool isActive(const Daemon &it) const {
    return it.IsRunning && it.PausedUntil <= Clock.now();
  }

  void post(const Daemon &from, const std::vector<SendMessage> &messages) {
    for (const SendMessage &message : messages)
      Exchange.send(from.Id, message.To, message.Body, Clock.now());
  }

  void step() {
    Clock.advance(Step);
    Exchange.deliver(Clock.now(), [&](const protocol::FleetMessage &message) {
      for (Daemon &it : Daemons)
        if (it.Id == message.To && isActive(it))
          post(it, it.Ledger->receive(
                       message.From,
                       std::get<protocol::ShareExchange>(message.Body),
                       it.local(Clock.now())));
    });
    for (Daemon &it : Daemons)
      if (isActive(it))
        post(it, it.Ledger->tick(it.local(Clock.now())));
  }

  void run(Duration time) {
    for (Duration done{0}; done < time; done += Step)
      step();
  }

  /// Units that all running daemons may use at this instant.
  std::uint64_t allowed(const std::string &resource) const {
    std::uint64_t sum = 0;
    for (const Daemon &it : Daemons)
      if (isActive(it))
        sum += it.Ledger->allowance(resource, it.local(Clock.now()));
    return sum;
  }

  /// Useful work: no daemon serves more than its demand.
  std::uint64_t served(const std::vector<std::uint64_t> &demand) const {
    std::uint64_t sum = 0;
    for (std::size_t i = 0; i != demand.size(); ++i)
      sum += std::min(demand[i], Daemons[i].Ledger->allowance(
                                     "rate", Daemons[i].local(Clock.now())));
    return sum;
  }

  void demand(const std::vector<std::uint64_t> &units) {
    for (std::size_t i = 0; i != units.size(); ++i)
      Daemons[i].Ledger->setDemand("rate", units[i]);
  }
};

/// What a perfect central limiter would serve.
std::uint64_t perfect(const std::vector<std::uint64_t> &demand,
                      std::uint64_t limit) {
  std::uint64_t sum = 0;
  for (const std::uint64_t it : demand)
    sum += it;
  return std::min(sum, limit);
}

/// A schedule with faults of all kinds. Removed daemons stop within the hold
/// time, and one daemon stays listed: the assumptions of the design.
class Schedule {
public:
  Schedule(std::uint64_t seed, ShareLedgerOptions options) : World(seed) {
    World.Options = options;
    World.ClockSkew = 0.05;
    World.Exchange.Faults.Loss = 0.01 * static_cast<double>(World.pick(30));
    World.Exchange.Faults.Duplicates = 0.1;
    constexpr std::array delays{2ms, 30ms, 300ms, 3000ms};
    World.Exchange.Faults.MaxDelay = delays[World.pick(delays.size())];
    World.start(2 + World.pick(6));
    for (const Daemon &it : World.Daemons)
      Listed.push_back(it.Id);
    Lists.push_back(Listed);
  }

  /// The first resource whose limit was exceeded, or none.
  std::optional<std::string> run() {
    for (int i = 0; i != 700; ++i) {
      act();
      spreadLists();
      World.step();
      useHeld();
      if (World.allowed("rate") > 100)
        return "rate";
      if (held() > 53)
        return "held";
      Peak = std::max(Peak, World.allowed("rate"));
    }
    return std::nullopt;
  }

  std::uint64_t peak() const { return Peak; }

private:
  void act() {
    for (Daemon &it : World.Daemons)
      if (World.pick(40) == 0)
        it.Ledger->setDemand("rate", World.pick(3) == 0 ? World.pick(150) : 0);
    if (World.pick(100) == 0)
      pauseOne();
    if (World.pick(100) == 0)
      partition();
    if (World.pick(80) == 0)
      changeList();
    stopRemoved();
  }

  void pauseOne() {
    Daemon &it = World.Daemons[World.pick(World.Daemons.size())];
    it.PausedUntil =
        World.Clock.now() + std::chrono::milliseconds(World.pick(6000));
  }

  void partition() {
    const std::uint64_t sides = World.pick(2) == 0 ? 1 : 2;
    const std::uint64_t salt = World.Random();
    World.Exchange.SideOf = [sides, salt](const MemberId &id) {
      const auto h = std::hash<std::string>()(id.Vm + id.Instance);
      return static_cast<int>((h ^ salt) % 7 % sides);
    };
  }

  // Adds, removes or replaces a VM, or kills a daemon that stays listed. The
  // first VM stays listed.
  void changeList() {
    const std::uint64_t choice = World.pick(4);
    const std::size_t victim =
        1 + World.pick(std::max<std::size_t>(1, Listed.size() - 1));
    if (choice == 0 && Listed.size() < 8) {
      Listed.push_back(
          World.add("vm-" + std::to_string(++LastVm + 100), "1").Id);
    } else if (victim >= Listed.size()) {
      return;
    } else if (choice == 1) {
      remove(Listed[victim]);
      Listed.erase(Listed.begin() + static_cast<std::ptrdiff_t>(victim));
    } else if (choice == 2) {
      remove(Listed[victim]);
      Listed[victim] =
          World.add(Listed[victim].Vm, std::to_string(++LastVm + 1)).Id;
    } else {
      find(Listed[victim]).IsRunning = false;
      return;
    }
    Lists.push_back(Listed);
  }

  Daemon &find(const MemberId &id) {
    for (Daemon &it : World.Daemons)
      if (it.Id == id)
        return it;
    return World.Daemons.front();
  }

  void remove(const MemberId &id) {
    const auto wait =
        static_cast<std::uint64_t>(World.Options.RemovalGrace.count() * 9 / 10);
    Removed.emplace_back(World.Clock.now() + Duration(World.pick(wait)), id);
  }

  void stopRemoved() {
    for (const auto &[at, id] : Removed)
      if (at <= World.Clock.now())
        find(id).IsRunning = false;
  }

  // Each daemon learns some list at its own time, and skips some.
  void spreadLists() {
    for (Daemon &it : World.Daemons) {
      if (!World.isActive(it) || World.pick(15) != 0)
        continue;
      const std::size_t back =
          World.pick(std::min<std::size_t>(3, Lists.size()));
      const std::size_t version = Lists.size() - back;
      it.Ledger->applyList(version, Lists[version - 1],
                           it.local(World.Clock.now()));
    }
  }

  void useHeld() {
    const TimePoint now = World.Clock.now();
    for (Daemon &it : World.Daemons) {
      std::erase_if(it.Holds, [&](const auto &entry) {
        if (entry.first > now)
          return false;
        it.Ledger->release(entry.second);
        return true;
      });
      if (!World.isActive(it))
        continue;
      const Duration length = std::chrono::milliseconds(World.pick(2500));
      it.Ledger->setDemand("held", it.Holds.size() + World.pick(30));
      // The deadline counts on the daemon's own clock.
      const auto end = static_cast<Duration::rep>(
          static_cast<double>(length.count()) * it.ClockRate);
      const TimePoint local = it.local(now);
      if (auto hold =
              it.Ledger->acquire("held", 1, local + Duration(end), local))
        it.Holds.emplace_back(now + length, std::move(*hold));
    }
  }

  std::uint64_t held() const {
    std::uint64_t sum = 0;
    for (const Daemon &it : World.Daemons)
      if (it.IsRunning)
        for (const auto &[end, hold] : it.Holds)
          sum += end > World.Clock.now() ? hold.Units : 0;
    return sum;
  }

  Fleet World;
  std::vector<MemberId> Listed;
  std::vector<std::vector<MemberId>> Lists; // version - 1 is the index
  std::vector<std::pair<TimePoint, MemberId>> Removed;
  std::uint64_t LastVm = 0;
  std::uint64_t Peak = 0;
};

ShareLedgerOptions shortHold() {
  ShareLedgerOptions options;
  options.RemovalGrace = 4s; // schedules last 14 s
  return options;
}

std::uint64_t scheduleCount(std::uint64_t usual) {
  const char *text = std::getenv("GALENAFLOW_TEST_SCHEDULES");
  return text ? std::strtoull(text, nullptr, 10) : usual;
}

} // namespace

TEST_CASE("shares use the whole limit without loans") {
  Fleet fleet(1);
  fleet.start(7);
  fleet.run(4s);
  CHECK(fleet.allowed("rate") == 100);
  CHECK(fleet.allowed("held") == 53);
}

TEST_CASE("utilisation follows demand") {
  const std::size_t n = GENERATE(6, 8);
  Fleet fleet(n);
  fleet.Limits = {{"rate", 10000}};
  fleet.start(n);
  fleet.run(4s);
  std::uint64_t served = 0;
  std::uint64_t ideal = 0;
  double worstAfterMove = 1;
  for (int move = 0; move != 40; ++move) {
    // All demand at one daemon, or spread unevenly.
    std::vector<std::uint64_t> demand(n, 0);
    if (move % 2 == 0)
      demand[fleet.pick(n)] = 12000;
    else
      for (std::uint64_t &it : demand)
        it = fleet.pick(4000);
    fleet.demand(demand);
    fleet.run(2s);
    const std::uint64_t best = perfect(demand, 10000);
    worstAfterMove =
        std::min(worstAfterMove, static_cast<double>(fleet.served(demand)) /
                                     static_cast<double>(best));
    for (int i = 0; i != 150; ++i) {
      fleet.step();
      served += fleet.served(demand);
      ideal += best;
    }
  }
  const double steady =
      static_cast<double>(served) / static_cast<double>(ideal);
  WARN(n << " daemons: steady " << steady << ", 2 s after a move "
         << worstAfterMove);
  CHECK(steady >= 0.95);
  CHECK(worstAfterMove >= 0.90);
}

TEST_CASE("a new daemon has no share before every other acknowledged") {
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

TEST_CASE("a share rises only after the hold time of a removed VM") {
  Fleet fleet(4);
  fleet.start(4);
  fleet.run(4s);
  std::vector<MemberId> ids;
  for (std::size_t i = 0; i != 3; ++i)
    ids.push_back(fleet.Daemons[i].Id);
  for (Daemon &it : fleet.Daemons)
    it.Ledger->applyList(2, ids, fleet.Clock.now());
  fleet.run(29s);
  CHECK(fleet.allowed("rate") <= 75);
  fleet.Daemons[3].IsRunning = false;
  fleet.run(3s);
  CHECK(fleet.allowed("rate") == 100);
}

TEST_CASE("the sum in use never exceeds the limit") {
  std::uint64_t peak = 0;
  for (std::uint64_t seed = 0; seed != scheduleCount(2000); ++seed) {
    Schedule schedule(seed, shortHold());
    const auto fault = schedule.run();
    INFO("seed " << seed);
    REQUIRE(fault.value_or("none") == "none");
    peak = std::max(peak, schedule.peak());
  }
  // Guards against schedules in which nothing is ever entitled.
  CHECK(peak == 100);
}

TEST_CASE("the checker sees a lender that keeps no margin") {
  const Duration margin = GENERATE(0ms, 200ms);
  Fleet fleet(5);
  fleet.Options.LenderMargin = margin;
  fleet.Step = 1ms;
  fleet.start(2);
  // The extremes of the clock rates that the margin is made for.
  fleet.Daemons[0].ClockRate = 1.05;
  fleet.Daemons[1].ClockRate = 0.95;
  for (Daemon &it : fleet.Daemons) {
    it.Ledger = std::make_unique<ShareLedger>(fleet.Options, it.Id,
                                              it.local(fleet.Clock.now()));
    it.Ledger->setLimits(fleet.Limits);
    const std::array ids{fleet.Daemons[0].Id, fleet.Daemons[1].Id};
    it.Ledger->applyList(1, ids, it.local(fleet.Clock.now()));
  }
  fleet.demand({0, 100});
  fleet.run(4s);
  REQUIRE(fleet.Daemons[0].Ledger->lent(
              "rate", fleet.Daemons[0].local(fleet.Clock.now())) == 50);
  fleet.Exchange.Faults.Loss = 1;
  std::uint64_t peak = 0;
  for (int i = 0; i != 4000; ++i) {
    fleet.step();
    peak = std::max(peak, fleet.allowed("rate"));
  }
  CHECK((peak > 100) == (margin == 0ms));
}
