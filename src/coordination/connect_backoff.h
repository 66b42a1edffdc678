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
  Duration First = std::chrono::seconds(1);

  /// Longest pause. A refused connection occupies a slot of the replica for
  /// milliseconds; 300 daemons that each try once in this time take less than a
  /// tenth of a slot.
  Duration Longest = std::chrono::seconds(32);
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
    Pause = Pause == Duration(0) ? Options.First
                                 : std::min(2 * Pause, Options.Longest);
    Until = now + Pause;
  }

  void onConnected() {
    Pause = Duration(0);
    Until = TimePoint::min();
  }

  bool mayConnect(TimePoint now) const { return now >= Until; }

private:
  ConnectBackoffOptions Options;
  Duration Pause{0};
  TimePoint Until = TimePoint::min();
};

} // namespace galenaflow::coordination

#endif
