#include "forwarding/delegation_task.h"

#include "state/log.h"

#include <algorithm>

// An executor's reply has to arrive before the latency objective, so each
// request states the overhead of delegation: the mean time of recent requests
// beyond their execution. A request whose remaining time is at most twice the
// overhead is executed locally.
//
// A request that an executor may have started is not executed again locally:
// the replicas that the executor has used are not known, so the route's limit
// of attempts and the budget of extra attempts could be exceeded. This affects
// only the few requests that are open when an executor stops replying; later
// requests avoid that executor.

namespace galenaflow::forwarding {

using coordination::ForwardFault;
using protocol::DelegatedReply;
using protocol::DelegatedRequest;
using protocol::DelegationMessageType;
using protocol::DelegationOutcome;
using state::Duration;
using state::TimePoint;
using transport::PeerIdentity;

namespace {

/// Weight of a new sample in the mean of the overhead, as a divisor.
constexpr int OverheadDivisor = 8;

/// A longer overhead is caused by a fault of the network and is no estimate for
/// the next request.
constexpr Duration MaxOverhead = std::chrono::milliseconds(20);

/// Converts a reply. Returns nothing when it has an unknown enumerator.
std::optional<ForwardResult> toForwardResult(DelegatedReply reply) {
  ForwardResult result;
  result.Counts.Parts = reply.Parts;
  result.Counts.Primaries = reply.Parts;
  result.Counts.PartsAnswered = reply.PartsAnswered;
  result.Counts.Hedges = reply.Hedges;
  result.Counts.Retries = reply.Retries;
  result.Counts.Rejections = reply.Rejections;
  result.Counts.Missing = std::move(reply.MissingServices);
  result.Counts.Lost = reply.Lost;
  result.Counts.IsAnswered = reply.IsAnswered;
  if (reply.Outcome == DelegationOutcome::Merged) {
    result.Outcome = coordination::MergedAnswer{std::move(reply.Signatures),
                                                reply.MissingParts,
                                                std::move(reply.Records)};
    return result;
  }
  constexpr auto lastFault =
      static_cast<std::uint8_t>(ForwardFault::CallerGone);
  constexpr auto lastState =
      static_cast<std::uint8_t>(coordination::ExecutionState::Unknown);
  if (reply.Fault > lastFault || reply.Ran > lastState)
    return std::nullopt;
  coordination::ForwardFailure failure{
      static_cast<ForwardFault>(reply.Fault),
      static_cast<coordination::ExecutionState>(reply.Ran),
      {}};
  if (reply.RetryAfter > Duration(0))
    failure.RetryAfter = reply.RetryAfter;
  result.Outcome = std::move(failure);
  return result;
}

} // namespace

DelegationTask::DelegationTask(transport::EventLoop &loop, RelayTask &links,
                               Forwarder &local, DelegationTaskOptions options,
                               state::MetricRegistry &metrics)
    : Loop(loop), Links(links), Local(local), Options(std::move(options)),
      Selector(Options.Selector, Options.Self, std::mt19937_64(Options.Seed)),
      Overhead(Options.InitialOverhead),
      Delegated(metrics.counter("galenaflow_delegated_total",
                                "Requests that were passed to an executor")),
      Refused(metrics.counter("galenaflow_delegations_refused_total",
                              "Requests that an executor refused")),
      Lost(metrics.counter("galenaflow_delegations_lost_total",
                           "Requests whose executor did not answer")) {}

DelegationTask::~DelegationTask() {
  for (const auto &[id, open] : OpenRequests)
    Loop.cancel(open.Timer);
}

void DelegationTask::setExecutors(
    const std::vector<state::DaemonCapacity> &executors) {
  recordLinked();
  Selector.setExecutors(executors);
  ExecutorDataCentres.clear();
  for (const state::DaemonCapacity &it : executors)
    ExecutorDataCentres.emplace(it.Address, it.DataCentre);
  Links.setExtraLinks(Selector.linkTargets());
}

void DelegationTask::recordLinked() {
  if (isLinkedToExecutor())
    LastLinkedAt = Loop.now();
}

bool DelegationTask::isDelegating() const {
  return !Selector.isExecutor() &&
         (isLinkedToExecutor() ||
          LastLinkedAt + Options.DelegatingTimeout >= Loop.now());
}

bool DelegationTask::isLinkedToExecutor() const {
  const auto targets = Selector.linkTargets();
  return std::any_of(targets.begin(), targets.end(),
                     [this](const std::string &address) {
                       return LinkedPeers.contains(address);
                     });
}

std::optional<std::string>
DelegationTask::chooseExecutor(const ForwardCall &call) {
  if (!isDelegable(*call.Route) || call.Route->IsNoRegionAllowed ||
      call.Message->Body.size() > Options.MaxBodyBytes ||
      call.Remaining <= 2 * Overhead)
    return std::nullopt;
  return Selector.choose(
      [this, &call](const std::string &address) {
        return LinkedPeers.contains(address) && mayDelegate(call, address);
      },
      Loop.now());
}

// An executor that is not listed any more has no known data centre.
bool DelegationTask::mayDelegate(const ForwardCall &call,
                                 const std::string &executor) const {
  if (!call.Route->isRestricted())
    return true;
  const auto it = ExecutorDataCentres.find(executor);
  return it != ExecutorDataCentres.end() &&
         Options.Regions.allowsDaemon(*call.Route, it->second);
}

ForwardId DelegationTask::forward(ForwardCall call, ForwardCallback callback) {
  const ForwardId id = ++LastId;
  OpenRequest &open = OpenRequests[id];
  open.ArrivedAt = Loop.now();
  open.DeadlineAt = open.ArrivedAt + call.Remaining;
  open.Call = std::move(call);
  open.Callback = std::move(callback);
  const auto executor = chooseExecutor(open.Call);
  if (!executor || !delegate(*executor, id, open)) {
    runLocally(id);
    return id;
  }
  Delegated.add();
  open.Executor = *executor;
  open.CopyHold = Loop.clientMemory().makeHold(
      open.Call.Message->Body.size() + recordBytes(open.Call.Services.size()));
  Selector.onSent(*executor);
  const Duration objective = open.Call.Route->LatencyObjective;
  const Duration maxWait = endsAt(open) - open.ArrivedAt;
  open.Timer = Loop.schedule(
      objective.count() == 0 ? maxWait : std::min(objective, maxWait),
      [this, id] { onTimeout(id); });
  return id;
}

bool DelegationTask::delegate(const std::string &executor, ForwardId id,
                              const OpenRequest &open) {
  const ForwardedRequest &message = *open.Call.Message;
  DelegatedRequest request;
  request.Sequence = id;
  request.RouteVersion = open.Call.Table->version();
  request.Route = open.Call.Route->Name;
  request.Remaining = std::min(open.Call.Remaining, ExitAt - Loop.now());
  request.ReturnTime = Overhead;
  request.RequestId = message.RequestId;
  request.Method = message.Method;
  request.Path = message.Path;
  request.Host = message.Host;
  request.Headers = message.Headers.items();
  request.Body = message.Body;
  request.IsSuspect = open.Call.IsSuspect;
  return Links.send(LinkedPeers.at(executor),
                    static_cast<std::uint16_t>(DelegationMessageType::Request),
                    protocol::encodeDelegatedRequest(request));
}

void DelegationTask::runLocally(ForwardId id) {
  OpenRequest &open = OpenRequests.at(id);
  open.Executor.clear();
  open.CopyHold = nullptr;
  Loop.cancel(open.Timer);
  open.Timer = 0;
  open.Call.Remaining = open.DeadlineAt - Loop.now();
  open.LocalId =
      Local.forward(std::move(open.Call), [this, id](ForwardResult result) {
        finish(id, std::move(result));
      });
}

void DelegationTask::cancel(ForwardId id) {
  const auto it = OpenRequests.find(id);
  if (it == OpenRequests.end())
    return;
  Loop.cancel(it->second.Timer);
  if (it->second.Executor.empty()) {
    Local.cancel(it->second.LocalId);
  } else {
    abandon(id, it->second.Executor);
  }
  OpenRequests.erase(it);
}

// Notifies the executor that the reply is no longer needed.
void DelegationTask::abandon(ForwardId id, const std::string &executor) {
  Selector.onCompleted(executor);
  const auto peer = LinkedPeers.find(executor);
  if (peer != LinkedPeers.end())
    Links.send(peer->second,
               static_cast<std::uint16_t>(DelegationMessageType::Cancel),
               protocol::encodeDelegationCancel({id}));
}

bool DelegationTask::onMessage(const PeerIdentity &, std::uint16_t type,
                               std::string_view payload) {
  if (type != static_cast<std::uint16_t>(DelegationMessageType::Reply))
    return false;
  auto reply = protocol::decodeDelegatedReply(payload);
  if (reply)
    onReply(std::move(*reply));
  return reply.has_value();
}

void DelegationTask::onReply(DelegatedReply reply) {
  const ForwardId id = reply.Sequence;
  const auto it = OpenRequests.find(id);
  if (it == OpenRequests.end() || it->second.Executor.empty())
    return; // the request has ended or is executed locally
  OpenRequest &open = it->second;
  const std::string executor = open.Executor;
  if (reply.Outcome == DelegationOutcome::Pending) {
    open.IsPending = true;
    return;
  }
  if (reply.Outcome == DelegationOutcome::Refused) {
    state::log::info(
        "delegation_refused",
        {{"id", open.Call.Message->RequestId},
         {"executor", executor},
         {"elapsed_ms", (Loop.now() - open.ArrivedAt).count() / 1000}});
    Refused.add();
    Selector.onRefused(executor, Loop.now());
    runLocally(id);
    return;
  }
  Selector.onCompleted(executor);
  const Duration sample = std::clamp(
      Loop.now() - open.ArrivedAt - reply.Elapsed, Duration(0), MaxOverhead);
  Overhead += (sample - Overhead) / OverheadDivisor;
  const bool hasMissing = reply.MissingParts <= open.Call.Services.size();
  auto result = toForwardResult(std::move(reply));
  if (!result || !hasMissing) {
    state::log::warning("delegation_malformed", {{"executor", executor}});
    fail(id, ForwardFault::BackendFailed);
    return;
  }
  result->Executor = executor;
  finish(id, std::move(*result));
}

void DelegationTask::startDrain(TimePoint exitAt) {
  ExitAt = exitAt;
  for (auto &[id, open] : OpenRequests) {
    if (open.Executor.empty())
      continue;
    Loop.cancel(open.Timer);
    open.Timer = Loop.schedule(endsAt(open) - Loop.now(),
                               [this, id = id] { onTimeout(id); });
  }
  Local.startDrain(exitAt);
}

TimePoint DelegationTask::endsAt(const OpenRequest &open) const {
  return std::min({open.DeadlineAt - Options.DeadlineMargin,
                   open.ArrivedAt + open.Call.Route->Timeout, ExitAt});
}

void DelegationTask::onTimeout(ForwardId id) {
  OpenRequest &open = OpenRequests.at(id);
  open.Timer = 0;
  const TimePoint now = Loop.now();
  const TimePoint failAt = endsAt(open);
  if (now >= failAt) {
    fail(id, now >= ExitAt ? ForwardFault::Stopping
                           : ForwardFault::DeadlineExceeded);
    return;
  }
  if (!open.IsPending) {
    state::log::info("delegation_silent",
                     {{"id", open.Call.Message->RequestId},
                      {"executor", open.Executor},
                      {"elapsed_ms", (now - open.ArrivedAt).count() / 1000}});
    Selector.onTimeout(open.Executor, now);
  }
  open.Timer = Loop.schedule(failAt - now, [this, id] { onTimeout(id); });
}

void DelegationTask::fail(ForwardId id, ForwardFault fault) {
  Lost.add();
  const OpenRequest &open = OpenRequests.at(id);
  abandon(id, open.Executor);
  ForwardResult result;
  result.Outcome = coordination::ForwardFailure{
      fault, coordination::ExecutionState::Unknown, {}};
  result.Counts.Parts = static_cast<std::uint32_t>(open.Call.Services.size());
  result.Executor = open.Executor;
  finish(id, std::move(result));
}

void DelegationTask::finish(ForwardId id, ForwardResult result) {
  const auto node = OpenRequests.extract(id);
  if (node.empty())
    return;
  const OpenRequest &open = node.mapped();
  Loop.cancel(open.Timer);
  result.Elapsed = Loop.now() - open.ArrivedAt;
  result.Remaining = open.DeadlineAt - Loop.now();
  open.Callback(std::move(result));
}

void DelegationTask::onLinkUp(const PeerIdentity &peer) {
  LinkedPeers[peer.Address] = peer;
}

void DelegationTask::onLinkLost(const PeerIdentity &peer) {
  const auto linked = LinkedPeers.find(peer.Address);
  if (linked == LinkedPeers.end() || linked->second != peer)
    return;
  recordLinked();
  LinkedPeers.erase(linked);
  std::vector<ForwardId> lost;
  for (const auto &[id, open] : OpenRequests)
    if (open.Executor == peer.Address)
      lost.push_back(id);
  // Posted, because the link can close while a request is written to it.
  for (const ForwardId id : lost)
    Loop.post([this, id] {
      if (OpenRequests.contains(id))
        fail(id, ForwardFault::BackendFailed);
    });
}

} // namespace galenaflow::forwarding
