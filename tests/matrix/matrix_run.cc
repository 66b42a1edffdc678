#include "matrix/matrix_run.h"

#include <csignal>
#include <fstream>
#include <sstream>
#include <thread>

// A cell runs in this order: callers send a batch to all daemons, the faults
// are injected while it is open, a second batch and an edit of the plans follow
// under the fault, the fault is healed, and callers ask until every daemon
// answers completely and has the edit in force. Only then are the journal and
// the collected answers checked.

namespace galenaflow::matrix {

using nlohmann::json;
using std::chrono::milliseconds;
using support::Deployment;

namespace {

/// Generous, because they only bound a run that would otherwise hang.
constexpr milliseconds BatchLimit(30'000);
constexpr milliseconds HealLimit(60'000);
constexpr milliseconds StrikeLimit(20'000);
constexpr milliseconds ExitLimit(90'000);

constexpr milliseconds PollInterval(50);
/// The first batch is in flight for this time when the fault is injected.
constexpr milliseconds InjectAfter(5);
constexpr int DeployAttempts = 3;
constexpr std::size_t CallsOfKind = 2;

const support::ServiceSpec Sharded{"archivio", 4, 2};
const support::ServiceSpec Pool{"commesse", 0, 3, 2, 35};

/// The state letter in /proc/PID/stat, for example 'T' for a stopped process.
char processState(pid_t pid) {
  std::ifstream in("/proc/" + std::to_string(pid) + "/stat");
  std::string text;
  std::getline(in, text);
  const auto end = text.rfind(") ");
  return end == std::string::npos ? '?' : text[end + 2];
}

/// Adds up all numbers under a name anywhere in a document.
double sumOf(const json &document, const std::string &name) {
  double sum = 0;
  if (!document.is_structured())
    return sum;
  for (const auto &item : document.items()) {
    const bool isNamed = document.is_object() && item.key() == name;
    sum += isNamed && item.value().is_number() ? item.value().get<double>()
                                               : sumOf(item.value(), name);
  }
  return sum;
}

transport::HttpRequest requestOf(const Call &call) {
  json body = {{"service", Sharded.Name}};
  switch (call.Kind) {
  case Operation::Search:
    body["query"] = call.Text;
    body["limit"] = SearchLimit;
    return {"POST", "/v1/search", {}, body.dump()};
  case Operation::Suggest:
    body["prefix"] = call.Text;
    body["limit"] = SuggestLimit;
    return {"POST", "/v1/suggest", {}, body.dump()};
  case Operation::Read:
    return {"GET", "/v1/records/" + Pool.Name + "/" + call.Text, {}, ""};
  case Operation::Write:
    break;
  }
  return {"POST", "/v1/writes/" + Pool.Name, {}, R"({"claim":1})"};
}

/// A key as a caller makes it: UUIDv7 from the wall clock and a counter.
std::string makeKey(std::uint64_t n) {
  const auto ms = std::chrono::duration_cast<milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
  char buf[64];
  std::snprintf(buf, sizeof(buf), "%08llx-%04llx-7000-8000-%012llx",
                static_cast<unsigned long long>(ms.count()) >> 16,
                static_cast<unsigned long long>(ms.count()) & 0xffff,
                static_cast<unsigned long long>(n));
  return buf;
}

} // namespace

/// Calls in flight. Each has a connection of its own.
struct MatrixRun::Batch {
  transport::EventLoop Loop;
  std::vector<std::unique_ptr<transport::HttpConnection>> Connections;
  std::size_t Waiting = 0;
};

MatrixRun::MatrixRun(std::uint64_t seed)
    : Seed(seed), Open(std::make_unique<Batch>()) {}

MatrixRun::~MatrixRun() = default;

state::Result<bool> MatrixRun::deploy() {
  support::DeploymentOptions options;
  options.Services = {Sharded, Pool};
  options.Daemons = 3;
  options.Seed = Seed;
  options.UseProxy = true;
  Target = std::make_unique<Deployment>(options);
  Seen.PublishedPlans = 1;
  if (auto started = Target->startOutside(); !started)
    return started;
  return Target->startDaemons();
}

/// An outgoing connection can take a reserved port before its daemon does.
state::Result<bool> MatrixRun::deployWithRetry() {
  auto deployed = deploy();
  for (int i = 1; i != DeployAttempts && !deployed; ++i)
    deployed = deploy();
  if (!deployed)
    Target.reset();
  return deployed;
}

void MatrixRun::startCall(std::size_t daemon, Operation kind) {
  const std::uint64_t n = NextCall++;
  Call call{kind, "matrix-" + std::to_string(n), "vane" + std::to_string(n), 0,
            ""};
  if (kind == Operation::Read)
    call.Text = "commesse-" + std::to_string(n % 1000);
  if (kind == Operation::Write)
    call.Text = makeKey(n);
  transport::HttpRequest request = requestOf(call);
  request.Headers.add("authorization",
                      "Bearer " + Deployment::callerKey("customer-standard"));
  request.Headers.add("x-request-id", call.RequestId);
  if (kind == Operation::Write)
    request.Headers.add("idempotency-key", call.Text);
  const auto address =
      transport::parseSocketAddress(Target->daemons()[daemon].Listen);
  Open->Connections.push_back(
      std::make_unique<transport::HttpConnection>(Open->Loop, *address));
  const std::size_t i = Seen.Calls.size();
  Seen.Calls.push_back(std::move(call));
  ++Open->Waiting;
  Open->Connections.back()->send(request, BatchLimit,
                                 [this, i](const transport::HttpResult &got) {
                                   --Open->Waiting;
                                   if (!got)
                                     return;
                                   Seen.Calls[i].Status = got->Status;
                                   Seen.Calls[i].Body = got->Body;
                                 });
}

void MatrixRun::startBatch() {
  for (std::size_t daemon = 0; daemon != Target->daemons().size(); ++daemon)
    for (std::size_t i = 0; i != CallsOfKind; ++i)
      for (const Operation kind : {Operation::Search, Operation::Suggest,
                                   Operation::Read, Operation::Write})
        startCall(daemon, kind);
}

bool MatrixRun::finishBatch() {
  const bool finished = Open->Loop.runUntil(
      [this] { return Open->Waiting == 0; }, 2 * BatchLimit);
  Open->Connections.clear();
  return finished;
}

void MatrixRun::applySignal(const json &action) {
  const std::string name = action.at("signal");
  support::Process *program = nullptr;
  for (support::Daemon &daemon : Target->daemons())
    if (daemon.VmId == action.at("target"))
      program = daemon.Program.get();
  if (action.at("target") == "backends")
    program = &Target->backends();
  if (action.at("target") == "platform")
    program = &Target->platform();
  if (name == "STOP") {
    program->pause();
    for (int i = 0; i != 100 && processState(program->pid()) != 'T'; ++i)
      std::this_thread::sleep_for(milliseconds(1));
    SignalsSeen += processState(program->pid()) == 'T' ? 1 : 0;
  } else if (name == "CONT") {
    program->resume();
  } else if (name == "KILL") {
    program->kill();
    SignalsSeen += program->wait(ExitLimit) == 128 + SIGKILL ? 1 : 0;
  } else {
    program->terminate();
    // Callers run on while the daemon drains, so the open batch is finished
    // before the exit is awaited.
    const std::size_t first = Seen.Calls.size() - CallsOfKind * 12;
    finishBatch();
    const auto code = program->wait(ExitLimit);
    SignalsSeen += code == 0 ? 1 : 0;
    if (code != 0)
      SignalFaults.push_back("graceful stop: exit code is not 0");
    for (std::size_t i = first; i != Seen.Calls.size(); ++i)
      if (Seen.Calls[i].Status == 0)
        SignalFaults.push_back("graceful stop: request " +
                               Seen.Calls[i].RequestId + " was cut off");
  }
}

/// A connection of another process can hold the port of a daemon that ended.
bool MatrixRun::startAgain(std::size_t daemon) {
  const auto end = std::chrono::steady_clock::now() + StrikeLimit;
  bool started = false;
  while (!started && std::chrono::steady_clock::now() < end) {
    started = Target->startDaemon(daemon).has_value();
    if (!started)
      std::this_thread::sleep_for(PollInterval);
  }
  return started;
}

void MatrixRun::apply(const json &action) {
  const std::string on = action.at("on");
  const std::string target = action.value("target", "*");
  const std::string set = action.value("set", json::object()).dump();
  if (on == "backend")
    Target->callJson(Target->backendControl(), "/control/replicas/" + target,
                     set);
  else if (on == "proxy")
    Target->callJson(Target->proxyControl(), "/control/routes/" + target, set);
  else if (on == "partition")
    Target->callJson(Target->proxyControl(), "/control/partition", set);
  else if (on == "platform")
    Target->callJson(Target->platformControl(), "/control/mode", set);
  else if (on == "signal")
    applySignal(action);
  else if (on == "wait")
    std::this_thread::sleep_for(milliseconds(action.at("ms").get<int>()));
  else if (on == "start") {
    const auto i = action.at("daemon").get<std::size_t>();
    if (!startAgain(i))
      SignalFaults.emplace_back("recovery: the daemon did not start");
    Target->publishVms();
    // A new instance starts with no history of versions.
    Seen.PlanVersions[i].clear();
  }
}

void MatrixRun::inject(const json &script) {
  for (const json &action : script.at("inject"))
    apply(action);
}

double MatrixRun::counter(const json &seen) {
  const std::string from = seen.at("from");
  if (from == "signal")
    return static_cast<double>(SignalsSeen);
  if (from == "platform stale") {
    const json stats =
        Target->callJson(Target->platformControl(), "/control/stats");
    return sumOf(stats, "version") - sumOf(stats, "served_version");
  }
  const std::string &control = from == "proxy"     ? Target->proxyControl()
                               : from == "backend" ? Target->backendControl()
                                                   : Target->platformControl();
  return sumOf(Target->callJson(control, "/control/stats"),
               seen.at("counter").get<std::string>());
}

void MatrixRun::editPlans() {
  json plans = Target->plansDocument();
  plans["plans"][0]["burst"] = 10'001 + NextCall;
  if (const std::uint64_t version = Target->publishPlans(plans); version != 0)
    Seen.PublishedPlans = version;
}

void MatrixRun::notePlanVersions() {
  for (std::size_t i = 0; i != Target->daemons().size(); ++i) {
    const json status =
        Target->callJson(Target->daemons()[i].OperatorListen, "/v1/status");
    if (status.is_object())
      Seen.PlanVersions[i].push_back(status.at("versions").at("plans"));
  }
}

bool MatrixRun::isWhole(std::size_t daemon) {
  support::CallerClient caller(*Target, Target->daemons()[daemon].Listen,
                               "customer-standard");
  const auto found = caller.search(Sharded.Name, "whole", SearchLimit);
  const json answer = json::parse(found.Body, nullptr, false);
  return found.Status == 200 && answer.value("complete", false) &&
         caller.write(Pool.Name, makeKey(NextCall++), "{}").Status == 200 &&
         !Seen.PlanVersions[daemon].empty() &&
         Seen.PlanVersions[daemon].back() == Seen.PublishedPlans;
}

bool MatrixRun::waitUntilWhole() {
  const auto end = std::chrono::steady_clock::now() + HealLimit;
  while (std::chrono::steady_clock::now() < end) {
    notePlanVersions();
    if (isWhole(0) && isWhole(1) && isWhole(2))
      return true;
    std::this_thread::sleep_for(PollInterval);
  }
  return false;
}

std::vector<std::string> MatrixRun::judge(bool whole) {
  Seen.Sharded = Sharded;
  Seen.Journal = Target->callJson(Target->backendControl(), "/control/journal");
  std::vector<std::string> faults = findFaults(Seen);
  faults.insert(faults.end(), SignalFaults.begin(), SignalFaults.end());
  if (!whole)
    faults.emplace_back("recovery: not every daemon answers completely");
  return faults;
}

std::vector<std::string>
MatrixRun::listUnseen(const std::vector<json> &scripts,
                      const std::vector<double> &before) {
  std::vector<std::string> unseen;
  unseen.reserve(scripts.size());
  for (std::size_t i = 0; i != scripts.size(); ++i) {
    const json &seen = scripts[i].at("seen");
    if (counter(seen) > before[i])
      continue;
    unseen.push_back("the fault was not seen to happen: " + seen.dump());
  }
  return unseen;
}

std::vector<std::string> MatrixRun::runCell(const std::vector<json> &scripts) {
  Seen.Calls.clear();
  Seen.PlanVersions.assign(3, {});
  SignalFaults.clear();
  if (!Target)
    if (auto deployed = deployWithRetry(); !deployed)
      return {"deployment: " + deployed.error().Text};
  std::vector<double> before;
  before.reserve(scripts.size());
  for (const json &script : scripts)
    before.push_back(counter(script.at("seen")));
  startBatch();
  Open->Loop.runUntil([] { return false; }, InjectAfter);
  for (const json &script : scripts)
    inject(script);
  bool finished = finishBatch();
  editPlans();
  // An ejected replica gets no work for a while, so callers go on until each
  // fault has struck.
  std::vector<std::string> unseen;
  const auto end = std::chrono::steady_clock::now() + StrikeLimit;
  do {
    // A fault of the open connections needs one that is open.
    for (const json &script : scripts)
      if (script.value("repeat", false))
        inject(script);
    startBatch();
    finished = finishBatch() && finished;
    unseen = listUnseen(scripts, before);
  } while (!unseen.empty() && std::chrono::steady_clock::now() < end);
  for (const json &script : scripts)
    for (const json &action : script.at("heal"))
      apply(action);
  const bool whole = waitUntilWhole();
  startBatch();
  finished = finishBatch() && finished;
  std::vector<std::string> faults = judge(whole);
  faults.insert(faults.end(), unseen.begin(), unseen.end());
  if (!finished)
    faults.emplace_back("a caller waits without an answer");
  if (!faults.empty())
    Target.reset();
  return faults;
}

} // namespace galenaflow::matrix
