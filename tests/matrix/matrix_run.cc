#include "matrix/matrix_run.h"

#include <csignal>
#include <fstream>
#include <sstream>
#include <thread>

// A cell runs in this order: callers send a batch of requests to all daemons,
// the faults are injected while the batch is in flight, the plans are edited
// and further batches are sent under the faults, the faults are healed, and
// callers send requests until every daemon gives complete answers and has the
// edit in force. Only then are the journal and the collected answers checked.

namespace galenaflow::matrix {

using nlohmann::json;
using std::chrono::milliseconds;
using support::Deployment;

namespace {

/// Long, because these timeouts only end a run that would otherwise hang.
constexpr milliseconds BatchTimeout(30'000);
constexpr milliseconds RecoveryTimeout(60'000);
constexpr milliseconds EffectTimeout(20'000);
constexpr milliseconds ExitTimeout(90'000);

constexpr milliseconds PollInterval(50);
/// Time from the start of the first batch until the faults are injected.
constexpr milliseconds InjectDelay(5);
constexpr int DeployAttempts = 3;
constexpr std::size_t CallsPerOperation = 2;

const support::ServiceSpec Sharded{"archivio", 4, 2};
const support::ServiceSpec Pool{"commesse", 0, 3, 2, 35};

/// Returns the state letter in /proc/PID/stat, for example 'T' for a stopped
/// process; '?' if the process does not exist.
char processState(pid_t pid) {
  std::ifstream in("/proc/" + std::to_string(pid) + "/stat");
  std::string text;
  std::getline(in, text);
  const auto end = text.rfind(") ");
  return end == std::string::npos ? '?' : text[end + 2];
}

/// Returns the sum of all numbers with a name anywhere in a document.
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

/// Makes an idempotency key as a caller does: a UUIDv7 from the wall clock and
/// a counter.
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

/// Requests in flight, each on a connection of its own.
struct MatrixRun::Batch {
  transport::EventLoop Loop;
  std::vector<std::unique_ptr<transport::HttpConnection>> Connections;
  std::size_t Waiting = 0;
};

MatrixRun::MatrixRun(std::uint64_t seed)
    : Seed(seed), CurrentBatch(std::make_unique<Batch>()) {}

MatrixRun::~MatrixRun() = default;

state::Result<bool> MatrixRun::deploy() {
  support::DeploymentOptions options;
  options.Services = {Sharded, Pool};
  options.Daemons = 3;
  options.Seed = Seed;
  options.UseProxy = true;
  System = std::make_unique<Deployment>(options);
  Observed.PublishedPlans = 1;
  if (auto started = System->startStandIns(); !started)
    return started;
  return System->startDaemons();
}

/// Deploys again after a failure, because an outgoing connection can take a
/// reserved port before its daemon does.
state::Result<bool> MatrixRun::deployWithRetry() {
  auto deployed = deploy();
  for (int i = 1; i != DeployAttempts && !deployed; ++i)
    deployed = deploy();
  if (!deployed)
    System.reset();
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
      transport::parseSocketAddress(System->daemons()[daemon].Listen);
  CurrentBatch->Connections.push_back(
      std::make_unique<transport::HttpConnection>(CurrentBatch->Loop,
                                                  *address));
  const std::size_t i = Observed.Calls.size();
  Observed.Calls.push_back(std::move(call));
  ++CurrentBatch->Waiting;
  CurrentBatch->Connections.back()->send(
      request, BatchTimeout, [this, i](const transport::HttpResult &got) {
        --CurrentBatch->Waiting;
        if (!got)
          return;
        Observed.Calls[i].Status = got->Status;
        Observed.Calls[i].Body = got->Body;
      });
}

void MatrixRun::startBatch() {
  for (std::size_t daemon = 0; daemon != System->daemons().size(); ++daemon)
    for (std::size_t i = 0; i != CallsPerOperation; ++i)
      for (const Operation kind : {Operation::Search, Operation::Suggest,
                                   Operation::Read, Operation::Write})
        startCall(daemon, kind);
}

bool MatrixRun::finishBatch() {
  const bool finished = CurrentBatch->Loop.runUntil(
      [this] { return CurrentBatch->Waiting == 0; }, 2 * BatchTimeout);
  CurrentBatch->Connections.clear();
  return finished;
}

void MatrixRun::applySignal(const json &action) {
  const std::string name = action.at("signal");
  support::Process *program = nullptr;
  for (support::Daemon &daemon : System->daemons())
    if (daemon.VmId == action.at("target"))
      program = daemon.Program.get();
  if (action.at("target") == "backends")
    program = &System->backends();
  if (action.at("target") == "platform")
    program = &System->platform();
  if (name == "STOP") {
    program->pause();
    for (int i = 0; i != 100 && processState(program->pid()) != 'T'; ++i)
      std::this_thread::sleep_for(milliseconds(1));
    AppliedSignals += processState(program->pid()) == 'T' ? 1 : 0;
  } else if (name == "CONT") {
    program->resume();
  } else if (name == "KILL") {
    program->kill();
    AppliedSignals += program->wait(ExitTimeout) == 128 + SIGKILL ? 1 : 0;
  } else {
    program->terminate();
    // The daemon serves open requests while it drains, so the batch in flight
    // is finished before the exit is awaited.
    const std::size_t first = Observed.Calls.size() - CallsPerOperation * 12;
    finishBatch();
    const auto code = program->wait(ExitTimeout);
    AppliedSignals += code == 0 ? 1 : 0;
    if (code != 0)
      SignalFaults.push_back("graceful stop: exit code is not 0");
    for (std::size_t i = first; i != Observed.Calls.size(); ++i)
      if (Observed.Calls[i].Status == 0)
        SignalFaults.push_back("graceful stop: request " +
                               Observed.Calls[i].RequestId + " got no answer");
  }
}

/// Retries until EffectTimeout, because a connection of another process can
/// hold the port of a daemon that ended.
bool MatrixRun::restartDaemon(std::size_t daemon) {
  const auto end = std::chrono::steady_clock::now() + EffectTimeout;
  bool started = false;
  while (!started && std::chrono::steady_clock::now() < end) {
    started = System->startDaemon(daemon).has_value();
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
    System->callJson(System->backendControl(), "/control/replicas/" + target,
                     set);
  else if (on == "proxy")
    System->callJson(System->proxyControl(), "/control/routes/" + target, set);
  else if (on == "partition")
    System->callJson(System->proxyControl(), "/control/partition", set);
  else if (on == "platform")
    System->callJson(System->platformControl(), "/control/mode", set);
  else if (on == "signal")
    applySignal(action);
  else if (on == "wait")
    std::this_thread::sleep_for(milliseconds(action.at("ms").get<int>()));
  else if (on == "start") {
    const auto i = action.at("daemon").get<std::size_t>();
    if (!restartDaemon(i))
      SignalFaults.emplace_back("recovery: the daemon did not start");
    System->publishVms();
    // A new instance has no earlier versions, so its sequence starts again.
    Observed.PlanVersions[i].clear();
  }
}

void MatrixRun::inject(const json &script) {
  for (const json &action : script.at("inject"))
    apply(action);
}

double MatrixRun::counter(const json &evidence) {
  const std::string from = evidence.at("from");
  if (from == "signal")
    return static_cast<double>(AppliedSignals);
  if (from == "platform stale") {
    const json stats =
        System->callJson(System->platformControl(), "/control/stats");
    return sumOf(stats, "version") - sumOf(stats, "served_version");
  }
  const std::string &control = from == "proxy"     ? System->proxyControl()
                               : from == "backend" ? System->backendControl()
                                                   : System->platformControl();
  return sumOf(System->callJson(control, "/control/stats"),
               evidence.at("counter").get<std::string>());
}

void MatrixRun::editPlans() {
  json plans = System->plansDocument();
  plans["plans"][0]["burst"] = 10'001 + NextCall;
  if (const std::uint64_t version = System->publishPlans(plans); version != 0)
    Observed.PublishedPlans = version;
}

void MatrixRun::recordPlanVersions() {
  for (std::size_t i = 0; i != System->daemons().size(); ++i) {
    const json status =
        System->callJson(System->daemons()[i].OperatorListen, "/v1/status");
    if (status.is_object())
      Observed.PlanVersions[i].push_back(status.at("versions").at("plans"));
  }
}

bool MatrixRun::hasRecovered(std::size_t daemon) {
  support::CallerClient caller(*System, System->daemons()[daemon].Listen,
                               "customer-standard");
  const auto found = caller.search(Sharded.Name, "whole", SearchLimit);
  const json answer = json::parse(found.Body, nullptr, false);
  return found.Status == 200 && answer.value("complete", false) &&
         caller.write(Pool.Name, makeKey(NextCall++), "{}").Status == 200 &&
         !Observed.PlanVersions[daemon].empty() &&
         Observed.PlanVersions[daemon].back() == Observed.PublishedPlans;
}

bool MatrixRun::waitForRecovery() {
  const auto end = std::chrono::steady_clock::now() + RecoveryTimeout;
  while (std::chrono::steady_clock::now() < end) {
    recordPlanVersions();
    if (hasRecovered(0) && hasRecovered(1) && hasRecovered(2))
      return true;
    std::this_thread::sleep_for(PollInterval);
  }
  return false;
}

std::vector<std::string> MatrixRun::collectFaults(bool recovered) {
  Observed.Sharded = Sharded;
  Observed.Journal =
      System->callJson(System->backendControl(), "/control/journal");
  std::vector<std::string> faults = findFaults(Observed);
  faults.insert(faults.end(), SignalFaults.begin(), SignalFaults.end());
  if (!recovered)
    faults.emplace_back("recovery: not every daemon gives complete answers");
  return faults;
}

std::vector<std::string>
MatrixRun::listUnobservedFaults(const std::vector<json> &scripts,
                                const std::vector<double> &before) {
  std::vector<std::string> unobserved;
  unobserved.reserve(scripts.size());
  for (std::size_t i = 0; i != scripts.size(); ++i) {
    const json &evidence = scripts[i].at("seen");
    if (counter(evidence) > before[i])
      continue;
    unobserved.push_back("the fault was not observed to take effect: " +
                         evidence.dump());
  }
  return unobserved;
}

std::vector<std::string> MatrixRun::runCell(const std::vector<json> &scripts) {
  Observed.Calls.clear();
  Observed.PlanVersions.assign(3, {});
  SignalFaults.clear();
  if (!System)
    if (auto deployed = deployWithRetry(); !deployed)
      return {"deployment: " + deployed.error().Text};
  std::vector<double> before;
  before.reserve(scripts.size());
  for (const json &script : scripts)
    before.push_back(counter(script.at("seen")));
  startBatch();
  CurrentBatch->Loop.runUntil([] { return false; }, InjectDelay);
  for (const json &script : scripts)
    inject(script);
  bool finished = finishBatch();
  editPlans();
  // An ejected replica gets no work for a while, so batches are sent until each
  // fault has taken effect.
  std::vector<std::string> unobserved;
  const auto end = std::chrono::steady_clock::now() + EffectTimeout;
  do {
    // A fault of existing connections has no effect while none is open, so it
    // is injected again.
    for (const json &script : scripts)
      if (script.value("repeat", false))
        inject(script);
    startBatch();
    finished = finishBatch() && finished;
    unobserved = listUnobservedFaults(scripts, before);
  } while (!unobserved.empty() && std::chrono::steady_clock::now() < end);
  for (const json &script : scripts)
    for (const json &action : script.at("heal"))
      apply(action);
  const bool recovered = waitForRecovery();
  startBatch();
  finished = finishBatch() && finished;
  std::vector<std::string> faults = collectFaults(recovered);
  faults.insert(faults.end(), unobserved.begin(), unobserved.end());
  if (!finished)
    faults.emplace_back("a request got no answer");
  if (!faults.empty())
    System.reset();
  return faults;
}

} // namespace galenaflow::matrix
