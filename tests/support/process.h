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

/// A child process with its standard output and error in one pipe. The
/// destructor kills it.
class Process {
public:
  /// Starts `program` (a path, or a name next to the running test program) and
  /// writes `input` to its standard input.
  Process(const std::string &program, const std::vector<std::string> &args,
          const std::string &input = {});
  ~Process();
  Process(const Process &) = delete;
  Process &operator=(const Process &) = delete;

  /// The first line, read or yet to come, that `accept` takes; nothing when the
  /// limit passes or the process ends before.
  std::optional<std::string>
  waitForLine(const std::function<bool(std::string_view)> &accept,
              std::chrono::milliseconds limit);

  void signal(int number) const;
  void terminate() const;
  void pause() const;
  void resume() const;
  void kill() const;

  /// The exit code, 128 + signal after a signal, nothing at the limit.
  std::optional<int> wait(std::chrono::milliseconds limit);

  bool isRunning() { return !wait(std::chrono::milliseconds(0)); }
  pid_t pid() const { return Pid; }

  /// All output so far.
  const std::string &output();

private:
  bool readOutput(std::chrono::milliseconds limit);

  pid_t Pid = -1;
  int Pipe = -1;
  std::string Output;
  std::optional<int> ExitCode;
};

/// The value of NAME in a log line "event=started NAME=value ..."; empty when
/// the line has none.
std::string logField(std::string_view line, std::string_view name);

/// Binds a free port of 127.0.0.1 and releases it, so that a program that needs
/// to know its address before it starts can take it. The kernel does not use
/// the port for outgoing connections.
std::string reserveAddress();

} // namespace galenaflow::support

#endif
