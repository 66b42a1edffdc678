#ifndef GALENAFLOW_COORDINATION_ADMISSION_REQUEST_ADMISSION_H
#define GALENAFLOW_COORDINATION_ADMISSION_REQUEST_ADMISSION_H

#include "coordination/admission/room_estimate.h"

#include <cstdint>
#include <map>
#include <random>
#include <span>
#include <vector>

namespace galenaflow::coordination::admission {

struct AdmissionRequest {
  WorkClass Class = 0;
  std::span<const RoomForecast> Parts;
  std::size_t MinParts = 1; ///< with fewer the request fails

  /// Time until the latency objective, in which a response has its full value.
  Duration Useful{0};

  Duration Objective{0};
  Duration Remaining{0}; ///< until the caller's deadline

  /// Time since the caller's first attempt; zero: this is the first.
  Duration Elapsed{0};
};

struct AdmissionDecision {
  bool IsAdmitted = true;

  /// Parts that are left out, since the others suffice and these have no room.
  std::vector<std::uint32_t> LeftOut;

  /// When not admitted: whether only this daemon's own queue is too long, so
  /// that another daemon may serve the request.
  bool IsOwnQueueLong = false;

  /// When not admitted: time after which room is expected.
  Duration RetryAfter{0};
};

struct RequestAdmissionOptions {
  /// Callers honour a time to return of up to a third of the time that they
  /// have left.
  double MaxRetryFraction = 0.3;

  /// Shortest time to return.
  Duration MinRetryAfter = std::chrono::milliseconds(30);

  /// Factor on the admitted share of new requests when one has met congestion.
  double Decrease = 0.5;

  /// Factor on the share, and what is added to it, after a request that has met
  /// no queue. With queues the share grows by less, and not at all at the
  /// limit.
  double Increase = 1.25;
  double IdleIncrease = 0.1;

  /// The share doubles in this time without congestion.
  Duration DoublingTime = std::chrono::milliseconds(3000);

  /// A share never falls below this, so that no class starves and room that
  /// returns is noticed.
  double MinShare = 0.02;

  /// Factors on the share for callers that return when they were told to, and
  /// for those that return before.
  double ReturnFactor = 2;
  double EarlyFactor = 0.25;
};

/// Decides whether a request is begun. For demand above what the replicas can
/// serve: a request that cannot end while it is useful is rejected at its
/// arrival, before any part of it uses room that others need, and its caller is
/// told when to return.
///
/// The queues of the replicas are filled by all daemons, and a daemon learns of
/// them from its own requests only. It therefore admits a share of the new
/// requests, which falls quickly while its requests meet long queues or
/// rejections, and rises slowly otherwise. All daemons then approach equal
/// shares.
///
/// Only queues count: a part that takes long because its replicas are slow
/// would take as long later.
class RequestAdmission {
public:
  RequestAdmission(RequestAdmissionOptions options, std::mt19937_64 random)
      : Options(options), Random(random) {}

  AdmissionDecision decide(const AdmissionRequest &request, TimePoint now);

  /// An admitted request has met queues that are too long, or full, at more
  /// parts than it can do without. Call once for each request.
  void onCongested(WorkClass id, TimePoint now);

  /// An admitted request has ended without congestion. `pressure` is the part
  /// of the allowed queues that it has met, from 0 to 1.
  void onEnded(WorkClass id, double pressure, TimePoint now);

  /// Whether some class is not admitted in full.
  bool isLimiting() const;

  /// The share of new requests of a class that is admitted.
  double share(WorkClass id) const;

private:
  struct ClassState {
    double Share = 1;
    double Credit = 0; ///< sum of the shares of requests that were not admitted
    TimePoint GrownAt = TimePoint::min(); ///< until when growth is included
  };

  ClassState &grow(WorkClass id, TimePoint now);
  double factor(const AdmissionRequest &request) const;
  Duration retryAfter(const AdmissionRequest &request, Duration roomAfter);

  RequestAdmissionOptions Options;
  std::mt19937_64 Random;
  std::map<WorkClass, ClassState> Classes;
};

} // namespace galenaflow::coordination::admission

#endif
