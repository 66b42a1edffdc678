#include "scenario.h"

#include "state/uuid.h"

#include <nlohmann/json.hpp>

// Queries are drawn from a bounded set of words, so that runs with the same
// seed send the same requests in the same order on each thread.

namespace galenaflow::bench {

using nlohmann::json;

namespace {

constexpr std::uint64_t QueryCount = 10'000;

LoadItem readItem(const json &in) {
  LoadItem item;
  item.Operation = in.value("operation", "search");
  item.Name = in.value("name", item.Operation);
  item.Service = in.value("service", "");
  item.Key = in.value("key", "");
  item.Priority = in.value("priority", "");
  item.Weight = in.value("weight", 1.0);
  item.Limit = in.value("limit", 20U);
  item.DeadlineMs = in.value("deadline_ms", 1000U);
  return item;
}

Phase readPhase(const json &in) {
  Phase phase;
  phase.Name = in.value("name", "phase");
  phase.Seconds = in.value("seconds", 1.0);
  phase.Rate = in.value("rate", 100.0);
  phase.Weights = in.value("weights", std::vector<double>{});
  for (const json &call : in.value("controls", json::array()))
    phase.Controls.push_back({call.value("address", ""), call.value("path", ""),
                              call.value("body", json::object()).dump()});
  return phase;
}

} // namespace

state::Result<Scenario> parseScenario(std::string_view text) {
  const json root = json::parse(text, nullptr, false);
  if (!root.is_object())
    return state::makeError(state::ErrorCode::InvalidArgument,
                            "the scenario must be a JSON object");
  Scenario scenario;
  scenario.Seed = root.value("seed", std::uint64_t{1});
  scenario.Threads = std::max(root.value("threads", 2U), 1U);
  scenario.Connections = std::max(root.value("connections", 64U), 1U);
  scenario.Targets = root.value("targets", std::vector<std::string>{});
  scenario.StatsAddresses =
      root.value("stats_addresses", std::vector<std::string>{});
  scenario.MetricsAddresses =
      root.value("metrics_addresses", std::vector<std::string>{});
  for (const json &item : root.value("mix", json::array()))
    scenario.Mix.push_back(readItem(item));
  for (const json &phase : root.value("phases", json::array()))
    scenario.Phases.push_back(readPhase(phase));
  for (const Phase &phase : scenario.Phases)
    if (!phase.Weights.empty() && phase.Weights.size() != scenario.Mix.size())
      return state::makeError(state::ErrorCode::InvalidArgument,
                              "each phase must have as many weights as the mix "
                              "has items");
  if (scenario.Targets.empty() || scenario.Mix.empty() ||
      scenario.Phases.empty())
    return state::makeError(state::ErrorCode::InvalidArgument,
                            "targets, mix and phases must not be empty");
  return scenario;
}

transport::HttpRequest buildRequest(const LoadItem &item,
                                    std::mt19937_64 &rng) {
  const std::string word = "q" + std::to_string(rng() % QueryCount);
  transport::HttpRequest request;
  request.Headers.add("authorization", "Bearer " + item.Key);
  request.Headers.add("x-deadline-ms", std::to_string(item.DeadlineMs));
  if (item.Operation == "read") {
    request.Method = "GET";
    request.Path = "/v1/records/" + item.Service + "/" + word;
    return request;
  }
  request.Method = "POST";
  if (item.Operation == "write") {
    state::SystemClock clock;
    request.Path = "/v1/writes/" + item.Service;
    request.Headers.add("idempotency-key",
                        state::makeUuidV7(clock.wallNow(), rng).Text);
    request.Body = json{{"claim", word}}.dump();
    return request;
  }
  request.Path = "/v1/" + item.Operation;
  json body = {{"service", item.Service}, {"limit", item.Limit}};
  body[item.Operation == "suggest" ? "prefix" : "query"] = word;
  if (!item.Priority.empty())
    body["priority"] = item.Priority;
  request.Body = body.dump();
  return request;
}

} // namespace galenaflow::bench
