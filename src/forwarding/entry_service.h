#ifndef GALENAFLOW_FORWARDING_ENTRY_SERVICE_H
#define GALENAFLOW_FORWARDING_ENTRY_SERVICE_H

#include "coordination/weighted_round_robin.h"
#include "forwarding/forwarder.h"
#include "state/metrics.h"
#include "transport/http_server.h"

#include <map>

namespace galenaflow::forwarding {

/// A decoded request of a caller.
struct IncomingCall {
  ForwardedRequest Message;
  std::optional<state::Duration> Remaining; ///< until the caller's deadline
};

/// Why this process answers with an error of its own.
enum class Refusal {
  NotReady,    ///< no routes are known yet, or not the services of this one
  Stopping,    ///< the process exits before the request would have to end
  NoMemory,    ///< open requests take up the memory that clients may claim
  NoSuchRoute, ///< no route in force matches the request
  Failed,      ///< for the reason that the ForwardFailure states
};

/// Decodes requests of callers and encodes the answers to them.
class CallerProtocol {
public:
  virtual ~CallerProtocol() = default;

  /// Error: the answer to a request that violates the protocol.
  virtual tl::expected<IncomingCall, transport::HttpResponse>
  decode(transport::HttpRequest request) const = 0;

  virtual transport::HttpResponse
  encode(const coordination::BackendResponse &answer) const = 0;
  virtual transport::HttpResponse
  encode(const coordination::MergedAnswer &answer) const = 0;

  /// `retryAfter` is set when the request has certainly not run.
  virtual transport::HttpResponse
  refuse(Refusal refusal, const coordination::ForwardFailure &failure,
         std::optional<state::Duration> retryAfter) const = 0;
};

struct EntryServiceOptions {
  transport::HttpServerOptions Server;

  /// The answer to a refused request states a random time in this range after
  /// which to retry, so that the callers do not all retry at once.
  state::Duration MinRetryAfter = std::chrono::milliseconds(30);
  state::Duration MaxRetryAfter = std::chrono::milliseconds(120);

  /// One of this many complete answers is logged. Partial answers and failures
  /// are all logged, within the rate limit of the log.
  std::uint64_t SuccessLogInterval = 100;

  std::uint64_t Seed = 1;
};

/// Accepts requests of callers, selects their routes and sends the answers.
class EntryService {
public:
  EntryService(transport::EventLoop &loop, CallerProtocol &protocol,
               Forwarder &forwarding, EntryServiceOptions options,
               state::MetricRegistry &metrics);

  state::Result<transport::SocketAddress>
  listen(transport::SocketAddress address);

  void setRoutes(const state::RouteTablePtr &table);

  /// From now on each connection is closed after its answer, and every request
  /// is answered by `exitAt`. From `refuseFrom` on, when callers are no longer
  /// directed here, requests that may need longer are refused.
  void startDrain(state::TimePoint refuseFrom, state::TimePoint exitAt);

  std::size_t openRequests() const { return Server.openRequests(); }

private:
  using ResponderPtr = std::shared_ptr<transport::HttpResponder>;

  void onRequest(transport::HttpRequest request, const ResponderPtr &responder);
  /// Refuses a request before it is forwarded; `outcome` is for the metrics.
  void refuse(transport::HttpResponder &responder, std::string_view requestId,
              Refusal refusal, std::string_view reason,
              std::string_view outcome);
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

  /// Whether the record of a request over this number of services fits.
  bool hasMemory(std::size_t services) const;

  /// Whether the process may exit before a request that may take `limit` ends.
  bool isTooLate(state::Duration limit) const;

  transport::EventLoop &Loop;
  CallerProtocol &Protocol;
  Forwarder &Forwarding;
  EntryServiceOptions Options;
  state::RouteTablePtr Table;
  std::map<std::string, coordination::WeightedRoundRobin, std::less<>>
      RoundRobins;
  std::mt19937_64 Random;
  state::MetricRegistry &Metrics;
  state::TimePoint RefuseFrom = state::TimePoint::max();
  state::TimePoint ExitAt = state::TimePoint::max();
  transport::HttpServer Server;
};

} // namespace galenaflow::forwarding

#endif
