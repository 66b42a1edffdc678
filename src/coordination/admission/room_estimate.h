#ifndef GALENAFLOW_COORDINATION_ADMISSION_ROOM_ESTIMATE_H
#define GALENAFLOW_COORDINATION_ADMISSION_ROOM_ESTIMATE_H

#include "coordination/replica_placement.h"
#include "coordination/string_map.h"
#include "state/clock.h"

#include <cstdint>
#include <map>
#include <span>
#include <string_view>

namespace galenaflow::coordination::admission {

using state::Duration;
using state::TimePoint;

/// Identifies requests of one kind, whose work takes a similar time.
using WorkClass = std::uint64_t;

struct RoomOptions {
  /// Weight of a new sample in the means of durations.
  double SampleWeight = 0.2;

  /// The hold of a replica is doubled while its queue stays too long, since the
  /// room that becomes free is shared with daemons that are not known here.
  /// This is the largest factor.
  double MaxHoldFactor = 16;

  /// Longest hold, so that room that returns is noticed.
  Duration MaxHold = std::chrono::milliseconds(1000);

  /// Statements of a replica that are older than this are not used.
  Duration MaxAge = std::chrono::seconds(1);
};

/// The connections of this daemon to one replica.
struct ReplicaConnections {
  std::string_view Id;
  std::uint32_t Free = 0;
  std::uint32_t Total = 0;
};

/// Estimates how long an attempt waits for a replica of a service: in this
/// daemon's queue, and at the replica. It is based on the loads that replicas
/// state, on their rejections, and on the durations of this daemon's attempts.
///
/// A replica whose queue is longer than allowed is held: no attempt is sent to
/// it until the excess has been worked off. Attempts then wait at the daemon,
/// where urgent ones pass others, and are not rejected by a full replica.
class RoomEstimate {
public:
  explicit RoomEstimate(RoomOptions options = {}) : Options(options) {}

  /// Sets how long an attempt may wait in the queues of a service's replicas.
  /// Zero: no limit, and its replicas are never held.
  void setMaxWait(std::string_view service, Duration wait);

  /// Removes the replicas for which `isKnown` is false.
  template <typename Predicate> void retain(const Predicate &isKnown) {
    std::erase_if(Replicas, [&](const auto &it) { return !isKnown(it.first); });
  }

  void onSent(std::string_view replica);

  /// An attempt has ended with a response after `latency`. `load` may be null.
  void onResponse(std::string_view service, std::string_view replica,
                  WorkClass work, Duration latency, const ServerLoad *load,
                  TimePoint now);

  /// The replica has rejected an attempt because its queue is full.
  void onRejected(std::string_view service, std::string_view replica,
                  const ServerLoad *load, TimePoint now);

  /// An attempt has ended in any other way.
  void onEnded(std::string_view replica);

  /// Whether an attempt may be sent to the replica now.
  bool mayTake(std::string_view replica, TimePoint now) const;

  /// Returns how long the attempt that is behind `ahead` others waits until it
  /// is sent. Zero when a replica can take it now.
  Duration queueDelay(std::span<const ReplicaConnections> replicas,
                      std::uint32_t ahead, TimePoint now) const;

  /// Returns the duration of an attempt of this class at the best of the
  /// replicas, once it has been sent. Zero while nothing is known.
  Duration attemptTime(std::span<const ReplicaConnections> replicas,
                       WorkClass work, TimePoint now) const;

  /// Replicas that are held.
  std::size_t heldReplicas(TimePoint now) const;

private:
  struct ReplicaState {
    double Speed = 1;     ///< duration of work relative to the class's mean
    double LatencyUs = 0; ///< mean latency of attempts; zero: not known
    std::uint32_t Waiting = 0;
    std::uint32_t Slots = 1;
    std::uint32_t SentSince = 0; ///< attempts sent since the load was stated
    TimePoint LoadAt = TimePoint::min();
    TimePoint HeldUntil = TimePoint::min();
    double HoldFactor = 1;
  };

  double meanWorkUs() const { return MeanWorkUs; }
  double waitUs(const ReplicaState &it, TimePoint now) const;
  void applyLoad(std::string_view service, ReplicaState &it,
                 const ServerLoad &load, TimePoint now);
  void hold(ReplicaState &it, double excessUs, TimePoint now);

  RoomOptions Options;
  StringMap<ReplicaState> Replicas;
  StringMap<Duration> MaxWaits;
  std::map<WorkClass, double> WorkUs; ///< mean duration of work, by class
  double MeanWorkUs = 0;              ///< over the classes, by use
};

} // namespace galenaflow::coordination::admission

#endif
