#ifndef GALENAFLOW_DAEMON_ADMISSION_TASK_H
#define GALENAFLOW_DAEMON_ADMISSION_TASK_H

#include "coordination/adaptive_concurrency.h"
#include "coordination/admission_queue.h"
#include "coordination/plan_limiter.h"
#include "state/plan_catalog.h"
#include "transport/event_loop.h"

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

namespace galenaflow::daemon {

/// A request for admission.
struct AdmissionTaskRequest {
  std::string Plan;
  std::string Service;
  state::Priority Priority = state::Priority::Normal;
  double Cost = 1; ///< sub-requests
  state::TimePoint DeadlineAt;
};

enum class AdmissionVerdict {
  Admitted,
  UnknownPlan,
  OverRate,          ///< the plan's rate limit is exceeded
  OverConcurrency,   ///< the plan's concurrency limit is reached
  WouldMissDeadline, ///< the wait would exceed the deadline
  QueueFull,         ///< no room; the plan is furthest above its share
};
std::string_view admissionVerdictName(AdmissionVerdict verdict);

/// Identifies a request from its arrival to its end.
using AdmissionId = std::uint64_t;
using AdmissionCallback =
    std::function<void(AdmissionId, AdmissionVerdict, state::Duration waited)>;

/// Hands out units of the plans' concurrency limits, which all daemons share.
class ConcurrencyShares {
public:
  virtual ~ConcurrencyShares() = default;

  /// Acquires one unit of `plan` until release() is called, at the latest until
  /// `until`. Returns the id of the hold, or zero when no unit is available.
  virtual std::uint64_t acquire(std::string_view plan,
                                state::TimePoint until) = 0;
  virtual void release(std::uint64_t holdId) = 0;
};

/// Demand for a plan at this process since the last takeDemand().
struct PlanDemand {
  std::uint64_t Arrivals = 0;
  std::uint32_t PeakOpen = 0; ///< most requests open at once, refused included
};

struct AdmissionTaskOptions {
  std::size_t MaxQueued = 1000; ///< requests waiting, per service
  std::size_t MaxOpen = 1024;   ///< requests admitted or waiting, in total
  double UrgentShare = 0.5;     ///< see coordination::AdmissionOptions
};

/// Admits requests by the limits of their plan and the capacity of their
/// service. Each service has its own queue, so that a slow service delays only
/// its own callers.
class AdmissionTask {
public:
  AdmissionTask(transport::EventLoop &loop, AdmissionTaskOptions options);

  /// Without shares, concurrency is bounded by the allowances only.
  void setShares(ConcurrencyShares *shares) { Shares = shares; }

  /// Returns and resets the demand of a plan.
  PlanDemand takeDemand(std::string_view plan);
  ~AdmissionTask();

  /// Sets the part of a plan's limits that this process may use now.
  void setAllowance(std::string_view plan,
                    coordination::PlanAllowance allowance, double weight);
  void removePlan(std::string_view plan);

  /// Sets the bounds of a service's sub-requests in flight: the replicas serve
  /// `slots` of them at once for this process, and at most `connections` may be
  /// outstanding.
  void setServiceCapacity(std::string_view service, double slots,
                          double connections);

  /// Requests admission. The callback runs once, possibly before this returns.
  /// After Admitted, end() must be called with the id that the callback
  /// received.
  void request(AdmissionTaskRequest request, AdmissionCallback callback);

  /// Ends an admitted request, `elapsed` after its admission. `isSample` is
  /// false when that time is not a sample of the service's latency, for example
  /// after a cancellation.
  void end(AdmissionId id, state::Duration elapsed, bool isSample);

  /// Whether requests to `service` are waiting.
  bool isSaturated(std::string_view service) const;

  /// Requests admitted or waiting.
  std::size_t openRequests() const { return Open.size(); }

private:
  struct ServiceState {
    ServiceState(const AdmissionTaskOptions &options, double slots,
                 double connections);
    coordination::AdmissionQueue Queue;
    coordination::AdaptiveConcurrency Concurrency;
    /// By priority, since urgent requests often take less time.
    std::array<state::Duration,
               coordination::AdaptiveConcurrency::RequestClassCount>
        MeanServiceTime{};
  };

  struct OpenRequest {
    AdmissionTaskRequest Request;
    AdmissionCallback Callback; ///< empty once admitted
    state::TimePoint ArrivedAt;
    transport::TimerId DeadlineTimer = 0;
    double InFlightAtStart = 0;
    std::uint64_t HoldId = 0; ///< from ConcurrencyShares; zero without shares
  };

  AdmissionVerdict acquirePlanLimits(const AdmissionTaskRequest &request,
                                     std::uint64_t &holdId);
  void releasePlanLimits(const OpenRequest &open);

  void executeActions(const coordination::AdmissionActions &actions);
  void admit(const coordination::Admit &admit);
  void refuse(AdmissionId id, AdmissionVerdict verdict);
  ServiceState *findService(std::string_view service);

  transport::EventLoop &Loop;
  AdmissionTaskOptions Options;
  coordination::PlanLimiter Limiter;
  ConcurrencyShares *Shares = nullptr;
  std::map<std::string, PlanDemand, std::less<>> Demand;
  std::map<std::string, double, std::less<>> Weights;
  std::map<std::string, std::unique_ptr<ServiceState>, std::less<>> Services;
  std::unordered_map<AdmissionId, OpenRequest> Open;
  AdmissionId LastId = 0;
};

} // namespace galenaflow::daemon

#endif
