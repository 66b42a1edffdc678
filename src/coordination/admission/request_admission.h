#ifndef GALENAFLOW_COORDINATION_ADMISSION_REQUEST_ADMISSION_H
#define GALENAFLOW_COORDINATION_ADMISSION_REQUEST_ADMISSION_H

#include "state/clock.h"

#include <cstdint>
#include <random>
#include <span>
#include <vector>

namespace galenaflow::coordination::admission {

using state::Duration;

/// What is expected for one part of a request.
struct PartForecast {
  Duration QueueDelay{0};  ///< until the attempt is sent
  Duration AttemptTime{0}; ///< from then to the response
};

struct AdmissionRequest {
  std::span<const PartForecast> Parts;
  std::size_t MinParts = 1; ///< with fewer the request fails

  /// Time in which a response is worth its full value: until the latency
  /// objective or, for a caller that has returned, until its deadline.
  Duration Useful{0};

  Duration Objective{0};
  Duration Remaining{0}; ///< until the caller's deadline
};

struct AdmissionDecision {
  bool IsAdmitted = true;

  /// Parts that are left out, since the others suffice and these have no room.
  std::vector<std::uint32_t> LeftOut;

  /// Parts without room.
  std::size_t Lacking = 0;

  /// When not admitted: time after which room is expected.
  Duration RetryAfter{0};
};

struct RequestAdmissionOptions {
  /// Callers honour a time to return of up to a third of the time that they
  /// have left.
  double MaxRetryFraction = 0.3;

  /// Shortest time to return.
  Duration MinRetryAfter = std::chrono::milliseconds(30);
};

/// Decides whether a request is begun. For demand above what the replicas can
/// serve: a request that cannot end while it is useful is rejected at its
/// arrival, before any part of it uses room that others need, and its caller is
/// told when to return.
///
/// Only queues count: a part that takes long because its replicas are slow
/// would take as long later.
class RequestAdmission {
public:
  RequestAdmission(RequestAdmissionOptions options, std::mt19937_64 random)
      : Options(options), Random(random) {}

  AdmissionDecision decide(const AdmissionRequest &request);

private:
  Duration retryAfter(const AdmissionRequest &request, Duration roomAfter);

  RequestAdmissionOptions Options;
  std::mt19937_64 Random;
};

} // namespace galenaflow::coordination::admission

#endif
