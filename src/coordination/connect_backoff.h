#ifndef GALENAFLOW_COORDINATION_CONNECT_BACKOFF_H
#define GALENAFLOW_COORDINATION_CONNECT_BACKOFF_H

#include "state/clock.h"

#include <algorithm>

namespace galenaflow::coordination {

using state::Duration;
using state::TimePoint;

struct ConnectBackoffOptions {
  /// Backoff after the first refusal. It equals the interval of the checks, so
  /// that a replica that was briefly unavailable is connected to at the next
  /// check.
  Duration MinBackoff = std::chrono::seconds(1);

  /// Upper limit of the backoff. A refused connection occupies a slot of the
  /// replica for milliseconds; 300 daemons that each try once in this time use
  /// less than a tenth of a slot.
  Duration MaxBackoff = std::chrono::seconds(32);
};

/// Decides when a connection to a replica may be opened before it is needed. A
/// replica refuses new connections once all daemons together have as many as it
/// accepts, and continues to refuse them until some daemon stops. Each refusal
/// therefore doubles the backoff; a connection that the replica keeps resets
/// it. Requests may open connections at any time.
class ConnectBackoff {
public:
  explicit ConnectBackoff(ConnectBackoffOptions options = {})
      : Options(options) {}

  void onRefused(TimePoint now) {
    Backoff = Backoff == Duration(0)
                  ? Options.MinBackoff
                  : std::min(2 * Backoff, Options.MaxBackoff);
    RetryAt = now + Backoff;
  }

  void onConnected() {
    Backoff = Duration(0);
    RetryAt = TimePoint::min();
  }

  bool mayConnect(TimePoint now) const { return now >= RetryAt; }

private:
  ConnectBackoffOptions Options;
  Duration Backoff{0};
  TimePoint RetryAt = TimePoint::min();
};

} // namespace galenaflow::coordination

#endif
