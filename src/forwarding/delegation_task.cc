#include "forwarding/delegation_task.h"

#include "state/log.h"

#include <algorithm>

// An executor's answer has to be back before the objective, so it is told how
// long the way takes: the mean of what the last requests took beside its work.
//
// With little more time left than that, a request is run here.
//
// A request whose executor may have begun is not run a second time here: the
// replicas that it has asked are not known, and the route's attempts and the
// budget of extra arrivals would be passed. Such a request is one of the few
// that are open when an executor stops answering; the next ones avoid it.

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

/// A longer way is a fault of the network and says nothing about the next one.
constexpr Duration MaxOverhead = std::chrono::milliseconds(20);

/// The result in a reply. Nothing for enumerators that do not exist.
std::optional<ForwardResult> toForwardResult(DelegatedReply reply) {
  ForwardResult result;
  result.Counts.Parts = reply.Parts;
  result.Counts.Primaries = reply.Parts;
  result.Counts.PartsAnswered = reply.PartsAnswered;
  result.Counts.Hedges = reply.Hedges;
  result.Counts.Retries = reply.Retries;
  result.Counts.Rejections = reply.Rejections;
  result.Counts.Missing = std::move(reply.MissingServices);
  if (reply.Outcome == DelegationOutcome::Merged) {
    result.Outcome = coordination::MergedAnswer{std::move(reply.Signatures),
                                                reply.MissingParts,
                                                std::move(reply.Records)};
    return result;
  }
  constexpr auto lastFault =
      static_cast<std::uint8_t>(ForwardFault::CallerGone);
  constexpr auto lastRan =
      static_cast<std::uint8_t>(coordination::ExecutionState::Unknown);
  if (reply.Fault > lastFault || reply.Ran > lastRan)
    return std::nullopt;
  result.Outcome = coordination::ForwardFailure{
      static_cast<ForwardFault>(reply.Fault),
      static_cast<coordination::ExecutionState>(reply.Ran),
      {}};
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
  const auto wanted = Selector.linkTargets();
  return std::any_of(wanted.begin(), wanted.end(),
                     [this](const std::string &address) {
                       return LinkedPeers.contains(address);
                     });
}

std::optional<std::string>
DelegationTask::chooseExecutor(const ForwardCall &call) {
  if (!call.Route->isSharded() || !call.Route->IsIdempotent ||
      call.Services.size() < Options.MinParts ||
      call.Message->Body.size() > Options.MaxBodyBytes ||
      call.Remaining <= 2 * Overhead)
    return std::nullopt;
  return Selector.choose(
      [this](const std::string &address) {
        return LinkedPeers.contains(address);
      },
      Loop.now());
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
  Selector.onSent(*executor);
  const Duration objective = open.Call.Route->LatencyObjective;
  const Duration longest = std::min(
      open.Call.Remaining - Options.DeadlineMargin, open.Call.Route->Timeout);
  open.Timer = Loop.schedule(
      objective.count() == 0 ? longest : std::min(objective, longest),
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
  request.Remaining = open.Call.Remaining;
  request.ReturnTime = Overhead;
  request.RequestId = message.RequestId;
  request.Method = message.Method;
  request.Path = message.Path;
  request.Host = message.Host;
  request.Headers = message.Headers.items();
  request.Body = message.Body;
  return Links.send(LinkedPeers.at(executor),
                    static_cast<std::uint16_t>(DelegationMessageType::Request),
                    protocol::encodeDelegatedRequest(request));
}

void DelegationTask::runLocally(ForwardId id) {
  OpenRequest &open = OpenRequests.at(id);
  open.Executor.clear();
  Loop.cancel(open.Timer);
  open.Timer = 0;
  open.Call.Remaining = open.DeadlineAt - Loop.now();
  open.Local =
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
    Local.cancel(it->second.Local);
  } else {
    abandon(id, it->second.Executor);
  }
  OpenRequests.erase(it);
}

// No answer is wanted from the executor any more.
void DelegationTask::abandon(ForwardId id, const std::string &executor) {
  Selector.onAnswered(executor);
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
    return; // answered, given up, or the caller has left
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
  Selector.onAnswered(executor);
  const Duration sample = std::clamp(
      Loop.now() - open.ArrivedAt - reply.Elapsed, Duration(0), MaxOverhead);
  Overhead += (sample - Overhead) / OverheadDivisor;
  auto result = toForwardResult(std::move(reply));
  if (!result) {
    state::log::warning("delegation_malformed", {{"executor", executor}});
    fail(id, ForwardFault::BackendFailed);
    return;
  }
  result->Executor = executor;
  finish(id, std::move(*result));
}

void DelegationTask::onTimeout(ForwardId id) {
  OpenRequest &open = OpenRequests.at(id);
  open.Timer = 0;
  const TimePoint now = Loop.now();
  const TimePoint giveUpAt =
      std::min(open.DeadlineAt - Options.DeadlineMargin,
               open.ArrivedAt + open.Call.Route->Timeout);
  if (now >= giveUpAt) {
    fail(id, ForwardFault::DeadlineExceeded);
    return;
  }
  if (!open.IsPending) {
    state::log::info("delegation_silent",
                     {{"id", open.Call.Message->RequestId},
                      {"executor", open.Executor},
                      {"elapsed_ms", (now - open.ArrivedAt).count() / 1000}});
    Selector.onTimeout(open.Executor, now);
  }
  open.Timer = Loop.schedule(giveUpAt - now, [this, id] { onTimeout(id); });
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
  // Posted, because the link can be lost while a request is written to it.
  for (const ForwardId id : lost)
    Loop.post([this, id] {
      if (OpenRequests.contains(id))
        fail(id, ForwardFault::BackendFailed);
    });
}

} // namespace galenaflow::forwarding
