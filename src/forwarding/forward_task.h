#ifndef GALENAFLOW_FORWARDING_FORWARD_TASK_H
#define GALENAFLOW_FORWARDING_FORWARD_TASK_H

#include "coordination/admission/request_admission.h"
#include "coordination/admission/room_estimate.h"
#include "coordination/caller_elapsed_estimate.h"
#include "coordination/connect_backoff.h"
#include "coordination/connection_plan.h"
#include "coordination/gate/region_policy.h"
#include "coordination/gate/replica_gate.h"
#include "coordination/hedge_policy.h"
#include "coordination/lag_estimate.h"
#include "coordination/leaving_replicas.h"
#include "coordination/window_budget.h"
#include "forwarding/forwarder.h"
#include "state/evacuation.h"
#include "state/metrics.h"
#include "transport/backend_pool.h"

#include <compare>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <tuple>
#include <unordered_map>

namespace galenaflow::forwarding {

struct ForwardTaskOptions {
  std::string DataCentre; ///< of this process

  std::string Name; ///< of this daemon, unique in the fleet

  /// Number of daemons among which connection limits are divided while the real
  /// number is not known: an upper bound for a small fleet with spares.
  std::uint32_t AssumedDaemons = 12;

  coordination::ConnectionPlanOptions Connections;

  /// Connections opened to each replica ahead of need.
  std::size_t WarmConnections = 1;

  /// Interval at which missing warm connections are opened again.
  state::Duration WarmInterval = std::chrono::seconds(1);

  /// For this time after the start, in which the daemons begin to be counted,
  /// no connections are opened ahead of need.
  state::Duration WarmDelay = std::chrono::milliseconds(1500);

  /// The count of daemons is used when it has not grown for this time. Until it
  /// is complete, it grows with each read from a relay, which is once a second.
  state::Duration CountSettleTime = std::chrono::milliseconds(1500);

  /// A replica that refused a new connection, or closed it at once, is avoided
  /// for this time if there are not enough connections for every replica.
  state::Duration ReplicaCooldown = std::chrono::seconds(6);

  /// Limits extra attempts: those beyond the first of each request.
  coordination::WindowBudgetOptions ExtraBudget;

  /// Extra attempts that are allowed in addition to ExtraBudget in each window,
  /// over all daemons; each daemon may use an equal share. Not used while the
  /// number of daemons is not known.
  double FleetExtraAttempts = 0;

  coordination::gate::RegionPolicy Regions;

  /// Quantile of attempt latencies after which a hedge is sent to another
  /// replica.
  double HedgeQuantile = 0.9;

  /// Time before the caller's latency objective at which a partial answer is
  /// sent, in addition to the lag of this process, which is measured. Covers
  /// the network delay to the caller and back (3 ms each on the users' slower
  /// site) and the write.
  state::Duration PartialMargin = std::chrono::milliseconds(8);

  /// Time before the deadline at which the final answer is sent.
  state::Duration DeadlineMargin = std::chrono::milliseconds(8);

  coordination::gate::ColdBounds Cold;

  /// See coordination::gate::ReplicaGateOptions.
  std::uint32_t UncountedDaemons = 12;

  transport::BackendPoolOptions Pool;
  std::uint64_t Seed = 1;
};

/// The fleet as known to this daemon; counts are zero while not known.
struct FleetView {
  std::uint32_t Daemons = 0;
  std::uint32_t Executors = 0; ///< daemons that execute requests for others
  bool IsExecutor = false;     ///< whether this daemon is an executor
  bool IsDelegating = false;   ///< whether this daemon delegates to executors

  bool operator==(const FleetView &) const = default;
};

/// Executes requests at replicas. Owns the connections to all replicas and the
/// open requests.
class ForwardTask final : public Forwarder,
                          private coordination::ForwardPolicy {
public:
  ForwardTask(transport::EventLoop &loop, ReplicaProtocol &protocol,
              ForwardTaskOptions options, state::MetricRegistry &metrics);
  ~ForwardTask() override;
  ForwardTask(const ForwardTask &) = delete;
  ForwardTask &operator=(const ForwardTask &) = delete;

  void setRoutes(const state::RouteTablePtr &table);
  void setReplicas(
      const std::map<std::string, state::ReplicaRecord, std::less<>> &records);

  /// Sets the data centres whose replicas get no attempts from now on. Their
  /// idle connections are closed at once, those in use when their exchange has
  /// ended. Call before setReplicas() when both have changed.
  void setEvacuated(const state::EvacuatedDataCentres &names);

  void setFleet(const FleetView &fleet);

  /// A replica has stated its request limit to this or another daemon; zero:
  /// that it has none.
  void setRequestLimit(std::string_view replica, double perSecond);

  /// Called with each statement of a replica about its limit, except that a
  /// replica without a limit still has none.
  using LimitCallback =
      std::function<void(std::string_view replica, double perSecond)>;
  void onLimitStated(LimitCallback callback) {
    LimitStatedCallback = std::move(callback);
  }

  ForwardId forward(ForwardCall call, ForwardCallback callback) override;
  void cancel(ForwardId id) override;
  void startDrain(state::TimePoint exitAt) override;

  std::size_t openRequests() const { return Requests.size(); }

private:
  /// Requests of one class have similar latencies. The key is made of the
  /// values of the route, not of its version, so that the class is kept when
  /// the routes change.
  using RequestClassKey = std::tuple<bool, state::Duration, std::uint32_t>;

  struct RequestClass {
    RequestClass(double hedgeQuantile, coordination::admission::WorkClass id)
        : Id(id), HedgeLatency(hedgeQuantile) {}
    coordination::admission::WorkClass Id;
    coordination::LatencyQuantile MedianLatency{0.5, 400};
    coordination::LatencyQuantile HedgeLatency;
    coordination::CallerElapsedEstimate ElapsedEstimate;
  };

  struct Replica {
    Replica(transport::EventLoop &loop, const state::ReplicaRecord &record,
            const transport::SocketAddress &address,
            const transport::BackendPoolOptions &pool)
        : Record(record), Pool(loop, address, pool) {}
    state::ReplicaRecord Record;
    transport::BackendPool Pool;
    bool IsWarm = false; ///< whether a connection is opened ahead of need
    std::uint64_t SeenRefusals = 0; ///< refused connections at the last check
    state::TimePoint CooldownUntil = state::TimePoint::min();
    coordination::ConnectBackoff Backoff;
  };
  using ReplicaPtr = std::shared_ptr<Replica>;

  using AttemptId = std::uint64_t;

  struct Attempt {
    ForwardId Request = 0; ///< zero once cancelled or abandoned
    coordination::AttemptNumber Number = 0;
    std::uint32_t Part = 0;
    ReplicaPtr Target;
    transport::ExchangeId Exchange = 0;
    state::TimePoint SentAt;
    state::Duration ExpectedLatency{0};
    RequestClassKey ClassKey;
    std::shared_ptr<const ForwardedRequest> Message;
    bool WasCancelled = false;
  };

  struct Request {
    Request(std::shared_ptr<const ForwardedRequest> message,
            coordination::ForwardOptions options,
            coordination::ForwardPolicy &policy)
        : Message(std::move(message)), Execution(std::move(options), policy) {}
    std::shared_ptr<const ForwardedRequest> Message;
    std::shared_ptr<const void> RecordHold; ///< counts recordBytes()
    std::unique_ptr<coordination::ForwardPolicy> OwnPolicy; ///< or null
    coordination::ForwardExecution Execution;
    RequestClassKey ClassKey;
    ForwardCallback Callback;
    state::TimePoint ArrivedAt;
    state::TimePoint CallerDeadline;
    transport::TimerId Timer = 0;
    std::uint32_t RejectedAttempts = 0; ///< by full replicas
    std::uint32_t LateAttempts = 0;     ///< with a queue too long for this one
    std::uint32_t DelayedAttempts = 0;  ///< with one too long for an urgent one
    bool HasMetCongestion = false;

    /// Open attempts that have been sent.
    std::map<coordination::AttemptNumber, AttemptId> Attempts;
  };

  /// Order of attempts that wait for a connection: by priority (urgent first),
  /// then by deadline.
  struct WaitKey {
    int Priority = 0;
    state::TimePoint DeadlineAt;
    ForwardId Request = 0;
    coordination::AttemptNumber Number = 0;
    std::uint32_t Part = 0;
    auto operator<=>(const WaitKey &) const = default;
  };

  using DataCentreFilter = coordination::gate::ReplicaGate::DataCentreFilter;

  bool tryTakeExtra(std::string_view service) override;
  bool hasOther(std::string_view service,
                std::span<const state::ReplicaId> tried) override;
  bool isAtLimit(std::string_view service) override;
  bool hasIdle(std::string_view service,
               std::span<const state::ReplicaId> tried) override;
  bool isEvacuated(std::string_view service) override;

  /// The same without the excluded replicas, which are outside of the allowed
  /// data centres.
  bool isAtLimit(std::string_view service,
                 std::span<const state::ReplicaId> excluded,
                 const DataCentreFilter &allowed);

  class RestrictedPolicy;
  std::unique_ptr<coordination::ForwardPolicy>
  restrictedPolicy(const state::Route &route);

  /// Returns `tried` and the replicas of the service that the route forbids.
  /// `both` is used only when the route is restricted.
  std::span<const state::ReplicaId>
  withForbidden(const state::Route &route, std::string_view service,
                std::span<const state::ReplicaId> tried,
                std::vector<state::ReplicaId> &both) const;
  bool isForbidden(const state::Route &route, std::string_view service) const;

  /// Whether all replicas that the route allows and that could be used are in
  /// evacuated data centres.
  bool isEvacuated(const state::Route &route, std::string_view service) const;

  /// Returns the data centres that the route allows. The route must outlive the
  /// result.
  DataCentreFilter allowedDataCentres(const state::Route &route) const;
  void findForbidden(const ForwardedRequest &message,
                     coordination::ForwardOptions &options) const;

  RequestClass &requestClass(const RequestClassKey &key);
  state::Duration expectedLatency(const RequestClassKey &key);
  coordination::ForwardOptions makeOptions(ForwardCall &call,
                                           RequestClass &cls);
  void decideAdmission(coordination::ForwardOptions &options,
                       const RequestClass &cls, state::Duration elapsed,
                       state::Duration returnTime);
  coordination::admission::RoomForecast forecast(const std::string &service,
                                                 const state::Route &route,
                                                 const RequestClass &cls,
                                                 state::TimePoint deadline);
  std::vector<coordination::admission::ReplicaConnections>
  connections(const std::string &service, const state::Route &route);
  void setUrgentNeeds();
  void recordCongestion(Request &request, const Attempt &attempt,
                        coordination::AttemptOutcome outcome,
                        const ReplicaResult &result);
  double pressure(const Request &request) const;
  void recordPressure(const Request &request);
  void executeActions(ForwardId id, coordination::ForwardActions actions);
  void queueAttempt(ForwardId id, Request &request,
                    const coordination::SendAttempt &action);
  void cancelAttempt(ForwardId id, Request &request,
                     const coordination::CancelAttempt &action);
  void finish(ForwardId id, coordination::FinishForward action);
  void armTimer(ForwardId id, Request &request, state::TimePoint at);
  void dispatch(const std::string &service);
  void scheduleDispatch(const std::string &service);
  void checkWaiting();
  bool mayDispatch(const std::string &service);
  void endUnfinishable();
  void findUnfinishable(const std::string &service,
                        const std::set<WaitKey> &queue,
                        std::vector<WaitKey> &found);
  bool isUnfinishable(const WaitKey &key, const Request &request,
                      std::size_t ahead, std::size_t connections);
  bool dispatchOne(const std::string &service, const WaitKey &key);
  void failUnsent(const WaitKey &key, Request &request,
                  coordination::AttemptEnd end);
  bool send(Request &request, const WaitKey &key, const ReplicaPtr &target);
  void onAttemptEnded(AttemptId id, transport::HttpResult result);
  void logFailedAttempt(const Attempt &attempt,
                        const ReplicaResult &result) const;
  void recordLimit(const Replica &replica, const ReplicaResult &result);
  void recordLeaving(const Replica &replica);
  void recordPause(const Replica &replica, state::Duration pause);
  bool takesAttempts(const Replica &replica) const {
    return !replica.Record.Draining &&
           !Gate.isEvacuated(replica.Record.DataCentre);
  }
  void reapplyReplicas();
  void placeReplicas(const coordination::LeavingReplicas::Records &records);
  void findEvacuatedServices();
  void logEvacuations();
  void applyReplicas(const coordination::LeavingReplicas::Records &records);
  coordination::FleetComposition fleetComposition() const;
  bool allowsRequest(const Replica &replica);
  void recordContact(const Replica &replica,
                     const transport::HttpResult &result);
  void recordColdChanges();
  void logWithheld(const Request &request);
  double fleetExtraShare() const;
  void planConnections();
  void planConnections(std::string_view service,
                       const std::vector<ReplicaPtr> &replicas);
  void warmAll();
  void warm(Replica &replica);
  void updateBackoff(Replica &replica);
  bool allowTemporaryConnection(const std::string &service,
                                std::span<const state::ReplicaId> tried);

  transport::EventLoop &Loop;
  ReplicaProtocol &Protocol;
  ForwardTaskOptions Options;
  coordination::ReplicaPlacement Placement;
  coordination::gate::ReplicaGate Gate;
  state::RouteTablePtr Table;
  FleetView Fleet;
  coordination::LeavingReplicas Leaving;
  state::EvacuatedDataCentres LoggedEvacuated;

  /// Services that have replicas in evacuated data centres and no usable ones
  /// elsewhere.
  std::set<std::string, std::less<>> EvacuatedServices;
  LimitCallback LimitStatedCallback;
  coordination::admission::RoomEstimate Room;
  coordination::admission::RequestAdmission Admission;

  /// What the most urgent route that uses a service needs there.
  struct UrgentNeed {
    int Priority = 0;
    state::Duration MaxWait{0};
    double SpareFraction = 0; ///< of its parts, which it does not need
  };
  std::map<std::string, UrgentNeed, std::less<>> UrgentNeeds;
  state::TimePoint StartedAt;
  state::TimePoint LastFleetGrowthAt; ///< when the count of daemons last grew
  std::map<std::string, ReplicaPtr, std::less<>> Replicas;
  std::map<std::string, std::vector<ReplicaPtr>, std::less<>> ReplicasByService;
  std::map<std::string, coordination::WindowBudget, std::less<>> Budgets;
  std::map<std::string, std::set<WaitKey>, std::less<>> WaitingAttempts;
  std::set<std::string, std::less<>> DispatchPending;
  std::map<RequestClassKey, std::unique_ptr<RequestClass>> RequestClasses;
  std::unordered_map<ForwardId, std::unique_ptr<Request>> Requests;
  std::unordered_map<AttemptId, Attempt> Attempts;
  coordination::LagEstimate PartialLag;
  ForwardId LastRequest = 0;
  std::size_t SuspectRequests = 0;
  AttemptId LastAttempt = 0;
  transport::TimerId WarmTimer = 0;
  transport::TimerId DrainTimer = 0;
  transport::TimerId WaitTimer = 0; ///< set while attempts wait
  state::TimePoint ExitAt = state::TimePoint::max();
  state::Counter &Hedges;
  state::Counter &Retries;
  state::Counter &BudgetRefusals;
  state::Counter &Rejections;
  state::Counter &FailedAttempts;
  state::Counter &LimitedAttempts;
  state::Gauge &ColdReplicas;
  state::Counter &ColdAttempts;
  state::Counter &WithheldAttempts;
  state::Counter &AdmissionRejections;
  state::Counter &PartsWithoutRoom;
  state::Gauge &EvacuatedCount;
  state::Counter &ForbiddenParts;
};

} // namespace galenaflow::forwarding

#endif
