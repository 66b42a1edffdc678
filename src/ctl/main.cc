// galenaflowctl reads the state of the fleet through an operator listener,
// checks lists and explains logged requests. This file only parses flags and
// prints.
#include "ctl/commands.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <cstdio>
#include <cstdlib>
#include <string_view>

ABSL_FLAG(std::string, daemon, "",
          "IP:PORT of a daemon's operator listener. Default: environment "
          "variable GALENAFLOW_OPERATOR, then 127.0.0.1:8081.");
ABSL_FLAG(bool, json, false, "Print JSON instead of text.");
ABSL_FLAG(std::string, plans, "",
          "check: a plans file against which customers are checked.");
ABSL_FLAG(std::uint32_t, timeout_ms, 5000,
          "Longest wait for the daemon in milliseconds.");

namespace {

using namespace galenaflow;

std::string daemonAddress() {
  std::string flag = absl::GetFlag(FLAGS_daemon);
  if (!flag.empty())
    return flag;
  const char *variable = std::getenv("GALENAFLOW_OPERATOR");
  return variable && *variable ? variable : "127.0.0.1:8081";
}

/// Handled here because Abseil's --help lists the flags of each source file,
/// whereas users need the commands and exit codes first.
bool isHelpRequested(int argc, char **argv) {
  for (int i = 1; i < argc; ++i) {
    const std::string_view argument = argv[i];
    if (argument == "--help" || argument == "-help" || argument == "-h")
      return true;
    if (argument == "--")
      return false;
  }
  return false;
}

} // namespace

int main(int argc, char **argv) {
  if (isHelpRequested(argc, argv)) {
    std::fputs(ctl::Usage, stdout);
    return 0;
  }
  absl::SetProgramUsageMessage(ctl::Usage);
  const std::vector<char *> arguments = absl::ParseCommandLine(argc, argv);
  ctl::Invocation invocation;
  invocation.Arguments.assign(arguments.begin() + 1, arguments.end());
  invocation.Daemon = daemonAddress();
  invocation.PlansFile = absl::GetFlag(FLAGS_plans);
  invocation.AsJson = absl::GetFlag(FLAGS_json);
  invocation.Timeout =
      std::chrono::milliseconds(absl::GetFlag(FLAGS_timeout_ms));
  const ctl::CommandResult outcome = ctl::runCommand(invocation);
  std::fputs(outcome.Output.c_str(), stdout);
  std::fputs(outcome.Errors.c_str(), stderr);
  return static_cast<int>(outcome.Code);
}
