#include "forwarding/entry_service.h"

#include "state/log.h"

// Every request is handled by the routes that are in force when it arrives, and
// keeps them to its end. A process that knows no routes yet cannot say that a
// route does not exist, so it asks the caller to come back.

namespace galenaflow::forwarding {

using coordination::ForwardFailure;
using state::Duration;
using transport::HttpRequest;
using transport::HttpResponse;

EntryService::EntryService(transport::EventLoop &loop, CallerProtocol &protocol,
                           ForwardTask &forwarding, EntryServiceOptions options,
                           state::MetricRegistry &metrics)
    : Loop(loop), Protocol(protocol), Forwarding(forwarding), Options(options),
      Random(options.Seed), Metrics(metrics),
      Server(loop, options.Server,
             [this](HttpRequest request, const ResponderPtr &responder) {
               onRequest(std::move(request), responder);
             }) {}

state::Result<transport::SocketAddress>
EntryService::listen(transport::SocketAddress address) {
  return Server.listen(address);
}

void EntryService::setRoutes(const state::RouteTablePtr &table) {
  Table = table;
  Server.setMaxBodyBytes(table->limits().MaxBodyBytes);
  Server.setRequestTimeout(table->limits().IdleTimeout);
}

std::vector<std::string> EntryService::targetsOf(const state::Route &route) {
  if (route.isSharded())
    return route.Shards.Services;
  if (route.Targets.size() == 1)
    return {route.Targets.front().Service};
  std::vector<double> weights;
  for (const state::WeightedTarget &target : route.Targets)
    weights.push_back(target.Weight);
  return {route.Targets[Rotations[route.Name].next(weights)].Service};
}

void EntryService::onRequest(HttpRequest request,
                             const ResponderPtr &responder) {
  auto call = Protocol.decode(std::move(request));
  if (!call) {
    responder->send(std::move(call.error()));
    return;
  }
  if (!Table) {
    const ForwardFailure failure{coordination::ForwardFault::NoReplica, {}, {}};
    responder->send(
        Protocol.refuse(Refusal::NotReady, failure, retryAfter(failure)));
    return;
  }
  const state::Route *route = Table->match(call->Op.Host, call->Op.Path);
  if (route == nullptr || (!route->isSharded() && route->Targets.empty())) {
    state::log::info("request_without_route", {{"id", call->Op.RequestId},
                                               {"version", Table->version()}});
    responder->send(Protocol.refuse(Refusal::NoSuchRoute, {}, {}));
    return;
  }
  const Duration left = call->Left.value_or(route->Timeout);
  const std::string id = call->Op.RequestId;
  const ForwardId forwarded = Forwarding.forward(
      std::move(call->Op), Table, *route, targetsOf(*route), left,
      [this, responder, id, table = Table, route](ForwardResult result) {
        onResult(responder, id, table, *route, std::move(result));
      });
  responder->onDisconnect([this, forwarded, id] {
    state::log::debug("caller_left", {{"id", id}});
    Forwarding.cancel(forwarded);
  });
}

void EntryService::onResult(const ResponderPtr &responder,
                            const std::string &requestId,
                            const state::RouteTablePtr &table,
                            const state::Route &route, ForwardResult result) {
  if (const auto *answer =
          std::get_if<coordination::BackendAnswer>(&result.Ended)) {
    responder->send(Protocol.encode(*answer));
    return;
  }
  if (const auto *merged =
          std::get_if<coordination::MergedAnswer>(&result.Ended)) {
    responder->send(Protocol.encode(*merged));
    return;
  }
  const auto &failure = std::get<ForwardFailure>(result.Ended);
  const auto after = retryAfter(failure);
  state::log::info("request_failed",
                   {{"id", requestId},
                    {"route", route.Name},
                    {"version", table->version()},
                    {"reason", coordination::forwardFaultName(failure.Fault)},
                    {"ran", state::ranName(failure.Ran)},
                    {"elapsed_ms", result.Elapsed.count() / 1000},
                    {"left_ms", result.Left.count() / 1000},
                    {"retries", result.Counts.Retries},
                    {"hedges", result.Counts.Hedges},
                    {"rejections", result.Counts.Rejections},
                    {"parts", result.Counts.Parts}});
  responder->send(Protocol.refuse(Refusal::Failed, failure, after));
}

std::optional<Duration>
EntryService::retryAfter(const ForwardFailure &failure) {
  if (failure.Ran != coordination::RanState::NotRun)
    return std::nullopt;
  return Duration(std::uniform_int_distribution<std::int64_t>(
      Options.MinRetryAfter.count(), Options.MaxRetryAfter.count())(Random));
}

} // namespace galenaflow::forwarding
