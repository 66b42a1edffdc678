#include "standin/proxy_process.h"

#include <nlohmann/json.hpp>

// A partition is stored as a group number for each name. A name without a group
// is reachable from all others.

namespace galenaflow::standin {

using nlohmann::json;
using state::ErrorCode;
using state::makeError;
using transport::jsonResponse;

state::Result<std::string> ProxyProcess::start(std::string_view config) {
  const json root = json::parse(config.empty() ? "{}" : config, nullptr, false);
  if (!root.is_object())
    return makeError(ErrorCode::InvalidArgument, "malformed configuration");
  Seed = root.value("seed", std::uint64_t{1});
  for (const json &item : root.value("routes", json::array()))
    if (const auto added = addRoute(item); !added)
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
  json report = {{"control", bound->toText()}, {"routes", json::object()}};
  for (const auto &[id, route] : Routes)
    report["routes"][id] = route->address();
  return report.dump();
}

state::Result<ProxyRoute *> ProxyProcess::addRoute(const json &item) {
  if (!item.is_object())
    return makeError(ErrorCode::InvalidArgument, "a route must be an object");
  auto route = std::make_unique<ProxyRoute>(Loop, item, Seed);
  if (route->id().empty() || Routes.contains(route->id()))
    return makeError(ErrorCode::InvalidArgument, "missing or repeated id");
  if (const auto listening = route->listen(); !listening)
    return tl::unexpected(listening.error());
  const std::string fault = route->apply(item);
  if (!fault.empty())
    return makeError(ErrorCode::InvalidArgument, fault);
  route->setPartitioned(isPartitioned(*route));
  return Routes.emplace(route->id(), std::move(route)).first->second.get();
}

transport::HttpResponse
ProxyProcess::control(const transport::HttpRequest &request) {
  if (request.Path == "/control/stats")
    return jsonResponse(200, stats());
  const json body = json::parse(request.Body, nullptr, false);
  constexpr std::string_view prefix = "/control/routes/";
  if (request.Path == "/control/routes") {
    const auto route = addRoute(body);
    return route
               ? jsonResponse(200,
                              json{{"address", (*route)->address()}}.dump())
               : jsonResponse(400, json{{"error", route.error().Text}}.dump());
  }
  if (request.Path.starts_with(prefix))
    return change(request.Path.substr(prefix.size()), body);
  if (request.Path == "/control/partition")
    return partition(body) ? jsonResponse(200, "{}")
                           : jsonResponse(400, R"({"error":"bad groups"})");
  return jsonResponse(404, R"({"error":"no such path"})");
}

transport::HttpResponse ProxyProcess::change(const std::string &id,
                                             const json &changes) {
  bool found = false;
  for (const auto &[name, route] : Routes) {
    if (id != "*" && id != name)
      continue;
    found = true;
    const std::string fault = route->apply(changes);
    if (!fault.empty())
      return jsonResponse(400, json{{"error", fault}}.dump());
  }
  return found ? jsonResponse(200, "{}")
               : jsonResponse(404, R"({"error":"no such route"})");
}

bool ProxyProcess::partition(const json &body) {
  if (!body.is_object() || !body.contains("groups"))
    return false;
  GroupByName.clear();
  std::size_t n = 0;
  for (const json &group : body.at("groups")) {
    for (const json &name : group)
      GroupByName[name.get<std::string>()] = n;
    ++n;
  }
  for (const auto &[id, route] : Routes)
    route->setPartitioned(isPartitioned(*route));
  return true;
}

bool ProxyProcess::isPartitioned(const ProxyRoute &route) const {
  const auto from = GroupByName.find(route.from());
  const auto to = GroupByName.find(route.to());
  return from != GroupByName.end() && to != GroupByName.end() &&
         from->second != to->second;
}

std::string ProxyProcess::stats() const {
  json routes = json::object();
  for (const auto &[id, route] : Routes)
    routes[id] = route->stats();
  return json{{"routes", std::move(routes)}}.dump();
}

} // namespace galenaflow::standin
