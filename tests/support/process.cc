#include "support/process.h"

#include "transport/socket_address.h"

#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <poll.h>
#include <spawn.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

// The child is started with posix_spawn. Its standard input is a temporary
// file, because writing a long configuration to a pipe blocks until the child
// reads it.

namespace galenaflow::support {

using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

namespace {

constexpr milliseconds PollStep(5);
constexpr int SignalExitBase = 128;

std::string resolveProgram(const std::string &program) {
  if (program.find('/') != std::string::npos)
    return program;
  const auto self = std::filesystem::read_symlink("/proc/self/exe");
  return (self.parent_path() / program).string();
}

int openInputFile(const std::string &input) {
  std::string path =
      (std::filesystem::temp_directory_path() / "galenaflow-XXXXXX").string();
  const int fd = mkostemp(path.data(), O_CLOEXEC);
  unlink(path.c_str());
  if (write(fd, input.data(), input.size()) < 0)
    return fd;
  lseek(fd, 0, SEEK_SET);
  return fd;
}

milliseconds timeUntil(Clock::time_point end) {
  return std::max(milliseconds(0),
                  std::chrono::duration_cast<milliseconds>(end - Clock::now()));
}

} // namespace

Process::Process(const std::string &program,
                 const std::vector<std::string> &args,
                 const std::string &input) {
  const std::string path = resolveProgram(program);
  std::vector<char *> argv = {const_cast<char *>(path.c_str())};
  for (const std::string &arg : args)
    argv.push_back(const_cast<char *>(arg.c_str()));
  argv.push_back(nullptr);

  int pipeEnds[2];
  if (pipe2(pipeEnds, O_CLOEXEC) != 0)
    return;
  const int in = openInputFile(input);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_adddup2(&actions, in, STDIN_FILENO);
  posix_spawn_file_actions_adddup2(&actions, pipeEnds[1], STDOUT_FILENO);
  posix_spawn_file_actions_adddup2(&actions, pipeEnds[1], STDERR_FILENO);
  if (posix_spawn(&Pid, path.c_str(), &actions, nullptr, argv.data(),
                  environ) != 0) {
    Pid = -1;
    ExitCode = 127;
  }
  posix_spawn_file_actions_destroy(&actions);
  close(in);
  close(pipeEnds[1]);
  Pipe = pipeEnds[0];
  fcntl(Pipe, F_SETFL, O_NONBLOCK);
}

Process::~Process() {
  if (!ExitCode && Pid > 0) {
    kill();
    static_cast<void>(waitpid(Pid, nullptr, 0));
  }
  if (Pipe >= 0)
    close(Pipe);
}

/// Appends what the child has written, and waits up to `limit` for the first
/// byte. Returns false at the end of the child's output.
bool Process::readOutput(milliseconds limit) {
  pollfd item{Pipe, POLLIN, 0};
  if (poll(&item, 1, static_cast<int>(limit.count())) <= 0)
    return true;
  char buf[65536];
  const ssize_t n = read(Pipe, buf, sizeof(buf));
  if (n > 0)
    Output.append(buf, static_cast<std::size_t>(n));
  return n != 0;
}

std::optional<std::string>
Process::waitForLine(const std::function<bool(std::string_view)> &predicate,
                     milliseconds limit) {
  const auto end = Clock::now() + limit;
  std::size_t start = 0;
  bool open = true;
  while (true) {
    for (auto stop = Output.find('\n', start); stop != std::string::npos;
         stop = Output.find('\n', start)) {
      std::string line = Output.substr(start, stop - start);
      start = stop + 1;
      if (predicate(line))
        return line;
    }
    if (!open || Clock::now() >= end)
      return std::nullopt;
    open = readOutput(timeUntil(end));
  }
}

void Process::signal(int number) const {
  if (Pid > 0 && !ExitCode)
    ::kill(Pid, number);
}

void Process::terminate() const { signal(SIGTERM); }
void Process::pause() const { signal(SIGSTOP); }
void Process::resume() const { signal(SIGCONT); }
void Process::kill() const { signal(SIGKILL); }

std::optional<int> Process::wait(milliseconds limit) {
  const auto end = Clock::now() + limit;
  while (!ExitCode) {
    static_cast<void>(readOutput(milliseconds(0)));
    int status = 0;
    if (waitpid(Pid, &status, WNOHANG) == Pid)
      ExitCode = WIFEXITED(status) ? WEXITSTATUS(status)
                                   : SignalExitBase + WTERMSIG(status);
    else if (Clock::now() >= end)
      break;
    else
      std::this_thread::sleep_for(PollStep);
  }
  return ExitCode;
}

const std::string &Process::output() {
  std::size_t before = 0;
  do {
    before = Output.size();
    static_cast<void>(readOutput(milliseconds(0)));
  } while (Output.size() != before);
  return Output;
}

std::string logField(std::string_view line, std::string_view name) {
  const std::string key = std::string(name) + "=";
  for (std::size_t at = line.find(key); at != std::string_view::npos;
       at = line.find(key, at + 1)) {
    if (at != 0 && line[at - 1] != ' ')
      continue;
    const std::string_view rest = line.substr(at + key.size());
    return std::string(rest.substr(0, rest.find(' ')));
  }
  return {};
}

std::string reserveAddress() {
  // The ports are below the range that the kernel uses for outgoing
  // connections, since such a connection could hold the port when the program
  // starts. Test programs that run at the same time begin at different ports.
  constexpr unsigned firstPort = 10'000;
  constexpr unsigned portCount = 20'000;
  constexpr unsigned stride = 97;
  static unsigned next = static_cast<unsigned>(getpid()) * stride;
  for (unsigned tries = 0; tries != portCount; ++tries) {
    const unsigned port = firstPort + next++ % portCount;
    auto address =
        transport::parseSocketAddress("127.0.0.1:" + std::to_string(port));
    const auto fd = transport::listenOn(*address);
    if (!fd)
      continue;
    close(*fd);
    return address->toText();
  }
  return {};
}

} // namespace galenaflow::support
