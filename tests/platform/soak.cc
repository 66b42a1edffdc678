#include "platform/soak.h"

#include "platform/machines.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <set>
#include <unistd.h>

namespace galenaflow::standin {

using nlohmann::json;
using state::Duration;
using transport::HttpResponse;
using transport::HttpResult;
using namespace std::chrono_literals;

namespace {

/// Enough shards that daemons delegate requests to an executor.
constexpr int ShardCount = 16;

/// The daemon that has several times the CPU of the others, so it becomes the
/// executor.
constexpr std::size_t ExecutorIndex = 0;

constexpr double MinShardRatio = 0.7;
constexpr std::size_t TopK = 3;
constexpr Duration CallPeriod = 15ms;
constexpr auto CallerDeadline = 800ms;

/// A daemon or the store counts as healthy again after this time without a
/// fault.
constexpr Duration SettleTime = 4s;

/// Maximum time from SIGTERM until the process ends.
constexpr Duration StopGrace = 6s;

/// The operator's limit for the time until a draining replica gets no more
/// requests, including the time that a request is on its way.
constexpr Duration MaxDrainDelay = 3200ms;

/// The operator's limit for the time until new routes are in force, including
/// the time that a request is on its way.
constexpr Duration MaxRouteDelay = 3200ms;

/// Interval and number of the copies of the store that are kept.
constexpr Duration CopyInterval = 400ms;
constexpr std::size_t MaxCopies = 12;

/// In any such window a replica may get one and a half times what its limit
/// allows, and some requests more.
constexpr Duration LimitWindow = 4s;
constexpr double LimitFactor = 1.5;
constexpr double LimitExtra = 5;

std::string shardName(int shard) {
  return (shard < 10 ? "s0" : "s") + std::to_string(shard);
}
const std::size_t ShardNameSize = shardName(0).size();

std::vector<std::string> splitList(std::string_view text) {
  std::vector<std::string> items;
  while (!text.empty()) {
    const auto comma = std::min(text.find(','), text.size());
    std::string_view item = text.substr(0, comma);
    while (item.starts_with(' '))
      item.remove_prefix(1);
    items.emplace_back(item);
    text.remove_prefix(std::min(comma + 1, text.size()));
  }
  return items;
}

/// Returns the records in the response of a replica stand-in.
std::vector<std::string> recordsOf(const std::string &replica) {
  std::vector<std::string> records;
  for (const char rank : {'1', '2'}) {
    std::string record = std::string(1, rank) + replica;
    record.resize(16, '.');
    records.push_back(record);
  }
  return records;
}

} // namespace

Soak::Soak(SoakOptions options) : Options(options), Random(options.Seed) {
  std::ofstream(KeyPath) << "the key of the soak's daemons\n";
  startReplicas();
  PublishedPools.emplace_back(Loop.now(), Pool);
  publish();
  const auto store = Store.listen();
  PeerPort =
      static_cast<std::uint16_t>(std::stoi(portOf(support::reserveAddress())));
  for (std::size_t i = 0; i != Options.Daemons; ++i) {
    StoreRoutes.push_back(openRoute("store", store));
    Daemon daemon;
    daemon.Ip = machineIp(i);
    daemon.Listen = daemon.Ip + ":" + portOf(support::reserveAddress());
    daemon.SettingsPath = (std::filesystem::temp_directory_path() /
                           ("galenaflow-soak-" + std::to_string(getpid()) +
                            "-" + std::to_string(i) + ".yaml"))
                              .string();
    writeSettings(daemon.SettingsPath,
                  {"front-" + std::to_string(i),
                   daemon.Ip,
                   daemon.Listen,
                   daemon.Ip + ":" + portOf(support::reserveAddress()),
                   PeerPort,
                   {machineIp(0), machineIp(1)},
                   i == ExecutorIndex ? 0.5 : 0.12,
                   56,
                   StoreRoutes.back()->address()});
    Daemons.push_back(std::move(daemon));
  }
  for (Daemon &daemon : Daemons)
    startDaemon(daemon);
}

Soak::~Soak() {
  std::filesystem::remove(KeyPath);
  for (const Daemon &daemon : Daemons)
    std::filesystem::remove(daemon.SettingsPath);
}

std::unique_ptr<ProxyRoute>
Soak::openRoute(const std::string &id, const transport::SocketAddress &target) {
  auto route = std::make_unique<ProxyRoute>(
      Loop, json{{"id", id}, {"listen", "127.0.0.1:0"}}, Options.Seed);
  route->apply(json{{"target", target.toText()}});
  if (!route->listen())
    reportViolation("cannot open a proxy route");
  return route;
}

void Soak::startReplicas() {
  struct Wanted {
    std::string Id;
    std::string Service;
    std::string DataCentre;
  };
  std::vector<Wanted> wanted;
  for (int shard = 0; shard != ShardCount; ++shard) {
    wanted.push_back({shardName(shard) + "a", shardName(shard), "z1"});
    wanted.push_back({shardName(shard) + "b", shardName(shard), "z2"});
  }
  for (const char *id : {"p0", "p1", "p2"})
    wanted.push_back({id, "pool", id[1] == '1' ? "z2" : "z1"});
  for (const char *id : {"o0", "o1"})
    wanted.push_back({id, "other", id[1] == '1' ? "z2" : "z1"});
  for (const auto &[id, service, dataCentre] : wanted) {
    Replicas.push_back(
        std::make_unique<ReplicaStandin>(Loop, id, service, dataCentre));
    ReplicaStandin &replica = *Replicas.back();
    ReplicaRoutes.push_back(openRoute(id, replica.address()));
    replica.advertise(
        *transport::parseSocketAddress(ReplicaRoutes.back()->address()));
    Store.put(replica.key(), replica.entry());
  }
}

void Soak::startDaemon(Daemon &daemon) {
  setenv("GALENAFLOW_BOOT", daemon.SettingsPath.c_str(), 1);
  // Each daemon has a proxy of its own in front of the store, so the default
  // key, which is derived from the store's address, would differ.
  setenv("GALENAFLOW_PEER_KEY", KeyPath.c_str(), 1);
  daemon.Callers.clear();
  daemon.IsStopping = false;
  daemon.Process = std::make_unique<support::Process>(
      "galenaflow-platform", std::vector<std::string>());
}

void Soak::publish() {
  json services = json::array();
  json shards = json::array();
  for (int shard = 0; shard != ShardCount; ++shard) {
    shards.push_back(shardName(shard));
    services.push_back({{"name", shardName(shard)}, {"max_conns", 26}});
  }
  services.push_back({{"name", "pool"},
                      {"max_conns", 26},
                      {"cold_start_s", ColdSeconds},
                      {"cold_per_s", ColdRate}});
  services.push_back({{"name", "other"}, {"max_conns", 26}});
  const json routes = {{{"name", "all"},
                        {"host", "h"},
                        {"prefix", "/all/"},
                        {"route_type", "safe"},
                        {"timeout_ms", 700},
                        {"target_latency_ms", 80},
                        {"fanout", shards},
                        {"max_attempts", 2},
                        {"top_k", TopK},
                        {"min_shard_ratio", MinShardRatio}},
                       {{"name", "one"},
                        {"host", "h"},
                        {"prefix", "/one/"},
                        {"route_type", "safe"},
                        {"timeout_ms", 700},
                        {"target_latency_ms", 250},
                        {"service", Pool},
                        {"max_attempts", 2}},
                       {{"name", "once"},
                        {"host", "h"},
                        {"prefix", "/once/"},
                        {"route_type", "unsafe"},
                        {"timeout_ms", 700},
                        {"target_latency_ms", 250},
                        {"service", "pool"},
                        {"max_attempts", 2}}};
  Store.put("op/config", json{{"version", RouteVersion},
                              {"routes", routes},
                              {"services", services}}
                             .dump());
}

void Soak::schedule(Duration d, std::function<void()> task) {
  Loop.schedule(d, std::move(task));
}

void Soak::reportViolation(const std::string &text) {
  Violations.push_back("seed " + std::to_string(Options.Seed) + ": " + text);
  std::cout << "event=promise_broken seed=" << Options.Seed << " what=\""
            << text << "\"" << std::endl;
}

std::vector<std::string> Soak::run() {
  Loop.runUntil([] { return false; }, 1s);
  sendCalls();
  keepCopies();
  injectLimit();
  injectColdReturn();
  startDeadly();
  startEvacuation();
  const state::TimePoint end = Loop.now() + Options.FaultTime;
  while (Loop.now() < end) {
    injectFault();
    const state::TimePoint next =
        Loop.now() + Duration(200'000 + randomBelow(700'000));
    Loop.runUntil(
        [&] {
          superviseDaemons();
          return Loop.now() >= next;
        },
        2s);
  }
  clearFaults();
  const state::TimePoint recoveryEnd = Loop.now() + Options.RecoveryTime;
  Loop.runUntil(
      [&] {
        superviseDaemons();
        return Loop.now() >= recoveryEnd;
      },
      Options.RecoveryTime + 1s);
  IsSendingCalls = false;
  for (int round = 0; round != 5; ++round)
    for (std::size_t i = 0; i != Daemons.size(); ++i)
      for (const char *path : {"/all/", "/one/", "/once/"})
        send(path, i, true);
  Loop.runUntil([] { return false; }, 2s);
  checkRuns();
  checkRoutes();
  checkLimits();
  checkLeaving();
  checkPauses();
  checkDeadly();
  checkEvacuations();
  checkCold();
  checkDelegation();
  if (!Violations.empty())
    for (const Daemon &daemon : Daemons)
      std::cout << daemon.Process->output() << std::endl;
  std::cout << "event=soak_ended seed=" << Options.Seed
            << " calls=" << Calls.size() << " answers=" << AnswerCount
            << " leave_checks=" << DrainChecks
            << " limit_checks=" << LimitChecks
            << " route_checks=" << RouteChecks
            << " leaving_checks=" << LeavingChecks
            << " pause_checks=" << PauseChecks
            << " deadly_checks=" << DeadlyChecks
            << " evacuations=" << Evacuations.size()
            << " evacuation_checks=" << EvacuationChecks
            << " cold_checks=" << ColdChecks << " broken=" << Violations.size()
            << std::endl;
  return Violations;
}

void Soak::sendCalls() {
  if (!IsSendingCalls)
    return;
  constexpr std::array<const char *, 3> paths = {"/all/", "/one/", "/once/"};
  send(paths[randomBelow(paths.size())], randomBelow(Daemons.size()), false);
  schedule(CallPeriod, [this] { sendCalls(); });
}

void Soak::send(const std::string &path, std::size_t index, bool isRecovery,
                const std::string &suffix) {
  Daemon &daemon = Daemons[index];
  transport::HttpConnection *free = nullptr;
  for (const auto &it : daemon.Callers)
    if (!it->isBusy())
      free = it.get();
  if (free == nullptr) {
    daemon.Callers.push_back(std::make_unique<transport::HttpConnection>(
        Loop, *transport::parseSocketAddress(daemon.Listen)));
    free = daemon.Callers.back().get();
  }
  auto call = std::make_unique<Call>();
  call->Id = "r" + std::to_string(Calls.size());
  call->Path = path;
  call->Daemon = index;
  call->SentAt = Loop.now();
  call->IsRecovery = isRecovery;
  transport::HttpRequest request{path == "/once/" ? "POST" : "GET",
                                 path + (suffix.empty() ? call->Id : suffix),
                                 {},
                                 ""};
  request.Host = "h";
  request.Headers.add("X-Request-Id", call->Id);
  request.Headers.add("X-Deadline-Ms", std::to_string(CallerDeadline.count()));
  Call *open = call.get();
  Calls.push_back(std::move(call));
  free->send(request, CallerDeadline, [this, open](const HttpResult &result) {
    onResult(*open, result);
  });
}

void Soak::onResult(Call &call, const HttpResult &result) {
  call.IsDone = true;
  Daemon &daemon = Daemons[call.Daemon];
  if (!result) {
    const bool isHealthy =
        !daemon.IsFaulty && daemon.HealthySince + SettleTime < call.SentAt;
    if (isHealthy || call.IsRecovery)
      reportViolation(
          "no answer to " + call.Path + call.Id +
          " from a daemon without a fault: " + result.error().Cause.Text);
    return;
  }
  call.Status = result->Status;
  if (call.IsRecovery && call.Status != 200)
    reportViolation("status " + std::to_string(call.Status) + " for " +
                    call.Path + call.Id + " after all faults were cleared");
  if (call.Status != 200)
    return;
  ++AnswerCount;
  if (call.Path == "/all/")
    checkMerged(call, *result);
  else
    checkSingle(call, *result);
}

void Soak::checkSingle(Call &call, const HttpResponse &response) {
  const auto seal = response.Headers.find("X-Response-Seal").value_or("");
  const auto dot = seal.find('.');
  if (dot == std::string_view::npos || seal.substr(dot + 1) != call.Id) {
    reportViolation("the answer to " + call.Id + " has the seal " +
                    std::string(seal));
    return;
  }
  std::string expected;
  for (const std::string &record : recordsOf(std::string(seal.substr(0, dot))))
    expected += record;
  call.Replica = seal.substr(0, dot);
  if (response.Body != expected)
    reportViolation("the answer to " + call.Id +
                    " is not the body that the replica sent");
}

void Soak::checkMerged(const Call &call, const HttpResponse &response) {
  const auto seals =
      splitList(response.Headers.find("X-Part-Seals").value_or(""));
  const std::string missing(
      response.Headers.find("X-Missing-Parts").value_or("0"));
  std::set<std::string> shards;
  std::vector<std::string> records;
  for (const std::string &seal : seals) {
    const auto dot = seal.find('.');
    if (dot == std::string::npos || seal.substr(dot + 1) != call.Id) {
      reportViolation("a part of " + call.Id + " has the seal " + seal);
      return;
    }
    const std::string replica = seal.substr(0, dot);
    shards.insert(replica.substr(0, ShardNameSize));
    for (const std::string &record : recordsOf(replica))
      records.push_back(record);
  }
  if (shards.size() != seals.size() ||
      seals.size() + std::stoul(missing) != ShardCount)
    reportViolation("parts and missing parts of " + call.Id +
                    " do not add up to all shards");
  if (static_cast<double>(seals.size()) < MinShardRatio * ShardCount)
    reportViolation("an answer below the minimum shard ratio to " + call.Id);
  std::sort(records.rbegin(), records.rend());
  std::string expected;
  for (std::size_t i = 0; i != std::min(TopK, records.size()); ++i)
    expected += records[i];
  if (response.Body != expected)
    reportViolation("wrong records in the answer to " + call.Id);
}

/// Whether the store and the daemons that may have sent the request were
/// without faults for long enough to have applied every change.
bool Soak::wasHealthy(const std::string &id, state::TimePoint at) const {
  return wasWithoutFault(StoreTarget, at) && wereSendersHealthy(id, at);
}

/// Whether the daemons that may have sent the request were without faults.
bool Soak::wereSendersHealthy(const std::string &id,
                              state::TimePoint at) const {
  const Call &call = *Calls[std::stoul(id.substr(1))];
  return wasWithoutFault(call.Daemon, at) && wasWithoutFault(ExecutorIndex, at);
}

bool Soak::wasWithoutFault(std::size_t target, state::TimePoint at) const {
  return std::none_of(
      FaultPeriods.begin(), FaultPeriods.end(), [&](const FaultPeriod &it) {
        return it.Daemon == target && it.From <= at && it.To + SettleTime >= at;
      });
}

void Soak::recordFaultPeriod(std::size_t daemon, Duration lasting) {
  FaultPeriods.push_back({daemon, Loop.now(), Loop.now() + lasting});
}

void Soak::checkRuns() {
  std::map<std::string, int> runs;
  std::map<std::string, std::string> services;
  for (const auto &replica : Replicas)
    for (const ExecutedRequest &run : replica->runs()) {
      ++runs[run.Id];
      if (run.Path.starts_with("/once/") && replica->id()[0] != 'p')
        reportViolation(run.Id + " ran at a service that is in no route");
      const bool isAfterDrain =
          !DrainingSince.empty() &&
          run.At > DrainingSince.begin()->second + MaxDrainDelay &&
          wasHealthy(run.Id, run.At);
      DrainChecks += isAfterDrain ? 1 : 0;
      if (isAfterDrain && DrainingSince.contains(replica->id()))
        reportViolation(run.Id + " reached " + replica->id() +
                        " after its drain");
    }
  for (const auto &call : Calls) {
    if (call->Path != "/once/")
      continue;
    const int n = runs[call->Id];
    if (n > 1)
      reportViolation(call->Id + " ran " + std::to_string(n) + " times");
    const bool statesNotRun = call->Status == 408 || call->Status == 421 ||
                              call->Status == 429 || call->Status == 503;
    if (statesNotRun && n != 0)
      reportViolation(call->Id +
                      " ran although its status states that it has not");
  }
}

/// Checks that requests run at the service of the routes in force, or of those
/// that were replaced so recently that they still may be.
void Soak::checkRoutes() {
  for (const auto &replica : Replicas)
    for (const ExecutedRequest &run : replica->runs()) {
      const Call &call = *Calls[std::stoul(run.Id.substr(1))];
      if (call.Path != "/one/" || !wasHealthy(run.Id, call.SentAt))
        continue;
      ++RouteChecks;
      bool isAllowed = false;
      for (std::size_t i = 0; i != PublishedPools.size(); ++i) {
        const bool isReplaced =
            i + 1 != PublishedPools.size() &&
            PublishedPools[i + 1].first + MaxRouteDelay < call.SentAt;
        if (!isReplaced && PublishedPools[i].first <= run.At)
          isAllowed |= PublishedPools[i].second[0] == replica->id()[0];
      }
      if (!isAllowed)
        reportViolation(run.Id + " ran at " + replica->id() +
                        ", which only older routes allow");
    }
}

/// Checks that replicas got no more requests than their limits allow from
/// daemons without a fault.
void Soak::checkLimits() {
  for (const auto &replica : Replicas)
    for (const LimitPeriod &limit : replica->limits()) {
      std::vector<state::TimePoint> counted;
      for (const ReceivedRequest &it : replica->received())
        if (it.At >= limit.From + SettleTime && it.At < limit.To &&
            wereSendersHealthy(it.Id, it.At))
          counted.push_back(it.At);
      LimitChecks += counted.size();
      const double seconds = std::chrono::duration<double>(LimitWindow).count();
      const double allowed =
          LimitFactor * seconds * limit.PerSecond + LimitExtra;
      std::size_t first = 0;
      for (std::size_t i = 0; i != counted.size(); ++i) {
        while (counted[i] - counted[first] >= LimitWindow)
          ++first;
        if (static_cast<double>(i + 1 - first) <= allowed)
          continue;
        reportViolation(replica->id() + " got " +
                        std::to_string(i + 1 - first) +
                        " requests in 4 s with a limit of " +
                        std::to_string(limit.PerSecond) + " a second");
        break;
      }
    }
}

/// Checks that the executor has executed delegated requests. Its counter starts
/// at zero with its process, so a non-zero value shows delegation after the
/// last restart.
void Soak::checkDelegation() {
  constexpr std::string_view counter =
      "\ngalenaflow_executed_for_others_total ";
  constexpr const char *metricsPort = ":9464";
  transport::HttpConnection connection(
      Loop,
      *transport::parseSocketAddress(Daemons[ExecutorIndex].Ip + metricsPort));
  std::optional<HttpResult> result;
  connection.send({"GET", "/metrics", {}, ""}, 2s,
                  [&](HttpResult it) { result = std::move(it); });
  Loop.runUntil([&] { return result.has_value(); }, 3s);
  const std::string text =
      result && *result ? "\n" + (*result)->Body : std::string();
  const auto at = text.find(counter);
  if (at == std::string::npos || text[at + counter.size()] == '0')
    reportViolation("no request was delegated to the executor");
}

void Soak::superviseDaemons() {
  for (Daemon &daemon : Daemons) {
    if (daemon.Process->isRunning())
      continue;
    if (!daemon.IsFaulty)
      reportViolation(
          "a daemon ended without a fault: " +
          daemon.Process->output().substr(
              daemon.Process->output().size() -
              std::min<std::size_t>(300, daemon.Process->output().size())));
    startDaemon(daemon);
    recordFaultPeriod(static_cast<std::size_t>(&daemon - Daemons.data()), 0s);
    daemon.IsFaulty = false;
    daemon.HealthySince = Loop.now();
  }
}

void Soak::injectFault() {
  switch (randomBelow(12)) {
  case 0:
    injectDaemonFault(Daemons[randomBelow(Daemons.size())]);
    break;
  case 1:
    injectStoreFault();
    break;
  case 2:
    injectDirectoryChange();
    break;
  case 3:
    injectNetworkFault();
    break;
  case 4:
    injectLimit();
    break;
  case 5:
    restoreStore();
    break;
  case 6:
    injectLeaving();
    break;
  case 7:
    injectPause();
    break;
  case 8:
    injectEvacuation();
    break;
  case 9:
    injectColdReturn();
    break;
  default:
    injectReplicaFault();
  }
}

void Soak::injectDaemonFault(Daemon &daemon) {
  if (daemon.IsFaulty)
    return;
  daemon.IsFaulty = true;
  daemon.HealthySince = Loop.now();
  // For a kill or a stop, the restart records the end of the fault.
  const auto index = static_cast<std::size_t>(&daemon - Daemons.data());
  recordFaultPeriod(index, StopGrace);
  const auto what = randomBelow(3);
  if (what == 0) {
    daemon.Process->kill();
    return;
  }
  if (what == 1) {
    daemon.IsStopping = true;
    daemon.Process->terminate();
    return;
  }
  daemon.Process->pause();
  schedule(Duration(200'000 + randomBelow(1'500'000)), [this, &daemon] {
    daemon.Process->resume();
    daemon.IsFaulty = false;
    daemon.HealthySince = Loop.now();
  });
}

void Soak::injectStoreFault() {
  StoreFaults &faults = Store.faults();
  switch (randomBelow(6)) {
  case 0:
    faults.Refuse = true;
    break;
  case 1:
    faults.Silent = true;
    break;
  case 2:
    faults.Reset = true;
    break;
  case 3:
    faults.Throttle = true;
    break;
  case 4:
    faults.DropNextResponses = 3;
    recordFaultPeriod(StoreTarget, 0s);
    return;
  default:
    Store.discardHistory();
    recordFaultPeriod(StoreTarget, 0s);
    return;
  }
  const Duration lasting(500'000 + randomBelow(3'000'000));
  recordFaultPeriod(StoreTarget, lasting);
  schedule(lasting, [&faults] { faults = {}; });
}

/// Keeps copies of the store. Heartbeats give it new revisions all the time.
void Soak::keepCopies() {
  if (!IsSendingCalls)
    return;
  Store.put("servers/heartbeat", "{}");
  StoreCopies.push_back(Store.copy());
  if (StoreCopies.size() > MaxCopies)
    StoreCopies.pop_front();
  schedule(CopyInterval, [this] { keepCopies(); });
}

/// The store is away and comes back from a copy. The operator and the replicas
/// then write again what they wrote since. The operator may publish newer
/// routes before that, so that their revision was given out before.
void Soak::restoreStore() {
  const auto copy = StoreCopies[randomBelow(StoreCopies.size())];
  const Duration away(300'000 + randomBelow(1'700'000));
  const Duration rewritten = away + Duration(randomBelow(1'200'000));
  recordFaultPeriod(StoreTarget, rewritten);
  StoreRestores.push_back(FaultPeriods.back());
  Store.faults().Silent = true;
  schedule(away, [this, copy] {
    Store.faults() = {};
    Store.restore(*copy);
    StoreCopies.clear();
    StoreCopies.push_back(Store.copy());
    if (randomBelow(2) == 0)
      changeRoutes();
  });
  schedule(rewritten, [this] { rewriteEntries(); });
}

void Soak::changeRoutes() {
  Pool = Pool == "pool" ? "other" : "pool";
  RouteVersion += 1 + static_cast<int>(randomBelow(3));
  PublishedPools.emplace_back(Loop.now(), Pool);
  publish();
}

void Soak::rewriteEntries() {
  publish();
  rewriteEvacuations();
  for (const auto &replica : Replicas)
    Store.put(replica->key(),
              replica->entry(DrainingSince.contains(replica->id()) ? "draining"
                                                                   : "ready"));
}

void Soak::injectReplicaFault() {
  ReplicaBehaviour &behaviour =
      Replicas[randomBelow(Replicas.size())]->behaviour();
  switch (randomBelow(6)) {
  case 0:
    behaviour.Reject = true;
    break;
  case 1:
    behaviour.Silent = true;
    break;
  case 2:
    behaviour.ResetConnection = true;
    break;
  case 3:
    behaviour.Truncate = true;
    break;
  case 4:
    behaviour.FailStatus = 500;
    break;
  default:
    behaviour.ServiceTime = 120ms;
  }
  schedule(Duration(300'000 + randomBelow(2'000'000)),
           [&behaviour] { behaviour = {}; });
}

/// All replicas of a service limit their requests, or end their limits.
void Soak::injectLimit() {
  constexpr std::array<double, 3> limits = {1, 2.5, 6};
  const std::size_t first = randomBelow(Replicas.size());
  const double limit = limits[randomBelow(limits.size())];
  const std::string service =
      Replicas[first]->id().substr(0, Replicas[first]->id().size() - 1);
  for (const auto &replica : Replicas) {
    if (!replica->id().starts_with(service))
      continue;
    replica->startLimit(limit);
    schedule(Duration(6'000'000 + randomBelow(8'000'000)),
             [it = replica.get()] { it->endLimit(); });
  }
}

void Soak::injectNetworkFault() {
  const bool isStore = randomBelow(4) == 0;
  const std::size_t index =
      randomBelow(isStore ? StoreRoutes.size() : ReplicaRoutes.size());
  ProxyRoute &route = isStore ? *StoreRoutes[index] : *ReplicaRoutes[index];
  const Duration lasting(300'000 + randomBelow(2'000'000));
  if (isStore)
    recordFaultPeriod(index, lasting);
  else
    NetworkFaults.insert(Replicas[index]->id());
  switch (randomBelow(5)) {
  case 0:
    route.apply({{"up", {{"delay_ms", 60}}}});
    break;
  case 1:
    route.apply({{"reset_existing", true}});
    return;
  case 2:
    route.apply({{"silence_existing", "both"}});
    return;
  case 3:
    route.apply({{"down", {{"drop", true}}}});
    break;
  default:
    route.setPartitioned(true);
  }
  schedule(lasting, [&route] {
    route.setPartitioned(false);
    route.apply({{"up", {{"delay_ms", 0}}}, {"down", {{"drop", false}}}});
    // Bytes were lost, so the open connections are of no further use.
    route.apply({{"reset_existing", true}});
  });
}

void Soak::injectDirectoryChange() {
  if (randomBelow(2) == 0) {
    changeRoutes();
    return;
  }
  // Only one replica of one shard is drained, and it does not come back.
  ReplicaStandin &replica = *Replicas[2 * randomBelow(ShardCount)];
  if (!DrainingSince.empty())
    return;
  Store.put(replica.key(), replica.entry("draining"));
  DrainingSince[replica.id()] = Loop.now();
}

void Soak::clearFaults() {
  Store.faults() = {};
  for (const EvacuationPeriod &it : std::vector(Evacuations))
    endEvacuation(it.DataCentre);
  for (const auto &replica : Replicas) {
    replica->behaviour() = {};
    replica->endLimit();
  }
  for (const auto &routes : {&ReplicaRoutes, &StoreRoutes})
    for (const auto &route : *routes) {
      route->setPartitioned(false);
      route->apply({{"up", {{"delay_ms", 0}}},
                    {"down", {{"drop", false}}},
                    {"reset_existing", true}});
    }
  for (Daemon &daemon : Daemons)
    daemon.Process->resume();
}

} // namespace galenaflow::standin
