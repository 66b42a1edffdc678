#include "coordination/directory_relay.h"
#include "forwarding/directory_task.h"
#include "protocol/directory_messages.h"

#include <catch2/catch.hpp>
#include <deque>

using namespace galenaflow;
using namespace galenaflow::forwarding;
using namespace std::chrono_literals;

// Evacuations on their way from the source of the directory to its listener,
// and in the messages between daemons.

namespace {

using state::EvacuatedDataCentres;

/// Answers reads with the next of Answers; without one, reads fail.
struct ScriptedSource final : DirectorySource {
  explicit ScriptedSource(transport::EventLoop &loop) : Loop(loop) {}
  void readAll(DirectoryCallback callback) override {
    ++FullReads;
    answer(std::move(callback));
  }
  void readChanges(const state::DirectoryPosition &,
                   DirectoryCallback callback) override {
    answer(std::move(callback));
  }
  void readRoutes(DirectoryCallback) override {}
  state::RouteTablePtr decodeRoutes(std::string_view) const override {
    return nullptr;
  }
  void answer(DirectoryCallback callback) {
    DirectoryResult result = tl::unexpected(DirectoryFault{});
    if (!Answers.empty()) {
      result = Answers.front();
      Answers.pop_front();
    }
    Loop.post([callback = std::move(callback), result] { callback(result); });
  }
  transport::EventLoop &Loop;
  std::deque<DirectoryResult> Answers;
  int FullReads = 0;
};

DirectoryContent content(std::uint64_t epoch, std::uint64_t revision,
                         std::vector<state::EvacuationChange> evacuations,
                         bool isFull) {
  DirectoryContent it;
  it.IsFull = isFull;
  it.Evacuations = std::move(evacuations);
  it.Position = {epoch, revision};
  it.Table = std::make_shared<const state::RouteTable>(
      1, std::vector<state::Route>(), std::vector<state::RoutedService>(),
      state::CallerLimits());
  return it;
}

/// A directory task whose reads are answered with what the test adds.
struct Reader {
  transport::EventLoop Loop;
  ScriptedSource Source{Loop};
  state::MetricRegistry Metrics;
  std::vector<EvacuatedDataCentres> Changes; ///< as the listener was told
  bool WasReadWithoutEvacuations = false;
  DirectoryTask Task;

  Reader()
      : Task(
            Loop, Source, options(), std::mt19937_64(1),
            {[](const auto &) {}, [](const auto &) {},
             [this](const DirectoryView &view) {
               WasReadWithoutEvacuations |= view.Evacuations == nullptr;
             },
             [this](const EvacuatedDataCentres &it) { Changes.push_back(it); }},
            Metrics) {}

  static coordination::DirectoryReaderOptions options() {
    coordination::DirectoryReaderOptions it;
    it.Period = 5ms;
    it.StartupPeriod = 5ms;
    it.MinBackoff = 5ms;
    it.MaxBackoff = 5ms;
    return it;
  }
  void add(const DirectoryResult &result) { Source.Answers.push_back(result); }
  void run() {
    Task.requestRead();
    Loop.runUntil([this] { return Source.Answers.empty(); }, 5s);
    Loop.runUntil([] { return false; }, 30ms);
  }
};

} // namespace

// Guards against a full read that leaves an evacuation in force whose item was
// removed, or that ends one whose item is there.
TEST_CASE("a full read replaces the evacuations, and changes add to them") {
  Reader reader;
  reader.Task.start();
  CHECK_FALSE(reader.Task.isReady());
  reader.add(content(1, 10, {{"a", true}, {"b", true}}, true));
  reader.run();
  CHECK(reader.Task.isReady());
  CHECK_FALSE(reader.WasReadWithoutEvacuations);
  REQUIRE(reader.Changes.size() == 1);
  CHECK(reader.Changes.back() == EvacuatedDataCentres{"a", "b"});
  reader.add(content(1, 11, {{"b", false}, {"c", true}}, false));
  reader.run();
  CHECK(reader.Changes.back() == EvacuatedDataCentres{"a", "c"});
  const int fullReads = reader.Source.FullReads;
  reader.add(
      tl::unexpected(DirectoryFault{DirectoryFaultKind::HistoryLost, ""}));
  reader.add(content(1, 15, {{"c", true}}, true));
  reader.run();
  CHECK(reader.Source.FullReads == fullReads + 1);
  REQUIRE(reader.Changes.size() == 3);
  CHECK(reader.Changes.back() == EvacuatedDataCentres{"c"});
}

// Guards against listeners that are told of an evacuation that was over before
// it was read, and close connections for nothing.
TEST_CASE("an evacuation that is set and removed in one read changes nothing") {
  Reader reader;
  reader.Task.start();
  reader.add(content(1, 10, {}, true));
  reader.add(content(1, 12, {{"a", true}, {"a", false}}, false));
  reader.add(content(1, 13, {{"gone", false}}, false));
  reader.run();
  CHECK(reader.Task.isReady());
  CHECK(reader.Changes.empty());
  reader.add(content(1, 14, {{"a", true}, {"a", false}, {"a", true}}, false));
  reader.run();
  REQUIRE(reader.Changes.size() == 1);
  CHECK(reader.Changes.back() == EvacuatedDataCentres{"a"});
}

// Guards against an evacuation that ends because the store cannot be read, and
// one that stays after the store has lost it.
TEST_CASE("an outage keeps the evacuations, and a restored store replaces "
          "them") {
  Reader reader;
  reader.Task.start();
  reader.add(content(1, 10, {{"a", true}}, true));
  reader.run();
  for (int i = 0; i != 5; ++i)
    reader.add(tl::unexpected(DirectoryFault{}));
  reader.run();
  CHECK(reader.Changes.size() == 1);
  reader.add(
      tl::unexpected(DirectoryFault{DirectoryFaultKind::HistoryLost, ""}));
  reader.add(content(2, 4, {{"b", true}}, true));
  reader.run();
  REQUIRE(reader.Changes.size() == 2);
  CHECK(reader.Changes.back() == EvacuatedDataCentres{"b"});
}

// Guards against a set that no message could carry.
TEST_CASE("more evacuations than the limit are not in force") {
  Reader reader;
  reader.Task.start();
  std::vector<state::EvacuationChange> many;
  for (std::size_t i = 0; i != state::MaxEvacuatedDataCentres + 5; ++i)
    many.push_back({"dc" + std::to_string(i), true});
  reader.add(content(1, 10, many, true));
  reader.run();
  REQUIRE(reader.Changes.size() == 1);
  CHECK(reader.Changes.back().size() == state::MaxEvacuatedDataCentres);
}

// Guards against an evacuation that ends because a message lost its list.
TEST_CASE("replies about the directory contain all evacuations or none are "
          "stated") {
  using namespace galenaflow::protocol;
  const auto decoded = [](const DirectoryReply &reply) {
    return decodeDirectoryReply(encodeDirectoryReply(reply));
  };
  DirectoryReply reply;
  CHECK_FALSE(decoded(reply)->Evacuations.has_value());
  reply.Evacuations.emplace();
  REQUIRE(decoded(reply)->Evacuations.has_value());
  CHECK(decoded(reply)->Evacuations->empty());
  *reply.Evacuations = {"a", std::string(255, 'x')};
  CHECK(decoded(reply)->Evacuations == reply.Evacuations);
  SECTION("an empty name") { reply.Evacuations->insert(""); }
  SECTION("a long name") { reply.Evacuations->insert(std::string(256, 'x')); }
  SECTION("too many names") {
    for (std::size_t i = 0; i != state::MaxEvacuatedDataCentres; ++i)
      reply.Evacuations->insert("dc" + std::to_string(i));
  }
  CHECK_FALSE(decoded(reply).has_value());
}

// Guards against a reader that misses an evacuation because the change was in a
// reply that it did not use.
TEST_CASE("each reply of a log states the whole set once it is known") {
  const state::TimePoint now{1h};
  coordination::DirectoryLog log(5);
  const protocol::DirectoryRequest full;
  CHECK_FALSE(log.makeReply(full, now).Evacuations.has_value());
  log.setEvacuations({"a"});
  CHECK(log.makeReply(full, now).Evacuations == EvacuatedDataCentres{"a"});
  protocol::DirectoryRequest next;
  next.Log = 5;
  next.Index = log.makeReply(full, now).Index;
  const auto reply = log.makeReply(next, now);
  CHECK_FALSE(reply.IsFull);
  CHECK(reply.Evacuations == EvacuatedDataCentres{"a"});
}
