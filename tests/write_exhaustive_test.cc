#include "coordination/write_registry.h"

#include <algorithm>
#include <catch2/catch.hpp>

// Explores all orders of events up to a depth, for three daemons of which two
// receive a write with the same key. A message that is not delivered within the
// depth counts as lost. Guards against a second run of a key, and wrong
// answers, in interleavings that random schedules rarely reach.

using namespace galenaflow;
using namespace galenaflow::coordination;
using namespace std::chrono_literals;

namespace {

constexpr int Depth = 7;
constexpr std::size_t Daemons = 3;

struct SettableClock final : state::Clock {
  state::Duration Elapsed{0};
  state::TimePoint now() const override {
    return state::TimePoint(std::chrono::hours(1)) + Elapsed;
  }
  state::WallMillis wallNow() const override {
    return std::chrono::duration_cast<state::WallMillis>(
        std::chrono::hours(24 * 365 * 50) + Elapsed);
  }
};

struct PendingMessage {
  std::size_t From;
  std::size_t To;
  WriteMessage Message;
};

struct PendingRun {
  std::size_t At;
  RunWrite Run;
};

struct SystemState {
  std::vector<WriteRegistry> Nodes;
  std::vector<PendingMessage> Messages;
  std::vector<PendingRun> PendingRuns;
  int Runs = 0;
  int Timeouts = 0;
  bool HasWrongAnswer = false;
};

struct Explorer {
  SettableClock Clock;
  std::mt19937_64 Random{1};
  std::vector<WriteMember> Ids;
  WriteKey Key;
  std::uint64_t VisitedStates = 0;
  std::uint64_t StatesWithRun = 0;
  std::uint64_t Faults = 0;

  SystemState begin() {
    SystemState s;
    WriteMemberList list{1, {}};
    for (std::size_t i = 0; i != Daemons; ++i) {
      Ids.push_back({"vm-" + std::to_string(i), "i"});
      list.Members.push_back(Ids.back());
    }
    for (const WriteMember &id : Ids)
      s.Nodes.emplace_back(id, Clock, Random, WriteRegistryOptions{});
    for (WriteRegistry &node : s.Nodes)
      node.updateList(list);
    Clock.Elapsed = 5s;
    for (std::size_t i = 0; i != Daemons; ++i) {
      s.Nodes[i].tick();
      for (const RegistryAction &action : s.Nodes[i].takeActions()) {
        const auto &sent = std::get<SendWriteMessage>(action);
        s.Nodes[indexOf(sent.To)].receive(Ids[i], sent.Message);
      }
    }
    Key = protocol::makeWriteKey(Clock.wallNow(), 1, 2);
    for (std::size_t i = 0; i != 2; ++i) {
      s.Nodes[i].submit(i, Key, "body");
      collectActions(s, i);
    }
    return s;
  }

  std::size_t indexOf(const WriteMember &id) const {
    return static_cast<std::size_t>(std::ranges::find(Ids, id) - Ids.begin());
  }

  void collectActions(SystemState &s, std::size_t at) {
    for (RegistryAction &action : s.Nodes[at].takeActions()) {
      if (auto *sent = std::get_if<SendWriteMessage>(&action)) {
        if (sent->Message.Type != protocol::WriteMessageType::Knowledge)
          s.Messages.push_back({at, indexOf(sent->To), sent->Message});
      } else if (auto *run = std::get_if<RunWrite>(&action)) {
        s.PendingRuns.push_back({at, *run});
      } else {
        const WriteAnswer &answer = std::get<AnswerWrite>(action).Answer;
        s.HasWrongAnswer |= answer.NotRun && s.Runs != 0;
        s.HasWrongAnswer |=
            answer.Kind == WriteAnswerKind::Completed && s.Runs == 0;
      }
    }
  }

  void explore(const SystemState &s, int depth) {
    ++VisitedStates;
    StatesWithRun += s.Runs != 0 ? 1 : 0;
    Faults += s.Runs > 1 || s.HasWrongAnswer ? 1 : 0;
    if (depth == 0)
      return;
    for (std::size_t i = 0; i != s.Messages.size(); ++i) {
      SystemState next = s;
      const PendingMessage pending = next.Messages[i];
      next.Messages.erase(next.Messages.begin() +
                          static_cast<std::ptrdiff_t>(i));
      next.Nodes[pending.To].receive(Ids[pending.From], pending.Message);
      collectActions(next, pending.To);
      explore(next, depth - 1);
    }
    for (std::size_t i = 0; i != s.PendingRuns.size(); ++i)
      for (const bool isConnected : {true, false})
        exploreRun(s, i, isConnected, depth);
    if (s.Timeouts == 0)
      exploreTimeout(s, depth);
  }

  void exploreRun(const SystemState &s, std::size_t i, bool isConnected,
                  int depth) {
    SystemState next = s;
    const PendingRun pending = next.PendingRuns[i];
    next.PendingRuns.erase(next.PendingRuns.begin() +
                           static_cast<std::ptrdiff_t>(i));
    WriteRegistry &node = next.Nodes[pending.At];
    if (!isConnected) {
      node.finishRun(Key, pending.Run.Attempt, RunResult::NotRun, 0, "");
    } else if (node.beginRun(Key, pending.Run.Attempt)) {
      ++next.Runs;
      node.finishRun(Key, pending.Run.Attempt, RunResult::Ran, 200, "done");
    }
    collectActions(next, pending.At);
    explore(next, depth - 1);
  }

  /// The attempts time out, and the caller submits the key again to daemon 1.
  void exploreTimeout(const SystemState &s, int depth) {
    SystemState next = s;
    const auto before = Clock.Elapsed;
    Clock.Elapsed += 1100ms;
    next.Timeouts = 1;
    for (std::size_t i = 0; i != Daemons; ++i) {
      next.Nodes[i].tick();
      collectActions(next, i);
    }
    next.Nodes[1].submit(2, Key, "body");
    collectActions(next, 1);
    explore(next, depth - 1);
    Clock.Elapsed = before;
  }
};

} // namespace

TEST_CASE("no order of events up to the depth runs a key twice") {
  Explorer explorer;
  const SystemState start = explorer.begin();
  for (const WriteRegistry &node : start.Nodes)
    REQUIRE(node.isReady());
  explorer.explore(start, Depth);
  CHECK(explorer.Faults == 0);
  CHECK(explorer.StatesWithRun > 0);
  WARN("visited states " << explorer.VisitedStates << ", of which with a run "
                         << explorer.StatesWithRun);
}
