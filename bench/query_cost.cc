#include "coordination/hedge_policy.h"
#include "coordination/query_execution.h"
#include "coordination/replica_selector.h"
#include "coordination/retry_budget.h"

#include <cstdio>
#include <cstdlib>
#include <malloc.h>
#include <new>

// Measures the cost of the decisions of a query, without sockets and parsing:
// the bytes of heap that an open query holds and, under
// `valgrind --tool=callgrind`, the instructions.
//
//   query_cost [SHARDS [QUERIES]]
//
// Without arguments it prints the memory for the sizes of the design page.
// The instructions per sub-request are the difference between two runs with
// different numbers of queries, divided by the number of added sub-requests.

using namespace galenaflow::coordination;
using namespace galenaflow::state;

namespace {

std::size_t LiveBytes = 0;

} // namespace

void *operator new(std::size_t n) {
  void *it = std::malloc(n);
  if (!it)
    std::abort();
  LiveBytes += malloc_usable_size(it);
  return it;
}

void operator delete(void *it) noexcept {
  LiveBytes -= malloc_usable_size(it);
  std::free(it);
}

void operator delete(void *it, std::size_t) noexcept { operator delete(it); }

namespace {

struct FixedSnapshot final : SnapshotSelector {
  SnapshotChoice Choice;

  std::optional<SnapshotChoice> select(std::string_view,
                                       std::span<const SnapshotId>) override {
    return Choice;
  }
};

SnapshotChoice makeChoice(std::size_t shards) {
  auto layout = std::make_shared<Layout>();
  for (std::size_t i = 0; i < shards; ++i) {
    const std::string name = "archivio-" + std::to_string(i);
    layout->Shards.push_back(
        {static_cast<ShardNumber>(i), {name + "-a", name + "-b"}});
  }
  return {41, layout};
}

struct Usage {
  std::size_t OpenBytes = 0;     ///< after the fan-out
  std::size_t AnsweredBytes = 0; ///< with all responses but one
};

/// Returns ten hits of a shard. They refer to `ids`, because the response
/// bodies belong to the transport.
std::vector<Hit> tenHits(std::size_t shard,
                         const std::vector<std::string> &ids) {
  std::vector<Hit> hits;
  hits.reserve(10);
  for (std::size_t k = 0; k < 10; ++k)
    hits.push_back({ids[shard * 10 + k], 100.0 - static_cast<double>(k), {}});
  return hits;
}

/// Runs one query in which every shard responds.
Usage runQuery(QueryPolicies policies, std::size_t shards,
               const std::vector<std::string> &ids, TimePoint now) {
  Usage usage;
  const std::size_t before = LiveBytes;
  QueryExecution query({"archivio", Preference::Latency, 0.9, 50,
                        std::chrono::milliseconds(150)},
                       policies);
  query.start(now); // its actions count as executed at once
  usage.OpenBytes = LiveBytes - before + sizeof(QueryExecution);
  for (std::size_t i = 0; i < shards; ++i) {
    if (i + 1 == shards)
      usage.AnsweredBytes = LiveBytes - before + sizeof(QueryExecution);
    now += Duration(5);
    query.onResponse({static_cast<SubRequestNumber>(i),
                      static_cast<ShardNumber>(i), 41, tenHits(i, ids),
                      nullptr},
                     now);
  }
  return usage;
}

Usage run(std::size_t shards, int queries) {
  FixedSnapshot snapshots;
  snapshots.Choice = makeChoice(shards);
  OutlierDetector outliers;
  AdaptiveReplicaSelector replicas(outliers, std::mt19937_64(1));
  AdaptiveHedgePolicy hedging;
  RatioRetryBudget retries;
  std::vector<std::string> ids;
  ids.reserve(shards * 10);
  for (std::size_t i = 0; i < shards * 10; ++i)
    ids.push_back("listing-" + std::to_string(i));
  TimePoint now{std::chrono::hours(1)};
  Usage usage;
  for (int n = 0; n < queries; ++n) {
    usage = runQuery({snapshots, replicas, hedging, retries}, shards, ids, now);
    now += std::chrono::milliseconds(10);
  }
  return usage;
}

void print(std::size_t shards, int queries) {
  const Usage usage = run(shards, queries);
  std::printf("shards=%zu queries=%d open_bytes=%zu answered_bytes=%zu\n",
              shards, queries, usage.OpenBytes, usage.AnsweredBytes);
}

} // namespace

int main(int argc, char **argv) {
  if (argc > 1) {
    print(std::strtoul(argv[1], nullptr, 10),
          argc > 2 ? std::atoi(argv[2]) : 10);
    return 0;
  }
  for (const std::size_t shards : {20, 100, 400, 1200})
    print(shards, 10);
  return 0;
}
