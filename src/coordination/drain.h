#ifndef GALENAFLOW_COORDINATION_DRAIN_H
#define GALENAFLOW_COORDINATION_DRAIN_H

#include "state/clock.h"

#include <cstddef>
#include <string_view>

namespace galenaflow::coordination {

struct DrainOptions {
  /// How long the balancer may continue to send requests after the health check
  /// has begun to fail.
  state::Duration BalancerLag = std::chrono::seconds(5);
  /// The longest permitted deadline of a request.
  state::Duration LongestDeadline = std::chrono::seconds(60);
  /// Interval at which an unacknowledged handover is repeated.
  state::Duration HandoverRetry = std::chrono::milliseconds(500);
};

enum class DrainPhase {
  Serving,     ///< no stop was requested
  BalancerLag, ///< the health check fails, requests are still accepted
  Handover,    ///< leases and grants are being handed over
  Finishing,   ///< waits for open requests and for copies of their records
  Done,        ///< the process may exit with status 0
};

/// Returns the phase in snake_case.
std::string_view drainPhaseName(DrainPhase phase);

/// Whether an attempt that waits for a connection behind `ahead` others can end
/// within `remaining`, if each attempt takes `latency` and `connections` of
/// them are at work at a time. Attempts that are at work already are not
/// counted, so the answer is false only when the time is certainly too short.
bool canEndWithin(state::Duration remaining, std::size_t ahead,
                  std::size_t connections, state::Duration latency);

/// The state of the work to be completed before the exit.
struct DrainProgress {
  std::size_t OpenRequests = 0;
  bool LeasesHandedOver = false;
  bool GrantsHandedOver = false;
  bool RecordsCopied = false;
};

/// The actions that the daemon must execute now. Each flag is set in the result
/// of only one call, unless stated otherwise.
struct DrainActions {
  bool FailHealth = false;
  bool HandOverLeases = false; ///< repeated until acknowledged
  bool HandOverGrants = false; ///< repeated until acknowledged
  bool CopyRecords = false;    ///< repeated until copied
  bool Exit = false;
};

/// Controls the sequence of a graceful stop.
class Drain {
public:
  Drain(const state::Clock &clock, const DrainOptions &options)
      : Time(clock), Options(options) {}

  /// Starts the sequence, on SIGTERM or SIGINT. Further calls have no effect.
  DrainActions requestStop();

  /// Advances the sequence. Call at least every 100 ms while stopping.
  DrainActions tick(const DrainProgress &progress);

  /// When callers are no longer directed here, and when the process exits at
  /// the latest. Call after requestStop().
  state::TimePoint balancerLagEnd() const {
    return StartedAt + Options.BalancerLag;
  }
  state::TimePoint latestExit() const {
    return balancerLagEnd() + Options.LongestDeadline;
  }

  DrainPhase phase() const { return Phase; }
  bool isHealthy() const { return Phase == DrainPhase::Serving; }
  /// Whether the time limit ended the sequence before all work was completed.
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
