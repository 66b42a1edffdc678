#ifndef GALENAFLOW_CTL_COMMANDS_H
#define GALENAFLOW_CTL_COMMANDS_H

#include "state/clock.h"

#include <string>
#include <vector>

namespace galenaflow::ctl {

/// Exit codes of galenaflowctl. Abseil exits with 1 on unknown flags, so 1 is
/// the code for every fault of the command line, including unreadable files.
enum class ExitCode {
  Ok = 0,
  Usage = 1,
  Findings = 2,
  Unreachable = 3,
  NotFound = 4,
  DaemonError = 5,
};

/// A parsed command line.
struct Invocation {
  std::vector<std::string> Arguments; ///< the command and its arguments
  std::string Daemon;                 ///< IP:PORT of an operator listener
  std::string PlansFile;              ///< empty when not given
  bool AsJson = false;
  state::Duration Timeout = std::chrono::seconds(5);
};

struct CommandResult {
  ExitCode Code = ExitCode::Ok;
  std::string Output; ///< for standard output
  std::string Errors; ///< for standard error
};

/// The help text with all commands, flags and exit codes.
extern const char *const Usage;

/// Runs one command.
CommandResult runCommand(const Invocation &invocation);

} // namespace galenaflow::ctl

#endif
