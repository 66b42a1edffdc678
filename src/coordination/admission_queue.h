#ifndef GALENAFLOW_COORDINATION_ADMISSION_QUEUE_H
#define GALENAFLOW_COORDINATION_ADMISSION_QUEUE_H

#include "coordination/string_map.h"
#include "state/clock.h"
#include "state/plan_catalog.h"

#include <array>
#include <cstdint>
#include <deque>
#include <variant>
#include <vector>

namespace galenaflow::coordination {

using state::Duration;
using state::TimePoint;

struct AdmissionOptions {
  double Capacity = 100;        ///< cost in service at once; see setCapacity
  std::size_t MaxQueued = 1000; ///< requests over all plans and priorities
  double UrgentShare = 0.5;     ///< cap of urgent cost while normal waits
};

struct AdmissionRequest {
  std::uint64_t Id = 0; ///< chosen by the owner, unique among open requests
  std::string_view Plan;
  state::Priority Priority = state::Priority::Normal;
  double Cost = 1; ///< sub-requests
  TimePoint DeadlineAt;
  Duration ServiceTime{0}; ///< expected, once admitted
};

enum class RefusalReason {
  WouldMissDeadline, ///< estimated wait + service time exceed the deadline
  QueueFull,         ///< the plan was furthest above its share
};

/// Run the request now.
struct Admit {
  std::uint64_t Id = 0;
  Duration Waited{0};
};

/// The request did not run and will not.
struct Refuse {
  std::uint64_t Id = 0;
  RefusalReason Reason = RefusalReason::QueueFull;
};

using AdmissionAction = std::variant<Admit, Refuse>;
using AdmissionActions = std::vector<AdmissionAction>;

/// Shares capacity between plans by start-time fair queuing over cost. Urgent
/// requests go first, up to UrgentShare of the capacity while normal ones wait.
class AdmissionQueue {
public:
  explicit AdmissionQueue(AdmissionOptions options) : Options(options) {}

  AdmissionActions onArrival(const AdmissionRequest &request, TimePoint now);

  /// An admitted request has ended, or a queued one is withdrawn.
  AdmissionActions onEnded(std::uint64_t id, TimePoint now);

  AdmissionActions setCapacity(double capacity, TimePoint now);
  void setWeight(std::string_view plan, double weight);

  /// True while requests wait: hedging is off then.
  bool saturated() const { return Queued > 0; }
  std::size_t queued() const { return Queued; }
  double costInService() const { return InService[0] + InService[1]; }

private:
  struct QueuedRequest {
    std::uint64_t Id = 0;
    double Cost = 0;
    double StartTag = 0;
    TimePoint ArrivedAt;
    TimePoint DeadlineAt;
    Duration ServiceTime{0};
  };

  struct PlanState {
    double Weight = 1;
    std::array<double, 2> FinishTag{};
    std::array<std::deque<QueuedRequest>, 2> Queues; ///< by priority
    std::array<double, 2> CostQueued{};
    double CostInService = 0;
  };

  struct RunningRequest {
    PlanState *Plan = nullptr;
    std::size_t PriorityClass = 0;
    double Cost = 0;
    TimePoint AdmittedAt;
  };

  bool wouldEndLate(Duration serviceTime, TimePoint deadlineAt,
                    TimePoint now) const;
  bool wouldMissDeadline(const AdmissionRequest &request, TimePoint now);
  double costAhead(const PlanState &plan, std::size_t cls) const;
  void evictOverflow(AdmissionActions &actions);
  PlanState *planFurthestAboveShare();
  void dispatch(AdmissionActions &actions, TimePoint now);
  PlanState *planWithLowestStartTag(std::size_t cls);
  bool fits(double cost) const;
  bool isUrgentCapped(double urgentCost) const;
  bool hasQueued(std::size_t cls) const { return ClassQueued[cls] > 0; }
  bool dispatchUrgent(AdmissionActions &actions, TimePoint now);
  void refuseLate(std::size_t cls, AdmissionActions &actions, TimePoint now);
  void admitFront(std::size_t cls, AdmissionActions &actions, TimePoint now);
  QueuedRequest popFront(PlanState &plan, std::size_t cls);
  bool removeQueued(std::uint64_t id);
  void recordServiceTime(const RunningRequest &running, TimePoint now);

  AdmissionOptions Options;
  StringMap<PlanState> Plans;
  std::unordered_map<std::uint64_t, RunningRequest> RunningRequests;
  std::array<double, 2> VirtualTime{};
  std::array<double, 2> InService{};
  std::array<double, 2> Dispatched{}; ///< cost since normal began to wait
  std::array<std::size_t, 2> ClassQueued{};
  std::size_t Queued = 0;
  double MeanServiceMicros = 0; ///< EWMA of the time from admission to end
};

} // namespace galenaflow::coordination

#endif
