#ifndef GALENAFLOW_PLATFORM_TESTS_REPLICA_STANDIN_H
#define GALENAFLOW_PLATFORM_TESTS_REPLICA_STANDIN_H

#include "standin/raw_http_server.h"

#include <set>
#include <string>
#include <vector>

namespace galenaflow::standin {

/// Determines what a replica of the platform does with the requests from now
/// on.
struct ReplicaBehaviour {
  state::Duration ServiceTime = std::chrono::milliseconds(1);
  bool Reject = false;          ///< rejects the request without running it
  bool Silent = false;          ///< runs the request and never responds
  std::string SilentPath;       ///< the same for requests with this path
  bool ResetConnection = false; ///< runs the request and resets the connection
  bool Truncate = false;        ///< runs the request and truncates the response
  /// Runs the request and sends these bytes, then the second ones without end.
  std::string EndlessStart;
  std::string EndlessRepeated;
  /// A request with this path ends the replica when it has run for ServiceTime.
  std::string DeadlyPath;
  state::Duration RestartTime = std::chrono::seconds(3); ///< after its end
  state::Duration ColdTime{0};  ///< time for which it is cold after its end
  std::string RejectRetryAfter; ///< stated with a rejection, if not empty
  bool SaysLeaving = false;     ///< states in all responses that it leaves
  /// Runs the request and sends these bytes instead of the response.
  std::string Answer;
  bool IsAnswerCut = false; ///< closes the connection after Answer
  std::string KeepAlive;    ///< stated in all responses, if not empty
  int FailStatus = 0;       ///< runs the request and responds with this status
};

/// One request that a replica ran.
struct ExecutedRequest {
  std::string Id;
  std::string Path;
  std::string Host;
  std::string Body;
  std::int64_t DeadlineMs = 0;
  state::TimePoint At;
};

/// A period in which a replica stated a limit of its requests.
struct LimitPeriod {
  double PerSecond = 0;
  state::TimePoint From;
  state::TimePoint To = state::TimePoint::max();
};

/// A request that reached a replica, whether it ran or not.
struct ReceivedRequest {
  std::string Id;
  state::TimePoint At;
  std::size_t Start = 0;    ///< number of starts of the replica before it
  bool SaidLeaving = false; ///< whether the response says that it leaves
  state::Duration Pause{0}; ///< that the response asks for
  bool IsForOther = false;  ///< whether it names another replica
  bool WhileCold = false;
};

/// Serves the interface of one replica of the platform and records what it ran.
class ReplicaStandin {
public:
  ReplicaStandin(transport::EventLoop &loop, std::string id,
                 std::string service, std::string dataCentre = "z1");

  const transport::SocketAddress &address() const { return Address; }

  /// Sets the address in the replica's entry, for example that of a proxy in
  /// front of it.
  void advertise(const transport::SocketAddress &address) {
    AdvertisedAddress = address;
  }

  /// Returns the value of the replica's entry in the store.
  std::string entry(const std::string &state = "ready") const;
  std::string key() const { return "servers/" + Id; }
  const std::string &id() const { return Id; }
  const std::string &dataCentre() const { return DataCentre; }

  ReplicaBehaviour &behaviour() { return Behaviour; }
  const std::vector<ExecutedRequest> &runs() const { return Runs; }

  /// States this limit, in requests a second, in all responses from now on.
  void startLimit(double perSecond);
  void endLimit();
  const std::vector<LimitPeriod> &limits() const { return Limits; }
  const std::vector<ReceivedRequest> &received() const { return Received; }
  RawHttpServer &server() { return Server; }
  std::uint64_t receivedRequests() const { return Received.size(); }
  std::size_t crashes() const { return CrashedAt.size(); }
  const std::vector<state::TimePoint> &crashedAt() const { return CrashedAt; }

  /// Requests with these paths end the replica, as with
  /// ReplicaBehaviour::DeadlyPath, for as long as it exists.
  void addDeadlyPath(const std::string &path) { DeadlyPaths.insert(path); }

  /// States in all responses that it leaves, until it starts again.
  void leave() { IsLeaving = true; }

  /// Rejects requests for `lasting` and asks for a pause of `pause`.
  void askForPause(state::Duration lasting, state::Duration pause);

  /// Ends all connections and refuses further ones until it starts again after
  /// ReplicaBehaviour::RestartTime.
  void crash();

  /// Is cold for this time from now on, and states it.
  void becomeCold(state::Duration lasting) { ColdUntil = Loop.now() + lasting; }

  /// Returns the most requests that it received within a second while it was
  /// cold.
  std::size_t mostWhileCold() const;

  /// Starts again under the same id, as another incarnation.
  void restart();

private:
  void onRequest(const transport::HttpRequest &request,
                 const RawConnectionPtr &connection);

  transport::EventLoop &Loop;
  std::string Id;
  std::string Service;
  std::string DataCentre;
  RawHttpServer Server;
  transport::SocketAddress Address;
  transport::SocketAddress AdvertisedAddress;
  ReplicaBehaviour Behaviour;
  std::vector<ExecutedRequest> Runs;
  std::vector<LimitPeriod> Limits; ///< the last one may be open
  std::vector<ReceivedRequest> Received;
  std::vector<state::TimePoint> CrashedAt;
  std::set<std::string> DeadlyPaths;
  bool IsLeaving = false;
  std::size_t Starts = 0;
  state::Duration coldRemaining() const;

  state::TimePoint ColdUntil = state::TimePoint::min();
  state::TimePoint RejectsUntil = state::TimePoint::min();
  state::Duration RequestedPause{0};
};

} // namespace galenaflow::standin

#endif
