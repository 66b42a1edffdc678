#ifndef GALENAFLOW_PLATFORM_TESTS_REPLICA_STANDIN_H
#define GALENAFLOW_PLATFORM_TESTS_REPLICA_STANDIN_H

#include "standin/raw_http_server.h"

#include <string>
#include <vector>

namespace galenaflow::standin {

/// What a replica of the platform does with the next requests.
struct ReplicaBehaviour {
  state::Duration Work = std::chrono::milliseconds(1);
  bool Shed = false;       ///< says that it did not run the request
  bool Silent = false;     ///< runs it and never answers
  bool LoseAnswer = false; ///< runs it and resets the connection
  bool Truncate = false;   ///< runs it and breaks off its answer
  int FailStatus = 0;      ///< runs it and answers with this status
};

/// One request that a replica ran.
struct RunRequest {
  std::string Id;
  std::string Path;
  std::string Host;
  std::string Body;
  std::int64_t DeadlineMs = 0;
  state::TimePoint At;
};

/// A stand-in of one of the platform's replicas.
class ReplicaStandin {
public:
  ReplicaStandin(transport::EventLoop &loop, std::string id,
                 std::string service);

  const transport::SocketAddress &address() const { return Address; }

  /// The address in its entry, for example that of a proxy before it.
  void publishAs(const transport::SocketAddress &address) {
    Published = address;
  }

  /// Its entry in the store.
  std::string entry(const std::string &state = "ready") const;
  std::string key() const { return "servers/" + Id; }
  const std::string &id() const { return Id; }

  ReplicaBehaviour &behaviour() { return Behaviour; }
  const std::vector<RunRequest> &runs() const { return Runs; }
  RawHttpServer &server() { return Server; }
  std::uint64_t arrivals() const { return Arrivals; }

private:
  void onRequest(const transport::HttpRequest &request,
                 const RawConnectionPtr &connection);

  transport::EventLoop &Loop;
  std::string Id;
  std::string Service;
  RawHttpServer Server;
  transport::SocketAddress Address;
  transport::SocketAddress Published;
  ReplicaBehaviour Behaviour;
  std::vector<RunRequest> Runs;
  std::uint64_t Arrivals = 0;
};

} // namespace galenaflow::standin

#endif
