#include "forwarding/forward_task.h"

#include "coordination/drain.h"
#include "state/log.h"

#include <algorithm>

// An attempt that needs a connection is queued for its service, not for a
// replica: the replica is chosen when a connection is free, so no attempt waits
// for a paused replica while another could execute it.
//
// Replicas also become usable by time alone: a pause, an ejection or a cooldown
// ends, or a limit allows the next request. Nothing announces that, so while
// attempts wait, their replicas are checked often.
//
// While the process stops, requests whose deadline is after its exit are
// checked often: one that waits behind too many others to end in time is failed
// at once, as not run, so that its caller can go to another daemon. Otherwise
// it would wait for nothing, or be sent to a replica just to be cut off by the
// exit.
//
// An attempt whose response is no longer needed keeps its connection for a
// short time if it belongs to a shard set, because a new connection costs a
// replica about as much as the rest of the work. Work for a single replica
// takes many times longer than connecting and is cancelled at once.

namespace galenaflow::forwarding {

using coordination::AttemptEnd;
using coordination::AttemptOutcome;
using state::Duration;
using state::TimePoint;

namespace {

/// How often a stopping process looks for attempts that cannot end in time.
constexpr Duration DrainCheckInterval = std::chrono::milliseconds(50);

/// How often the replicas of waiting attempts are checked.
constexpr Duration WaitCheckInterval = std::chrono::milliseconds(50);

AttemptOutcome toOutcome(const ReplicaResult &result, bool cancelled) {
  if (std::holds_alternative<coordination::BackendResponse>(result.Outcome))
    return AttemptOutcome::Succeeded;
  if (cancelled)
    return AttemptOutcome::Cancelled;
  const auto end = std::get<coordination::AttemptFailure>(result.Outcome).End;
  return end == AttemptEnd::Rejected || end == AttemptEnd::Misdirected
             ? AttemptOutcome::NotRun
             : AttemptOutcome::Failed;
}

} // namespace

void ForwardTask::endUnfinishable() {
  std::vector<WaitKey> found;
  for (const auto &[service, queue] : WaitingAttempts)
    findUnfinishable(service, queue, found);
  for (const WaitKey &key : found) {
    const auto it = Requests.find(key.Request);
    if (it == Requests.end())
      continue;
    Request &request = *it->second;
    if (WaitingAttempts[request.Execution.service(key.Part)].erase(key) != 0)
      failUnsent(key, request, AttemptEnd::Stopping);
  }
  DrainTimer = Loop.schedule(DrainCheckInterval, [this] { endUnfinishable(); });
}

void ForwardTask::findUnfinishable(const std::string &service,
                                   const std::set<WaitKey> &queue,
                                   std::vector<WaitKey> &found) {
  std::size_t connections = 0;
  const auto replicas = ReplicasByService.find(service);
  if (replicas != ReplicasByService.end())
    for (const ReplicaPtr &replica : replicas->second)
      connections += replica->Pool.limit();
  std::size_t ahead = 0;
  for (const WaitKey &key : queue) {
    const auto it = Requests.find(key.Request);
    if (it == Requests.end())
      continue;
    if (isUnfinishable(key, *it->second, ahead, connections))
      found.push_back(key);
    else
      ++ahead;
  }
}

bool ForwardTask::isUnfinishable(const WaitKey &key, const Request &request,
                                 std::size_t ahead, std::size_t connections) {
  return key.DeadlineAt > ExitAt &&
         !coordination::canEndWithin(ExitAt - Loop.now(), ahead, connections,
                                     expectedLatency(request.ClassKey));
}

void ForwardTask::queueAttempt(ForwardId id, Request &request,
                               const coordination::SendAttempt &action) {
  if (action.Kind == coordination::AttemptKind::Hedge)
    Hedges.add();
  if (action.Kind == coordination::AttemptKind::Retry)
    Retries.add();
  const auto &options = request.Execution.options();
  const std::string &service = request.Execution.service(action.Part);
  std::set<WaitKey> &queue = WaitingAttempts[service];
  if (queue.empty())
    Room.onBacklog(service, Loop.now());
  queue.insert({options.Route->Priority, options.DeadlineAt, id, action.Number,
                action.Part});
  scheduleDispatch(service);
}

void ForwardTask::cancelAttempt(ForwardId id, Request &request,
                                const coordination::CancelAttempt &action) {
  const auto &options = request.Execution.options();
  const auto sent = request.Attempts.find(action.Number);
  if (sent == request.Attempts.end()) {
    WaitingAttempts[request.Execution.service(action.Part)].erase(
        {options.Route->Priority, options.DeadlineAt, id, action.Number,
         action.Part});
    return;
  }
  const auto it = Attempts.find(sent->second);
  request.Attempts.erase(sent);
  if (it == Attempts.end())
    return;
  it->second.Request = 0;
  const ReplicaPtr target = it->second.Target;
  if (options.Route->isSharded()) {
    target->Pool.abandon(it->second.Exchange);
    return;
  }
  it->second.WasCancelled = true;
  target->Pool.cancel(it->second.Exchange);
}

void ForwardTask::scheduleDispatch(const std::string &service) {
  if (!DispatchPending.insert(service).second)
    return;
  Loop.post([this, service] {
    DispatchPending.erase(service);
    dispatch(service);
  });
}

void ForwardTask::dispatch(const std::string &service) {
  std::set<WaitKey> &queue = WaitingAttempts[service];
  for (auto it = queue.begin(); it != queue.end();) {
    const WaitKey key = *it;
    // Attempts can be added or removed while one is sent.
    if (dispatchOne(service, key))
      queue.erase(key);
    it = queue.upper_bound(key);
  }
  if (!queue.empty() && WaitTimer == 0)
    WaitTimer = Loop.schedule(WaitCheckInterval, [this] { checkWaiting(); });
}

void ForwardTask::checkWaiting() {
  WaitTimer = 0;
  bool isAnyWaiting = false;
  for (const auto &[service, queue] : WaitingAttempts) {
    if (queue.empty())
      continue;
    isAnyWaiting = true;
    if (mayDispatch(service))
      scheduleDispatch(service);
  }
  if (isAnyWaiting)
    WaitTimer = Loop.schedule(WaitCheckInterval, [this] { checkWaiting(); });
}

// Costs less than a dispatch of many attempts that all have to wait.
bool ForwardTask::mayDispatch(const std::string &service) {
  return Placement.hasOther(
      service, {},
      [this](std::string_view id) {
        const auto it = Replicas.find(id);
        if (it == Replicas.end() || !allowsRequest(*it->second))
          return false;
        const Replica &replica = *it->second;
        return replica.Pool.hasFree() || (replica.Pool.limit() == 0 &&
                                          replica.CooldownUntil <= Loop.now());
      },
      Loop.now());
}

bool ForwardTask::dispatchOne(const std::string &service, const WaitKey &key) {
  const auto it = Requests.find(key.Request);
  if (it == Requests.end())
    return true;
  Request &request = *it->second;
  if (isUnfinishable(key, request, 0, 1)) {
    failUnsent(key, request, AttemptEnd::Stopping);
    return true;
  }
  std::vector<state::ReplicaId> both;
  const auto tried =
      withForbidden(*request.Execution.options().Route, service,
                    request.Execution.triedReplicas(key.Part), both);
  // Cold replicas are only used while no other can be.
  for (const bool isCold : {false, true}) {
    const auto canSend = [this, isCold](std::string_view id) {
      const auto replica = Replicas.find(id);
      return replica != Replicas.end() && replica->second->Pool.hasFree() &&
             Gate.isCold(id, Loop.now()) == isCold &&
             allowsRequest(*replica->second);
    };
    // A replica whose connections are probed first has no free one afterwards.
    while (const auto chosen =
               Placement.choose(service, tried, canSend, Loop.now()))
      if (send(request, key, Replicas.at(*chosen)))
        return true;
  }
  if (hasOther(service, tried)) {
    if (allowTemporaryConnection(service, tried))
      scheduleDispatch(service);
    return false;
  }
  const AttemptEnd end = Placement.hasOther(service, tried, Loop.now())
                             ? AttemptEnd::AtLimit
                             : AttemptEnd::NotSent;
  if (end == AttemptEnd::AtLimit &&
      Gate.withheldCold(service, Loop.now(),
                        allowedDataCentres(*request.Execution.options().Route)))
    WithheldAttempts.add();
  failUnsent(key, request, end);
  return true;
}

void ForwardTask::failUnsent(const WaitKey &key, Request &request,
                             AttemptEnd end) {
  executeActions(key.Request, request.Execution.onFailure(
                                  key.Number, {end, {}, {}}, Loop.now()));
}

// Allows one connection to a replica that the plan gives none, for use when the
// others are busy or do not respond. The next plan resets the limit.
bool ForwardTask::allowTemporaryConnection(
    const std::string &service, std::span<const state::ReplicaId> tried) {
  const auto replicas = ReplicasByService.find(service);
  if (replicas == ReplicasByService.end())
    return false;
  for (const ReplicaPtr &replica : replicas->second) {
    const bool wasTried = std::find(tried.begin(), tried.end(),
                                    replica->Record.Id) != tried.end();
    if (wasTried || !takesAttempts(*replica) || replica->Pool.limit() != 0 ||
        replica->CooldownUntil > Loop.now() || !allowsRequest(*replica))
      continue;
    replica->Pool.setLimit(1);
    return true;
  }
  return false;
}

bool ForwardTask::send(Request &request, const WaitKey &key,
                       const ReplicaPtr &target) {
  const TimePoint now = Loop.now();
  const Duration remaining = std::min(key.DeadlineAt, ExitAt) - now;
  const AttemptId id = ++LastAttempt;
  Attempt attempt;
  attempt.Request = key.Request;
  attempt.Number = key.Number;
  attempt.Part = key.Part;
  attempt.Target = target;
  attempt.SentAt = now;
  attempt.ClassKey = request.ClassKey;
  attempt.Message = request.Message;
  attempt.ExpectedLatency = expectedLatency(request.ClassKey);
  attempt.Exchange = target->Pool.send(
      Protocol.encode(request.Message, target->Record.Id, remaining), remaining,
      [this, id, target](transport::HttpResult result) {
        onAttemptEnded(id, std::move(result));
        // The pool must not be destroyed inside its own callback.
        Loop.post([target] {});
      },
      // Setting up a connection can take seconds.
      [this, target] { return !Gate.isEvacuated(target->Record.DataCentre); });
  // The pool probes its connections and calls its onFree() callback when one
  // can be used.
  if (attempt.Exchange == 0)
    return false;
  request.Attempts.emplace(key.Number, id);
  if (Gate.isCold(target->Record.Id, now))
    ColdAttempts.add();
  if (Gate.onSent(target->Record.Id, now))
    LimitedAttempts.add();
  Placement.onSent(target->Record.Id, attempt.ExpectedLatency, now);
  Room.onSent(target->Record.Service, now);
  Attempts.emplace(id, std::move(attempt));
  executeActions(key.Request,
                 request.Execution.onSent(key.Number, target->Record.Id, now));
  return true;
}

void ForwardTask::logFailedAttempt(const Attempt &attempt,
                                   const ReplicaResult &result) const {
  const auto &failure = std::get<coordination::AttemptFailure>(result.Outcome);
  state::log::info(
      "attempt_failed",
      {{"id", attempt.Message->RequestId},
       {"service", attempt.Target->Record.Service},
       {"replica", attempt.Target->Record.Id},
       {"end", coordination::attemptEndName(failure.End)},
       {"reason", failure.Reason},
       {"lost", failure.IsLost},
       {"fingerprint", attempt.Message->fingerprint().toText()},
       {"status", failure.Response ? failure.Response->Status : 0},
       {"elapsed_ms", (Loop.now() - attempt.SentAt).count() / 1000},
       {"awaited", attempt.Request != 0},
       {"running", result.Load ? result.Load->Running : 0},
       {"waiting", result.Load ? result.Load->Waiting : 0}});
}

void ForwardTask::onAttemptEnded(AttemptId id, transport::HttpResult result) {
  const auto node = Attempts.extract(id);
  if (node.empty())
    return;
  const Attempt &attempt = node.mapped();
  const TimePoint now = Loop.now();
  const auto request = Requests.find(attempt.Request);
  const bool hasResponded = result.has_value();
  recordContact(*attempt.Target, result);
  ReplicaResult decoded = Protocol.decode(*attempt.Message, std::move(result));
  const AttemptOutcome outcome = toOutcome(decoded, attempt.WasCancelled);
  if (outcome != AttemptOutcome::Succeeded &&
      outcome != AttemptOutcome::Cancelled)
    logFailedAttempt(attempt, decoded);
  if (outcome == AttemptOutcome::Succeeded) {
    RequestClass &cls = requestClass(attempt.ClassKey);
    cls.MedianLatency.add(now - attempt.SentAt);
    cls.HedgeLatency.add(now - attempt.SentAt);
    Room.onResponse(attempt.Target->Record.Id, cls.Id, now - attempt.SentAt,
                    decoded.Load ? &*decoded.Load : nullptr, now);
  } else if (outcome == AttemptOutcome::NotRun) {
    Rejections.add();
  } else if (outcome == AttemptOutcome::Failed) {
    FailedAttempts.add();
  }
  if (outcome == AttemptOutcome::NotRun && !isMisdirected(decoded))
    Room.onRejected(attempt.Target->Record.Id,
                    decoded.Load ? &*decoded.Load : nullptr, now);
  if (hasResponded && !isMisdirected(decoded))
    Gate.onResponse(attempt.Target->Record.Id,
                    attempt.Target->Record.Incarnation, decoded.ColdRemaining,
                    now);
  recordLimit(*attempt.Target, decoded);
  if (decoded.Pause)
    recordPause(*attempt.Target, *decoded.Pause);
  if (decoded.IsLeaving)
    recordLeaving(*attempt.Target);
  Placement.onEnded(attempt.Target->Record.Id, attempt.SentAt,
                    attempt.ExpectedLatency, outcome, now);
  if (isMisdirected(decoded)) {
    state::log::info("replica_misdirected",
                     {{"replica", attempt.Target->Record.Id},
                      {"address", attempt.Target->Record.Address}});
    Placement.onMisdirected(attempt.Target->Record.Id);
    Gate.onMisdirected(attempt.Target->Record.Id, attempt.SentAt);
  } else if (decoded.Load)
    Placement.onLoad(attempt.Target->Record.Id, *decoded.Load, now);
  if (request == Requests.end())
    return;
  recordCongestion(*request->second, attempt, outcome, decoded);
  request->second->Attempts.erase(attempt.Number);
  auto &execution = request->second->Execution;
  if (auto *response =
          std::get_if<coordination::BackendResponse>(&decoded.Outcome))
    executeActions(
        attempt.Request,
        execution.onResponse(attempt.Number, std::move(*response), now));
  else
    executeActions(
        attempt.Request,
        execution.onFailure(
            attempt.Number,
            std::move(std::get<coordination::AttemptFailure>(decoded.Outcome)),
            now));
}

} // namespace galenaflow::forwarding
