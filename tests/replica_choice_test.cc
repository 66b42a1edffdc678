#include "coordination/hedge_policy.h"
#include "coordination/read_execution.h"
#include "coordination/replica_selector.h"
#include "coordination/snapshot_selector.h"
#include "coordination/write_execution.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <random>
#include <set>

using namespace galenaflow::coordination;
using namespace galenaflow::state;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr TimePoint Start{std::chrono::hours(1)};

TopologyPtr makePool(std::size_t replicas) {
  auto topology = std::make_shared<Topology>();
  Service &service = topology->Services["commesse"];
  service.Name = "commesse";
  for (std::size_t i = 0; i < replicas; ++i)
    service.Replicas.push_back({"r" + std::to_string(i), "", ""});
  return topology;
}

std::vector<ReplicaId> replicaIds(const Topology &topology) {
  std::vector<ReplicaId> ids;
  for (const Replica &it : topology.findService("commesse")->Replicas)
    ids.push_back(it.Id);
  return ids;
}

struct Pool {
  explicit Pool(std::size_t replicas, std::uint64_t seed = 1)
      : Topology(makePool(replicas)),
        Ids(std::make_shared<std::vector<ReplicaId>>(replicaIds(*Topology))),
        Selector(Outliers, std::mt19937_64(seed)) {
    Selector.setTopology(*Topology);
  }

  void recordAttempt(std::size_t replica, AttemptOutcome outcome,
                     Duration elapsed, TimePoint now) {
    Selector.onSent((*Ids)[replica], now);
    Selector.onEnded((*Ids)[replica], outcome, elapsed, now);
  }

  TopologyPtr Topology;
  std::shared_ptr<const std::vector<ReplicaId>> Ids;
  OutlierDetector Outliers;
  AdaptiveReplicaSelector Selector;
};

struct NoSnapshots final : SnapshotSelector {
  std::optional<SnapshotChoice> select(std::string_view,
                                       std::span<const SnapshotId>) override {
    return std::nullopt;
  }
};

} // namespace

// Guards against slow replicas that receive their full share of the work, or
// that are never used again.
TEST_CASE("a slow replica receives little work but is still tried") {
  Pool pool(4);
  TimePoint now = Start;
  std::map<std::size_t, int> chosen;
  for (int n = 0; n < 4000; ++n) {
    now += milliseconds(1);
    const auto i = pool.Selector.choose({*pool.Ids}, now);
    REQUIRE(i);
    ++chosen[*i];
    pool.recordAttempt(*i, AttemptOutcome::Succeeded,
                       milliseconds(*i == 2 ? 50 : 5), now);
  }
  CHECK(chosen[2] < 40);
  CHECK(chosen[2] > 0);
  for (const std::size_t i : {0, 1, 3})
    CHECK(chosen[i] > 400);
}

// Guards against work that is sent to a draining replica because one of the
// sources that report the draining is stale.
TEST_CASE("any sign of draining stops new work immediately") {
  Pool pool(2);
  const auto chosenReplicas = [&] {
    std::set<std::size_t> seen;
    for (int n = 0; n < 50; ++n)
      if (const auto i = pool.Selector.choose({*pool.Ids}, Start))
        seen.insert(*i);
    return seen;
  };
  CHECK(chosenReplicas().size() == 2);
  pool.Selector.onDraining("r0");
  CHECK(chosenReplicas() == std::set<std::size_t>{1});
  pool.Selector.setLeaving("r0", true);
  pool.Selector.onHealth("r0", ReplicaHealth::Serving, Start);
  // The health poll lags behind the VM list.
  CHECK(chosenReplicas() == std::set<std::size_t>{1});
  pool.Selector.onHealth("r1", ReplicaHealth::Starting, Start);
  CHECK(chosenReplicas().empty());
}

// Guards against a pool whose replicas are all ejected after common failures,
// and against ejections that never end.
TEST_CASE("at most half of a pool is ejected, and a successful probe "
          "re-admits") {
  for (std::uint64_t seed = 0; seed < 300; ++seed) {
    INFO("seed " << seed);
    std::mt19937_64 random(seed);
    Pool pool(1 + random() % 8, seed);
    const std::size_t size = pool.Ids->size();
    TimePoint now = Start;
    for (int n = 0; n < 500; ++n) {
      now += milliseconds(random() % 20);
      const bool ok = random() % 10 == 0;
      pool.recordAttempt(random() % size,
                         ok ? AttemptOutcome::Succeeded
                            : AttemptOutcome::Failed,
                         milliseconds(5), now);
      const auto ejected =
          std::ranges::count_if(*pool.Ids, [&](const auto &id) {
            return pool.Outliers.isEjected(id);
          });
      REQUIRE(static_cast<std::size_t>(ejected) <= size / 2);
      REQUIRE(pool.Selector.choose({*pool.Ids}, now));
    }
    now += seconds(61);
    for (std::size_t i = 0; i < size; ++i) {
      REQUIRE(pool.Outliers.mayUse((*pool.Ids)[i], now));
      pool.recordAttempt(i, AttemptOutcome::Succeeded, milliseconds(5), now);
      REQUIRE(!pool.Outliers.isEjected((*pool.Ids)[i]));
    }
  }
}

// Guards against replicas that stay ejected because a cancelled or refused
// probe still counts as open.
TEST_CASE("an open probe blocks further work until it ends with any outcome") {
  for (const auto outcome :
       {AttemptOutcome::Cancelled, AttemptOutcome::NotRun}) {
    Pool pool(4);
    for (int n = 0; n < 5; ++n)
      pool.recordAttempt(0, AttemptOutcome::Failed, milliseconds(1), Start);
    REQUIRE(pool.Outliers.isEjected("r0"));
    CHECK(!pool.Outliers.mayUse("r0", Start));
    const TimePoint later = Start + seconds(2);
    pool.Selector.onSent("r0", later);
    CHECK(!pool.Outliers.mayUse("r0", later));
    pool.Selector.onEnded("r0", outcome, milliseconds(1), later);
    CHECK(pool.Outliers.mayUse("r0", later));
  }
}

// Guards against a replica that responds without errors but so slowly that it
// delays every query of its shard.
TEST_CASE("a replica that is far slower than the others of its service is "
          "ejected") {
  Pool pool(5);
  for (int n = 0; n < 30; ++n)
    for (std::size_t i = 0; i < 5; ++i)
      pool.recordAttempt(i, AttemptOutcome::Succeeded,
                         milliseconds(i == 3 ? 60 : 6), Start);
  pool.Outliers.ejectSlowReplicas(Start);
  for (std::size_t i = 0; i < 5; ++i)
    CHECK(pool.Outliers.isEjected((*pool.Ids)[i]) == (i == 3));
}

// Guards against an estimate below the exact quantile, or more than 12.5 %
// above it.
TEST_CASE("the estimated quantile exceeds the exact one by at most a bucket") {
  for (std::uint64_t seed = 0; seed < 200; ++seed) {
    INFO("seed " << seed);
    std::mt19937_64 random(seed);
    std::lognormal_distribution<double> latency(8, 1);
    LatencyQuantile it(0.95, 1000000);
    std::vector<std::int64_t> all;
    for (int n = 0; n < 3200; ++n) {
      all.push_back(static_cast<std::int64_t>(latency(random)));
      it.add(Duration(all.back()));
    }
    std::ranges::sort(all);
    const auto exact = static_cast<double>(all[all.size() * 95 / 100 - 1]);
    const auto got = static_cast<double>(it.value()->count());
    REQUIRE(got >= exact);
    REQUIRE(got <= exact * 1.125 + 1);
  }
}

// Guards against queries on a snapshot that some shards cannot serve, while a
// complete one exists.
TEST_CASE("the newest complete snapshot is chosen, otherwise the one that "
          "most shards serve") {
  auto topology = std::make_shared<Topology>();
  Service &service = topology->Services["archivio"];
  for (const char *id : {"a0", "a1", "b0", "b1"})
    service.Replicas.push_back({id, "", ""});
  service.Layouts = {{3, {{0, {"a0", "b0"}}, {1, {"a1", "b1"}}}},
                     {4, {{0, {"a0"}}, {1, {"a1"}}, {2, {"b1"}}}}};
  LoadReportSnapshotSelector selector;
  selector.setTopology(topology);
  const auto chosen = [&](std::vector<SnapshotId> excluded = {}) {
    const auto it = selector.select("archivio", excluded);
    return it ? it->Snapshot : 0;
  };
  CHECK(chosen() == 0);
  selector.onLoadReport("a0", {{41, 3}, {42, 4}});
  selector.onLoadReport("b1", {{41, 3}});
  CHECK(chosen() == 41); // 42 lacks shards 1 and 2 of its layout
  CHECK(chosen({41}) == 42);
  selector.onLoadReport("a1", {{41, 3}, {42, 4}});
  selector.onLoadReport("b1", {{42, 4}});
  CHECK(chosen() == 42);
  selector.setUsable("b1", false);
  CHECK(chosen() == 41);
}

// Guards against a retry after a send that may have run, and against a wrong
// not_run.
TEST_CASE("a write runs at most once, and not_run is reported exactly if it "
          "cannot have run") {
  for (std::uint64_t seed = 0; seed < 5000; ++seed) {
    INFO("seed " << seed);
    std::mt19937_64 random(seed);
    Pool pool(1 + random() % 5, seed);
    NoSnapshots snapshots;
    AdaptiveHedgePolicy hedging;
    RatioRetryBudget retries;
    TimePoint now = Start;
    WriteExecution write({pool.Ids, milliseconds(100)},
                         {snapshots, pool.Selector, hedging, retries});
    int mayHaveRun = 0;
    WriteActions actions = write.start(now);
    std::unique_ptr<WriteOutcome> outcome;
    while (!outcome) {
      std::optional<SendSubRequest> sent;
      for (WriteAction &it : actions) {
        if (const auto *send = std::get_if<SendSubRequest>(&it)) {
          REQUIRE(mayHaveRun == 0); // nothing is sent after a possible run
          REQUIRE(!sent);
          sent = *send;
        } else if (auto *finish = std::get_if<FinishWrite>(&it)) {
          outcome = std::move(finish->Outcome);
        }
      }
      if (!sent)
        break;
      now += milliseconds(random() % 40);
      const std::uint64_t event = random() % 5;
      mayHaveRun += event < 3 ? 1 : 0;
      if (event == 0)
        actions = write.onResponse({sent->Number, 200, {}, nullptr}, now);
      else if (event == 1) // no response
        actions = write.onTimer(now = Start + milliseconds(100));
      else
        actions = write.onFailure(
            {sent->Number, FailureReason::ConnectionFailed, event == 2}, now);
    }
    REQUIRE(outcome);
    REQUIRE((outcome->Ran == ExecutionState::NotRun) == (mayHaveRun == 0));
    REQUIRE((outcome->Ran == ExecutionState::Ran) ==
            !outcome->Error.has_value());
    REQUIRE(write.onResponse({0, 200, {}, nullptr}, now).empty());
    REQUIRE(write.onTimer(now + seconds(1)).empty());
  }
}

// Guards against hedges to the same replica, repeated hedges, and attempts that
// stay open after the answer.
TEST_CASE("a read is hedged once, and the slower attempt is cancelled") {
  Pool pool(3);
  NoSnapshots snapshots;
  AdaptiveHedgePolicy hedging;
  RatioRetryBudget retries;
  for (int n = 0; n < 100; ++n)
    hedging.onLatency(milliseconds(5));
  ReadExecution read({pool.Ids, Preference::Latency, milliseconds(100)},
                     {snapshots, pool.Selector, hedging, retries});
  const auto first = read.start(Start);
  REQUIRE(first.size() == 2);
  const auto hedgeAt = std::get<SetTimer>(first[1]).At;
  CHECK(hedgeAt < Start + milliseconds(7));
  const auto second = read.onTimer(hedgeAt);
  REQUIRE(second.size() == 2);
  CHECK(std::get<SendSubRequest>(second[0]).Replica !=
        std::get<SendSubRequest>(first[0]).Replica);
  CHECK(std::get<SetTimer>(second[1]).At == Start + milliseconds(100));
  const auto last = read.onResponse({1, true, 41, "{}", nullptr}, hedgeAt);
  REQUIRE(last.size() == 2);
  CHECK(std::get<CancelSubRequest>(last[0]).Number == 0);
  CHECK(!std::get<FinishRead>(last[1]).Outcome->Error);
  CHECK(read.onResponse({0, true, 41, "{}", nullptr}, hedgeAt).empty());
  CHECK(read.counts().Discarded == 1);
  CHECK(pool.Selector.inFlight("r0") + pool.Selector.inFlight("r1") +
            pool.Selector.inFlight("r2") ==
        0);
}

// Guards against a p95 that falls with every hedge, because the slow attempts
// that hedges replace are missing from the samples; more and more reads would
// be hedged.
TEST_CASE("hedging does not lower its own p95") {
  std::mt19937_64 random(7);
  std::lognormal_distribution<double> latency(8, 1);
  Pool pool(2);
  NoSnapshots snapshots;
  AdaptiveHedgePolicy hedging;
  RatioRetryBudget retries;
  TimePoint now = Start;
  std::vector<std::int64_t> all;
  for (int n = 0; n < 20000; ++n) {
    ReadExecution read({pool.Ids, Preference::Latency, seconds(10)},
                       {snapshots, pool.Selector, hedging, retries});
    const auto drawLatency = [&] {
      return Duration(static_cast<std::int64_t>(latency(random)));
    };
    read.start(now);
    const Duration primary = drawLatency();
    all.push_back(primary.count());
    const auto p95 = hedging.p95();
    if (!p95 || primary <= *p95 || read.onTimer(now + *p95).size() < 2) {
      read.onResponse({0, true, 41, {}, nullptr}, now += primary);
      continue;
    }
    const Duration hedge = *p95 + drawLatency();
    const SubRequestNumber first = primary <= hedge ? 0 : 1;
    read.onResponse({first, true, 41, {}, nullptr},
                    now += std::min(primary, hedge));
  }
  std::ranges::sort(all);
  const auto exact = static_cast<double>(all[all.size() * 95 / 100]);
  const auto got = static_cast<double>(hedging.p95()->count());
  // The tolerances are a bucket's width and the sampling error of the last
  // 4,000 responses.
  CHECK(got > exact * 0.85);
  CHECK(got < exact * 1.3);
}
