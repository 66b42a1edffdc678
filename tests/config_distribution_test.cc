#include "coordination/config_distribution.h"
#include "coordination/reader_election.h"
#include "support/simulated_network.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>

using namespace galenaflow;
using namespace galenaflow::coordination;
using namespace std::chrono_literals;
using test::SimulatedNetwork;

namespace {

constexpr Duration Step = 50ms;

/// Serves reads and watches as the platform does.
struct FakePlatform {
  std::array<std::uint64_t, ConfigKeyCount> Versions{1, 1, 1, 1};
  std::string Value = "valid";
  bool IsDown = false;
  std::uint64_t Reads = 0;
  std::vector<TimePoint> ReadTimes;

  /// Returns the largest number of reads within a second.
  std::ptrdiff_t peakReads() const {
    std::ptrdiff_t peak = 0;
    for (auto first = ReadTimes.begin(), it = first; it != ReadTimes.end();
         ++it) {
      while (*it - *first >= 1s)
        ++first;
      peak = std::max(peak, it - first + 1);
    }
    return peak;
  }
};

struct SimulatedDaemon {
  ListedVm Vm;
  std::unique_ptr<ConfigDistribution> Distribution;
  std::unique_ptr<ReaderElection> Election;
  std::vector<std::pair<ReadKey, TimePoint>> OpenReads;
  std::uint64_t LastApplied = 0;
  std::uint64_t Invalid = 0;
};

struct Fleet {
  state::ManualClock Clock;
  SimulatedNetwork Network{3};
  FakePlatform Platform;
  std::vector<SimulatedDaemon> Daemons;
  std::vector<ListedVm> Live;
  bool HasDecreased = false;
  bool HasElections = true;

  explicit Fleet(std::size_t n, std::size_t dataCentres = 3) {
    for (std::size_t i = 0; i != n; ++i)
      add(i, dataCentres);
    for (SimulatedDaemon &it : Daemons)
      connect(it);
  }

  void add(std::size_t i, std::size_t dataCentres) {
    ListedVm vm{{"vm-" + std::to_string(i), "1"},
                "a" + std::to_string(i),
                "dc-" + std::to_string(i % dataCentres)};
    SimulatedDaemon daemon;
    daemon.Vm = vm;
    const auto validator = [](ConfigKey, const std::string &value) {
      state::Findings findings;
      if (value != "valid")
        findings.add("/", "invalid");
      return findings;
    };
    daemon.Distribution = std::make_unique<ConfigDistribution>(
        ConfigDistributionOptions{}, vm.Id, validator, std::mt19937_64(i),
        Clock.now());
    daemon.Election =
        std::make_unique<ReaderElection>(ReaderElectionOptions{}, vm);
    Live.push_back(vm);
    Daemons.push_back(std::move(daemon));
  }

  void connect(SimulatedDaemon &it) {
    it.Distribution->setPeers(Live);
    it.Distribution->setListedPeers(Live.size() - 1);
  }

  void executeActions(SimulatedDaemon &daemon, const ConfigActions &actions) {
    for (const ConfigAction &action : actions) {
      if (const auto *send = std::get_if<SendMessage>(&action))
        Network.send(daemon.Vm.Id, send->To, send->Body, Clock.now());
      if (const auto *read = std::get_if<ReadKey>(&action)) {
        ++Platform.Reads;
        Platform.ReadTimes.push_back(Clock.now());
        daemon.OpenReads.emplace_back(*read, Clock.now());
      }
      if (const auto *apply = std::get_if<ApplyValue>(&action);
          apply && apply->Key == ConfigKey::Plans) {
        HasDecreased |= apply->Version <= daemon.LastApplied;
        daemon.LastApplied = apply->Version;
      }
      if (std::holds_alternative<ReportInvalid>(action))
        ++daemon.Invalid;
    }
  }

  void completeReads(SimulatedDaemon &daemon) {
    auto openReads = std::move(daemon.OpenReads);
    daemon.OpenReads.clear();
    for (const auto &[read, since] : openReads) {
      const std::uint64_t version =
          Platform.Versions[static_cast<std::size_t>(read.Key)];
      ReadOutcome outcome = ReadNotModified{};
      if (Platform.IsDown)
        outcome = ReadFailed{};
      else if (read.Wait == 0s || version > read.After)
        outcome = ReadValue{version, Platform.Value};
      else if (Clock.now() - since < read.Wait) {
        daemon.OpenReads.emplace_back(read, since);
        continue;
      }
      executeActions(
          daemon, daemon.Distribution->onRead(read.Key, outcome, Clock.now()));
    }
  }

  void step() {
    Clock.advance(Step);
    Network.deliver(Clock.now(), [&](const protocol::FleetMessage &it) {
      SimulatedDaemon *from = find(it.From);
      SimulatedDaemon *to = find(it.To);
      if (from && to)
        executeActions(
            *to, to->Distribution->receive(from->Vm, it.Body, Clock.now()));
    });
    for (SimulatedDaemon &daemon : Daemons) {
      completeReads(daemon);
      if (HasElections)
        daemon.Distribution->setReader(
            daemon.Election->update(Live, Clock.now()));
      executeActions(daemon, daemon.Distribution->tick(Clock.now()));
    }
  }

  // Delivers the digest of one random peer to each daemon, as heartbeats do
  // once a second.
  void gossip() {
    for (SimulatedDaemon &daemon : Daemons) {
      const SimulatedDaemon &other = Daemons[Random() % Daemons.size()];
      executeActions(daemon,
                     daemon.Distribution->onDigest(
                         other.Vm, other.Distribution->digest(), Clock.now()));
    }
  }

  void run(Duration time) {
    for (Duration done{0}; done < time; done += Step) {
      step();
      if (done.count() % 1000000 == 0)
        gossip();
    }
  }

  SimulatedDaemon *find(const MemberId &id) {
    const std::size_t i = std::stoul(id.Vm.substr(3));
    return i < Daemons.size() ? &Daemons[i] : nullptr;
  }

  std::size_t appliedCount(std::uint64_t version) const {
    return static_cast<std::size_t>(
        std::ranges::count(Daemons, version, &SimulatedDaemon::LastApplied));
  }

  std::mt19937_64 Random{9};
};

constexpr auto Plans = static_cast<std::size_t>(ConfigKey::Plans);

} // namespace

TEST_CASE("a change reaches every daemon within 2 s despite lost messages") {
  Fleet fleet(8);
  fleet.Network.Faults.Loss = 0.1;
  fleet.run(6s);
  REQUIRE(fleet.appliedCount(1) == 8);
  for (std::uint64_t version = 2; version != 30; ++version) {
    fleet.Platform.Versions[Plans] = version;
    fleet.run(2s);
    CHECK(fleet.appliedCount(version) == 8);
  }
}

TEST_CASE("an older version never replaces a newer one") {
  Fleet fleet(6);
  fleet.Platform.Versions[Plans] = 5;
  fleet.run(5s);
  // The platform was restored from an old copy, and a peer joins again with an
  // old version.
  fleet.Platform.Versions[Plans] = 3;
  fleet.add(6, 3);
  fleet.Daemons[6].Distribution->onRead(ConfigKey::Plans, ReadValue{2, "valid"},
                                        fleet.Clock.now());
  for (SimulatedDaemon &it : fleet.Daemons)
    fleet.connect(it);
  fleet.run(120s);
  CHECK_FALSE(fleet.HasDecreased);
  CHECK(fleet.appliedCount(5) == 7);
}

TEST_CASE("an invalid version is reported and the older one stays in force") {
  Fleet fleet(6);
  fleet.run(5s);
  fleet.Platform.Value = "broken";
  fleet.Platform.Versions[Plans] = 2;
  fleet.run(10s);
  CHECK(fleet.appliedCount(1) == 6);
  std::uint64_t reports = 0;
  for (const SimulatedDaemon &it : fleet.Daemons) {
    reports += it.Invalid;
    CHECK(it.Invalid <= 1);
  }
  CHECK(reports != 0);
  fleet.Platform.Value = "valid";
  fleet.Platform.Versions[Plans] = 3;
  fleet.run(2s);
  CHECK(fleet.appliedCount(3) == 6);
}

TEST_CASE("a daemon that starts while the platform is down gets the "
          "configuration from its peers") {
  Fleet fleet(6);
  fleet.run(5s);
  fleet.Platform.IsDown = true;
  fleet.add(6, 3);
  for (SimulatedDaemon &it : fleet.Daemons)
    fleet.connect(it);
  CHECK_FALSE(fleet.Daemons[6].Distribution->isReady());
  fleet.run(4s);
  CHECK(fleet.Daemons[6].Distribution->isReady());
  CHECK(fleet.appliedCount(1) == 7);
}

TEST_CASE("without valid lists a daemon does not become ready") {
  Fleet fleet(4);
  fleet.Platform.IsDown = true;
  fleet.run(60s);
  CHECK_FALSE(fleet.Daemons[0].Distribution->isReady());
  // Backoff limits the reads: 4 keys, about 8 attempts each, 4 daemons.
  CHECK(fleet.Platform.Reads <= 160);
  fleet.Platform.IsDown = false;
  fleet.run(31s);
  CHECK(fleet.Daemons[0].Distribution->isReady());
}

TEST_CASE("the rate of reads at the platform depends on the number of data "
          "centres, not of daemons") {
  const std::size_t n = GENERATE(8, 64, 1300);
  const std::size_t dataCentres = n == 1300 ? 8 : 3;
  Fleet fleet(n, dataCentres);
  // At the target size the elections take most of the time of this simulation.
  // Reads are counted only once the elections are stable.
  fleet.run(4s);
  const std::uint64_t before = fleet.Platform.Reads;
  fleet.run(30s);
  const double rate = static_cast<double>(fleet.Platform.Reads - before) / 30;
  WARN(n << " daemons: " << rate << " reads/s, start-up " << before);
  // Each reader polls the VM list once a second and renews three watches.
  CHECK(rate <= static_cast<double>(2 * dataCentres) * 1.2);
}

// Guards against exhausting the platform's rate limit when all daemons start at
// the same time, which would also delay changes for the elected readers.
TEST_CASE("a start of all daemons at once stays within the platform's rate "
          "limit") {
  constexpr std::size_t daemonCount = 1300;
  // The platform allows 2,000 reads/s. Elections take most of the time of this
  // simulation, so they are disabled, and 100 reads/s are reserved for the
  // elected readers.
  constexpr std::ptrdiff_t allowedPerSecond = 1900;
  const bool isDownAtFirst = GENERATE(false, true);
  Fleet fleet(daemonCount, 8);
  fleet.HasElections = false;
  fleet.Platform.IsDown = isDownAtFirst;
  fleet.run(isDownAtFirst ? 8s : 4s);
  fleet.Platform.IsDown = false;
  // After a failure the next read follows within twice the start-up backoff.
  fleet.run(isDownAtFirst ? 8s : 0s);
  WARN("reads " << fleet.Platform.Reads << ", most in a second "
                << fleet.Platform.peakReads());
  CHECK(fleet.Platform.peakReads() <= allowedPerSecond);
  CHECK(std::ranges::all_of(fleet.Daemons, [](const SimulatedDaemon &it) {
    return it.Distribution->isReady();
  }));
}

TEST_CASE("a brief change of the ranking does not add readers") {
  std::vector<ListedVm> all;
  for (int i = 0; i != 6; ++i)
    all.push_back({{"vm-" + std::to_string(i), "1"}, "", "dc"});
  std::vector<ReaderElection> elections;
  elections.reserve(all.size());
  for (const ListedVm &it : all)
    elections.emplace_back(ReaderElectionOptions{}, it);
  const auto readers = [&](std::span<const ListedVm> live, TimePoint now) {
    std::size_t n = 0;
    for (ReaderElection &it : elections)
      n += it.update(live, now) ? 1 : 0;
    return n;
  };
  TimePoint now{1h};
  readers(all, now);
  REQUIRE(readers(all, now + 3s) == 2);
  std::vector<ListedVm> fewer;
  for (std::size_t i = 0; i != all.size(); ++i)
    if (!elections[i].isReader())
      fewer.push_back(all[i]);
  CHECK(readers(fewer, now + 4s) == 2);
  CHECK(readers(all, now + 5s) == 2);
  CHECK(readers(all, now + 30s) == 2);
}

// Guards against a lost pull, or a lost reply to it, that delays a change until
// the next digest.
TEST_CASE("a lost pull is retried without another announcement") {
  state::ManualClock clock;
  const auto anyValue = [](ConfigKey, const std::string &) {
    return state::Findings();
  };
  const ListedVm ahead{{"vm-1", "1"}, "a1", "dc-0"};
  const ListedVm behind{{"vm-2", "1"}, "a2", "dc-0"};
  ConfigDistribution source({}, ahead.Id, anyValue, std::mt19937_64(1),
                            clock.now());
  ConfigDistribution target({}, behind.Id, anyValue, std::mt19937_64(2),
                            clock.now());
  source.onRead(ConfigKey::Plans, ReadValue{7, "valid"}, clock.now());
  target.setPeers({ahead});
  const auto pulls = [](const ConfigActions &actions) {
    return std::count_if(actions.begin(), actions.end(), [](const auto &it) {
      const auto *message = std::get_if<SendMessage>(&it);
      return message != nullptr &&
             std::holds_alternative<protocol::ConfigPull>(message->Body);
    });
  };
  target.tick(clock.now()); // pulls once, as every starting daemon does
  CHECK(pulls(target.onDigest(ahead, source.digest(), clock.now())) == 1);
  clock.advance(100ms);
  CHECK(pulls(target.tick(clock.now())) == 0);
  clock.advance(300ms);
  CHECK(pulls(target.tick(clock.now())) == 1);
  // After the value has arrived, no further pull is sent.
  target.receive(ahead, protocol::ConfigValue{ConfigKey::Plans, 7, "valid"},
                 clock.now());
  clock.advance(300ms);
  CHECK(pulls(target.tick(clock.now())) == 0);
}
