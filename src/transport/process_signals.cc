#include "transport/process_signals.h"

#include <csignal>
#include <utility>

// The signal handlers only set flags, because little else is safe inside a
// signal handler. The event loop polls the flags.

namespace galenaflow::transport {

namespace {

constexpr state::Duration PollPeriod = std::chrono::milliseconds(50);

volatile std::sig_atomic_t StopRequested = 0;
volatile std::sig_atomic_t ReloadRequested = 0;

} // namespace

void installSignalHandlers() {
  struct sigaction action {};
  action.sa_handler = [](int) { StopRequested = 1; };
  sigaction(SIGTERM, &action, nullptr);
  sigaction(SIGINT, &action, nullptr);
  action.sa_handler = [](int) { ReloadRequested = 1; };
  sigaction(SIGHUP, &action, nullptr);
}

void pollSignals(EventLoop &loop, SignalHandlers handlers) {
  if (StopRequested != 0) {
    StopRequested = 0;
    handlers.Stop();
  }
  if (ReloadRequested != 0) {
    ReloadRequested = 0;
    handlers.Reload();
  }
  loop.schedule(PollPeriod, [&loop, handlers = std::move(handlers)]() mutable {
    pollSignals(loop, std::move(handlers));
  });
}

} // namespace galenaflow::transport
