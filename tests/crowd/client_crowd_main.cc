#include "crowd/crowd_cases.h"

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <unistd.h>

// client-crowd PROGRAM CASE [--known_red FILE] [--memory_mb N] [--max_fds N]
//              [--times N]
// client-crowd --check_known_red FILE
//
// Runs `galenaflow-platform` or `galenaflowd` against stand-ins and sends it a
// crowd of clients that are all within the published limits of one request.
// Guards against a process that is killed for its memory, runs out of
// descriptors or serves nobody else. Checks that the process lives, that its
// peak memory and its descriptors stay within what its settings state for the
// VM, that an ordinary request is answered while the crowd stays, and after it
// has gone one with the largest body, and that its memory comes back down. It
// checks no times.
//
// --memory_mb and --max_fds replace what the settings of the case state, and
// --times makes the crowd so many times as large, for runs by hand with the
// settings of a real VM.
//
// A case that is listed as [client_crowd/PROGRAM/CASE] in the file of known
// faults must fail: the exit code is 1 if a case that is not listed fails, and
// if a listed one passes. --check_known_red reports entries that name no case.

namespace galenaflow::crowd {
namespace {

using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;

constexpr std::size_t ReservedFds = 200;

/// Of the memory of the VM that crowds may leave behind, for example in free
/// lists.
constexpr std::size_t AfterFraction = 8;

constexpr auto TestLimit = 60s; ///< only ends a test that hangs

/// The crowd is at rest when it has made no progress for this time.
constexpr auto RestTime = 500ms;

/// Ends the sending of crowds that never rest.
constexpr auto SendLimit = 12s;

/// Time for which the loop of the stand-ins runs between two steps.
constexpr auto StepTime = 2ms;

/// Returns a figure of /proc/PID/status in bytes, zero if the process ended.
std::size_t readStatus(pid_t pid, std::string_view name) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/status");
  for (std::string line; std::getline(file, line);)
    if (line.starts_with(name))
      return std::stoul(line.substr(line.find_first_of("0123456789"))) << 10;
  return 0;
}

std::size_t openDescriptors(pid_t pid) {
  std::error_code ignored;
  std::size_t n = 0;
  for (auto it = std::filesystem::directory_iterator(
           "/proc/" + std::to_string(pid) + "/fd", ignored);
       it != std::filesystem::directory_iterator(); it.increment(ignored))
    ++n;
  return n;
}

/// Calls `isDone` until it returns true, and `between` after each call.
template <typename F, typename G>
bool waitUntil(Site &site, const F &isDone, const G &between) {
  for (const auto end = Clock::now() + TestLimit;
       Clock::now() < end && site.process().isRunning();) {
    if (isDone())
      return true;
    between();
    site.run(StepTime);
  }
  return false;
}

/// A crowd at a site, and what was measured of it.
class CaseRun {
public:
  CaseRun(Site &site, const CrowdCase &crowdCase, const SiteOptions &options)
      : Visited(site), Case(crowdCase), Options(options) {}

  /// The crowd is as many times as large. Returns the failures.
  const std::vector<std::string> &run(std::size_t times);

private:
  bool isRunning() {
    const auto all = Visited.processes();
    return std::all_of(all.begin(), all.end(),
                       [](auto *it) { return it->isRunning(); });
  }
  bool isServed() { return Visited.isOrdinaryRequestServed(); }
  void runRound(const Scripts &scripts);
  void sendAll(ClientCrowd &crowd);
  void applyEvent(ClientCrowd &crowd);
  void measure();
  std::size_t residentMemory();
  void checkMemoryAfter();

  Site &Visited;
  const CrowdCase &Case;
  const SiteOptions &Options;
  std::vector<std::string> Failures;
  std::size_t MemoryBefore = 0;
  std::size_t PeakMemory = 0;
  std::size_t Descriptors = 0;
};

void CaseRun::measure() {
  for (const support::Process *it : Visited.processes()) {
    PeakMemory = std::max(PeakMemory, readStatus(it->pid(), "VmHWM:"));
    Descriptors = std::max(Descriptors, openDescriptors(it->pid()));
  }
}

/// Returns that of the process with the most.
std::size_t CaseRun::residentMemory() {
  std::size_t most = 0;
  for (const support::Process *it : Visited.processes())
    most = std::max(most, readStatus(it->pid(), "VmRSS:"));
  return most;
}

/// Steps the crowd until it is at rest.
void CaseRun::sendAll(ClientCrowd &crowd) {
  const auto start = Clock::now();
  auto lastProgress = start;
  for (auto now = start;
       now - start < SendLimit && now - lastProgress < RestTime && isRunning();
       now = Clock::now()) {
    if (crowd.step() != 0)
      lastProgress = Clock::now();
    measure();
    if (Case.HasOrdinaryRequests)
      static_cast<void>(isServed());
    Visited.run(StepTime);
  }
}

void CaseRun::applyEvent(ClientCrowd &crowd) {
  support::Process &process = Visited.process();
  const auto step = [&crowd] { crowd.step(); };
  switch (Case.Event) {
  case CrowdEvent::None:
  case CrowdEvent::StoreAway: // before the crowd came
  case CrowdEvent::PauseExecutor:
    return;
  case CrowdEvent::Release:
    crowd.release();
    break;
  case CrowdEvent::Reload:
    process.signal(SIGHUP);
    break;
  case CrowdEvent::Restart:
    process.terminate();
    waitUntil(
        Visited, [] { return false; }, step);
    if (const auto code = process.wait(0ms); code != 0) {
      Failures.push_back("exit code after a planned stop " +
                         (code ? std::to_string(*code) : "none"));
      return;
    }
    Visited.start();
    break;
  }
  sendAll(crowd);
}

void CaseRun::runRound(const Scripts &scripts) {
  Visited.setStoreAway(Case.Event == CrowdEvent::StoreAway);
  if (Case.Event == CrowdEvent::PauseExecutor)
    Visited.processes().back()->pause();
  ClientCrowd crowd(Visited.address(Case.Target), scripts);
  sendAll(crowd);
  applyEvent(crowd);
  std::cout << "connections of the crowd left open " << crowd.openConnections()
            << "\n";
  if (!waitUntil(
          Visited, [this] { return isServed(); }, [&crowd] { crowd.step(); }) &&
      isRunning())
    Failures.emplace_back("no ordinary request was served beside the crowd");
  Visited.setStoreAway(false);
  if (Case.Event == CrowdEvent::PauseExecutor)
    Visited.processes().back()->resume();
  measure();
}

/// Memory is to come back down when the crowd has gone.
void CaseRun::checkMemoryAfter() {
  const std::size_t limit =
      MemoryBefore + (Options.MemoryMb << 20) / AfterFraction;
  std::size_t memory = 0;
  const bool isDown = waitUntil(
      Visited,
      [&] {
        memory = residentMemory();
        return memory <= limit;
      },
      [] {});
  std::cout << "resident memory before the crowd " << (MemoryBefore >> 10)
            << " kB, afterwards " << (memory >> 10) << " kB\n";
#ifndef __SANITIZE_ADDRESS__
  if (!isDown && isRunning())
    Failures.push_back("memory afterwards is above " +
                       std::to_string(limit >> 10) + " kB");
#endif
}

const std::vector<std::string> &CaseRun::run(std::size_t times) {
  if (!waitUntil(
          Visited, [this] { return isServed(); }, [] {})) {
    Failures.push_back("no ordinary request was served before the crowd: " +
                       Visited.process().output());
    return Failures;
  }
  MemoryBefore = residentMemory();
  const Scripts once = Case.MakeScripts(Visited.target());
  Scripts scripts;
  for (std::size_t i = 0; i != times; ++i)
    scripts.insert(scripts.end(), once.begin(), once.end());
  for (int i = 0; i != Case.Rounds && Failures.empty(); ++i)
    runRound(scripts);
  if (isRunning() &&
      !waitUntil(
          Visited, [this] { return Visited.isLargestRequestServed(); }, [] {}))
    Failures.emplace_back("no request of the largest size was served in calm");
  if (isRunning())
    checkMemoryAfter();
  else
    Failures.push_back("the process ended: " + Visited.process().output());
  std::cout << "peak memory " << (PeakMemory >> 10) << " kB, descriptors "
            << Descriptors << "\n";
#ifndef __SANITIZE_ADDRESS__
  if (PeakMemory > Options.MemoryMb << 20)
    Failures.push_back("peak memory is above " +
                       std::to_string(Options.MemoryMb) + " MB");
#endif
  if (Descriptors > Options.MaxFds - ReservedFds)
    Failures.push_back("descriptors are above " +
                       std::to_string(Options.MaxFds - ReservedFds));
  return Failures;
}

std::string readFile(const std::string &path) {
  std::ifstream in(path);
  return {std::istreambuf_iterator<char>(in), {}};
}

constexpr std::string_view EntryStart = "[client_crowd/";

std::string entryName(std::string_view program, const std::string &name) {
  return std::string(EntryStart).append(program) + "/" + name + "]";
}

int checkKnownRed(const std::string &text) {
  int result = 0;
  for (auto at = text.find(EntryStart); at != std::string::npos;
       at = text.find(EntryStart, at + 1)) {
    const std::string entry = text.substr(at, text.find(']', at) + 1 - at);
    bool isKnown = false;
    for (const std::string_view program : {PlatformProgram, DaemonProgram})
      for (const CrowdCase &it : crowdCases())
        isKnown = isKnown || (it.appliesTo(program) &&
                              entry == entryName(program, it.Name));
    std::cout << entry << (isKnown ? " known red" : " names no test") << "\n";
    result = isKnown ? result : 1;
  }
  return result;
}

int runProgram(const std::vector<std::string> &args) {
  if (args.size() == 2 && args[0] == "--check_known_red")
    return checkKnownRed(readFile(args[1]));
  const auto cases = crowdCases();
  const auto found =
      std::find_if(cases.begin(), cases.end(), [&args](const CrowdCase &it) {
        return args.size() >= 2 && it.Name == args[1] && it.appliesTo(args[0]);
      });
  if (found == cases.end() || args.size() % 2 != 0 ||
      (args[0] != PlatformProgram && args[0] != DaemonProgram)) {
    std::cerr << "client-crowd PROGRAM CASE [--known_red FILE] [--memory_mb N] "
                 "[--max_fds N] [--times N]\n";
    return 2;
  }
  SiteOptions options = found->Site;
  std::string knownRed;
  std::size_t times = 1;
  for (std::size_t i = 2; i != args.size(); i += 2) {
    if (args[i] == "--known_red")
      knownRed = readFile(args[i + 1]);
    else if (args[i] == "--memory_mb")
      options.MemoryMb = std::stoul(args[i + 1]);
    else if (args[i] == "--max_fds")
      options.MaxFds = std::stoul(args[i + 1]);
    else if (args[i] == "--times")
      times = std::stoul(args[i + 1]);
  }
  const auto site = startSite(args[0], options);
  CaseRun run(*site, *found, options);
  const std::vector<std::string> &failures = run.run(times);
  for (const std::string &failure : failures)
    std::cout << "failed: " << failure << "\n";
  const bool isKnownRed =
      knownRed.find(entryName(args[0], args[1])) != std::string::npos;
  if (isKnownRed)
    std::cout << (failures.empty() ? "passed, but is listed as known red\n"
                                   : "known red\n");
  return failures.empty() == isKnownRed ? 1 : 0;
}

} // namespace
} // namespace galenaflow::crowd

int main(int argc, char **argv) {
  return galenaflow::crowd::runProgram({argv + 1, argv + argc});
}
