#include "forwarding/relay_task.h"
#include "support/process.h"

#include <catch2/catch.hpp>

using namespace galenaflow;
using namespace galenaflow::forwarding;
using namespace std::chrono_literals;

namespace {

constexpr auto TestLimit = 10s;

/// As that of the platform's store client.
constexpr auto CallTimeout = 700ms;

state::RouteTablePtr makeTable(std::uint64_t version) {
  return std::make_shared<const state::RouteTable>(
      version, std::vector<state::Route>(), std::vector<state::RoutedService>(),
      state::CallerLimits());
}

/// A directory source that counts its reads and can be made unavailable.
class FakeSource final : public DirectorySource {
public:
  /// With `shared`, represents one daemon's path to that source, which can be
  /// made unavailable for this daemon alone.
  explicit FakeSource(transport::EventLoop &loop, FakeSource *shared = nullptr)
      : Loop(loop), Shared(shared) {}

  std::map<std::string, state::ReplicaRecord, std::less<>> Records;
  state::EvacuatedDataCentres Evacuations;
  std::uint64_t Epoch = 0;
  std::uint64_t Revision = 10;
  std::uint64_t Version = 1;
  bool IsUnavailable = false;
  bool IsSilent = false; ///< calls get no answer, also when this ends meanwhile
  bool HasRoutes = true; ///< false: none have been published yet
  bool IsChangeRead = true; ///< false: reads contain no change of the routes
  std::string RoutesFault;  ///< why the routes cannot be read, or empty
  int RoutesReads = 0;
  int Reads = 0;

  /// Calls are answered after this time, and reads fail after CallTimeout.
  state::Duration Delay{0};

  ~FakeSource() override {
    Loop.cancel(CallTimer);
    Loop.cancel(ReadTimer);
  }

  bool
  hasAnswer(const std::optional<state::DirectoryPosition> &) const override {
    return HasLateAnswer;
  }
  void onLateAnswer(const std::function<void()> &callback) override {
    LateAnswerCallback = callback;
  }

  void readAll(DirectoryCallback callback) override {
    ++Reads;
    if (Shared != nullptr && Shared->Delay > state::Duration(0) &&
        !std::exchange(HasLateAnswer, false)) {
      readSlowly(std::move(callback));
      return;
    }
    if (IsSilent) {
      Loop.schedule(CallTimeout,
                    [callback] { callback(tl::unexpected(DirectoryFault{})); });
      return;
    }
    if (Shared != nullptr && !IsUnavailable) {
      Shared->readAll(std::move(callback));
      return;
    }
    Loop.post([this, callback] {
      if (IsUnavailable) {
        callback(tl::unexpected(DirectoryFault{}));
        return;
      }
      DirectoryContent content;
      content.IsFull = true;
      for (const auto &[id, record] : Records)
        content.Changes.push_back({id, false, record});
      for (const std::string &name : Evacuations)
        content.Evacuations.push_back({name, true});
      if (IsChangeRead)
        addRoutes(content);
      content.Position = {Epoch, Revision};
      callback(std::move(content));
    });
  }
  void readRoutes(DirectoryCallback callback) override {
    ++RoutesReads;
    if (Shared != nullptr && !IsUnavailable) {
      Shared->readRoutes(std::move(callback));
      return;
    }
    Loop.post([this, callback] {
      DirectoryContent content;
      addRoutes(content);
      callback(std::move(content));
    });
  }
  void readChanges(const state::DirectoryPosition &,
                   DirectoryCallback callback) override {
    readAll(std::move(callback));
  }
  state::RouteTablePtr decodeRoutes(std::string_view document) const override {
    const auto version =
        std::strtoull(std::string(document).c_str(), nullptr, 10);
    return version == 0 ? nullptr : makeTable(version);
  }

  void put(const std::string &id, bool draining = false) {
    state::ReplicaRecord record;
    record.Id = id;
    record.Service = "s";
    record.Address = "10.0.0.1:80";
    record.Draining = draining;
    Records[id] = record;
    ++Revision;
  }

private:
  void addRoutes(DirectoryContent &content) const {
    content.Published =
        PublishedRoutes{state::DirectoryPosition{Epoch, Revision}, RoutesFault};
    if (!HasRoutes || !RoutesFault.empty())
      return;
    content.Document = std::to_string(Version);
    content.Table = makeTable(Version);
  }

  /// As the platform's store client: the call stays open after the read.
  void readSlowly(DirectoryCallback callback) {
    Waiting = std::move(callback);
    Loop.cancel(ReadTimer);
    ReadTimer = Loop.schedule(CallTimeout, [this] {
      if (Waiting)
        std::exchange(Waiting, nullptr)(tl::unexpected(DirectoryFault{}));
    });
    if (!std::exchange(IsCallOpen, true))
      CallTimer = Loop.schedule(Shared->Delay, [this] { onAnswer(); });
  }
  void onAnswer() {
    IsCallOpen = false;
    if (Waiting) {
      Shared->readAll(std::exchange(Waiting, nullptr));
      return;
    }
    HasLateAnswer = true;
    LateAnswerCallback();
  }

  transport::EventLoop &Loop;
  FakeSource *Shared;
  DirectoryCallback Waiting;
  bool IsCallOpen = false;
  bool HasLateAnswer = false;
  std::function<void()> LateAnswerCallback;
  transport::TimerId CallTimer = 0;
  transport::TimerId ReadTimer = 0;
};

constexpr const char *FleetKey = "a key of the deployment, long enough";

/// The parts of a daemon that read and relay the directory.
struct Daemon {
  Daemon(transport::EventLoop &loop, FakeSource &shared,
         const std::string &address, std::uint64_t seed,
         const std::string &key = FleetKey,
         const coordination::DirectoryReaderOptions &reads = {})
      : Source(loop, &shared),
        Relay(loop, Source, makeOptions(address, seed, key), Metrics),
        Directory(loop, Relay, reads, std::mt19937_64(seed),
                  {[this](const auto &table) { Version = table->version(); },
                   [this](const auto &records) { Records = records; },
                   [this](const DirectoryView &view) {
                     Relay.onView(view);
                     Age = view.Age;
                   },
                   [this](const auto &names) { Evacuations = names; }},
                  Metrics) {
    Relay.onRelayAvailable([this] { Directory.requestRead(); });
    Relay.onRouteVersion([this](std::uint64_t version) {
      Directory.recordKnownVersion(version);
    });
    Relay.onNewerRoutes(
        [this](const state::RouteTablePtr &table, std::string document) {
          Directory.adoptRoutes(table, std::move(document));
        });
    REQUIRE(Relay.listen(*transport::parseSocketAddress(address)));
  }

  static RelayTaskOptions makeOptions(const std::string &address,
                                      std::uint64_t seed,
                                      const std::string &key) {
    RelayTaskOptions options;
    options.Network.Session.Self = {"vm" + std::to_string(seed), "1", "dc",
                                    address};
    options.Network.Session.Keys = {key};
    options.Network.Seed = seed;
    // The fifth VM and later ones have about four times the CPU of the others.
    options.Millicores = seed < 5 ? 120 : 500;
    return options;
  }

  FakeSource Source;
  state::MetricRegistry Metrics;
  std::uint64_t Version = 0;
  std::map<std::string, state::ReplicaRecord, std::less<>> Records;
  state::EvacuatedDataCentres Evacuations;
  state::Duration Age{0};
  RelayTask Relay;
  DirectoryTask Directory;
};

struct Fleet {
  transport::EventLoop Loop;
  FakeSource Source{Loop};
  std::vector<std::string> Addresses;
  std::vector<std::unique_ptr<Daemon>> Daemons;

  explicit Fleet(std::size_t n, std::size_t relays = 3) {
    Source.put("a");
    Source.put("b");
    for (std::size_t i = 0; i != n; ++i)
      Addresses.push_back(support::reserveAddress());
    std::sort(Addresses.begin(), Addresses.end());
    for (std::size_t i = 0; i != n; ++i)
      add(i);
    for (std::size_t i = 0; i != n; ++i)
      start(i, relays);
  }
  void add(std::size_t i) {
    Daemons.push_back(
        std::make_unique<Daemon>(Loop, Source, Addresses[i], i + 1));
  }
  void start(std::size_t i, std::size_t relays) {
    Daemons[i]->Relay.setRelays(
        {Addresses.begin(),
         Addresses.begin() + static_cast<std::ptrdiff_t>(relays)});
    Daemons[i]->Directory.start();
  }
  /// Replaces a daemon by one that has no view and reads at these relays.
  void restart(std::size_t i, const std::vector<std::string> &relays) {
    Daemons[i].reset();
    Daemons[i] = std::make_unique<Daemon>(Loop, Source, Addresses[i], i + 1);
    Daemons[i]->Relay.setRelays(relays);
    Daemons[i]->Directory.start();
  }
  bool runUntilAll(const std::function<bool(const Daemon &)> &check,
                   state::Duration limit = TestLimit) {
    return Loop.runUntil(
        [&] {
          return std::all_of(
              Daemons.begin(), Daemons.end(),
              [&](const auto &it) { return it == nullptr || check(*it); });
        },
        limit);
  }
  void run(state::Duration d) {
    Loop.runUntil([] { return false; }, d);
  }
};

/// A relay that records the requests.
struct StandInRelay {
  explicit StandInRelay(transport::EventLoop &loop)
      : Loop(loop),
        Network(
            loop, makeOptions(Address),
            {[](const auto &) {}, [](const auto &, auto) {},
             [this](const transport::PeerIdentity &peer, std::uint16_t,
                    std::string_view payload) { onMessage(peer, payload); }}) {
    REQUIRE(Network.listen(*transport::parseSocketAddress(Address)));
  }
  static transport::PeerNetworkOptions makeOptions(const std::string &address) {
    transport::PeerNetworkOptions options;
    options.Session.Self = {"relay", "1", "dc", address};
    options.Session.Keys = {FleetKey};
    return options;
  }
  void onMessage(const transport::PeerIdentity &peer,
                 std::string_view payload) {
    const auto request = protocol::decodeDirectoryRequest(payload);
    if (!request)
      return;
    Requests.push_back(*request);
    if (!Reply)
      return;
    Reply->Sequence = request->Sequence;
    Loop.schedule(Delay, [this, peer, reply = *Reply] {
      const auto type =
          static_cast<std::uint16_t>(protocol::DirectoryMessageType::Reply);
      Network.send(peer, type, protocol::encodeDirectoryReply(reply));
    });
  }

  /// Replies to requests from now on with a view that contains the replica "c"
  /// and version 2 of the routes.
  void reply(state::Duration delay) {
    Delay = delay;
    Reply.emplace();
    Reply->HasContent = true;
    Reply->Log = 7;
    Reply->Index = 5;
    Reply->Position = {0, 40};
    Reply->Path = {Address};
    Reply->IsFull = true;
    Reply->Evacuations.emplace();
    state::ReplicaRecord record;
    record.Id = "c";
    record.Service = "s";
    record.Address = "10.0.0.1:80";
    Reply->Changes = {{"c", false, record}};
    Reply->RouteVersion = 2;
    Reply->Routes = "2";
  }

  transport::EventLoop &Loop;
  std::string Address = support::reserveAddress();
  std::vector<protocol::DirectoryRequest> Requests;
  std::optional<protocol::DirectoryReply> Reply; ///< null: it does not reply
  state::Duration Delay{0};
  transport::PeerNetwork Network;
};

} // namespace

// Guards against reads at the source in proportion to the number of daemons:
// the platform charges for each of them.
TEST_CASE("the reads at the source do not grow with the number of daemons") {
  Fleet fleet(8);
  REQUIRE(fleet.runUntilAll([](const Daemon &it) { return it.Version == 1; }));
  // Reads are more frequent after the start, also at the source: one by each
  // daemon, and 12 by the relay that reads there.
  fleet.run(3200ms);
  const int before = fleet.Source.Reads;
  CHECK(before <= 8 + 12 + 2);
  fleet.run(4s);
  CHECK(fleet.Source.Reads - before <= 6);
  CHECK(fleet.runUntilAll(
      [](const Daemon &it) { return it.Relay.daemonCount() == 8; }));
}

// Guards against changes that are delayed too long on the way through relays.
TEST_CASE("a change reaches every daemon within 1.5 s") {
  Fleet fleet(6);
  REQUIRE(fleet.runUntilAll([](const Daemon &it) { return it.Version == 1; }));
  fleet.run(1500ms);
  fleet.Source.put("a", true);
  fleet.Source.Records.erase("b");
  fleet.Source.put("c");
  ++fleet.Source.Version;
  CHECK(fleet.runUntilAll(
      [](const Daemon &it) {
        return it.Version == 2 && it.Records.size() == 2 &&
               it.Records.contains("c") && it.Records.at("a").Draining;
      },
      1500ms));
}

// Guards against daemons whose view becomes too old when all relays have
// failed.
TEST_CASE("without relays, every daemon reads at the source in time") {
  Fleet fleet(5);
  REQUIRE(fleet.runUntilAll([](const Daemon &it) { return it.Version == 1; }));
  fleet.run(1500ms);
  for (std::size_t i = 0; i != 3; ++i)
    fleet.Daemons[i].reset();
  fleet.Source.put("c");
  CHECK(fleet.runUntilAll(
      [](const Daemon &it) { return it.Records.size() == 3; }, 2800ms));
  CHECK(fleet.runUntilAll([](const Daemon &it) { return it.Age < 3s; }, 1ms));
}

// Guards against daemons that repeatedly read at the source because their
// preferred relay is down, although another relay is available.
TEST_CASE("a relay that is down causes no reads at the source") {
  Fleet fleet(8);
  REQUIRE(fleet.runUntilAll([](const Daemon &it) { return it.Version == 1; }));
  fleet.run(1500ms);
  fleet.Daemons[1].reset();
  fleet.Daemons[2].reset();
  fleet.run(4s);
  const int before = fleet.Source.Reads;
  fleet.run(6s);
  // These are the first relay's own reads, about one a second.
  CHECK(fleet.Source.Reads - before <= 7);
}

// Guards against daemons that cannot start during an outage of the source.
// Guards against reads of the whole directory by each daemon of a fleet that
// starts before the first routes are published.
TEST_CASE("daemons that start before the first routes get them from relays") {
  Fleet fleet(0);
  fleet.Source.HasRoutes = false;
  for (int i = 0; i != 12; ++i)
    fleet.Addresses.push_back(support::reserveAddress());
  std::sort(fleet.Addresses.begin(), fleet.Addresses.end());
  for (std::size_t i = 0; i != fleet.Addresses.size(); ++i)
    fleet.add(i);
  for (std::size_t i = 0; i != fleet.Addresses.size(); ++i)
    fleet.start(i, 3);
  fleet.Loop.schedule(500ms, [&] { fleet.Source.HasRoutes = true; });
  REQUIRE(fleet.runUntilAll([](const Daemon &it) { return it.Version == 1; }));
  for (std::size_t i = 3; i != fleet.Daemons.size(); ++i)
    CHECK(fleet.Daemons[i]->Source.Reads <= 2);
}

// Guards against a fleet that starts again after a stop, with its relays last:
// the other daemons found no executors for two seconds.
TEST_CASE("a daemon reads from a relay as soon as the link to it is up") {
  Fleet fleet(0);
  fleet.Addresses = {support::reserveAddress(), support::reserveAddress()};
  coordination::DirectoryReaderOptions rare;
  rare.Period = 1h;
  rare.StartupDuration = 0s;
  Daemon daemon(fleet.Loop, fleet.Source, fleet.Addresses[1], 2, FleetKey,
                rare);
  daemon.Relay.setRelays({fleet.Addresses[0]});
  daemon.Directory.start();
  REQUIRE(fleet.Loop.runUntil([&] { return daemon.Version != 0; }, TestLimit));
  Daemon relay(fleet.Loop, fleet.Source, fleet.Addresses[0], 1);
  relay.Relay.setRelays({fleet.Addresses[0]});
  relay.Directory.start();
  CHECK(fleet.Loop.runUntil([&] { return daemon.Relay.daemonCount() == 2; },
                            TestLimit));
  CHECK(daemon.Source.Reads == 1);
}

TEST_CASE("a daemon that starts during an outage of the source reads from a "
          "relay") {
  Fleet fleet(3, 1);
  REQUIRE(fleet.runUntilAll([](const Daemon &it) { return it.Version == 1; }));
  fleet.run(1200ms);
  fleet.Source.IsUnavailable = true;
  fleet.Addresses.push_back(support::reserveAddress());
  fleet.add(3);
  fleet.start(3, 1);
  CHECK(fleet.Loop.runUntil(
      [&] { return fleet.Daemons[3]->Records.size() == 2; }, 3s));
}

// Guards against views that lose all replicas in an outage of the source, or
// that are not updated after it.
TEST_CASE("views are kept in an outage of the source and updated after it") {
  Fleet fleet(4);
  REQUIRE(fleet.runUntilAll([](const Daemon &it) { return it.Version == 1; }));
  fleet.Source.IsUnavailable = true;
  fleet.run(4s);
  CHECK(fleet.runUntilAll(
      [](const Daemon &it) { return it.Records.size() == 2; }));
  fleet.Source.IsUnavailable = false;
  fleet.Source.put("c");
  CHECK(fleet.runUntilAll(
      [](const Daemon &it) { return it.Records.size() == 3; }, 4s));
}

// Guards against calls that were made in the last moments of a silent outage
// and end only after it: a change that is made when the source answers again
// must take effect within the operator's limit.
TEST_CASE("calls that a silent outage has swallowed do not delay the changes "
          "after it") {
  const auto outage = GENERATE(3300ms, 6400ms);
  Fleet fleet(6);
  REQUIRE(fleet.runUntilAll([](const Daemon &it) { return it.Version == 1; }));
  fleet.run(3200ms);
  fleet.Source.IsSilent = true;
  fleet.run(outage);
  const int reads = fleet.Source.Reads;
  REQUIRE(fleet.Loop.runUntil([&] { return fleet.Source.Reads > reads; }, 5s));
  fleet.Source.IsSilent = false;
  ++fleet.Source.Version;
  fleet.Source.put("c");
  CHECK(fleet.runUntilAll(
      [](const Daemon &it) {
        return it.Version == 2 && it.Records.contains("c");
      },
      3s));
}

// Guards against an answer that arrives after its read has failed and is not
// used, because the daemon waits for a relay that does not reply.
TEST_CASE("a late answer of the source is used at once") {
  Fleet fleet(1, 0);
  REQUIRE(fleet.runUntilAll([](const Daemon &it) { return it.Version == 1; }));
  fleet.run(20ms);
  StandInRelay relay(fleet.Loop);
  fleet.Source.Delay = 1500ms;
  fleet.restart(0, {relay.Address});
  CHECK(fleet.runUntilAll([](const Daemon &it) { return it.Version == 1; },
                          1900ms));
  CHECK(relay.Requests.size() == 1);
}

// Guards against a daemon that stays without a view for good, because each
// reply of its relay comes after the limit and the source does not answer.
TEST_CASE("a late reply of a relay is used while the source does not answer") {
  // The second one comes between two reads at the source or in the later one.
  const auto delay = GENERATE(1800ms, 2600ms);
  Fleet fleet(1, 0);
  REQUIRE(fleet.runUntilAll([](const Daemon &it) { return it.Version == 1; }));
  fleet.run(20ms);
  StandInRelay relay(fleet.Loop);
  relay.reply(delay);
  fleet.Source.IsSilent = true;
  fleet.restart(0, {relay.Address});
  CHECK(fleet.runUntilAll(
      [](const Daemon &it) {
        return it.Version == 2 && it.Records.contains("c");
      },
      6s));
}

// Guards against daemons that stay without changes, because each read is given
// up before its answer.
TEST_CASE("changes reach all daemons while the source answers after the limit "
          "of a read") {
  const auto delay = GENERATE(800ms, 2500ms);
  Fleet fleet(6);
  REQUIRE(fleet.runUntilAll([](const Daemon &it) { return it.Version == 1; }));
  fleet.Source.Delay = delay;
  ++fleet.Source.Version;
  fleet.Source.put("c");
  CHECK(fleet.runUntilAll(
      [](const Daemon &it) {
        return it.Version == 2 && it.Records.contains("c");
      },
      6s));
}

// Guards against a relay whose own outage delays a removal at other daemons:
// the relay keeps expired records for a grace period, and other daemons must
// not.
TEST_CASE("a removal during a relay's outage reaches the other daemons in "
          "time") {
  Fleet fleet(4, 1);
  REQUIRE(fleet.runUntilAll([](const Daemon &it) { return it.Version == 1; }));
  fleet.run(1200ms);
  fleet.Daemons[0]->Source.IsUnavailable = true;
  fleet.run(4s);
  fleet.Source.Records.erase("b");
  ++fleet.Source.Revision;
  fleet.Daemons[0]->Source.IsUnavailable = false;
  CHECK(fleet.Loop.runUntil(
      [&] {
        return std::all_of(
            fleet.Daemons.begin() + 1, fleet.Daemons.end(),
            [](const auto &it) { return it->Records.size() == 1; });
      },
      2200ms));
}

// Guards against daemons that do not receive the list of executors, or that
// keep a failed one in it.
TEST_CASE("every daemon receives the list of daemons with more CPU") {
  Fleet fleet(6);
  REQUIRE(fleet.runUntilAll([](const Daemon &it) { return it.Version == 1; }));
  CHECK(fleet.runUntilAll(
      [&](const Daemon &it) {
        const auto &executors = it.Relay.executors();
        return executors.size() == 2 &&
               executors[0].Address == fleet.Addresses[4] &&
               executors[1].Address == fleet.Addresses[5];
      },
      6s));
  fleet.Daemons[5].reset();
  CHECK(fleet.runUntilAll(
      [](const Daemon &it) { return it.Relay.executors().size() == 1; }, 8s));
}

// Guards against a fleet that reads at the source, each daemon by itself, until
// the revisions of a restored source have caught up.
TEST_CASE("relays are used again when the source was restored with smaller "
          "revisions") {
  Fleet fleet(6);
  fleet.Loop.runUntil([] { return false; }, 3s);
  ++fleet.Source.Epoch;
  fleet.Source.Revision = 3;
  fleet.Source.Version = 9;
  fleet.Loop.runUntil([] { return false; }, 3s);
  for (const auto &daemon : fleet.Daemons)
    CHECK(daemon->Version == 9);
  const int before = fleet.Source.Reads;
  fleet.Loop.runUntil([] { return false; }, 4s);
  CHECK(fleet.Source.Reads - before <= 6);
}

// Guards against relays that keep old routes and replicas while the source
// refuses their reads and answers those of other daemons.
TEST_CASE("relays that the source refuses follow the other daemons") {
  Fleet fleet(6);
  REQUIRE(fleet.runUntilAll([](const Daemon &it) { return it.Version == 1; }));
  fleet.run(1500ms);
  for (std::size_t i = 0; i != 3; ++i)
    fleet.Daemons[i]->Source.IsUnavailable = true;
  fleet.run(3s);
  fleet.Source.put("a", true);
  fleet.Source.put("c");
  ++fleet.Source.Version;
  CHECK(fleet.runUntilAll(
      [](const Daemon &it) {
        return it.Version == 2 && it.Records.size() == 3 &&
               it.Records.at("a").Draining;
      },
      6s));
}

// Guards against a relay that starts from a restored copy and runs requests by
// its routes although the other daemons know newer ones.
TEST_CASE("a relay that starts from an old copy gets the newer routes of the "
          "other daemons") {
  Fleet fleet(4, 1);
  fleet.Source.Version = 5;
  REQUIRE(fleet.runUntilAll([](const Daemon &it) { return it.Version == 5; }));
  fleet.run(1500ms);
  fleet.Daemons[0].reset();
  ++fleet.Source.Epoch;
  fleet.Source.Revision = 3;
  fleet.Source.Version = 2;
  fleet.run(200ms);
  fleet.Daemons[0] =
      std::make_unique<Daemon>(fleet.Loop, fleet.Source, fleet.Addresses[0], 1);
  fleet.start(0, 1);
  CHECK(
      fleet.runUntilAll([](const Daemon &it) { return it.Version == 5; }, 4s));
}

// Guards against a fleet that never uses a version, because the one daemon that
// reads the source could not read it, and against an operator who cannot see
// it.
TEST_CASE(
    "routes that the relay cannot read are reported and read again there") {
  Fleet fleet(4, 1);
  REQUIRE(fleet.runUntilAll([](const Daemon &it) { return it.Version == 1; }));
  fleet.run(1500ms);
  const auto unreadable = [&](std::size_t i) {
    const std::string metrics = fleet.Daemons[i]->Metrics.exposition();
    return metrics.find("galenaflow_route_unreadable 1\n") != std::string::npos;
  };
  fleet.Source.Version = 2;
  fleet.Source.RoutesFault = "got no value";
  ++fleet.Source.Revision;
  REQUIRE(fleet.Loop.runUntil([&] { return unreadable(0); }, TestLimit));
  CHECK(fleet.Daemons[0]->Version == 1);
  // The change has been read; from now on only a read of the routes has it.
  fleet.Source.IsChangeRead = false;
  fleet.Source.RoutesFault.clear();
  REQUIRE(fleet.runUntilAll([](const Daemon &it) { return it.Version == 2; }));
  CHECK_FALSE(unreadable(0));
  CHECK(fleet.Source.RoutesReads == 1);
}

// Guards against an operator who cannot see that a VM lacks the newest routes,
// because the daemon reports only the version in force.
TEST_CASE("a daemon that cannot read newer routes reports their version") {
  Fleet fleet(3, 1);
  REQUIRE(fleet.runUntilAll([](const Daemon &it) { return it.Version == 1; }));
  fleet.run(1500ms);
  // The relay's copy lags behind the source that the others read.
  FakeSource old(fleet.Loop);
  old.Records = fleet.Source.Records;
  old.Revision = fleet.Source.Revision;
  fleet.Daemons[0].reset();
  fleet.Daemons[0] =
      std::make_unique<Daemon>(fleet.Loop, old, fleet.Addresses[0], 1);
  fleet.Daemons[0]->Relay.onNewerRoutes(
      [](const state::RouteTablePtr &, const std::string &) {});
  ++fleet.Source.Version;
  fleet.start(0, 1);
  REQUIRE(fleet.Loop.runUntil(
      [&] {
        return fleet.Daemons[1]->Version == 2 && fleet.Daemons[2]->Version == 2;
      },
      TestLimit));
  fleet.run(3s);
  CHECK(fleet.Daemons[0]->Version == 1);
  const std::string metrics = fleet.Daemons[0]->Metrics.exposition();
  CHECK(metrics.find("galenaflow_route_version 1\n") != std::string::npos);
  CHECK(metrics.find("galenaflow_route_version_known 2\n") !=
        std::string::npos);
}

// Guards against a daemon that keeps to a limit that has ended, because it is
// not due to send a request to the replica.
TEST_CASE("all daemons learn a limit and its end from the one that was told") {
  Fleet fleet(6);
  std::vector<double> known(fleet.Daemons.size(), 0);
  for (std::size_t i = 0; i != fleet.Daemons.size(); ++i)
    fleet.Daemons[i]->Relay.onLimitChange(
        [&known, i](std::string_view, double limit) { known[i] = limit; });
  const auto allKnow = [&known](double limit) {
    return std::all_of(known.begin(), known.end(),
                       [limit](double it) { return it == limit; });
  };
  fleet.Loop.runUntil([] { return false; }, 3s);
  fleet.Daemons[5]->Relay.reportLimit("a", 4.5);
  CHECK(fleet.Loop.runUntil([&] { return allKnow(4.5); }, 6s));
  fleet.Daemons[3]->Relay.reportLimit("a", 0);
  CHECK(fleet.Loop.runUntil([&] { return allKnow(0); }, 6s));
}

// Guards against daemons that each read at the source, unnoticed, because their
// keys differ.
TEST_CASE("a daemon with another key is refused and counted") {
  Fleet fleet(2, 1);
  fleet.Addresses.push_back(support::reserveAddress());
  fleet.Daemons.push_back(
      std::make_unique<Daemon>(fleet.Loop, fleet.Source, fleet.Addresses[2], 3,
                               "a key of another deployment, as long"));
  fleet.start(2, 1);
  CHECK(fleet.Loop.runUntil(
      [&] {
        return fleet.Daemons[0]
                   ->Metrics.counter("galenaflow_peers_refused_total", "")
                   .value() != 0;
      },
      TestLimit));
  CHECK(fleet.Loop.runUntil(
      [&] { return fleet.Daemons[0]->Relay.daemonCount() == 2; }, TestLimit));
  CHECK(fleet.Daemons[2]->Relay.daemonCount() == 0);
}

// Guards against evacuations that take effect at some daemons only, or longer
// than the operator wants.
TEST_CASE("an evacuation and its end reach every daemon within 1.5 s") {
  Fleet fleet(6);
  REQUIRE(fleet.runUntilAll([](const Daemon &it) { return it.Version == 1; }));
  fleet.run(2500ms);
  fleet.Source.Evacuations = {"a"};
  ++fleet.Source.Revision;
  CHECK(fleet.runUntilAll(
      [](const Daemon &it) {
        return it.Evacuations == state::EvacuatedDataCentres{"a"};
      },
      1500ms));
  fleet.Source.Evacuations = {"b"};
  ++fleet.Source.Revision;
  CHECK(fleet.runUntilAll(
      [](const Daemon &it) {
        return it.Evacuations == state::EvacuatedDataCentres{"b"};
      },
      1500ms));
}

// Guards against a daemon that is ready although it does not know which data
// centres are evacuated.
TEST_CASE("a daemon that starts in an outage of the source gets the "
          "evacuations from a relay") {
  Fleet fleet(3, 1);
  fleet.Source.Evacuations = {"a"};
  REQUIRE(fleet.runUntilAll(
      [](const Daemon &it) { return it.Evacuations.size() == 1; }));
  fleet.run(1200ms);
  fleet.Source.IsUnavailable = true;
  fleet.Addresses.push_back(support::reserveAddress());
  fleet.add(3);
  fleet.start(3, 1);
  bool wasReadyWithout = false;
  CHECK(fleet.Loop.runUntil(
      [&] {
        const Daemon &it = *fleet.Daemons[3];
        wasReadyWithout |= it.Directory.isReady() && it.Evacuations.empty();
        return it.Directory.isReady();
      },
      3s));
  CHECK_FALSE(wasReadyWithout);
}

// Guards against evacuations that end because a relay of an older version does
// not know of them.
TEST_CASE("a reply without evacuations is not used") {
  transport::EventLoop loop;
  FakeSource source(loop);
  source.put("a");
  source.Evacuations = {"x"};
  StandInRelay relay(loop);
  relay.reply(0ms);
  relay.Reply->Evacuations.reset();
  Daemon daemon(loop, source, support::reserveAddress(), 1);
  daemon.Relay.setRelays({relay.Address});
  daemon.Directory.start();
  CHECK(loop.runUntil([&] { return relay.Requests.size() >= 2; }, TestLimit));
  loop.runUntil([] { return false; }, 300ms);
  CHECK(daemon.Evacuations == state::EvacuatedDataCentres{"x"});
  CHECK_FALSE(daemon.Records.contains("c"));
  CHECK(daemon.Records.contains("a"));
  // The source is read instead.
  source.Evacuations = {"y"};
  CHECK(loop.runUntil(
      [&] { return daemon.Evacuations == state::EvacuatedDataCentres{"y"}; },
      2s));
}

// Guards against an older view that brings an ended evacuation back, or ends
// one, after the daemon has lost the history.
TEST_CASE("a relay that is behind does not replace the evacuations") {
  transport::EventLoop loop;
  FakeSource source(loop);
  source.put("a");
  source.Revision = 60;
  source.Evacuations = {"x"};
  StandInRelay relay(loop);
  relay.reply(0ms); // at revision 40, without evacuations
  Daemon daemon(loop, source, support::reserveAddress(), 1);
  daemon.Relay.setRelays({relay.Address});
  daemon.Directory.start();
  bool wasEnded = false;
  bool wasSet = false;
  loop.runUntil(
      [&] {
        wasSet |= !daemon.Evacuations.empty();
        wasEnded |= wasSet && daemon.Evacuations.empty();
        return relay.Requests.size() >= 3;
      },
      TestLimit);
  CHECK(wasSet);
  CHECK_FALSE(wasEnded);
  bool hasEnded = false;
  daemon.Relay.readAll([&](const DirectoryResult &result) {
    hasEnded = true;
    REQUIRE(result);
    CHECK(result->Position == state::DirectoryPosition{0, 60});
  });
  CHECK(loop.runUntil([&] { return hasEnded; }, TestLimit));
}
