#include "coordination/hedge_policy.h"
#include "coordination/query_execution.h"
#include "coordination/replica_selector.h"
#include "coordination/retry_budget.h"
#include "coordination/top_k_merge.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
#include <map>
#include <rapidcheck.h>
#include <set>

// Runs queries against simulated replicas with random faults. A checker that
// shares no code with QueryExecution verifies each outcome. Guards against
// answers with wrong hits or a wrong coverage after retries, hedges, restarts,
// late responses and cancellations in an order that no example test has.

using namespace galenaflow::coordination;
using namespace galenaflow::state;
using std::chrono::milliseconds;

namespace {

struct Body {
  std::vector<std::string> Ids;
};

/// The simulation's record of one sub-request.
struct SubRequestRecord {
  SendSubRequest Request;
  bool Ran = false;
  bool Ended = false;     ///< by a response, a failure or a cancellation
  bool Delivered = false; ///< a correct response arrived while open
  std::vector<Hit> Hits;
};

struct Tampering {
  /// Responses name the requested snapshot but hold hits of another one.
  bool ForeignHits = false;
  bool RepeatedHit = false; ///< the answer contains its first hit twice
};

struct TwoSnapshots final : SnapshotSelector {
  std::vector<SnapshotChoice> Choices;

  std::optional<SnapshotChoice>
  select(std::string_view, std::span<const SnapshotId> excluded) override {
    for (const SnapshotChoice &it : Choices)
      if (std::ranges::find(excluded, it.Snapshot) == excluded.end())
        return it;
    return std::nullopt;
  }
};

SnapshotChoice makeChoice(SnapshotId snapshot, std::size_t shards) {
  auto layout = std::make_shared<Layout>();
  layout->Id = snapshot;
  for (std::size_t i = 0; i < shards; ++i) {
    const auto name = "r" + std::to_string(i);
    layout->Shards.push_back(
        {static_cast<ShardNumber>(i), {name + "a", name + "b"}});
  }
  return {snapshot, layout};
}

class Simulation {
public:
  explicit Simulation(std::uint64_t seed, Tampering tampering = {})
      : Random(seed), Tampered(tampering),
        Replicas(Outliers, std::mt19937_64(seed)) {
    const std::size_t n = 1 + Random() % 24;
    Snapshots.Choices = {makeChoice(42, n), makeChoice(41, 1 + Random() % 24)};
    FaultPercent = Random() % 4 == 0 ? 0 : Random() % 60;
    SnapshotGonePercent = Random() % 3 == 0 ? Random() % 30 : 0;
  }

  /// Runs one query to its end and returns the rules that it violated.
  std::vector<std::string> runQuery();

  std::uint32_t Primaries = 0, Hedges = 0, Retries = 0, Restarts = 0,
                Complete = 0;

private:
  void executeActions(QueryActions actions);
  void simulateReplica(SubRequestNumber number);
  void scheduleResponse(SubRequestNumber number, TimePoint at,
                        bool mislabelled);
  void scheduleFailure(SubRequestNumber number, FailureReason reason, bool ran);
  void check(const QueryOutcome &outcome);
  void checkHits(const QueryOutcome &outcome);
  void require(bool holds, const char *rule) {
    if (!holds)
      Violations.emplace_back(rule);
  }
  bool randomBool(std::uint64_t percent) { return Random() % 100 < percent; }
  TimePoint randomTime(std::uint64_t maxMs) {
    return Now + std::chrono::microseconds(1 + Random() % (maxMs * 1000));
  }

  std::mt19937_64 Random;
  Tampering Tampered;
  std::uint64_t FaultPercent = 0, SnapshotGonePercent = 0;
  TwoSnapshots Snapshots;
  OutlierDetector Outliers;
  AdaptiveReplicaSelector Replicas;
  AdaptiveHedgePolicy Hedging;
  RatioRetryBudget Budget;
  TimePoint Now{std::chrono::hours(1)};
  TimePoint DeadlineAt;
  std::multimap<TimePoint, std::function<void()>> Events;
  std::unique_ptr<QueryExecution> Query;
  QueryOptions Options;
  std::vector<SubRequestRecord> Requests;
  std::vector<std::string> Violations;
  bool Finished = false;
};

void Simulation::scheduleResponse(SubRequestNumber number, TimePoint at,
                                  bool mislabelled) {
  auto body = std::make_shared<Body>();
  const SendSubRequest request = Requests[number].Request;
  SubResponse response{number, request.Shard, request.Snapshot, {}, body};
  if (mislabelled && randomBool(50))
    response.Shard += 1;
  else if (mislabelled)
    response.Snapshot ^= 3;
  const SnapshotId held = response.Snapshot ^ (Tampered.ForeignHits ? 3 : 0);
  for (std::size_t i = Random() % 6; i > 0; --i) {
    const auto owner = randomBool(10) ? "any" : std::to_string(response.Shard);
    body->Ids.push_back(std::to_string(held) + "/" + owner + "/" +
                        std::to_string(Random() % 9));
  }
  for (const std::string &id : body->Ids)
    response.Hits.push_back({id, static_cast<double>(Random() % 5), id});
  std::ranges::sort(response.Hits, hitBefore);
  Events.emplace(at, [this, response, mislabelled] {
    SubRequestRecord &it = Requests[response.Number];
    it.Ran = true;
    if (!it.Ended && !mislabelled) {
      it.Delivered = true;
      it.Hits = response.Hits;
    }
    it.Ended = true;
    executeActions(Query->onResponse(response, Now));
  });
}

void Simulation::scheduleFailure(SubRequestNumber number, FailureReason reason,
                                 bool ran) {
  Events.emplace(randomTime(20), [this, number, reason, ran] {
    Requests[number].Ran |= ran;
    Requests[number].Ended = true;
    executeActions(Query->onFailure({number, reason, ran}, Now));
  });
}

void Simulation::simulateReplica(SubRequestNumber number) {
  if (Requests[number].Request.Snapshot == 42 &&
      randomBool(SnapshotGonePercent))
    return scheduleFailure(number, FailureReason::SnapshotGone, false);
  if (!randomBool(FaultPercent))
    return scheduleResponse(number, randomTime(8), false);
  switch (Random() % 8) {
  case 0:
    return scheduleFailure(number, FailureReason::Shed, false);
  case 1:
    return scheduleFailure(number, FailureReason::Refused, false);
  case 2:
    return scheduleFailure(number, FailureReason::ConnectionFailed,
                           randomBool(50));
  case 3:
    return scheduleFailure(number, FailureReason::InvalidResponse, true);
  case 4:
    return scheduleResponse(number, randomTime(8), true);
  case 5: // the response arrives twice
    scheduleResponse(number, randomTime(8), false);
    return scheduleResponse(number, randomTime(30), false);
  case 6: // the response is slow, perhaps after the end of the query
    return scheduleResponse(number, randomTime(300), false);
  default: // no response
    Requests[number].Ran = true;
  }
}

void Simulation::executeActions(QueryActions actions) {
  for (QueryAction &action : actions) {
    if (Finished)
      require(std::holds_alternative<CancelSubRequest>(action),
              "no action after the end");
    if (const auto *send = std::get_if<SendSubRequest>(&action)) {
      require(send->Number == Requests.size(), "numbers are unique");
      require(Now + send->Timeout <= DeadlineAt,
              "timeouts end by the deadline");
      Requests.push_back({*send, false, false, false, {}});
      simulateReplica(send->Number);
    } else if (const auto *cancel = std::get_if<CancelSubRequest>(&action)) {
      require(!Requests[cancel->Number].Ended,
              "only open sub-requests are cancelled");
      Requests[cancel->Number].Ended = true;
    } else if (const auto *timer = std::get_if<SetTimer>(&action)) {
      Events.emplace(timer->At,
                     [this] { executeActions(Query->onTimer(Now)); });
    } else {
      Finished = true;
      check(*std::get<FinishQuery>(action).Outcome);
    }
  }
}

void Simulation::check(const QueryOutcome &outcome) {
  require(Now <= DeadlineAt, "a query ends by its deadline");
  for (const SubRequestRecord &it : Requests)
    require(it.Ended, "every sub-request has ended or is cancelled");
  const Coverage &coverage = outcome.Coverage;
  require(coverage.Answered + coverage.Missing.size() == coverage.Asked,
          "answered and missing shards add up to all shards");
  std::set<ShardNumber> missing, delivered;
  for (const MissingShard &it : coverage.Missing)
    missing.insert(it.Shard);
  for (const SubRequestRecord &it : Requests)
    if (it.Delivered && it.Request.Snapshot == outcome.Snapshot)
      delivered.insert(it.Request.Shard);
  for (ShardNumber i = 0; i < coverage.Asked; ++i)
    require(missing.contains(i) != delivered.contains(i),
            "coverage lists exactly the shards that responded");
  if (outcome.Ran == ExecutionState::NotRun)
    require(std::ranges::none_of(Requests, &SubRequestRecord::Ran),
            "not_run is reported only if nothing ran");
  if (!outcome.Error)
    require(coverage.Answered >= Options.MinCoverage * coverage.Asked - 1e-9,
            "an answer has at least min_coverage");
  Complete += coverage.Missing.empty() && !outcome.Error ? 1 : 0;
  checkHits(outcome);
}

void Simulation::checkHits(const QueryOutcome &outcome) {
  if (outcome.Error)
    return require(outcome.Hits.empty(), "an error has no hits");
  std::vector<Hit> all, expected;
  for (const SubRequestRecord &it : Requests)
    if (it.Delivered && it.Request.Snapshot == outcome.Snapshot)
      all.insert(all.end(), it.Hits.begin(), it.Hits.end());
  std::ranges::stable_sort(all, hitBefore);
  std::set<std::string_view> seen;
  for (const Hit &it : all)
    if (expected.size() < Options.Limit && seen.insert(it.Id).second)
      expected.push_back(it);
  std::vector<Hit> got = outcome.Hits;
  if (Tampered.RepeatedHit && !got.empty())
    got.push_back(got.front());
  seen.clear();
  for (const Hit &it : got) {
    require(seen.insert(it.Id).second, "no id occurs twice");
    require(it.Id.starts_with(std::to_string(outcome.Snapshot) + "/"),
            "every hit is from the answer's snapshot");
  }
  require(std::ranges::equal(got, expected, {}, &Hit::Id, &Hit::Id),
          "the hits are the best ones of all responses");
}

std::vector<std::string> Simulation::runQuery() {
  Violations.clear();
  Events.clear();
  Requests.clear();
  Finished = false;
  Options = {"archivio",
             randomBool(50) ? Preference::Latency : Preference::Coverage,
             static_cast<double>(Random() % 5) / 4,
             static_cast<std::uint32_t>(1 + Random() % 30),
             milliseconds(20 + Random() % 200)};
  DeadlineAt = Now + Options.Deadline;
  Query = std::make_unique<QueryExecution>(
      Options, QueryPolicies{Snapshots, Replicas, Hedging, Budget});
  if (randomBool(5))
    Events.emplace(randomTime(50),
                   [this] { executeActions(Query->onCallerCancel(Now)); });
  executeActions(Query->start(Now));
  require(Query->onResponse({9999, 0, 42, {}, nullptr}, Now).empty(),
          "a response with an unknown number has no effect");
  while (!Events.empty()) {
    auto next = Events.extract(Events.begin());
    Now = std::max(Now, next.key());
    next.mapped()();
  }
  require(Finished, "every query ends");
  const AttemptCounts &counts = Query->counts();
  Primaries += counts.Primaries;
  Hedges += counts.Hedges;
  Retries += counts.Retries - counts.Redirects;
  Restarts += counts.Restarts;
  require(counts.Restarts <= 1, "at most one restart");
  require(Hedges <= 0.05 * Primaries + 10, "hedges stay within their budget");
  require(Retries <= 0.05 * Primaries + 10, "retries stay within their budget");
  return Violations;
}

} // namespace

TEST_CASE("in any schedule, answers are from one snapshot, with the best hits "
          "and the true coverage") {
  std::uint32_t restarts = 0, hedges = 0, retries = 0, complete = 0;
  for (std::uint64_t seed = 0; seed < 3000; ++seed) {
    Simulation simulation(seed);
    for (int n = 0; n < 8; ++n) {
      INFO("seed " << seed << " query " << n);
      REQUIRE(simulation.runQuery() == std::vector<std::string>{});
    }
    restarts += simulation.Restarts;
    hedges += simulation.Hedges;
    retries += simulation.Retries;
    complete += simulation.Complete;
  }
  // Guards against a simulation that does not reach these paths.
  CHECK(restarts > 100);
  CHECK(hedges > 100);
  CHECK(retries > 100);
  CHECK(complete > 1000);
}

// Guards against a checker that reports nothing.
TEST_CASE("the checker reports hits of another snapshot and repeated hits") {
  const auto findsViolation = [](Tampering tampering, const std::string &rule) {
    for (std::uint64_t seed = 0; seed < 50; ++seed) {
      const auto violations = Simulation(seed, tampering).runQuery();
      if (std::ranges::find(violations, rule) != violations.end())
        return true;
    }
    return false;
  };
  CHECK(findsViolation({.ForeignHits = true},
                       "every hit is from the answer's snapshot"));
  CHECK(findsViolation({.RepeatedHit = true}, "no id occurs twice"));
}

// Guards against hits that a merge loses, repeats or puts in the wrong order.
TEST_CASE("a merge gives the same hits as sorting all of them") {
  rc::check([](const std::vector<std::vector<std::pair<int, int>>> &input) {
    std::vector<std::string> names;
    names.reserve(20);
    for (int i = 0; i < 20; ++i)
      names.push_back("id" + std::to_string(i));
    std::vector<std::vector<Hit>> lists;
    std::vector<Hit> all;
    for (const auto &list : input) {
      auto &hits = lists.emplace_back();
      for (const auto &[id, score] : list)
        hits.push_back({names[static_cast<unsigned>(id) % 20],
                        static_cast<double>(score % 4),
                        {}});
      std::ranges::sort(hits, hitBefore);
      all.insert(all.end(), hits.begin(), hits.end());
    }
    std::ranges::stable_sort(all, hitBefore);
    std::set<std::string_view> seen;
    std::erase_if(all,
                  [&](const Hit &it) { return !seen.insert(it.Id).second; });
    const std::size_t limit = *rc::gen::inRange(0, 25);
    all.resize(std::min(all.size(), limit));
    const std::vector<std::span<const Hit>> views(lists.begin(), lists.end());
    const MergedHits merged = mergeTopK(views, limit);
    RC_ASSERT(std::ranges::equal(merged.Hits, all, {}, &Hit::Id, &Hit::Id));
  });
}
