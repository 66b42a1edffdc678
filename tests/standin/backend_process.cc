#include "standin/backend_process.h"

#include <nlohmann/json.hpp>

// One event loop serves all replicas, so one or two processes suffice for a
// whole service. The replicas share the journal and the count of repeated
// sub-requests, so both cover all replicas of the process.

namespace galenaflow::standin {

using nlohmann::json;
using state::ErrorCode;
using state::makeError;
using transport::jsonResponse;

state::Result<std::string> BackendProcess::start(std::string_view config) {
  const json root = json::parse(config, nullptr, false);
  if (!root.is_object() || !root.contains("replicas"))
    return makeError(ErrorCode::InvalidArgument, "malformed configuration");
  const json defaults = root.value("defaults", json::object());
  const auto seed = root.value("seed", std::uint64_t{1});
  for (const json &item : root.at("replicas"))
    if (const auto added = addReplica(defaults, item, seed); !added)
      return tl::unexpected(added.error());

  Control = std::make_unique<transport::HttpServer>(
      Loop, transport::HttpServerOptions{},
      [this](const transport::HttpRequest &request, const auto &responder) {
        responder->send(control(request));
      });
  const auto address =
      transport::parseSocketAddress(root.value("control", "127.0.0.1:0"));
  if (!address)
    return tl::unexpected(address.error());
  const auto bound = Control->listen(*address);
  if (!bound)
    return tl::unexpected(bound.error());
  json report = {{"control", bound->toText()}, {"replicas", json::object()}};
  for (const auto &[id, replica] : Replicas)
    report["replicas"][id] = replica->address();
  return report.dump();
}

state::Result<bool> BackendProcess::addReplica(const json &defaults,
                                               const json &item,
                                               std::uint64_t seed) {
  json merged = defaults;
  merged.update(item);
  auto replica = std::make_unique<BackendReplica>(Loop, Log, merged, seed);
  if (replica->id().empty() || Replicas.contains(replica->id()))
    return makeError(ErrorCode::InvalidArgument, "missing or repeated id");
  const std::string fault = replica->apply(merged);
  if (!fault.empty())
    return makeError(ErrorCode::InvalidArgument, replica->id() + ": " + fault);
  if (const auto listening = replica->listen(); !listening)
    return tl::unexpected(listening.error());
  Replicas.emplace(replica->id(), std::move(replica));
  return true;
}

transport::HttpResponse
BackendProcess::control(const transport::HttpRequest &request) {
  constexpr std::string_view prefix = "/control/replicas/";
  if (request.Method == "POST" && request.Path.starts_with(prefix))
    return change(request.Path.substr(prefix.size()), request.Body);
  if (request.Path == "/control/stats")
    return jsonResponse(200, stats());
  if (request.Path == "/control/journal")
    return jsonResponse(200, journal());
  return jsonResponse(404, R"({"error":"no such path"})");
}

transport::HttpResponse BackendProcess::change(const std::string &id,
                                               const std::string &body) {
  const json changes = json::parse(body, nullptr, false);
  bool found = false;
  for (const auto &[name, replica] : Replicas) {
    if (id != "*" && id != name)
      continue;
    found = true;
    const std::string fault = replica->apply(changes);
    if (!fault.empty())
      return jsonResponse(400, json{{"error", fault}}.dump());
  }
  return found ? jsonResponse(200, "{}")
               : jsonResponse(404, R"({"error":"no such replica"})");
}

std::string BackendProcess::stats() const {
  json replicas = json::object();
  for (const auto &[id, replica] : Replicas)
    replicas[id] = replica->stats();
  return json{{"repeated_sub_requests", Log.RepeatedSubRequests},
              {"replicas", std::move(replicas)}}
      .dump();
}

std::string BackendProcess::journal() const {
  json writes = json::array();
  for (const JournalEntry &entry : Log.Journal)
    writes.push_back({{"replica", entry.Replica},
                      {"key", entry.Key},
                      {"body_sha256", entry.BodySha256},
                      {"sub_request_id", entry.SubRequestId},
                      {"started_ms", entry.StartedMs}});
  return json{{"writes", std::move(writes)}}.dump();
}

} // namespace galenaflow::standin
