#include "support/checks.h"

#include "standin/listing_data.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>

// The expected answer is computed by the functions from which the backend
// stand-in serves, so no second run is needed for comparison.

namespace galenaflow::support {

using nlohmann::json;

namespace {

/// Sets `covered` to the shards that the answer covers. Returns a fault if the
/// parts of the coverage contradict each other.
std::optional<std::string> readCoverage(const json &answer,
                                        std::uint32_t shardCount,
                                        std::vector<std::uint32_t> &covered) {
  const json &coverage = answer.at("coverage");
  std::set<std::uint32_t> missing;
  for (const json &item : coverage.value("missing", json::array()))
    if (!missing.insert(item.at("shard").get<std::uint32_t>()).second)
      return "a shard is listed as missing twice";
  for (std::uint32_t shard = 0; shard != shardCount; ++shard)
    if (!missing.contains(shard))
      covered.push_back(shard);
  if (coverage.at("asked").get<std::size_t>() != shardCount)
    return "coverage.asked is " + coverage.at("asked").dump() +
           ", expected the number of shards " + std::to_string(shardCount);
  if (coverage.at("answered").get<std::size_t>() != covered.size())
    return "coverage.answered is " + coverage.at("answered").dump() +
           ", expected " + std::to_string(covered.size());
  if (answer.at("complete").get<bool>() != missing.empty())
    return "complete contradicts the list of missing shards";
  return std::nullopt;
}

} // namespace

std::optional<std::string> findAnswerFault(const json &answer,
                                           const ServiceSpec &service,
                                           std::uint32_t shardCount,
                                           std::string_view query,
                                           std::size_t limit) {
  if (!answer.is_object() || !answer.contains("hits") ||
      !answer.contains("coverage"))
    return "expected an answer with hits and coverage, got: " + answer.dump();
  std::vector<std::uint32_t> covered;
  if (auto fault = readCoverage(answer, shardCount, covered))
    return fault;
  const standin::ListingIndex index{service.Name,
                                    answer.at("snapshot").get<std::uint64_t>(),
                                    service.Listings, shardCount};
  const auto expected = index.expectedHits(query, covered, limit);
  const json &hits = answer.at("hits");
  for (std::size_t i = 0; i != std::min(hits.size(), expected.size()); ++i)
    if (hits[i].at("id") != expected[i].Id)
      return "hit " + std::to_string(i) + " is " + hits[i].at("id").dump() +
             ", expected " + expected[i].Id;
  if (hits.size() != expected.size())
    return std::to_string(hits.size()) + " hits, expected " +
           std::to_string(expected.size());
  return std::nullopt;
}

std::optional<std::string> findJournalFault(const json &journal) {
  std::set<std::string> seen;
  for (const json &entry : journal.at("writes")) {
    const auto key = entry.at("key").get<std::string>();
    if (!seen.insert(key).second)
      return "key " + key + " ran more than once";
  }
  return std::nullopt;
}

std::size_t countRuns(const json &journal, std::string_view key) {
  const json &writes = journal.at("writes");
  return static_cast<std::size_t>(
      std::count_if(writes.begin(), writes.end(), [&](const json &entry) {
        return entry.at("key").get<std::string>() == key;
      }));
}

transport::HttpResponse CallerClient::send(transport::HttpRequest request) {
  request.Headers.add("authorization", "Bearer " + Key);
  return System.call(Address, request);
}

transport::HttpResponse CallerClient::search(const std::string &service,
                                             const std::string &query,
                                             std::size_t limit) {
  const json body = {{"service", service}, {"query", query}, {"limit", limit}};
  return send({"POST", "/v1/search", {}, body.dump()});
}

transport::HttpResponse CallerClient::suggest(const std::string &service,
                                              const std::string &prefix,
                                              std::size_t limit) {
  const json body = {
      {"service", service}, {"prefix", prefix}, {"limit", limit}};
  return send({"POST", "/v1/suggest", {}, body.dump()});
}

transport::HttpResponse CallerClient::read(const std::string &service,
                                           const std::string &id) {
  return send({"GET", "/v1/records/" + service + "/" + id, {}, ""});
}

transport::HttpResponse CallerClient::write(const std::string &service,
                                            const std::string &idempotencyKey,
                                            const std::string &body) {
  transport::HttpRequest request{"POST", "/v1/writes/" + service, {}, body};
  request.Headers.add("idempotency-key", idempotencyKey);
  return send(std::move(request));
}

std::string CallerClient::requestKey() {
  const json answer = json::parse(
      send({"POST", "/v1/request-ids", {}, ""}).Body, nullptr, false);
  return answer.is_object() ? answer.value("id", "") : "";
}

} // namespace galenaflow::support
