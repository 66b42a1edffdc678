#ifndef GALENAFLOW_DAEMON_BACKEND_TASK_H
#define GALENAFLOW_DAEMON_BACKEND_TASK_H

#include "coordination/hedge_policy.h"
#include "coordination/outlier_detector.h"
#include "coordination/replica_selector.h"
#include "coordination/retry_budget.h"
#include "coordination/slot_scheduler.h"
#include "coordination/snapshot_selector.h"
#include "state/plan_catalog.h"
#include "state/topology.h"
#include "transport/backend_pool.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace galenaflow::daemon {

struct BackendTaskOptions {
  /// Interval between the health and load polls of a replica.
  state::Duration PollInterval = std::chrono::milliseconds(500);

  /// Connections to a replica that are opened in advance.
  std::size_t WarmConnections = 2;

  /// Connections to all replicas together. Each replica gets an equal part, at
  /// least one, of which its share may use less.
  std::size_t MaxConnections = SIZE_MAX;

  coordination::HedgeOptions Hedging;
  coordination::OutlierOptions Outliers;
  transport::BackendPoolOptions Pool;
  coordination::TokenBudgetOptions RetryBudget;

  /// Baseline for measurements: choose replicas round-robin and never hedge.
  bool RoundRobin = false;

  std::uint64_t Seed = 1;
};

/// One request to one replica.
struct BackendCall {
  std::string Replica;
  transport::HttpRequest Request;
  state::Priority Priority = state::Priority::Normal;
  state::TimePoint DeadlineAt;

  /// Sent to the backend server if the call is cancelled; may be empty.
  std::string SubRequestId;

  /// Decides, right before the first byte is sent, whether to send; may be
  /// empty.
  transport::SendPredicate MaySend;
};

/// Identifies an open call. Zero is no call.
using CallId = std::uint64_t;

/// The state of one replica, as reported to the operator.
struct ReplicaStatus {
  std::string Service;
  std::string Replica;
  std::string Address;
  std::string DataCentre;
  bool Usable = false;
  bool Ejected = false;
  std::uint32_t InFlight = 0;
  std::size_t Queued = 0;
  std::size_t Connections = 0;
  std::uint32_t ConnectionShare = 0;
};

/// Sends calls to replicas. Owns the connections to all replicas, their known
/// state, and the policies that queries share.
class BackendTask {
public:
  BackendTask(transport::EventLoop &loop, BackendTaskOptions options);
  ~BackendTask();

  void setTopology(const state::TopologyPtr &topology);

  /// Sets this process's share of a replica's connection limit, for all
  /// replicas of the service.
  void setConnectionShare(std::string_view service, std::uint32_t share);

  /// The largest number of connections to any one replica of the service.
  std::uint32_t largestPoolSize(std::string_view service) const;

  /// Sets whether the VM list marks the VM of the replica at `address` as
  /// leaving.
  void setLeaving(std::string_view address, bool leaving);

  /// Queues a call. The callback runs once, after this has returned. A failure
  /// with MaybeSent false proves that the request was not sent.
  CallId call(BackendCall call, transport::HttpCallback callback);

  /// Cancels a call whose response is no longer needed; its callback will not
  /// run.
  void cancel(CallId id);

  /// The policies for one operation of a service.
  coordination::QueryPolicies policies(std::string_view service,
                                       state::Operation operation);

  /// Whether every sharded service has a snapshot that can be queried.
  bool hasSnapshots();

  /// Hedging is off while requests to the service wait for admission.
  void setSaturated(std::string_view service, bool saturated);

  std::vector<ReplicaStatus> status() const;

private:
  struct ReplicaState;
  struct ServiceState;

  struct OpenCall {
    BackendCall Call;
    transport::HttpCallback Callback;
    transport::ExchangeId Exchange = 0;
  };

  void addReplica(const state::Service &service, const state::Replica &replica);
  void removeReplica(std::string_view id);
  void applyShare(ReplicaState &replica);
  void executeActions(const coordination::SlotActions &actions);
  void start(CallId id);
  void sendOrBlock(CallId id, ReplicaState &replica);
  void enqueueBlocked(CallId id, ReplicaState &replica,
                      state::Duration remaining);
  void failBlocked(CallId id);
  void finish(CallId id, transport::HttpResult result);
  void fail(CallId id, state::ErrorCode code, std::string_view text);
  void detectDraining(const OpenCall &open,
                      const transport::HttpResult &result);
  void armQueueTimer();
  void sendCancel(const BackendCall &call);

  void schedulePoll(const std::string &replica, state::Duration delay);
  void poll(const std::string &replica);
  void onHealth(const std::string &replica,
                const transport::HttpResult &result);
  void onLoad(const std::string &replica, const transport::HttpResult &result);
  void updateUsable(std::string_view replica);

  transport::EventLoop &Loop;
  BackendTaskOptions Options;
  state::TopologyPtr Topology;
  coordination::OutlierDetector Outliers;
  coordination::AdaptiveReplicaSelector Selector;
  coordination::RoundRobinReplicaSelector RoundRobin;
  coordination::LoadReportSnapshotSelector Snapshots;
  coordination::SlotScheduler Scheduler;
  std::map<std::string, std::unique_ptr<ReplicaState>, std::less<>> Replicas;
  std::map<std::string, std::unique_ptr<ServiceState>, std::less<>> Services;
  std::unordered_map<CallId, OpenCall> Calls;
  CallId LastCall = 0;
  transport::TimerId QueueTimer = 0;
  std::optional<state::TimePoint> QueueTimerAt;
  transport::TimerId OutlierTimer = 0;
  std::mt19937_64 Random;
};

} // namespace galenaflow::daemon

#endif
