#ifndef GALENAFLOW_TRANSPORT_PROCESS_SIGNALS_H
#define GALENAFLOW_TRANSPORT_PROCESS_SIGNALS_H

#include "transport/event_loop.h"

#include <functional>

namespace galenaflow::transport {

struct SignalHandlers {
  std::function<void()> Stop;   ///< SIGTERM or SIGINT
  std::function<void()> Reload; ///< SIGHUP
};

/// Catches SIGTERM, SIGINT and SIGHUP from now on. Call it first in a program:
/// without a handler, SIGHUP ends a process that is just starting.
void installSignalHandlers();

/// Runs the handlers on the loop for signals that were caught, within 50 ms.
void pollSignals(EventLoop &loop, SignalHandlers handlers);

} // namespace galenaflow::transport

#endif
