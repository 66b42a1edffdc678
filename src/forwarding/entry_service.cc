#include "forwarding/entry_service.h"

#include "state/hash.h"
#include "state/log.h"

// A request is handled to its end by the routes that are in force when it
// arrives. A process without routes cannot know that a route does not exist, so
// it refuses the request with a time after which to retry.

namespace galenaflow::forwarding {

using coordination::ForwardFailure;
using state::Duration;
using transport::HttpRequest;

EntryService::EntryService(transport::EventLoop &loop, CallerProtocol &protocol,
                           Forwarder &forwarding, EntryServiceOptions options,
                           state::MetricRegistry &metrics)
    : Loop(loop), Protocol(protocol), Forwarding(forwarding),
      Options(std::move(options)), Random(Options.Seed), Metrics(metrics),
      Server(loop, Options.Server,
             [this](HttpRequest request, const ResponderPtr &responder) {
               onRequest(std::move(request), responder);
             }) {}

state::Result<transport::SocketAddress>
EntryService::listen(transport::SocketAddress address) {
  return Server.listen(address);
}

void EntryService::startDrain(state::TimePoint refuseFrom,
                              state::TimePoint exitAt) {
  RefuseFrom = refuseFrom;
  ExitAt = exitAt;
  Server.closeAfterResponses();
  Forwarding.startDrain(exitAt);
}

bool EntryService::isTooLate(Duration limit) const {
  return Loop.now() >= RefuseFrom && ExitAt - Loop.now() < limit;
}

// A record of one service is small, and the connections are limited.
bool EntryService::hasMemory(std::size_t services) const {
  return services <= 1 ||
         Loop.clientMemory().missing(recordBytes(services),
                                     /*mayUseReserve=*/false) == 0;
}

void EntryService::setRoutes(const state::RouteTablePtr &table) {
  Table = table;
  Server.setMaxBodyBytes(table->limits().MaxBodyBytes);
  Server.setRequestTimeout(table->limits().IdleTimeout);
  Server.setHeadTimeout(table->limits().HeaderTimeout);
}

std::vector<std::string>
EntryService::selectServices(const state::Route &route) {
  if (route.isSharded())
    return route.Shards.Services;
  if (route.Targets.size() == 1)
    return {route.Targets.front().Service};
  std::vector<double> weights;
  for (const state::WeightedTarget &target : route.Targets)
    weights.push_back(target.Weight);
  return {route.Targets[RoundRobins[route.Name].next(weights)].Service};
}

void EntryService::refuse(transport::HttpResponder &responder,
                          std::string_view requestId, Refusal refusal,
                          std::string_view reason, std::string_view outcome) {
  const ForwardFailure failure{coordination::ForwardFault::NoReplica, {}, {}};
  state::log::info("request_refused", {{"id", requestId}, {"reason", reason}});
  countRequest(outcome, nullptr, Duration(0));
  responder.send(Protocol.refuse(refusal, failure, retryAfter(failure)));
}

void EntryService::onRequest(HttpRequest request,
                             const ResponderPtr &responder) {
  auto call = Protocol.decode(std::move(request));
  if (!call) {
    responder->send(std::move(call.error()));
    return;
  }
  if (!Table) {
    refuse(*responder, call->Message.RequestId, Refusal::NotReady, "no_routes",
           "not_ready");
    return;
  }
  const state::Route *route =
      Table->match(call->Message.Host, call->Message.Path);
  if (route != nullptr && !route->hasServices()) {
    refuse(*responder, call->Message.RequestId, Refusal::NotReady,
           "route_unreadable", "not_ready");
    return;
  }
  if (route == nullptr) {
    state::log::info("request_without_route", {{"id", call->Message.RequestId},
                                               {"version", Table->version()}});
    countRequest("no_route", nullptr, Duration(0));
    responder->send(Protocol.refuse(Refusal::NoSuchRoute, {}, {}));
    return;
  }
  const Duration remaining = call->Remaining.value_or(route->Timeout);
  if (isTooLate(std::min(remaining, route->Timeout))) {
    refuse(*responder, call->Message.RequestId, Refusal::Stopping, "stopping",
           "stopping");
    return;
  }
  std::vector<std::string> services = selectServices(*route);
  if (!hasMemory(services.size())) {
    refuse(*responder, call->Message.RequestId, Refusal::NoMemory,
           "client_memory", "no_memory");
    return;
  }
  const std::string id = call->Message.RequestId;
  const ForwardId forwarded = Forwarding.forward(
      {std::make_shared<const ForwardedRequest>(std::move(call->Message)),
       Table, route, std::move(services), remaining},
      [this, responder, id, table = Table, route](ForwardResult result) {
        onResult(responder, id, table, *route, std::move(result));
      });
  responder->onDisconnect([this, forwarded, id] {
    state::log::info("caller_left", {{"id", id}});
    countRequest("caller_left", nullptr, Duration(0));
    Forwarding.cancel(forwarded);
  });
}

void EntryService::onResult(const ResponderPtr &responder,
                            const std::string &requestId,
                            const state::RouteTablePtr &table,
                            const state::Route &route, ForwardResult result) {
  logResult(requestId, *table, route, result);
  if (const auto *response =
          std::get_if<coordination::BackendResponse>(&result.Outcome)) {
    responder->send(Protocol.encode(*response));
    return;
  }
  if (const auto *merged =
          std::get_if<coordination::MergedAnswer>(&result.Outcome)) {
    responder->send(Protocol.encode(*merged));
    return;
  }
  const auto &failure = std::get<ForwardFailure>(result.Outcome);
  responder->send(
      Protocol.refuse(Refusal::Failed, failure, retryAfter(failure)));
}

void EntryService::logResult(const std::string &requestId,
                             const state::RouteTable &table,
                             const state::Route &route,
                             const ForwardResult &result) {
  const auto *failure = std::get_if<ForwardFailure>(&result.Outcome);
  const auto *merged = std::get_if<coordination::MergedAnswer>(&result.Outcome);
  const bool isPartial = merged != nullptr && merged->Missing != 0;
  std::string_view event = "request_answered";
  if (failure != nullptr)
    event = "request_failed";
  else if (isPartial)
    event = "request_partial";
  countRequest(event.substr(std::string_view("request_").size()), &route,
               result.Elapsed);
  const bool isSampled =
      state::hash64(requestId) % Options.SuccessLogInterval == 0;
  if (failure == nullptr && !isPartial && !isSampled)
    return;
  std::string missing;
  for (const std::string &service : result.Counts.Missing)
    missing += (missing.empty() ? "" : "/") + service;
  state::log::info(
      event,
      {{"id", requestId},
       {"route", route.Name},
       {"version", table.version()},
       {"executor", result.Executor},
       {"reason", failure != nullptr
                      ? coordination::forwardFaultName(failure->Fault)
                      : std::string_view("none")},
       {"ran", state::executionStateName(
                   failure != nullptr ? failure->Ran
                                      : coordination::ExecutionState::Ran)},
       {"elapsed_ms", result.Elapsed.count() / 1000},
       {"left_ms", result.Remaining.count() / 1000},
       {"parts", result.Counts.Parts},
       {"missing", missing},
       {"hedges", result.Counts.Hedges},
       {"retries", result.Counts.Retries},
       {"rejections", result.Counts.Rejections}});
}

void EntryService::countRequest(std::string_view outcome,
                                const state::Route *route, Duration elapsed) {
  Metrics
      .counter("galenaflow_requests_total", "Requests of callers by outcome",
               {{"outcome", std::string(outcome)}})
      .add();
  if (route != nullptr)
    Metrics
        .histogram("galenaflow_request_seconds", "Time to the answer",
                   {{"sharded", route->isSharded() ? "true" : "false"},
                    {"priority", std::to_string(route->Priority)}})
        .record(elapsed);
}

std::optional<Duration>
EntryService::retryAfter(const ForwardFailure &failure) {
  if (failure.Ran != coordination::ExecutionState::NotRun)
    return std::nullopt;
  // Spreads the callers, who would all return at the same time.
  const Duration spread(std::uniform_int_distribution<std::int64_t>(
      Options.MinRetryAfter.count(), Options.MaxRetryAfter.count())(Random));
  return failure.RetryAfter.value_or(Duration(0)) + spread;
}

} // namespace galenaflow::forwarding
