#ifndef GALENAFLOW_TRANSPORT_PROCESS_SIGNALS_H
#define GALENAFLOW_TRANSPORT_PROCESS_SIGNALS_H

#include "transport/event_loop.h"

#include <functional>

namespace galenaflow::transport {

struct SignalHandlers {
  std::function<void()> Stop;   ///< SIGTERM or SIGINT
  std::function<void()> Reload; ///< SIGHUP
};

/// Catches SIGTERM, SIGINT and SIGHUP from now on. A program calls this
/// function first, because without a handler, SIGHUP ends a process during its
/// start-up.
void installSignalHandlers();

/// Runs the handlers of caught signals: once during this call, then every 50 ms
/// on the loop.
void pollSignals(EventLoop &loop, SignalHandlers handlers);

} // namespace galenaflow::transport

#endif
