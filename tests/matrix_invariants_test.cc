#include "matrix/invariants.h"
#include "standin/listing_data.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace galenaflow;
using namespace galenaflow::matrix;
using nlohmann::json;

namespace {

const support::ServiceSpec Sharded{"archivio", 4, 2};

json searchAnswer(const std::string &query) {
  const standin::ListingIndex index{"archivio", 41, Sharded.Listings, 4};
  json hits = json::array();
  for (const auto &hit : index.expectedHits(query, SearchLimit))
    hits.push_back({{"id", hit.Id}, {"score", hit.Score}});
  return {
      {"request_id", "r-1"},
      {"snapshot", 41},
      {"complete", true},
      {"coverage", {{"asked", 4}, {"answered", 4}, {"missing", json::array()}}},
      {"hits", hits}};
}

/// A search, a write that ran and a write that was refused.
Observation sound() {
  Observation seen;
  seen.Sharded = Sharded;
  seen.Calls = {
      {Operation::Search, "r-1", "vane", 200, searchAnswer("vane").dump()},
      {Operation::Write, "r-2", "key-2", 200, R"({"request_id":"r-2"})"},
      {Operation::Write, "r-3", "key-3", 503,
       R"({"error":{"request_id":"r-3","ran":"not_run"}})"}};
  seen.Journal = json::parse(R"({"writes":[{"key":"key-2"}]})");
  seen.PublishedPlans = 2;
  seen.PlanVersions = {{1, 1, 2}, {1, 2}};
  return seen;
}

bool reports(const Observation &seen, const std::string &invariant) {
  const auto faults = findFaults(seen);
  return std::any_of(
      faults.begin(), faults.end(),
      [&](const std::string &text) { return text.starts_with(invariant); });
}

Observation withAnswer(const json &answer) {
  Observation seen = sound();
  seen.Calls[0].Body = answer.dump();
  return seen;
}

} // namespace

// Guards against a checker that reports nothing, or reports what is allowed.
TEST_CASE("the checker of the fault matrix reports each broken invariant") {
  CHECK(findFaults(sound()).empty());

  json answer = searchAnswer("vane");
  answer["snapshot"] = 42;
  CHECK(reports(withAnswer(answer), "snapshot and coverage"));
  answer = searchAnswer("vane");
  answer["hits"].erase(3);
  CHECK(reports(withAnswer(answer), "snapshot and coverage"));
  answer = searchAnswer("vane");
  answer["coverage"]["answered"] = 3;
  CHECK(reports(withAnswer(answer), "snapshot and coverage"));
  CHECK(reports(withAnswer(searchAnswer("leaf")), "snapshot and coverage"));
  answer = searchAnswer("vane");
  answer["request_id"] = "r-9";
  CHECK(reports(withAnswer(answer), "own answer"));

  Observation seen = sound();
  seen.Journal["writes"].push_back({{"key", "key-3"}});
  CHECK(reports(seen, "not run"));
  seen = sound();
  seen.Journal["writes"].push_back({{"key", "key-2"}});
  CHECK(reports(seen, "at most once"));
  seen = sound();
  seen.Journal["writes"] = json::array();
  CHECK(reports(seen, "own answer"));
  seen = sound();
  seen.PlanVersions[0] = {2, 1, 2};
  CHECK(reports(seen, "configuration"));
  seen = sound();
  seen.PlanVersions[1] = {1, 1};
  CHECK(reports(seen, "configuration"));
}
