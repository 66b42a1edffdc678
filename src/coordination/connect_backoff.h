#ifndef GALENAFLOW_COORDINATION_CONNECT_BACKOFF_H
#define GALENAFLOW_COORDINATION_CONNECT_BACKOFF_H

#include "state/clock.h"

#include <algorithm>

namespace galenaflow::coordination {

using state::Duration;
using state::TimePoint;

struct ConnectBackoffOptions {
  /// Pause after the first refusal: the interval of the checks, so that a
  /// replica that was away for a moment is connected to again at once.
  Duration MinBackoff = std::chrono::seconds(1);

  /// Longest pause. A refused connection occupies a slot of the replica for
  /// milliseconds; 300 daemons that each try once in this time take less than a
  /// tenth of a slot.
  Duration MaxBackoff = std::chrono::seconds(32);
};

/// When connections to a replica may be opened ahead of need. A replica refuses
/// new ones when all daemons together have as many as it accepts, and goes on
/// doing so until some daemon stops, so each refusal doubles the pause. A
/// connection that is kept ends it. Requests may always open connections.
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
