#include "coordination/write_registry.h"

#include <algorithm>
#include <catch2/catch.hpp>

// All orders of events up to a depth, for three daemons of which two are asked
// to run the same key. A message that is not delivered within the depth counts
// as lost. Guards against interleavings that random schedules rarely reach.

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

struct Pending {
  std::size_t From;
  std::size_t To;
  WriteMessage Message;
};

struct Start {
  std::size_t At;
  RunWrite Run;
};

struct Situation {
  std::vector<WriteRegistry> Nodes;
  std::vector<Pending> Messages;
  std::vector<Start> Starts;
  int Runs = 0;
  int Timeouts = 0;
  bool IsFalse = false;
};

struct Explorer {
  SettableClock Clock;
  std::mt19937_64 Random{1};
  std::vector<WriteMember> Ids;
  WriteKey Key;
  std::uint64_t Visited = 0;
  std::uint64_t WithRun = 0;
  std::uint64_t Faults = 0;

  Situation begin() {
    Situation s;
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
      collect(s, i);
    }
    return s;
  }

  std::size_t indexOf(const WriteMember &id) const {
    return static_cast<std::size_t>(std::ranges::find(Ids, id) - Ids.begin());
  }

  void collect(Situation &s, std::size_t at) {
    for (RegistryAction &action : s.Nodes[at].takeActions()) {
      if (auto *sent = std::get_if<SendWriteMessage>(&action)) {
        if (sent->Message.Type != protocol::WriteMessageType::Knowledge)
          s.Messages.push_back({at, indexOf(sent->To), sent->Message});
      } else if (auto *run = std::get_if<RunWrite>(&action)) {
        s.Starts.push_back({at, *run});
      } else {
        const WriteAnswer &answer = std::get<AnswerWrite>(action).Answer;
        s.IsFalse |= answer.NotRun && s.Runs != 0;
        s.IsFalse |= answer.Kind == WriteAnswerKind::Completed && s.Runs == 0;
      }
    }
  }

  void explore(const Situation &s, int depth) {
    ++Visited;
    WithRun += s.Runs != 0 ? 1 : 0;
    Faults += s.Runs > 1 || s.IsFalse ? 1 : 0;
    if (depth == 0)
      return;
    for (std::size_t i = 0; i != s.Messages.size(); ++i) {
      Situation next = s;
      const Pending pending = next.Messages[i];
      next.Messages.erase(next.Messages.begin() +
                          static_cast<std::ptrdiff_t>(i));
      next.Nodes[pending.To].receive(Ids[pending.From], pending.Message);
      collect(next, pending.To);
      explore(next, depth - 1);
    }
    for (std::size_t i = 0; i != s.Starts.size(); ++i)
      for (const bool connects : {true, false})
        exploreStart(s, i, connects, depth);
    if (s.Timeouts == 0)
      exploreTimeout(s, depth);
  }

  void exploreStart(const Situation &s, std::size_t i, bool connects,
                    int depth) {
    Situation next = s;
    const Start start = next.Starts[i];
    next.Starts.erase(next.Starts.begin() + static_cast<std::ptrdiff_t>(i));
    WriteRegistry &node = next.Nodes[start.At];
    if (!connects) {
      node.finishRun(Key, start.Run.Attempt, RunResult::NotRun, 0, "");
    } else if (node.beginRun(Key, start.Run.Attempt)) {
      ++next.Runs;
      node.finishRun(Key, start.Run.Attempt, RunResult::Ran, 200, "done");
    }
    collect(next, start.At);
    explore(next, depth - 1);
  }

  /// Attempts end, and the caller tries again through both daemons.
  void exploreTimeout(const Situation &s, int depth) {
    Situation next = s;
    const auto before = Clock.Elapsed;
    Clock.Elapsed += 1100ms;
    next.Timeouts = 1;
    for (std::size_t i = 0; i != Daemons; ++i) {
      next.Nodes[i].tick();
      collect(next, i);
    }
    next.Nodes[1].submit(2, Key, "body");
    collect(next, 1);
    explore(next, depth - 1);
    Clock.Elapsed = before;
  }
};

} // namespace

TEST_CASE("no order of events up to the depth runs a key twice") {
  Explorer explorer;
  const Situation start = explorer.begin();
  for (const WriteRegistry &node : start.Nodes)
    REQUIRE(node.isReady());
  explorer.explore(start, Depth);
  CHECK(explorer.Faults == 0);
  CHECK(explorer.WithRun > 0);
  WARN("situations " << explorer.Visited << ", with a run "
                     << explorer.WithRun);
}
