#include "coordination/write_registry.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdlib>
#include <memory>
#include <queue>

// Runs random schedules of daemons with the write registry. The network loses,
// delays and duplicates messages and has partitions; daemons are paused,
// killed, replaced and retired; lists arrive late. The checker compares the
// answers with a journal of the runs. Times are shorter than in production but
// keep their order.

using namespace galenaflow;
using namespace galenaflow::coordination;
using namespace std::chrono_literals;
using state::Duration;

namespace {

constexpr auto Step = 50ms;

/// Number of schedules. WRITE_MODEL_SEEDS sets another number for long runs.
int seedCount() {
  const char *text = std::getenv("WRITE_MODEL_SEEDS");
  return text == nullptr ? 300 : std::atoi(text);
}
constexpr int DisabledRuleSeeds = 1500;

struct Simulation;

struct SkewedClock final : state::Clock {
  const state::ManualClock &TrueClock;
  std::chrono::milliseconds Skew;
  SkewedClock(const state::ManualClock &clock, std::chrono::milliseconds skew)
      : TrueClock(clock), Skew(skew) {}
  state::TimePoint now() const override { return TrueClock.now(); }
  state::WallMillis wallNow() const override {
    return TrueClock.wallNow() + Skew;
  }
};

struct Node {
  WriteMember Id;
  SkewedClock Clock;
  WriteRegistry Registry;
  state::TimePoint PausedUntil;
  state::TimePoint KillAt = state::TimePoint::max();
  std::uint64_t ListVersion = 0;
  bool Retiring = false;
  Node(WriteMember id, const state::ManualClock &clock,
       std::chrono::milliseconds skew, std::mt19937_64 &random,
       const WriteRegistryOptions &options)
      : Id(std::move(id)), Clock(clock, skew),
        Registry(Id, Clock, random, options) {}
};

struct Event {
  state::TimePoint At;
  std::uint64_t Order;
  WriteMember To;
  std::function<void(Node &)> Task;
  bool operator<(const Event &other) const {
    return std::tie(At, Order) > std::tie(other.At, other.Order);
  }
};

struct Tally {
  int Runs = 0;
  int Completed = 0;
  int NotRun = 0;
  std::string Fault;
};

struct Simulation {
  std::mt19937_64 Random;
  WriteRegistryOptions Options;
  state::ManualClock Clock;
  std::map<std::string, std::unique_ptr<Node>> Nodes; // by VM id
  std::vector<WriteMemberList> Lists;
  std::priority_queue<Event> Events;
  std::uint64_t Order = 0;
  int Instances = 0;
  std::map<std::string, int> Side; // of a partition, by VM id
  std::vector<WriteKey> Keys;
  std::map<WriteKey, int> Journal;
  std::map<SubmissionId, WriteKey> Submissions;
  SubmissionId LastSubmission = 0;
  bool Faults = true;
  Tally Result;

  Simulation(std::uint64_t seed, const WriteRegistryOptions &options,
             bool faults)
      : Random(seed), Options(options), Faults(faults) {
    const auto n = 3 + pick(6);
    for (std::size_t i = 0; i != n; ++i)
      start("vm-" + std::to_string(i), "");
    publish();
  }

  std::size_t pick(std::size_t n) { return Random() % n; }
  bool randomBool(double p) {
    return Faults && std::uniform_real_distribution<>(0, 1)(Random) < p;
  }
  Duration randomDuration(Duration d) {
    return Duration(static_cast<std::int64_t>(
        pick(static_cast<std::size_t>(d.count()) + 1)));
  }
  Node &anyNode() {
    const auto n = static_cast<std::ptrdiff_t>(pick(Nodes.size()));
    return *std::next(Nodes.begin(), n)->second;
  }

  void start(const std::string &vm, const std::string &instance) {
    const auto skew = std::chrono::milliseconds(pick(900)) - 450ms;
    const WriteMember id{
        vm, instance.empty() ? "i-" + std::to_string(++Instances) : instance};
    Nodes[vm] = std::make_unique<Node>(id, Clock, skew, Random, Options);
  }

  void publish() {
    WriteMemberList list{Lists.size() + 1, {}};
    for (const auto &it : Nodes)
      if (it.second->KillAt == state::TimePoint::max())
        list.Members.push_back(it.second->Id);
    if (!list.Members.empty())
      Lists.push_back(list);
  }

  void recordFault(const std::string &text) {
    if (Result.Fault.empty())
      Result.Fault = text;
  }

  void schedule(Duration delay, const WriteMember &to,
                std::function<void(Node &)> task) {
    Events.push({Clock.now() + delay, ++Order, to, std::move(task)});
  }

  void executeActions(Node &node) {
    for (RegistryAction &action : node.Registry.takeActions()) {
      if (auto *message = std::get_if<SendWriteMessage>(&action))
        sendMessage(node, *message);
      else if (auto *run = std::get_if<RunWrite>(&action))
        startRun(node, *run);
      else
        checkAnswer(std::get<AnswerWrite>(action));
    }
  }

  void sendMessage(const Node &from, const SendWriteMessage &sent) {
    if (Side[from.Id.VmId] != Side[sent.To.VmId] || randomBool(0.03))
      return;
    // A sample of the messages is encoded and decoded.
    WriteMessage message = sent.Message;
    if (pick(32) == 0) {
      const auto decoded =
          protocol::decodeWriteMessage(static_cast<std::uint16_t>(message.Type),
                                       protocol::encodeWriteMessage(message));
      if (!decoded)
        return recordFault("an encoded message cannot be decoded");
      message = *decoded;
    }
    const int copies = randomBool(0.05) ? 2 : 1;
    for (int i = 0; i != copies; ++i)
      schedule(randomBool(0.05) ? randomDuration(1500ms) : randomDuration(20ms),
               sent.To, [id = from.Id, message](Node &to) {
                 to.Registry.receive(id, message);
               });
  }

  void startRun(const Node &node, const RunWrite &run) {
    // The process may be paused between the grants and the send.
    if (randomBool(0.1))
      Nodes[node.Id.VmId]->PausedUntil = Clock.now() + randomDuration(20s);
    schedule(randomDuration(100ms), node.Id, [this, run](Node &self) {
      if (!self.Registry.beginRun(run.Key, run.Attempt))
        return;
      const bool isRefused = randomBool(0.1); // X-Not-Run
      if (!isRefused)
        recordRun(run.Key);
      const RunResult result = isRefused         ? RunResult::NotRun
                               : randomBool(0.2) ? RunResult::Unknown
                                                 : RunResult::Ran;
      schedule(randomDuration(200ms), self.Id, [run, result](Node &node) {
        node.Registry.finishRun(run.Key, run.Attempt, result, 200, "done");
      });
    });
  }

  void recordRun(const WriteKey &key) {
    ++Result.Runs;
    if (++Journal[key] > 1)
      recordFault("a key ran twice");
    if (Clock.wallNow() - key.issuedAt() >
        Options.KeyLifetime + 2 * Options.ClockSkew)
      recordFault("a key ran after it expired");
  }

  void checkAnswer(const AnswerWrite &answered) {
    const WriteKey key = Submissions.at(answered.Submission);
    const bool ran = Journal.contains(key);
    if (answered.Answer.NotRun && ran)
      recordFault("not_run was reported for a key that ran");
    if (answered.Answer.Kind == WriteAnswerKind::Completed && !ran)
      recordFault("a run was reported for a key that did not run");
    Result.NotRun += answered.Answer.NotRun ? 1 : 0;
    Result.Completed +=
        answered.Answer.Kind == WriteAnswerKind::Completed ? 1 : 0;
  }

  void submit() {
    Node &node = anyNode();
    if (Keys.empty() || pick(3) == 0)
      Keys.push_back(
          protocol::makeWriteKey(node.Clock.wallNow(), Random(), Random()));
    const std::size_t recent = std::min<std::size_t>(Keys.size(), 4);
    const WriteKey key = Keys[Keys.size() - 1 - pick(recent)];
    Submissions[++LastSubmission] = key;
    schedule(randomDuration(50ms), node.Id,
             [id = LastSubmission, key](Node &self) {
               self.Registry.submit(id, key, "body");
             });
  }

  void replace(Node &node) {
    const std::string vm = node.Id.VmId;
    const std::string instance = node.Id.Instance;
    switch (pick(4)) {
    case 0: // the process restarts on its VM
      start(vm, instance);
      return;
    case 1: // killed and replaced under the same VM id
      start(vm, "");
      publish();
      return;
    case 2: // removed from the list, and stops within the removal grace period
      if (Nodes.size() > 3) {
        node.KillAt = Clock.now() + randomDuration(3s);
        publish();
      }
      return;
    default:
      node.Retiring = true;
      node.Registry.retire();
    }
  }

  void injectFaults() {
    if (randomBool(0.01))
      for (const auto &it : Nodes)
        Side[it.first] = static_cast<int>(pick(2));
    if (randomBool(0.03))
      Side.clear();
    if (randomBool(0.01))
      anyNode().PausedUntil = Clock.now() + randomDuration(5s);
    if (randomBool(0.015))
      replace(anyNode());
    if (randomBool(0.006) && Nodes.size() < 8) {
      start("vm-" + std::to_string(100 + Instances), "");
      publish();
    }
    if (randomBool(0.001))
      anyNode().Clock.Skew += std::chrono::milliseconds(pick(6000)) - 3000ms;
  }

  void stepNode(Node &node) {
    if (node.PausedUntil > Clock.now())
      return;
    // Lists arrive late, and some versions are skipped.
    if (node.ListVersion < Lists.size() && (pick(8) == 0 || !Faults) &&
        Side[node.Id.VmId] == 0) {
      node.ListVersion = Lists.size();
      node.Registry.updateList(Lists.back());
    }
    node.Registry.tick();
    executeActions(node);
  }

  void dispatch() {
    while (!Events.empty() && Events.top().At <= Clock.now()) {
      const Event event = Events.top();
      Events.pop();
      const auto it = Nodes.find(event.To.VmId);
      if (it == Nodes.end() || it->second->Id != event.To)
        continue;
      Node &node = *it->second;
      if (node.PausedUntil > Clock.now()) {
        Events.push({node.PausedUntil, event.Order, event.To, event.Task});
        continue;
      }
      event.Task(node);
      executeActions(node);
    }
  }

  void stopAndReplaceNodes() {
    std::vector<std::string> ended;
    for (const auto &it : Nodes)
      if (it.second->KillAt <= Clock.now())
        ended.push_back(it.first);
    for (const std::string &vm : ended)
      Nodes.erase(vm);
    for (const auto &it : Nodes) {
      if (!it.second->Retiring || !it.second->Registry.isHandedOver())
        continue;
      start(it.first, "");
      publish();
      return;
    }
  }

  Tally run(Duration span) {
    for (Duration t{0}; t < span && Result.Fault.empty(); t += Step) {
      Clock.advance(Step);
      injectFaults();
      if (pick(3) == 0)
        submit();
      dispatch();
      stopAndReplaceNodes();
      for (const auto &it : Nodes)
        stepNode(*it.second);
    }
    return Result;
  }
};

WriteRegistryOptions modelOptions() {
  WriteRegistryOptions options;
  options.KeyLifetime = 10s;
  options.ClockSkew = 1s;
  options.RemovalGrace = 4s;
  return options;
}

/// Returns the number of seeds with a fault, and stores the first fault in
/// `fault`.
int countFaults(const WriteRegistryOptions &options, int seeds,
                std::string &fault, Tally &sum, bool untilFirst = false) {
  int faults = 0;
  for (int seed = 1; seed <= seeds; ++seed) {
    const Tally tally =
        Simulation(static_cast<std::uint64_t>(seed), options, true).run(40s);
    sum.Runs += tally.Runs;
    sum.Completed += tally.Completed;
    sum.NotRun += tally.NotRun;
    if (tally.Fault.empty())
      continue;
    if (++faults == 1)
      fault = "seed " + std::to_string(seed) + ": " + tally.Fault;
    if (untilFirst)
      break;
  }
  return faults;
}

} // namespace

// Guards against second runs and wrong answers after faults in an order that no
// example test has.
TEST_CASE("no schedule runs a key twice or gives a wrong answer") {
  std::string fault;
  Tally sum;
  CHECK(countFaults(modelOptions(), seedCount(), fault, sum) == 0);
  INFO(fault);
  CHECK(fault.empty());
  // Guards against a check that passes because no write runs.
  CHECK(sum.Runs > 2000);
  CHECK(sum.NotRun > 100);
  WARN("runs " << sum.Runs << ", completed answers " << sum.Completed
               << ", not_run answers " << sum.NotRun);
}

// Guards against a registry that is safe only because it refuses most writes.
TEST_CASE("without faults, nearly all keys run") {
  Simulation simulation(5, modelOptions(), false);
  const Tally tally = simulation.run(60s);
  CHECK(tally.Fault.empty());
  // The daemons abstain for keys issued up to the clock skew after their start.
  CHECK(tally.Runs * 10 > static_cast<int>(simulation.Keys.size()) * 8);
}

// Guards against a check that would not detect the faults that the rules
// prevent.
TEST_CASE("the check finds the faults that disabled rules cause") {
  WriteRegistryOptions options = modelOptions();
  SECTION("majority of the newest list only") {
    options.Disabled.NewestListOnly = true;
  }
  SECTION("no abstention after a restart") {
    options.Disabled.NoAbstention = true;
  }
  SECTION("no check of the grants' validity") {
    options.Disabled.NoValidityCheck = true;
  }
  std::string fault;
  Tally sum;
  CHECK(countFaults(options, DisabledRuleSeeds, fault, sum, true) > 0);
  WARN(fault);
}

// Guards against a decoder that reads out of bounds, and against keys that
// change between text and value.
TEST_CASE("altered messages are decoded or rejected without reads out of "
          "bounds") {
  std::mt19937_64 random(3);
  WriteMessage message;
  message.Type = protocol::WriteMessageType::GrantReply;
  message.Holder = WriteHolder{{"vm", "i"}, 4, "hash"};
  message.Knowledge.Lists = {{3, {{"vm", "i"}}}};
  const std::string bytes = protocol::encodeWriteMessage(message);
  for (int round = 0; round != 5000; ++round) {
    std::string altered = bytes.substr(0, random() % (bytes.size() + 1));
    if (!altered.empty())
      altered[random() % altered.size()] = static_cast<char>(random());
    protocol::decodeWriteMessage(101, altered);
  }
  const auto key = protocol::makeWriteKey(state::WallMillis(1'700'000'000'123),
                                          random(), random());
  CHECK(protocol::parseWriteKey(protocol::writeKeyText(key)) == key);
  CHECK(key.issuedAt().count() == 1'700'000'000'123);
  CHECK_FALSE(protocol::parseWriteKey("00000000-0000-4000-8000-000000000000"));
}

// Guards against a second run of a key: the previous process under the same
// identity may have run it (model check, seed 1313).
TEST_CASE("a restarted process does not release the grants of its previous "
          "process") {
  state::ManualClock clock;
  std::mt19937_64 random(1);
  WriteRegistry registry({"vm-0", "i"}, clock, random, modelOptions());
  WriteMessage reply;
  reply.Type = protocol::WriteMessageType::GrantReply;
  reply.Attempt = 42;
  reply.Verdict = WriteVerdict::Granted;
  registry.receive({"vm-1", "i"}, reply);
  CHECK(registry.takeActions().empty());
}
