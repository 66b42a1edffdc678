// Commands that query a daemon differ only in their path; the daemon collects
// data from its peers where needed. `check` and `explain` query no daemon.
#include "ctl/commands.h"

#include "ctl/check.h"
#include "ctl/explain.h"
#include "ctl/operator_client.h"
#include "ctl/render.h"
#include "protocol/parsed.h"

#include <array>
#include <cstdio>
#include <fstream>
#include <iterator>
#include <optional>

namespace galenaflow::ctl {

const char *const Usage =
    R"(Operator's command line of galenaflow.

Usage: galenaflowctl [FLAGS] COMMAND

Commands:
  status       versions, health, capacity and members as the daemon sees them
  request ID   what happened to a request; ID is a request id or an idempotency
               key. All listed daemons are queried; the answer names those that
               did not reply and how far back the records of the others reach
  plans        plans and customers in force, with their use
  backends     replicas with health, load, latency and ejections
  peers        the other daemons with their links and versions
  check FILE   checks a customers, plans or services list and prints every
               finding with its JSON pointer; contacts no daemon. "-" reads
               standard input
  explain ID [FILE...]
               what happened to a request according to the logs of daemons, and
               what the logs do not show; contacts no daemon. "-" or no file
               reads standard input

Flags:
  --daemon=IP:PORT   operator listener to query (environment
                     GALENAFLOW_OPERATOR, default 127.0.0.1:8081)
  --json             print JSON
  --plans=FILE       check: plans against which a customers list is checked
  --timeout_ms=N     longest wait for the daemon (default 5000)

Exit codes:
  0  success; for check: the list is valid
  1  the command line is invalid or a file cannot be read
  2  check: the list has findings
  3  the daemon cannot be reached or does not answer in time
  4  request: no queried daemon has a record of this id; explain: no line has
     this id
  5  the daemon answered with an error
)";

namespace {

CommandResult usageError(const std::string &text) {
  return {ExitCode::Usage, "",
          "galenaflowctl: " + text + "\n(galenaflowctl --help)\n"};
}

std::string readStdin() {
  std::string text;
  std::array<char, 4096> buf{};
  while (const std::size_t n = std::fread(buf.data(), 1, buf.size(), stdin))
    text.append(buf.data(), n);
  return text;
}

std::optional<std::string> readFile(const std::string &path) {
  if (path == "-")
    return readStdin();
  std::ifstream file(path, std::ios::binary);
  if (!file)
    return std::nullopt;
  return std::string(std::istreambuf_iterator<char>(file), {});
}

CommandResult runCheck(const Invocation &invocation, const std::string &file) {
  const std::optional<std::string> text = readFile(file);
  if (!text)
    return usageError("cannot read \"" + file + "\"");
  std::optional<std::string> plans;
  if (!invocation.PlansFile.empty()) {
    plans = readFile(invocation.PlansFile);
    if (!plans)
      return usageError("cannot read \"" + invocation.PlansFile + "\"");
  }
  const CheckReport report = checkList(*text, plans);
  return {report.Findings.empty() ? ExitCode::Ok : ExitCode::Findings,
          renderReport(report, file, invocation.AsJson), ""};
}

CommandResult runExplain(const std::vector<std::string> &arguments) {
  std::vector<std::string> files(arguments.begin() + 2, arguments.end());
  if (files.empty())
    files.emplace_back("-");
  std::vector<LogLine> lines;
  for (const std::string &file : files) {
    const std::optional<std::string> text = readFile(file);
    if (!text)
      return usageError("cannot read \"" + file + "\"");
    parseLog(*text, file == "-" ? "stdin" : file, lines);
  }
  const std::size_t n = lines.size();
  const auto report = explainRequest(std::move(lines), arguments[1]);
  if (!report)
    return {ExitCode::NotFound, "",
            "galenaflowctl: none of " + std::to_string(n) +
                " lines has the request id \"" + arguments[1] +
                "\"; it was answered completely, its lines were suppressed, or "
                "it reached another daemon\n"};
  return {ExitCode::Ok, *report, ""};
}

CommandResult queryError(const state::Error &error) {
  if (error.Code == state::ErrorCode::InvalidArgument)
    return usageError("--daemon: " + error.Text);
  return {ExitCode::Unreachable, "", "galenaflowctl: " + error.Text + "\n"};
}

CommandResult runQuery(const Invocation &invocation, const std::string &path) {
  const auto response =
      getFromDaemon(invocation.Daemon, path, invocation.Timeout);
  if (!response)
    return queryError(response.error());
  const std::string text =
      invocation.AsJson ? response->Body + "\n" : renderText(response->Body);
  if (response->Status == 200)
    return {ExitCode::Ok, text, ""};
  // The answer for an unknown record states how far back the records reach.
  if (response->Status == 404)
    return {ExitCode::NotFound, text, ""};
  return {ExitCode::DaemonError, "", text};
}

bool takesOneArgument(const std::string &command) {
  return command == "request" || command == "check";
}

} // namespace

CommandResult runCommand(const Invocation &invocation) {
  if (invocation.Arguments.empty())
    return usageError("no command given");
  const std::string &command = invocation.Arguments.front();
  if (command == "explain" && invocation.Arguments.size() >= 2)
    return runExplain(invocation.Arguments);
  if (invocation.Arguments.size() != (takesOneArgument(command) ? 2U : 1U))
    return usageError("wrong number of arguments for \"" + command + "\"");
  if (command == "check")
    return runCheck(invocation, invocation.Arguments[1]);
  if (command == "request") {
    const std::string &id = invocation.Arguments[1];
    if (!protocol::isName(id))
      return usageError("an id is 1 to 64 characters of A-Z a-z 0-9 . _ -");
    return runQuery(invocation, "/v1/requests/" + id);
  }
  for (const char *known : {"status", "plans", "backends", "peers"})
    if (command == known)
      return runQuery(invocation, "/v1/" + command);
  return usageError("unknown command \"" + command + "\"");
}

} // namespace galenaflow::ctl
