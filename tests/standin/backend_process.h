#ifndef GALENAFLOW_STANDIN_BACKEND_PROCESS_H
#define GALENAFLOW_STANDIN_BACKEND_PROCESS_H

#include "standin/backend_replica.h"
#include "transport/http_server.h"

#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace galenaflow::standin {

/// Serves many replicas on one event loop, with one control listener:
///   POST /control/replicas/ID   changes settings; ID "*" means all replicas
///   GET  /control/stats         counts of each replica and of the process
///   GET  /control/journal       writes that ran
class BackendProcess {
public:
  explicit BackendProcess(transport::EventLoop &loop) : Loop(loop) {}

  /// Starts from {"seed":1,"control":"127.0.0.1:0","defaults":{settings},
  /// "replicas":[{"id":..,"service":..,"listen":..,settings..}]}. Returns the
  /// bound addresses: {"control":..,"replicas":{ID:ADDRESS}}. Error:
  /// InvalidArgument, or the error of a listener.
  state::Result<std::string> start(std::string_view config);

private:
  state::Result<bool> addReplica(const nlohmann::json &defaults,
                                 const nlohmann::json &item,
                                 std::uint64_t seed);
  transport::HttpResponse control(const transport::HttpRequest &request);
  transport::HttpResponse change(const std::string &id,
                                 const std::string &body);
  std::string stats() const;
  std::string journal() const;

  transport::EventLoop &Loop;
  BackendLog Log;
  std::map<std::string, std::unique_ptr<BackendReplica>> Replicas;
  std::unique_ptr<transport::HttpServer> Control;
};

} // namespace galenaflow::standin

#endif
