#include "forwarding/executor_task.h"

#include <algorithm>

// A request is executed only if both daemons have the same version of the
// routes, so that no caller is handled by an older version than before. A
// refusal costs the delegating daemon a round trip, after which it executes the
// request itself.

namespace galenaflow::forwarding {

using protocol::DelegatedReply;
using protocol::DelegatedRequest;
using protocol::DelegationMessageType;
using protocol::DelegationOutcome;
using transport::PeerIdentity;

namespace {

DelegatedReply toReply(std::uint64_t sequence, ForwardResult result) {
  DelegatedReply reply;
  reply.Sequence = sequence;
  reply.Elapsed = result.Elapsed;
  reply.Parts = result.Counts.Parts;
  reply.PartsAnswered = result.Counts.PartsAnswered;
  reply.Hedges = result.Counts.Hedges;
  reply.Retries = result.Counts.Retries;
  reply.Rejections = result.Counts.Rejections;
  reply.MissingServices = std::move(result.Counts.Missing);
  reply.Lost = result.Counts.Lost;
  reply.IsAnswered = result.Counts.IsAnswered;
  if (auto *merged = std::get_if<coordination::MergedAnswer>(&result.Outcome)) {
    reply.Outcome = DelegationOutcome::Merged;
    reply.Signatures = std::move(merged->Signatures);
    reply.MissingParts = merged->Missing;
    reply.Records = std::move(merged->Records);
    return reply;
  }
  reply.Outcome = DelegationOutcome::Failed;
  const auto *failure =
      std::get_if<coordination::ForwardFailure>(&result.Outcome);
  // The delegating daemon has time, and connections of its own, to execute the
  // request itself.
  if (failure != nullptr &&
      (failure->Fault == coordination::ForwardFault::Stopping ||
       failure->Fault == coordination::ForwardFault::NoCapacity) &&
      failure->Ran == coordination::ExecutionState::NotRun) {
    reply.Outcome = DelegationOutcome::Refused;
    return reply;
  }
  reply.Fault = static_cast<std::uint8_t>(
      failure != nullptr ? failure->Fault
                         : coordination::ForwardFault::BackendFailed);
  if (failure != nullptr)
    reply.RetryAfter = failure->RetryAfter.value_or(state::Duration(0));
  reply.Ran = static_cast<std::uint8_t>(
      failure != nullptr ? failure->Ran
                         : coordination::ExecutionState::Unknown);
  return reply;
}

} // namespace

ExecutorTask::ExecutorTask(transport::EventLoop &loop, RelayTask &links,
                           Forwarder &forwarding, ExecutorTaskOptions options,
                           state::MetricRegistry &metrics)
    : Loop(loop), Links(links), Forwarding(forwarding), Options(options),
      Executed(metrics.counter("galenaflow_executed_for_others_total",
                               "Requests that were run for other daemons")),
      Refused(metrics.counter("galenaflow_executions_refused_total",
                              "Requests of other daemons that were refused")) {}

ExecutorTask::~ExecutorTask() {
  for (const auto &[key, open] : OpenRequests)
    Loop.cancel(open.PendingTimer);
}

bool ExecutorTask::onMessage(const PeerIdentity &peer, std::uint16_t type,
                             std::string_view payload) {
  if (type == static_cast<std::uint16_t>(DelegationMessageType::Request)) {
    auto request = protocol::decodeDelegatedRequest(payload);
    if (request)
      onRequest(peer, std::move(*request));
    return request.has_value();
  }
  if (type != static_cast<std::uint16_t>(DelegationMessageType::Cancel))
    return false;
  const auto cancel = protocol::decodeDelegationCancel(payload);
  if (!cancel)
    return false;
  const auto it = OpenRequests.find({peer, cancel->Sequence});
  if (it != OpenRequests.end()) {
    Loop.cancel(it->second.PendingTimer);
    Forwarding.cancel(it->second.Id);
    OpenRequests.erase(it);
  }
  return true;
}

const state::Route *
ExecutorTask::findRoute(const DelegatedRequest &request) const {
  if (!Table || Table->version() != request.RouteVersion)
    return nullptr;
  const auto &routes = Table->routes();
  const auto it =
      std::find_if(routes.begin(), routes.end(), [&](const state::Route &it) {
        return it.Name == request.Route && it.isSharded();
      });
  return it == routes.end() ? nullptr : &*it;
}

std::size_t ExecutorTask::maxOpenRequests() const {
  constexpr double millicoresPerCore = 1000;
  return static_cast<std::size_t>(Options.MaxOpenPerCore * Options.Millicores /
                                  millicoresPerCore);
}

void ExecutorTask::onRequest(const PeerIdentity &peer,
                             DelegatedRequest request) {
  const Key key{peer, request.Sequence};
  const state::Route *route = findRoute(request);
  if (route == nullptr || IsDraining ||
      OpenRequests.size() >= maxOpenRequests() ||
      request.Remaining <= state::Duration(0) || OpenRequests.contains(key) ||
      Loop.clientMemory().missing(
          request.Body.size() + recordBytes(route->Shards.Services.size()),
          /*mayUseReserve=*/false) != 0) {
    Refused.add();
    DelegatedReply refusal;
    refusal.Sequence = request.Sequence;
    reply(peer, refusal);
    return;
  }
  Executed.add();
  ForwardedRequest message;
  message.RequestId = std::move(request.RequestId);
  message.Method = std::move(request.Method);
  message.Path = std::move(request.Path);
  message.Host = std::move(request.Host);
  for (const auto &[name, value] : request.Headers)
    message.Headers.add(name, value);
  message.Body = std::move(request.Body);
  message.Hold = Loop.clientMemory().makeHold(message.Body.size());
  ForwardCall call;
  call.Message = std::make_shared<const ForwardedRequest>(std::move(message));
  call.Table = Table;
  call.Route = route;
  call.Services = route->Shards.Services;
  call.Remaining = request.Remaining;
  call.IsSuspect = request.IsSuspect;
  call.ReturnTime = std::clamp(request.ReturnTime, state::Duration(0),
                               route->LatencyObjective / 2);
  OpenRequest &open = OpenRequests[key];
  open.Id =
      Forwarding.forward(std::move(call), [this, key](ForwardResult result) {
        onResult(key, std::move(result));
      });
  const auto objective = static_cast<double>(route->LatencyObjective.count());
  const state::Duration after(
      static_cast<std::int64_t>(Options.PendingNoticeFraction * objective));
  if (after.count() != 0)
    open.PendingTimer =
        Loop.schedule(after, [this, key] { sendPendingNotice(key); });
}

void ExecutorTask::sendPendingNotice(const Key &key) {
  OpenRequests.at(key).PendingTimer = 0;
  DelegatedReply notice;
  notice.Sequence = key.second;
  notice.Outcome = DelegationOutcome::Pending;
  reply(key.first, notice);
}

void ExecutorTask::onResult(const Key &key, ForwardResult result) {
  const auto node = OpenRequests.extract(key);
  if (!node.empty())
    Loop.cancel(node.mapped().PendingTimer);
  reply(key.first, toReply(key.second, std::move(result)));
}

void ExecutorTask::reply(const PeerIdentity &peer, const DelegatedReply &it) {
  Links.send(peer, static_cast<std::uint16_t>(DelegationMessageType::Reply),
             protocol::encodeDelegatedReply(it));
}

// Cancels the requests of the peer: neither that daemon nor its callers can
// receive their results any more.
void ExecutorTask::onLinkLost(const PeerIdentity &peer) {
  for (auto it = OpenRequests.begin(); it != OpenRequests.end();) {
    if (it->first.first != peer) {
      ++it;
      continue;
    }
    Loop.cancel(it->second.PendingTimer);
    Forwarding.cancel(it->second.Id);
    it = OpenRequests.erase(it);
  }
}

} // namespace galenaflow::forwarding
