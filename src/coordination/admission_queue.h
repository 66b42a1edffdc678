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
  double Capacity = 100;        ///< maximum cost in service; see setCapacity()
  std::size_t MaxQueued = 1000; ///< requests of all plans and priorities

  /// Fraction of the capacity that urgent requests may use while normal ones
  /// are queued.
  double UrgentShare = 0.5;
};

struct AdmissionRequest {
  std::uint64_t Id = 0; ///< chosen by the owner, unique among open requests
  std::string_view Plan;
  state::Priority Priority = state::Priority::Normal;
  double Cost = 1; ///< number of sub-requests
  TimePoint DeadlineAt;
  Duration ServiceTime{0}; ///< expected time from admission to the end
};

enum class RefusalReason {
  WouldMissDeadline, ///< estimated queueing and service time exceed the
                     ///< deadline
  QueueFull,         ///< evicted; its plan was furthest above its share
};

/// Action: run the request now.
struct Admit {
  std::uint64_t Id = 0;
  Duration Waited{0}; ///< time in the queue
};

/// Action: reject the request, which has not run.
struct Refuse {
  std::uint64_t Id = 0;
  RefusalReason Reason = RefusalReason::QueueFull;
};

using AdmissionAction = std::variant<Admit, Refuse>;
using AdmissionActions = std::vector<AdmissionAction>;

/// Shares capacity between plans in proportion to their weights, by start-time
/// fair queuing over cost. Urgent requests are served first, up to UrgentShare
/// of the capacity while normal ones are queued. The owner executes the
/// returned actions in order.
class AdmissionQueue {
public:
  explicit AdmissionQueue(AdmissionOptions options) : Options(options) {}

  AdmissionActions onArrival(const AdmissionRequest &request, TimePoint now);

  /// Call when an admitted request has ended, or to remove a queued one.
  AdmissionActions onEnded(std::uint64_t id, TimePoint now);

  AdmissionActions setCapacity(double capacity, TimePoint now);
  void setWeight(std::string_view plan, double weight);

  /// Whether requests are queued. Hedging is off meanwhile.
  bool isSaturated() const { return Queued > 0; }
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
  /// Whether normal requests are queued and a further urgent request of this
  /// cost would exceed one of the two caps on urgent requests.
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
  std::array<double, 2> Dispatched{}; ///< cost since normal ones were queued
  std::array<std::size_t, 2> ClassQueued{};
  std::size_t Queued = 0;
  double MeanServiceMicros = 0; ///< EWMA of the time from admission to end
};

} // namespace galenaflow::coordination

#endif
