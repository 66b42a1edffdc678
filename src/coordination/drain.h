#ifndef GALENAFLOW_COORDINATION_DRAIN_H
#define GALENAFLOW_COORDINATION_DRAIN_H

#include "state/clock.h"

#include <cstddef>
#include <string_view>

namespace galenaflow::coordination {

struct DrainOptions {
  /// How long the balancer may still send requests after the health fails.
  state::Duration BalancerLag = std::chrono::seconds(5);
  /// The longest allowed deadline of a request.
  state::Duration LongestDeadline = std::chrono::seconds(60);
  /// Interval at which a handover that is not acknowledged is repeated.
  state::Duration HandoverRetry = std::chrono::milliseconds(500);
};

enum class DrainPhase {
  Serving,     ///< no stop was asked for
  BalancerLag, ///< health fails, requests are still accepted
  Handover,    ///< leases and grants are being handed over
  Finishing,   ///< waits for open requests and for copies of their records
  Done,        ///< the process may exit with 0
};

/// The phase in snake_case.
std::string_view drainPhaseName(DrainPhase phase);

/// What the daemon knows about the work that is left.
struct DrainProgress {
  std::size_t OpenRequests = 0;
  bool LeasesHandedOver = false;
  bool GrantsHandedOver = false;
  bool RecordsCopied = false;
};

/// What the daemon has to do now. Each field is set in the result of one call
/// and repeated only where a repetition is wanted.
struct DrainActions {
  bool FailHealth = false;
  bool HandOverLeases = false; ///< repeated until acknowledged
  bool HandOverGrants = false; ///< repeated until acknowledged
  bool CopyRecords = false;    ///< repeated until copied
  bool Exit = false;
};

/// The sequence of a graceful stop.
class Drain {
public:
  Drain(const state::Clock &clock, const DrainOptions &options)
      : Time(clock), Options(options) {}

  /// SIGTERM or SIGINT. Later signals change nothing.
  DrainActions requestStop();

  /// Call at least every 100 ms while stopping.
  DrainActions tick(const DrainProgress &progress);

  DrainPhase phase() const { return Phase; }
  bool isHealthy() const { return Phase == DrainPhase::Serving; }
  /// Whether the end was forced by the time limit with work left.
  bool isTimedOut() const { return TimedOut; }

private:
  DrainActions handOver(const DrainProgress &progress);
  DrainActions finishRequests(const DrainProgress &progress);
  bool isRetryDue();

  const state::Clock &Time;
  const DrainOptions Options;
  DrainPhase Phase = DrainPhase::Serving;
  state::TimePoint StartedAt;
  state::TimePoint NextRetryAt;
  bool TimedOut = false;
};

} // namespace galenaflow::coordination

#endif
