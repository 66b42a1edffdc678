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
  /// Weight of a new sample in the means of one replica or service.
  double SampleWeight = 0.2;

  /// The same for the work of a class, of which each request gives a sample for
  /// every shard.
  double WorkSampleWeight = 0.02;

  /// Nothing is estimated before this number of responses: the first ones take
  /// longer, since connections are opened for them.
  std::size_t MinSamples = 300;

  /// Statements of a replica that are older than this are not used.
  Duration MaxAge = std::chrono::seconds(1);
};

/// The connections of this daemon to one replica.
struct ReplicaConnections {
  std::string_view Id;
  std::uint32_t Free = 0;
};

/// What is expected for an attempt at a service.
struct RoomForecast {
  Duration QueueDelay{0};  ///< until the attempt is sent
  Duration ReplicaWait{0}; ///< from then until its work begins
  Duration AttemptTime{0}; ///< from when it is sent to the response
};

/// Estimates how long an attempt waits for a replica of a service: in this
/// daemon's queue, and at the replica. It is based on the loads that replicas
/// state and on the durations of this daemon's attempts.
class RoomEstimate {
public:
  explicit RoomEstimate(RoomOptions options = {}) : Options(options) {}

  /// Removes the replicas for which `isKnown` is false.
  template <typename Predicate> void retain(const Predicate &isKnown) {
    std::erase_if(Replicas, [&](const auto &it) { return !isKnown(it.first); });
  }

  /// An attempt waits for a replica of the service while no other does.
  void onBacklog(std::string_view service, TimePoint now);

  /// An attempt is sent to a replica of the service.
  void onSent(std::string_view service, TimePoint now);

  /// An attempt has ended with a response after `latency`. `load` may be null.
  void onResponse(std::string_view replica, WorkClass work, Duration latency,
                  const ServerLoad *load, TimePoint now);

  /// The replica has rejected an attempt because its queue is full.
  void onRejected(std::string_view replica, const ServerLoad *load,
                  TimePoint now);

  /// Returns what is expected for an attempt behind `ahead` others at one of
  /// these replicas. All times are zero while nothing is known.
  RoomForecast forecast(std::string_view service,
                        std::span<const ReplicaConnections> replicas,
                        std::uint32_t ahead, WorkClass work,
                        TimePoint now) const;

  /// Whether there were enough responses for an estimate.
  bool isKnown() const { return Samples >= Options.MinSamples; }

  /// Returns how long the requests that wait at the replica, as stated in
  /// `load`, delay a new one.
  Duration statedWait(std::string_view replica, const ServerLoad &load) const;

  /// Whether no request waits at the replica, as far as is known.
  bool isIdle(std::string_view replica, TimePoint now) const;

private:
  struct ReplicaState {
    double Speed = 1; ///< duration of work relative to the mean of its class
    ServerLoad Load;
    TimePoint LoadAt = TimePoint::min();
  };

  struct ServiceState {
    TimePoint NextSince = TimePoint::min(); ///< when an attempt became the next
    double IntervalUs = 0; ///< mean time for which an attempt is the next one
  };

  bool isFresh(const ReplicaState &it, TimePoint now) const;
  double waitUs(const ReplicaState &it, TimePoint now) const;

  RoomOptions Options;
  StringMap<ReplicaState> Replicas;
  StringMap<ServiceState> Services;
  std::map<WorkClass, double> WorkUs; ///< mean duration of work, by class
  double MeanWorkUs = 0;              ///< over all attempts
  std::size_t Samples = 0;
};

} // namespace galenaflow::coordination::admission

#endif
