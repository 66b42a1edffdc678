#ifndef GALENAFLOW_FORWARDING_ENTRY_SERVICE_H
#define GALENAFLOW_FORWARDING_ENTRY_SERVICE_H

#include "coordination/weighted_round_robin.h"
#include "forwarding/forwarder.h"
#include "state/metrics.h"
#include "transport/http_server.h"

#include <map>

namespace galenaflow::forwarding {

/// A request as a caller sent it.
struct IncomingCall {
  ForwardedRequest Message;
  std::optional<state::Duration> Remaining; ///< time that the caller will wait
};

/// Why this process answers without a replica.
enum class Refusal {
  NotReady,    ///< no routes or replicas are known yet
  NoSuchRoute, ///< the routes in force have no place for it
  Failed,      ///< see the failure of the result
};

/// How callers are spoken to.
class CallerProtocol {
public:
  virtual ~CallerProtocol() = default;

  /// Error: the response to a request that breaks the protocol.
  virtual tl::expected<IncomingCall, transport::HttpResponse>
  decode(transport::HttpRequest request) const = 0;

  virtual transport::HttpResponse
  encode(const coordination::BackendResponse &answer) const = 0;
  virtual transport::HttpResponse
  encode(const coordination::MergedAnswer &answer) const = 0;

  /// `retryAfter` is set when the request has not run.
  virtual transport::HttpResponse
  refuse(Refusal refusal, const coordination::ForwardFailure &failure,
         std::optional<state::Duration> retryAfter) const = 0;
};

struct EntryServiceOptions {
  transport::HttpServerOptions Server;

  /// Callers that are turned away come back after a random part of this time,
  /// so that they do not return together.
  state::Duration MinRetryAfter = std::chrono::milliseconds(30);
  state::Duration MaxRetryAfter = std::chrono::milliseconds(120);

  /// One of so many requests that were answered whole is logged. All others
  /// are, within the bound of the log.
  std::uint64_t SuccessLogInterval = 100;

  std::uint64_t Seed = 1;
};

/// Takes requests from callers, finds their route, and answers them.
class EntryService {
public:
  EntryService(transport::EventLoop &loop, CallerProtocol &protocol,
               Forwarder &forwarding, EntryServiceOptions options,
               state::MetricRegistry &metrics);

  state::Result<transport::SocketAddress>
  listen(transport::SocketAddress address);

  void setRoutes(const state::RouteTablePtr &table);

  /// Answers close their connections from now on.
  void startDrain() { Server.closeAfterResponses(); }

  std::size_t openRequests() const { return Server.openRequests(); }

private:
  using ResponderPtr = std::shared_ptr<transport::HttpResponder>;

  void onRequest(transport::HttpRequest request, const ResponderPtr &responder);
  std::vector<std::string> selectServices(const state::Route &route);
  void onResult(const ResponderPtr &responder, const std::string &requestId,
                const state::RouteTablePtr &table, const state::Route &route,
                ForwardResult result);
  void logResult(const std::string &requestId, const state::RouteTable &table,
                 const state::Route &route, const ForwardResult &result);
  void countRequest(std::string_view outcome, const state::Route *route,
                    state::Duration elapsed);
  std::optional<state::Duration>
  retryAfter(const coordination::ForwardFailure &failure);

  CallerProtocol &Protocol;
  Forwarder &Forwarding;
  EntryServiceOptions Options;
  state::RouteTablePtr Table;
  std::map<std::string, coordination::WeightedRoundRobin, std::less<>>
      RoundRobins;
  std::mt19937_64 Random;
  state::MetricRegistry &Metrics;
  transport::HttpServer Server;
};

} // namespace galenaflow::forwarding

#endif
