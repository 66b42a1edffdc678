#include "daemon/operator_service.h"

#include "protocol/plan_documents.h"

#include <nlohmann/json.hpp>

namespace galenaflow::daemon {

using nlohmann::json;
using protocol::ConfigKey;
using transport::HttpResponse;
using transport::jsonResponse;

namespace {

constexpr std::string_view RequestsPath = "/v1/requests/";

/// Names and addresses are valid UTF-8. Any invalid byte is replaced, since
/// dump() would throw otherwise.
HttpResponse makeJsonResponse(int status, const json &body) {
  return jsonResponse(
      status, body.dump(2, ' ', false, json::error_handler_t::replace) + "\n");
}

json versionsJson(const coordination::ConfigVersionVector &versions) {
  json result = json::object();
  for (std::size_t i = 0; i != versions.size(); ++i)
    result[std::string(protocol::configKeyName(static_cast<ConfigKey>(i)))] =
        versions[i];
  return result;
}

} // namespace

std::string_view daemonPhaseName(DaemonPhase phase) {
  switch (phase) {
  case DaemonPhase::Starting:
    return "starting";
  case DaemonPhase::Serving:
    return "serving";
  case DaemonPhase::Draining:
    return "draining";
  }
  return "starting";
}

OperatorService::OperatorService(transport::EventLoop &loop,
                                 OperatorSources sources)
    : Loop(loop), Sources(std::move(sources)), Started(loop.now()) {}

void OperatorService::handle(
    const transport::HttpRequest &request,
    const std::shared_ptr<transport::HttpResponder> &responder) {
  const std::string_view path = request.Path;
  if (request.Method != "GET")
    responder->send(
        makeJsonResponse(405, {{"error", "only GET is supported"}}));
  else if (path == "/healthz")
    responder->send(health());
  else if (path == "/metrics")
    responder->send(metrics());
  else if (path == "/v1/status")
    responder->send(status());
  else if (path == "/v1/plans")
    responder->send(plans());
  else if (path == "/v1/backends")
    responder->send(backends());
  else if (path == "/v1/peers")
    responder->send(peers());
  else if (path.starts_with(RequestsPath))
    Sources.Records.find(
        std::string(path.substr(RequestsPath.size())),
        [responder](bool found, std::string body) {
          responder->send(jsonResponse(found ? 200 : 404, std::move(body)));
        });
  else
    responder->send(makeJsonResponse(404, {{"error", "no such endpoint"}}));
}

HttpResponse OperatorService::health() const {
  const DaemonPhase phase = Sources.Phase();
  return makeJsonResponse(phase == DaemonPhase::Serving ? 200 : 503,
                          {{"state", std::string(daemonPhaseName(phase))}});
}

HttpResponse OperatorService::metrics() const {
  HttpResponse response;
  response.Headers.add("content-type", "text/plain; version=0.0.4");
  Loop.receiveLimits().exportTo(Sources.Metrics);
  Loop.clientMemory().exportTo(Sources.Metrics);
  response.Body = Sources.Metrics.exposition();
  return response;
}

HttpResponse OperatorService::status() const {
  const auto uptime =
      std::chrono::duration_cast<std::chrono::seconds>(Loop.now() - Started);
  const coordination::ConfigDistribution &config = Sources.Fleet.config();
  json body;
  body["daemon"] = Sources.DaemonId;
  body["data_centre"] = Sources.DataCentre;
  body["state"] = daemonPhaseName(Sources.Phase());
  body["uptime_seconds"] = uptime.count();
  body["open_requests"] = Sources.OpenRequests();
  body["versions"] = versionsJson(config.versions());
  body["rejected_versions"] = json::object();
  for (std::size_t i = 0; i != protocol::ConfigKeyCount; ++i) {
    const auto key = static_cast<ConfigKey>(i);
    if (config.rejectedVersion(key) != 0)
      body["rejected_versions"][std::string(protocol::configKeyName(key))] =
          config.rejectedVersion(key);
  }
  body["reads_platform"] = Sources.Fleet.isReader();
  body["platform_reads"] = Sources.Fleet.platformReads();
  body["platform_stale"] = config.isPlatformStale();
  body["counted_alive"] = Sources.Fleet.membership().isCountedAlive();
  body["entitled"] = Sources.Shares.isEntitled();
  body["live_members"] = Sources.Fleet.membership().liveMembers().size();
  body["listed_members"] = Sources.Fleet.listedVms().size();
  return makeJsonResponse(200, body);
}

HttpResponse OperatorService::plans() const {
  json body = json::parse(protocol::renderCatalog(*Sources.Lists.catalog()),
                          nullptr, false);
  body["shares"] = json::array();
  for (const PlanShareStatus &row : Sources.Shares.status())
    body["shares"].push_back({{"plan", row.Plan},
                              {"rate_limit", row.RateLimit},
                              {"rate_here", row.RateAllowance},
                              {"concurrency_limit", row.ConcurrencyLimit},
                              {"concurrency_here", row.ConcurrencyAllowance},
                              {"concurrency_lent", row.ConcurrencyLent}});
  return makeJsonResponse(200, body);
}

HttpResponse OperatorService::backends() const {
  json rows = json::array();
  for (const ReplicaStatus &row : Sources.Backends.status())
    rows.push_back({{"service", row.Service},
                    {"replica", row.Replica},
                    {"address", row.Address},
                    {"data_centre", row.DataCentre},
                    {"usable", row.Usable},
                    {"ejected", row.Ejected},
                    {"in_flight", row.InFlight},
                    {"queued", row.Queued},
                    {"connections", row.Connections},
                    {"connection_share", row.ConnectionShare}});
  return makeJsonResponse(200,
                          {{"daemon", Sources.DaemonId}, {"backends", rows}});
}

HttpResponse OperatorService::peers() const {
  const coordination::ConfigVersionVector own =
      Sources.Fleet.config().versions();
  json rows = json::array();
  for (const PeerStatus &row : Sources.Fleet.peers())
    rows.push_back(
        {{"vm", row.Member.Vm.Id.Vm},
         {"instance", row.Member.Vm.Id.Instance},
         {"address", row.Member.Vm.Address},
         {"data_centre", row.Member.Vm.DataCentre},
         {"state", std::string(protocol::memberStateName(row.Member.State))},
         {"incarnation", row.Member.Incarnation},
         {"listed", row.Member.IsListed},
         {"leaving", row.Member.Vm.IsLeaving},
         {"linked", row.IsLinked},
         {"same_versions", row.Versions == own},
         {"versions", versionsJson(row.Versions)}});
  return makeJsonResponse(200, {{"daemon", Sources.DaemonId},
                                {"versions", versionsJson(own)},
                                {"peers", rows}});
}

} // namespace galenaflow::daemon
