#include "daemon/daemon.h"
#include "state/log.h"

#include <csignal>

// Signals set flags, which the event loop looks at several times a second,
// because nothing else is safe inside a signal handler.

using namespace galenaflow;

namespace {

constexpr int ExitFailed = 1;
constexpr int ExitFindings = 2;

constexpr state::Duration SignalPollPeriod = std::chrono::milliseconds(50);

volatile std::sig_atomic_t StopRequested = 0;
volatile std::sig_atomic_t ReloadRequested = 0;

void installSignalHandlers() {
  struct sigaction action {};
  action.sa_handler = [](int) { StopRequested = 1; };
  sigaction(SIGTERM, &action, nullptr);
  sigaction(SIGINT, &action, nullptr);
  action.sa_handler = [](int) { ReloadRequested = 1; };
  sigaction(SIGHUP, &action, nullptr);
}

void pollSignals(transport::EventLoop &loop, daemon::Daemon &process) {
  if (StopRequested != 0) {
    StopRequested = 0;
    process.stop();
  }
  if (ReloadRequested != 0) {
    ReloadRequested = 0;
    process.reloadCertificate();
  }
  loop.schedule(SignalPollPeriod,
                [&loop, &process] { pollSignals(loop, process); });
}

int run(const daemon::Options &options) {
  transport::EventLoop loop;
  daemon::Daemon process(loop, options);
  const auto addresses = process.start();
  if (!addresses) {
    state::log::error("start_failed", {{"reason", addresses.error().Text}});
    return ExitFailed;
  }
  state::log::info("started",
                   {{"listen", addresses->Callers.toText()},
                    {"operator_listen", addresses->Operator.toText()},
                    {"peer_listen", addresses->Peers.toText()}});
  installSignalHandlers();
  pollSignals(loop, process);
  loop.run();
  return 0;
}

} // namespace

int main(int argc, char **argv) {
  state::Findings findings;
  const daemon::Options options =
      daemon::parseCommandLine(argc, argv, findings);
  daemon::validateOptions(options, findings);
  if (options.CheckSettings)
    return daemon::reportSettings(findings);
  if (!findings.empty()) {
    daemon::reportSettings(findings);
    return ExitFindings;
  }
  if (const auto level = state::log::parseLevel(options.LogLevel))
    state::log::setLevel(*level);
  return run(options);
}
