#include "daemon/daemon.h"
#include "state/log.h"
#include "transport/process_signals.h"

using namespace galenaflow;

namespace {

constexpr int ExitFailed = 1;
constexpr int ExitFindings = 2;

int run(const daemon::Options &options) {
  transport::installSignalHandlers();
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
  transport::pollSignals(loop, {[&process] { process.stop(); },
                                [&process] { process.reloadCertificate(); }});
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
