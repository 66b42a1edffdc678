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
// shares no code with QueryExecution states what each answer must hold.

using namespace galenaflow::coordination;
using namespace galenaflow::state;
using std::chrono::milliseconds;

namespace {

struct Body {
  std::vector<std::string> Ids;
};

/// What the simulation knows about one sub-request.
struct Sent {
  SendSubRequest Request;
  bool Ran = false;
  bool Ended = false;     ///< a response, a failure or a cancel
  bool Delivered = false; ///< a correct response arrived while open
  std::vector<Hit> Hits;
};

struct Tampering {
  bool ForeignHits = false; ///< bodies of another snapshot, labelled as asked
  bool RepeatedHit = false; ///< the answer holds its first hit twice
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

class World {
public:
  explicit World(std::uint64_t seed, Tampering tampering = {})
      : Random(seed), Tamper(tampering),
        Replicas(Outliers, std::mt19937_64(seed)) {
    const std::size_t n = 1 + Random() % 24;
    Snapshots.Choices = {makeChoice(42, n), makeChoice(41, 1 + Random() % 24)};
    FaultPercent = Random() % 4 == 0 ? 0 : Random() % 60;
    GonePercent = Random() % 3 == 0 ? Random() % 30 : 0;
  }

  /// Runs one query to its end and returns the rules that it broke.
  std::vector<std::string> runQuery();

  std::uint32_t Primaries = 0, Hedges = 0, Retries = 0, Restarts = 0,
                Complete = 0;

private:
  void apply(QueryActions actions);
  void serve(SubRequestNumber number);
  void respond(SubRequestNumber number, TimePoint at, bool foreign);
  void failLater(SubRequestNumber number, FailureReason reason, bool ran);
  void check(const QueryOutcome &outcome);
  void checkHits(const QueryOutcome &outcome);
  void require(bool holds, const char *rule) {
    if (!holds)
      Broken.emplace_back(rule);
  }
  bool chance(std::uint64_t percent) { return Random() % 100 < percent; }
  TimePoint soon(std::uint64_t maxMs) {
    return Now + std::chrono::microseconds(1 + Random() % (maxMs * 1000));
  }

  std::mt19937_64 Random;
  Tampering Tamper;
  std::uint64_t FaultPercent = 0, GonePercent = 0;
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
  std::vector<Sent> Requests;
  std::vector<std::string> Broken;
  bool Finished = false;
};

void World::respond(SubRequestNumber number, TimePoint at, bool foreign) {
  auto body = std::make_shared<Body>();
  const SendSubRequest request = Requests[number].Request;
  SubResponse response{number, request.Shard, request.Snapshot, {}, body};
  if (foreign && chance(50))
    response.Shard += 1;
  else if (foreign)
    response.Snapshot ^= 3;
  const SnapshotId held = response.Snapshot ^ (Tamper.ForeignHits ? 3 : 0);
  for (std::size_t i = Random() % 6; i > 0; --i) {
    const auto owner = chance(10) ? "any" : std::to_string(response.Shard);
    body->Ids.push_back(std::to_string(held) + "/" + owner + "/" +
                        std::to_string(Random() % 9));
  }
  for (const std::string &id : body->Ids)
    response.Hits.push_back({id, static_cast<double>(Random() % 5), id});
  std::ranges::sort(response.Hits, hitBefore);
  Events.emplace(at, [this, response, foreign] {
    Sent &it = Requests[response.Number];
    it.Ran = true;
    if (!it.Ended && !foreign) {
      it.Delivered = true;
      it.Hits = response.Hits;
    }
    it.Ended = true;
    apply(Query->onResponse(response, Now));
  });
}

void World::failLater(SubRequestNumber number, FailureReason reason, bool ran) {
  Events.emplace(soon(20), [this, number, reason, ran] {
    Requests[number].Ran |= ran;
    Requests[number].Ended = true;
    apply(Query->onFailure({number, reason, ran}, Now));
  });
}

void World::serve(SubRequestNumber number) {
  if (Requests[number].Request.Snapshot == 42 && chance(GonePercent))
    return failLater(number, FailureReason::SnapshotGone, false);
  if (!chance(FaultPercent))
    return respond(number, soon(8), false);
  switch (Random() % 8) {
  case 0:
    return failLater(number, FailureReason::Shed, false);
  case 1:
    return failLater(number, FailureReason::Refused, false);
  case 2:
    return failLater(number, FailureReason::ConnectionFailed, chance(50));
  case 3:
    return failLater(number, FailureReason::InvalidResponse, true);
  case 4:
    return respond(number, soon(8), true);
  case 5: // repeated
    respond(number, soon(8), false);
    return respond(number, soon(30), false);
  case 6: // slow, perhaps after the end
    return respond(number, soon(300), false);
  default: // silent
    Requests[number].Ran = true;
  }
}

void World::apply(QueryActions actions) {
  for (QueryAction &action : actions) {
    if (Finished)
      require(std::holds_alternative<CancelSubRequest>(action),
              "no action after the end");
    if (const auto *send = std::get_if<SendSubRequest>(&action)) {
      require(send->Number == Requests.size(), "numbers are unique");
      require(Now + send->Timeout <= DeadlineAt, "timeout within deadline");
      Requests.push_back({*send, false, false, false, {}});
      serve(send->Number);
    } else if (const auto *cancel = std::get_if<CancelSubRequest>(&action)) {
      require(!Requests[cancel->Number].Ended, "cancels only open ones");
      Requests[cancel->Number].Ended = true;
    } else if (const auto *timer = std::get_if<SetTimer>(&action)) {
      Events.emplace(timer->At, [this] { apply(Query->onTimer(Now)); });
    } else {
      Finished = true;
      check(*std::get<FinishQuery>(action).Outcome);
    }
  }
}

void World::check(const QueryOutcome &outcome) {
  require(Now <= DeadlineAt, "ends by its deadline");
  for (const Sent &it : Requests)
    require(it.Ended, "every sub-request is ended or cancelled");
  const Coverage &coverage = outcome.Coverage;
  require(coverage.Answered + coverage.Missing.size() == coverage.Asked,
          "coverage adds up");
  std::set<ShardNumber> missing, delivered;
  for (const MissingShard &it : coverage.Missing)
    missing.insert(it.Shard);
  for (const Sent &it : Requests)
    if (it.Delivered && it.Request.Snapshot == outcome.Snapshot)
      delivered.insert(it.Request.Shard);
  for (ShardNumber i = 0; i < coverage.Asked; ++i)
    require(missing.contains(i) != delivered.contains(i),
            "coverage names exactly the shards that answered");
  if (outcome.Ran == ExecutionState::NotRun)
    require(std::ranges::none_of(Requests, &Sent::Ran), "not_run did not run");
  if (!outcome.Error)
    require(coverage.Answered >= Options.MinCoverage * coverage.Asked - 1e-9,
            "min_coverage holds");
  Complete += coverage.Missing.empty() && !outcome.Error ? 1 : 0;
  checkHits(outcome);
}

void World::checkHits(const QueryOutcome &outcome) {
  if (outcome.Error)
    return require(outcome.Hits.empty(), "an error holds no hits");
  std::vector<Hit> all, want;
  for (const Sent &it : Requests)
    if (it.Delivered && it.Request.Snapshot == outcome.Snapshot)
      all.insert(all.end(), it.Hits.begin(), it.Hits.end());
  std::ranges::stable_sort(all, hitBefore);
  std::set<std::string_view> seen;
  for (const Hit &it : all)
    if (want.size() < Options.Limit && seen.insert(it.Id).second)
      want.push_back(it);
  std::vector<Hit> got = outcome.Hits;
  if (Tamper.RepeatedHit && !got.empty())
    got.push_back(got.front());
  seen.clear();
  for (const Hit &it : got) {
    require(seen.insert(it.Id).second, "no id stands twice");
    require(it.Id.starts_with(std::to_string(outcome.Snapshot) + "/"),
            "every hit is of the answer's snapshot");
  }
  require(std::ranges::equal(got, want, {}, &Hit::Id, &Hit::Id),
          "hits are the best of all responses");
}

std::vector<std::string> World::runQuery() {
  Broken.clear();
  Events.clear();
  Requests.clear();
  Finished = false;
  Options = {"archivio",
             chance(50) ? Preference::Latency : Preference::Coverage,
             static_cast<double>(Random() % 5) / 4,
             static_cast<std::uint32_t>(1 + Random() % 30),
             milliseconds(20 + Random() % 200)};
  DeadlineAt = Now + Options.Deadline;
  Query = std::make_unique<QueryExecution>(
      Options, QueryPolicies{Snapshots, Replicas, Hedging, Budget});
  if (chance(5))
    Events.emplace(soon(50), [this] { apply(Query->onCallerCancel(Now)); });
  apply(Query->start(Now));
  require(Query->onResponse({9999, 0, 42, {}, nullptr}, Now).empty(),
          "a response to nothing has no effect");
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
  require(Hedges <= 0.05 * Primaries + 10, "hedges within their budget");
  require(Retries <= 0.05 * Primaries + 10, "retries within their budget");
  return Broken;
}

} // namespace

TEST_CASE("answers are whole, truthful and of one snapshot in any schedule") {
  std::uint32_t restarts = 0, hedges = 0, retries = 0, complete = 0;
  for (std::uint64_t seed = 0; seed < 3000; ++seed) {
    World world(seed);
    for (int n = 0; n < 8; ++n) {
      INFO("seed " << seed << " query " << n);
      REQUIRE(world.runQuery() == std::vector<std::string>{});
    }
    restarts += world.Restarts;
    hedges += world.Hedges;
    retries += world.Retries;
    complete += world.Complete;
  }
  // Guards against a simulation that no longer reaches these paths.
  CHECK(restarts > 100);
  CHECK(hedges > 100);
  CHECK(retries > 100);
  CHECK(complete > 1000);
}

TEST_CASE("the checker reports broken collaborators") {
  const auto breaks = [](Tampering tampering, const std::string &rule) {
    for (std::uint64_t seed = 0; seed < 50; ++seed) {
      const auto broken = World(seed, tampering).runQuery();
      if (std::ranges::find(broken, rule) != broken.end())
        return true;
    }
    return false;
  };
  CHECK(breaks({.ForeignHits = true}, "every hit is of the answer's snapshot"));
  CHECK(breaks({.RepeatedHit = true}, "no id stands twice"));
}

TEST_CASE("merge equals sorting everything") {
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
