#include "daemon/backend_task.h"

#include "protocol/backend_api.h"
#include "state/log.h"

#include <algorithm>
#include <array>
#include <set>

// A call first passes the slot scheduler, which keeps the outstanding calls of
// a replica within this process's share of its connections, and then uses a
// connection from the replica's pool. The scheduler counts a cancelled call
// until its connection is free again, so the two bounds stay equal.
//
// Health and load polls use the same connections, so that they stay within the
// share as well.

namespace galenaflow::daemon {

using coordination::ReplicaHealth;
using state::ErrorCode;

namespace {

/// Interval at which the latencies of replicas are compared.
constexpr state::Duration OutlierInterval = std::chrono::seconds(1);

/// A poll that takes longer than this fails; the next one follows after the
/// poll interval.
constexpr state::Duration PollTimeout = std::chrono::seconds(1);

/// A cancellation that cannot be sent within this time no longer saves work.
constexpr state::Duration CancelTimeout = std::chrono::milliseconds(200);

ReplicaHealth toReplicaHealth(protocol::HealthState health) {
  switch (health) {
  case protocol::HealthState::Starting:
    return ReplicaHealth::Starting;
  case protocol::HealthState::Serving:
    return ReplicaHealth::Serving;
  case protocol::HealthState::Draining:
    return ReplicaHealth::Draining;
  }
  return ReplicaHealth::Unknown;
}

} // namespace

struct BackendTask::ReplicaState {
  ReplicaState(transport::EventLoop &loop, const state::Service &service,
               const state::Replica &listed,
               const transport::SocketAddress &address,
               const transport::BackendPoolOptions &pool)
      : ServiceName(service.Name), Listed(listed), Pool(loop, address, pool) {}

  std::string ServiceName;
  state::Replica Listed;
  transport::BackendPool Pool;
  /// Calls that the scheduler started while the pool had no free connection,
  /// because the idle connections were still being probed.
  std::deque<CallId> Blocked;
  transport::TimerId PollTimer = 0;
  bool Leaving = false;
};

struct BackendTask::ServiceState {
  ServiceState(const BackendTaskOptions &options)
      : Hedging{makePolicy(options), makePolicy(options), makePolicy(options),
                makePolicy(options)},
        Retries(options.RetryBudget) {}

  static std::unique_ptr<coordination::AdaptiveHedgePolicy>
  makePolicy(const BackendTaskOptions &options) {
    return std::make_unique<coordination::AdaptiveHedgePolicy>(options.Hedging);
  }

  std::array<std::unique_ptr<coordination::AdaptiveHedgePolicy>,
             state::OperationCount>
      Hedging;
  coordination::RatioRetryBudget Retries;
  std::uint32_t ConnectionShare = 0; ///< zero until the shares are known
};

BackendTask::BackendTask(transport::EventLoop &loop, BackendTaskOptions options)
    : Loop(loop), Options(std::move(options)), Outliers(Options.Outliers),
      Selector(Outliers, std::mt19937_64(Options.Seed)),
      Random(Options.Seed + 1) {
  const std::function<void()> ejectSlowReplicas = [this] {
    Outliers.ejectSlowReplicas(Loop.now());
    for (const auto &[id, replica] : Replicas)
      updateUsable(id);
  };
  struct Repeat {
    static void arm(BackendTask &task, const std::function<void()> &run) {
      task.OutlierTimer = task.Loop.schedule(OutlierInterval, [&task, run] {
        run();
        arm(task, run);
      });
    }
  };
  Repeat::arm(*this, ejectSlowReplicas);
}

BackendTask::~BackendTask() {
  Loop.cancel(QueueTimer);
  Loop.cancel(OutlierTimer);
  for (const auto &[id, replica] : Replicas)
    Loop.cancel(replica->PollTimer);
}

void BackendTask::setTopology(const state::TopologyPtr &topology) {
  Topology = topology;
  Outliers.setTopology(*topology);
  Selector.setTopology(*topology);
  Snapshots.setTopology(topology);
  std::set<std::string, std::less<>> listed;
  for (const auto &[name, service] : topology->Services) {
    if (!Services.contains(name))
      Services.emplace(name, std::make_unique<ServiceState>(Options));
    for (const state::Replica &replica : service.Replicas) {
      listed.insert(replica.Id);
      addReplica(service, replica);
    }
  }
  std::vector<std::string> removed;
  for (const auto &[id, replica] : Replicas)
    if (!listed.contains(id))
      removed.push_back(id);
  for (const std::string &id : removed)
    removeReplica(id);
  for (const auto &[id, replica] : Replicas)
    applyShare(*replica);
}

void BackendTask::addReplica(const state::Service &service,
                             const state::Replica &replica) {
  const auto it = Replicas.find(replica.Id);
  if (it != Replicas.end()) {
    if (it->second->Listed.Address == replica.Address)
      return;
    removeReplica(replica.Id);
  }
  const auto address = transport::parseSocketAddress(replica.Address);
  if (!address) {
    state::log::error("replica_address_invalid",
                      {{"replica", replica.Id}, {"address", replica.Address}});
    return;
  }
  auto created = std::make_unique<ReplicaState>(Loop, service, replica,
                                                *address, Options.Pool);
  ReplicaState &added = *created;
  added.Pool.onFree([this, &added] {
    while (!added.Blocked.empty() && added.Pool.hasFree()) {
      const CallId id = added.Blocked.front();
      added.Blocked.pop_front();
      sendOrBlock(id, added);
    }
  });
  Replicas.emplace(replica.Id, std::move(created));
  // The first polls of the replicas are spread over a tenth of the interval.
  std::uniform_int_distribution<std::int64_t> delay(
      0, Options.PollInterval.count() / 10);
  schedulePoll(replica.Id, state::Duration(delay(Random)));
}

void BackendTask::removeReplica(std::string_view id) {
  const auto it = Replicas.find(id);
  Loop.cancel(it->second->PollTimer);
  executeActions(Scheduler.setLimit(id, 0, Loop.now()));
  std::vector<CallId> open;
  for (const auto &[callId, call] : Calls)
    if (call.Call.Replica == id)
      open.push_back(callId);
  for (const CallId callId : open) {
    // The callback of an earlier call may have cancelled this one.
    const auto call = Calls.find(callId);
    if (call == Calls.end())
      continue;
    const bool sent = call->second.Exchange != 0;
    finish(callId,
           tl::unexpected(transport::HttpFailure{
               {ErrorCode::Unavailable, "the replica was removed"}, sent}));
    // The pool is destroyed without a result of its exchanges, and the replica
    // may be listed again, at another address.
    executeActions(Scheduler.onEnded(callId, Loop.now()));
  }
  // Destroyed by a posted function, because this can run inside a callback of
  // one of the replica's connections.
  Loop.post(
      [removed = std::shared_ptr<ReplicaState>(std::move(it->second))] {});
  Replicas.erase(it);
}

void BackendTask::setConnectionShare(std::string_view service,
                                     std::uint32_t share) {
  const auto it = Services.find(service);
  if (it == Services.end() || it->second->ConnectionShare == share)
    return;
  it->second->ConnectionShare = share;
  for (const auto &[id, replica] : Replicas)
    if (replica->ServiceName == service)
      applyShare(*replica);
}

void BackendTask::applyShare(ReplicaState &replica) {
  // Many requests at once would open all connections that the replicas allow,
  // which can be more than the descriptors of the process.
  const std::size_t most =
      std::max<std::size_t>(1, Options.MaxConnections / Replicas.size());
  const auto share = static_cast<std::uint32_t>(std::min<std::size_t>(
      Services.at(replica.ServiceName)->ConnectionShare, most));
  replica.Pool.setLimit(share);
  replica.Pool.warm(Options.WarmConnections);
  executeActions(Scheduler.setLimit(replica.Listed.Id, share, Loop.now()));
}

std::uint32_t BackendTask::largestPoolSize(std::string_view service) const {
  std::size_t most = 0;
  for (const auto &[id, replica] : Replicas)
    if (replica->ServiceName == service)
      most = std::max(most, replica->Pool.size());
  return static_cast<std::uint32_t>(most);
}

void BackendTask::setLeaving(std::string_view address, bool leaving) {
  for (const auto &[id, replica] : Replicas) {
    if (replica->Listed.Address != address || replica->Leaving == leaving)
      continue;
    replica->Leaving = leaving;
    Selector.setLeaving(id, leaving);
    updateUsable(id);
  }
}

CallId BackendTask::call(BackendCall call, transport::HttpCallback callback) {
  const CallId id = ++LastCall;
  const auto it =
      Calls.emplace(id, OpenCall{std::move(call), std::move(callback), 0})
          .first;
  if (!Replicas.contains(it->second.Call.Replica)) {
    Loop.post([this, id] {
      fail(id, ErrorCode::Unavailable, "the replica is not listed");
    });
    return id;
  }
  const BackendCall &stored = it->second.Call;
  executeActions(Scheduler.onRequest(
      {id, stored.Replica, stored.Priority, stored.DeadlineAt}, Loop.now()));
  armQueueTimer();
  return id;
}

void BackendTask::cancel(CallId id) {
  const auto it = Calls.find(id);
  if (it == Calls.end())
    return;
  OpenCall &open = it->second;
  if (open.Exchange != 0) {
    open.Callback = nullptr;
    const auto replica = Replicas.find(open.Call.Replica);
    if (replica != Replicas.end())
      replica->second->Pool.abandon(open.Exchange);
    sendCancel(open.Call);
    return;
  }
  const auto replica = Replicas.find(open.Call.Replica);
  if (replica != Replicas.end())
    std::erase(replica->second->Blocked, id);
  Calls.erase(it);
  executeActions(Scheduler.onEnded(id, Loop.now()));
  armQueueTimer();
}

void BackendTask::sendCancel(const BackendCall &cancelled) {
  const auto replica = Replicas.find(cancelled.Replica);
  if (cancelled.SubRequestId.empty() || replica == Replicas.end() ||
      !replica->second->Pool.hasFree())
    return;
  BackendCall call;
  call.Replica = cancelled.Replica;
  call.Request.Method = "DELETE";
  call.Request.Path = protocol::cancelPath(cancelled.SubRequestId);
  call.Priority = state::Priority::Urgent;
  call.DeadlineAt = Loop.now() + CancelTimeout;
  this->call(std::move(call), [](const transport::HttpResult &) {});
}

coordination::QueryPolicies BackendTask::policies(std::string_view service,
                                                  state::Operation operation) {
  ServiceState &entry = *Services.find(service)->second;
  coordination::ReplicaSelector &selector =
      Options.RoundRobin
          ? static_cast<coordination::ReplicaSelector &>(RoundRobin)
          : Selector;
  return {Snapshots, selector,
          *entry.Hedging[static_cast<std::size_t>(operation)], entry.Retries};
}

bool BackendTask::hasSnapshots() {
  if (!Topology)
    return false;
  return std::all_of(Topology->Services.begin(), Topology->Services.end(),
                     [this](const auto &entry) {
                       return entry.second.Kind !=
                                  state::ServiceKind::Sharded ||
                              Snapshots.select(entry.first, {}).has_value();
                     });
}

void BackendTask::setSaturated(std::string_view service, bool saturated) {
  const auto it = Services.find(service);
  if (it == Services.end())
    return;
  for (const auto &policy : it->second->Hedging)
    policy->setSaturated(saturated || Options.RoundRobin);
}

std::vector<ReplicaStatus> BackendTask::status() const {
  std::vector<ReplicaStatus> rows;
  const state::TimePoint now = Loop.now();
  for (const auto &[id, replica] : Replicas) {
    ReplicaStatus row;
    row.Service = replica->ServiceName;
    row.Replica = id;
    row.Address = replica->Listed.Address;
    row.DataCentre = replica->Listed.DataCentre;
    row.Usable = Selector.usable(id, now);
    row.Ejected = Outliers.isEjected(id);
    row.InFlight = Scheduler.outstanding(id);
    row.Queued = Scheduler.queued(id);
    row.Connections = replica->Pool.size();
    row.ConnectionShare = Services.at(replica->ServiceName)->ConnectionShare;
    rows.push_back(std::move(row));
  }
  return rows;
}

void BackendTask::executeActions(const coordination::SlotActions &actions) {
  for (const auto &action : actions) {
    if (const auto *started =
            std::get_if<coordination::StartSubRequest>(&action)) {
      start(started->Id);
      continue;
    }
    const auto &rejected = std::get<coordination::RejectSubRequest>(action);
    const bool isLate =
        rejected.Reason ==
        coordination::RejectSubRequest::ReasonCode::DeadlinePassed;
    // Posted, because the callback must not run inside call().
    Loop.post([this, id = rejected.Id, isLate] {
      fail(id, isLate ? ErrorCode::DeadlineExceeded : ErrorCode::Overloaded,
           isLate ? "no connection was free in time"
                  : "too many calls are queued");
    });
  }
}

void BackendTask::start(CallId id) {
  const auto it = Calls.find(id);
  if (it == Calls.end())
    return;
  const auto replica = Replicas.find(it->second.Call.Replica);
  if (replica != Replicas.end())
    sendOrBlock(id, *replica->second);
}

void BackendTask::sendOrBlock(CallId id, ReplicaState &replica) {
  const auto it = Calls.find(id);
  if (it == Calls.end())
    return;
  OpenCall &open = it->second;
  const state::Duration remaining = open.Call.DeadlineAt - Loop.now();
  if (remaining <= state::Duration(0)) {
    Loop.post([this, id] {
      fail(id, ErrorCode::DeadlineExceeded, "no connection was free in time");
      executeActions(Scheduler.onEnded(id, Loop.now()));
    });
    return;
  }
  open.Exchange = replica.Pool.send(
      open.Call.Request, remaining,
      [this, id](transport::HttpResult result) {
        finish(id, std::move(result));
        executeActions(Scheduler.onEnded(id, Loop.now()));
        armQueueTimer();
      },
      open.Call.MaySend);
  if (open.Exchange == 0)
    enqueueBlocked(id, replica, remaining);
}

// The scheduler counts a blocked call as started. Without its own timeout, the
// call would keep its slot past its deadline while an unresponsive replica
// keeps the probes of its connections from ending.
void BackendTask::enqueueBlocked(CallId id, ReplicaState &replica,
                                 state::Duration remaining) {
  replica.Blocked.push_back(id);
  Loop.schedule(remaining, [this, id] { failBlocked(id); });
}

void BackendTask::failBlocked(CallId id) {
  const auto it = Calls.find(id);
  if (it == Calls.end() || it->second.Exchange != 0)
    return;
  const auto replica = Replicas.find(it->second.Call.Replica);
  if (replica == Replicas.end() ||
      std::erase(replica->second->Blocked, id) == 0)
    return;
  fail(id, ErrorCode::DeadlineExceeded, "no connection was free in time");
  executeActions(Scheduler.onEnded(id, Loop.now()));
  armQueueTimer();
}

void BackendTask::finish(CallId id, transport::HttpResult result) {
  const auto it = Calls.find(id);
  if (it == Calls.end())
    return;
  const OpenCall open = std::move(it->second);
  Calls.erase(it);
  detectDraining(open, result);
  if (open.Callback)
    open.Callback(std::move(result));
}

void BackendTask::fail(CallId id, state::ErrorCode code,
                       std::string_view text) {
  finish(id, tl::unexpected(
                 transport::HttpFailure{{code, std::string(text)}, false}));
}

void BackendTask::detectDraining(const OpenCall &open,
                                 const transport::HttpResult &result) {
  if (!result || !Replicas.contains(open.Call.Replica))
    return;
  const bool isMarked =
      result->Headers.find(protocol::DrainingHeader).value_or("") == "1";
  const auto notRun = protocol::parseNotRun(
      result->Headers.find(protocol::NotRunHeader).value_or(""));
  if (!isMarked && notRun != protocol::NotRunReason::Draining)
    return;
  Selector.onDraining(open.Call.Replica);
  updateUsable(open.Call.Replica);
}

void BackendTask::armQueueTimer() {
  const auto next = Scheduler.nextTimer();
  if (next == QueueTimerAt)
    return;
  Loop.cancel(QueueTimer);
  QueueTimer = 0;
  QueueTimerAt = next;
  if (!next)
    return;
  QueueTimer = Loop.schedule(*next - Loop.now(), [this] {
    QueueTimer = 0;
    QueueTimerAt.reset();
    executeActions(Scheduler.onTimer(Loop.now()));
    armQueueTimer();
  });
}

void BackendTask::schedulePoll(const std::string &replica,
                               state::Duration delay) {
  const auto it = Replicas.find(replica);
  if (it == Replicas.end())
    return;
  it->second->PollTimer =
      Loop.schedule(delay, [this, replica] { poll(replica); });
}

void BackendTask::poll(const std::string &replica) {
  BackendCall call;
  call.Replica = replica;
  call.Request.Method = "GET";
  call.Request.Path = protocol::HealthPath;
  call.Priority = state::Priority::Urgent;
  call.DeadlineAt = Loop.now() + PollTimeout;
  this->call(call, [this, replica](const transport::HttpResult &result) {
    onHealth(replica, result);
  });
  call.Request.Path = protocol::LoadPath;
  this->call(std::move(call),
             [this, replica](const transport::HttpResult &result) {
               onLoad(replica, result);
             });
  schedulePoll(replica, Options.PollInterval);
}

void BackendTask::onHealth(const std::string &replica,
                           const transport::HttpResult &result) {
  if (!result || result->Status != 200 || !Replicas.contains(replica))
    return;
  const auto health = protocol::decodeHealth(result->Body);
  if (!health)
    return;
  Selector.onHealth(replica, toReplicaHealth(*health), Loop.now());
  updateUsable(replica);
}

void BackendTask::onLoad(const std::string &replica,
                         const transport::HttpResult &result) {
  if (!result || result->Status != 200 || !Replicas.contains(replica))
    return;
  const auto load = protocol::decodeLoad(result->Body);
  if (!load)
    return;
  coordination::LoadReport report;
  report.InFlight = load->InFlight;
  report.Queued = load->Queued;
  report.Slots = load->Slots;
  for (const protocol::ServedSnapshot &served : load->Snapshots)
    report.Snapshots.push_back({served.Id, served.Layout});
  Snapshots.onLoadReport(replica, report.Snapshots);
  Selector.onLoadReport(replica, std::move(report), Loop.now());
}

void BackendTask::updateUsable(std::string_view replica) {
  Snapshots.setUsable(replica, Selector.usable(replica, Loop.now()));
}

} // namespace galenaflow::daemon
