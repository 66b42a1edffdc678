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

/// A cell without violations: a search, a write that ran, and a write that was
/// refused.
Observation validObservation() {
  Observation observation;
  observation.Sharded = Sharded;
  observation.Calls = {
      {Operation::Search, "r-1", "vane", 200, searchAnswer("vane").dump()},
      {Operation::Write, "r-2", "key-2", 200, R"({"request_id":"r-2"})"},
      {Operation::Write, "r-3", "key-3", 503,
       R"({"error":{"request_id":"r-3","ran":"not_run"}})"}};
  observation.Journal = json::parse(R"({"writes":[{"key":"key-2"}]})");
  observation.PublishedPlans = 2;
  observation.PlanVersions = {{1, 1, 2}, {1, 2}};
  return observation;
}

bool reports(const Observation &observation, const std::string &invariant) {
  const auto violations = findFaults(observation);
  return std::any_of(
      violations.begin(), violations.end(),
      [&](const std::string &text) { return text.starts_with(invariant); });
}

Observation observationWithAnswer(const json &answer) {
  Observation observation = validObservation();
  observation.Calls[0].Body = answer.dump();
  return observation;
}

} // namespace

// Guards against a checker that misses violations, or that reports allowed
// results.
TEST_CASE("the invariant checker of the fault matrix reports each violation") {
  CHECK(findFaults(validObservation()).empty());

  json answer = searchAnswer("vane");
  answer["snapshot"] = 42;
  CHECK(reports(observationWithAnswer(answer), "snapshot and coverage"));
  answer = searchAnswer("vane");
  answer["hits"].erase(3);
  CHECK(reports(observationWithAnswer(answer), "snapshot and coverage"));
  answer = searchAnswer("vane");
  answer["coverage"]["answered"] = 3;
  CHECK(reports(observationWithAnswer(answer), "snapshot and coverage"));
  CHECK(reports(observationWithAnswer(searchAnswer("leaf")),
                "snapshot and coverage"));
  answer = searchAnswer("vane");
  answer["request_id"] = "r-9";
  CHECK(reports(observationWithAnswer(answer), "own answer"));

  Observation observation = validObservation();
  observation.Journal["writes"].push_back({{"key", "key-3"}});
  CHECK(reports(observation, "not run"));
  observation = validObservation();
  observation.Journal["writes"].push_back({{"key", "key-2"}});
  CHECK(reports(observation, "at most once"));
  observation = validObservation();
  observation.Journal["writes"] = json::array();
  CHECK(reports(observation, "own answer"));
  observation = validObservation();
  observation.PlanVersions[0] = {2, 1, 2};
  CHECK(reports(observation, "configuration"));
  observation = validObservation();
  observation.PlanVersions[1] = {1, 1};
  CHECK(reports(observation, "configuration"));
}
