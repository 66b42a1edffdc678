#ifndef GALENAFLOW_STANDIN_PROXY_PROCESS_H
#define GALENAFLOW_STANDIN_PROXY_PROCESS_H

#include "standin/proxy_route.h"
#include "transport/http_server.h"

#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace galenaflow::standin {

/// Forwards TCP connections on routes that inject faults, with a control
/// listener:
///   POST /control/routes      adds a route and returns {"address":..}
///   POST /control/routes/ID   changes a route; "*" means all (ProxyRoute)
///   POST /control/partition   {"groups":[["vm-1"],["vm-2","vm-3"]]}: routes
///                             whose "from" and "to" are in different groups
///                             forward no byte; an empty list heals
///   GET  /control/stats       counts of connections, bytes and faults
class ProxyProcess {
public:
  explicit ProxyProcess(transport::EventLoop &loop) : Loop(loop) {}

  /// Starts from {"seed":1,"control":..,"routes":[{"id":..,"listen":..,
  /// "target":..,"from":..,"to":..,faults..}]}. Returns
  /// {"control":..,"routes":{ID:ADDRESS}}.
  state::Result<std::string> start(std::string_view config);

private:
  state::Result<ProxyRoute *> addRoute(const nlohmann::json &item);
  transport::HttpResponse control(const transport::HttpRequest &request);
  transport::HttpResponse change(const std::string &id,
                                 const nlohmann::json &changes);
  bool partition(const nlohmann::json &body);
  bool isPartitioned(const ProxyRoute &route) const;
  std::string stats() const;

  transport::EventLoop &Loop;
  std::uint64_t Seed = 1;
  std::map<std::string, std::unique_ptr<ProxyRoute>> Routes;
  std::map<std::string, std::size_t> GroupByName;
  std::unique_ptr<transport::HttpServer> Control;
};

} // namespace galenaflow::standin

#endif
