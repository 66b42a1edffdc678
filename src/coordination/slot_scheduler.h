#ifndef GALENAFLOW_COORDINATION_SLOT_SCHEDULER_H
#define GALENAFLOW_COORDINATION_SLOT_SCHEDULER_H

#include "coordination/string_map.h"
#include "state/clock.h"
#include "state/plan_catalog.h"

#include <cstdint>
#include <optional>
#include <set>
#include <variant>
#include <vector>

namespace galenaflow::coordination {

using state::Duration;
using state::TimePoint;

struct SlotRequest {
  std::uint64_t Id = 0; ///< unique among the owner's open sub-requests
  std::string_view Replica;
  state::Priority Priority = state::Priority::Normal;
  TimePoint DeadlineAt;
};

/// Action: send the sub-request now.
struct StartSubRequest {
  std::uint64_t Id = 0;
};

/// Action: fail the sub-request. It was never sent.
struct RejectSubRequest {
  enum class ReasonCode { DeadlinePassed, QueueFull };
  std::uint64_t Id = 0;
  ReasonCode Reason = ReasonCode::DeadlinePassed;
};

using SlotAction = std::variant<StartSubRequest, RejectSubRequest>;
using SlotActions = std::vector<SlotAction>;

/// Limits the outstanding sub-requests to each replica to this daemon's share
/// of connections. Further ones wait in a queue: urgent ones first, then by
/// deadline. The owner executes the returned actions in order.
class SlotScheduler {
public:
  explicit SlotScheduler(std::size_t maxQueued = 64) : MaxQueued(maxQueued) {}

  /// When the limit falls below the number of outstanding sub-requests, these
  /// run to their end.
  SlotActions setLimit(std::string_view replica, std::uint32_t limit,
                       TimePoint now);

  /// When the queue is full, the last sub-request in its order is rejected.
  SlotActions onRequest(const SlotRequest &request, TimePoint now);

  /// A started sub-request has ended (if cancelled: call when its connection is
  /// free), or a waiting one was cancelled.
  SlotActions onEnded(std::uint64_t id, TimePoint now);

  /// Rejects waiting sub-requests whose deadline has passed.
  SlotActions onTimer(TimePoint now);

  /// The earliest deadline of a waiting sub-request, at which to call
  /// onTimer().
  std::optional<TimePoint> nextTimer() const;

  std::uint32_t outstanding(std::string_view replica) const;
  std::size_t queued(std::string_view replica) const;

private:
  struct Key {
    state::Priority Priority = state::Priority::Normal;
    TimePoint DeadlineAt;
    std::uint64_t Id = 0;
    auto operator<=>(const Key &) const = default;
  };

  struct ReplicaState {
    std::uint32_t Limit = 0;
    std::uint32_t Outstanding = 0;
    std::set<Key> Queue;
  };

  struct Entry {
    ReplicaState *Replica = nullptr;
    Key QueueKey;
    bool Started = false;
  };

  void startWaiting(ReplicaState &replica, SlotActions &actions, TimePoint now);
  void reject(Key key, RejectSubRequest::ReasonCode reason,
              SlotActions &actions);
  void removeWaiting(ReplicaState &replica, Key key);

  std::size_t MaxQueued;
  StringMap<ReplicaState> Replicas;
  std::unordered_map<std::uint64_t, Entry> Entries;
  std::set<std::pair<TimePoint, std::uint64_t>> Deadlines; ///< of waiting ones
};

} // namespace galenaflow::coordination

#endif
