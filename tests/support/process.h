#ifndef GALENAFLOW_SUPPORT_PROCESS_H
#define GALENAFLOW_SUPPORT_PROCESS_H

#include "state/error.h"

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <sys/types.h>
#include <vector>

namespace galenaflow::support {

/// Runs a child process and collects its standard output and error from one
/// pipe. The destructor kills the child.
class Process {
public:
  /// Starts `program` (a path, or a name next to the running test program) and
  /// writes `input` to its standard input.
  Process(const std::string &program, const std::vector<std::string> &args,
          const std::string &input = {});
  ~Process();
  Process(const Process &) = delete;
  Process &operator=(const Process &) = delete;

  /// Returns the first line of the output, from its beginning, that satisfies
  /// the predicate, and waits for such a line up to `limit`. Returns nothing
  /// after the limit or at the end of the output.
  std::optional<std::string>
  waitForLine(const std::function<bool(std::string_view)> &predicate,
              std::chrono::milliseconds limit);

  void signal(int number) const;
  void terminate() const;
  void pause() const;
  void resume() const;
  void kill() const;

  /// Waits up to `limit` for the end of the process. Returns its exit code, or
  /// 128 + N if signal N ended it; nothing after the limit.
  std::optional<int> wait(std::chrono::milliseconds limit);

  bool isRunning() { return !wait(std::chrono::milliseconds(0)); }
  pid_t pid() const { return Pid; }

  /// Returns all output so far.
  const std::string &output();

private:
  bool readOutput(std::chrono::milliseconds limit);

  pid_t Pid = -1;
  int Pipe = -1;
  std::string Output;
  std::optional<int> ExitCode;
};

/// Returns the value of NAME in a log line "event=started NAME=value ...";
/// empty if the line has no such field.
std::string logField(std::string_view line, std::string_view name);

/// Returns an address of 127.0.0.1 with a free port, for a program whose
/// address must be known before it starts. The port is bound and released, and
/// the kernel does not use it for outgoing connections.
std::string reserveAddress();

} // namespace galenaflow::support

#endif
