#include "daemon/daemon.h"

#include "coordination/drain.h"
#include "daemon/admission_task.h"
#include "daemon/backend_task.h"
#include "daemon/caller_service.h"
#include "daemon/fleet_task.h"
#include "daemon/operator_service.h"
#include "daemon/published_lists.h"
#include "daemon/record_task.h"
#include "daemon/share_task.h"
#include "daemon/tracer.h"
#include "daemon/write_task.h"
#include "state/log.h"
#include "transport/http_server.h"
#include "transport/trace_exporter.h"

#include <algorithm>
#include <fstream>
#include <iterator>
#include <random>
#include <sys/resource.h>

// The daemon serves callers once valid lists have been applied and the other
// daemons have agreed to its share. Until then its health check fails, so that
// the balancer sends it no requests, and a request that arrives anyway is
// refused as not run.
//
// A graceful stop follows coordination::Drain: the health check fails first,
// and requests are still served until the balancer has reacted. Then leases and
// grants are handed over, and the process ends when the last request has been
// answered.

namespace galenaflow::daemon {

using std::chrono::milliseconds;

namespace {

/// The longest deadline that a plan may allow.
constexpr state::Duration MaxDeadline = milliseconds(protocol::MaxDeadlineMs);

/// How long a starting daemon waits for load reports from every service.
constexpr state::Duration SnapshotTimeout = std::chrono::seconds(3);

constexpr double OneHundredPercent = 100;

std::vector<std::string> readKeys(const Options &options) {
  std::vector<std::string> keys;
  for (const std::string &path : {options.PeerKey, options.PeerKeyOther}) {
    std::ifstream file(path, std::ios::binary);
    if (!path.empty() && file)
      keys.emplace_back(std::istreambuf_iterator<char>(file),
                        std::istreambuf_iterator<char>());
  }
  return keys;
}

coordination::ListedVm ownVm(const Options &options) {
  return {{options.VmId, options.VmInstance},
          options.peerAddress(),
          options.DataCentre,
          false};
}

FleetTaskOptions fleetOptions(const Options &options, std::uint64_t seed) {
  FleetTaskOptions result;
  result.Self = ownVm(options);
  result.SeedPeers = options.SeedPeers;
  const auto platform = transport::parseSocketAddress(options.Platform);
  if (platform)
    result.Platform = *platform;
  result.PeerKeys = readKeys(options);
  result.Membership.ProbePeriod = milliseconds(options.ProbePeriodMs);
  result.Membership.SuspicionTimeout = milliseconds(options.SuspicionMs);
  result.Config.StartupWindow = milliseconds(options.StartWindowMs);
  result.Heartbeat = milliseconds(options.HeartbeatMs);
  result.LinkReceiveTimeout = milliseconds(options.LinkSilenceMs);
  result.Seed = seed;
  return result;
}

/// The descriptors that this process may have.
std::size_t descriptorLimit() {
  rlimit limit{};
  return getrlimit(RLIMIT_NOFILE, &limit) == 0 &&
                 limit.rlim_cur != RLIM_INFINITY
             ? limit.rlim_cur
             : SIZE_MAX / 2;
}

BackendTaskOptions backendOptions(const Options &options, std::uint64_t seed) {
  BackendTaskOptions result;
  result.PollInterval = milliseconds(options.PollIntervalMs);
  result.MaxConnections =
      transport::ClientMemory::maxBackendConnections(descriptorLimit());
  result.Hedging.Quantile = options.HedgeQuantile;
  result.Outliers.ConsecutiveFailures = options.EjectAfterFailures;
  result.Pool.IdleProbeAge = milliseconds(options.IdleProbeMs);
  result.Hedging.Budget.Ratio = options.HedgePercent / OneHundredPercent;
  result.RetryBudget.Ratio = options.RetryPercent / OneHundredPercent;
  result.RoundRobin = options.ReplicaPolicy == "round_robin";
  result.Seed = seed;
  return result;
}

coordination::ShareLedgerOptions shareOptions(const Options &options) {
  coordination::ShareLedgerOptions result;
  result.LeaseTime = milliseconds(options.LeaseMs);
  result.LenderMargin = milliseconds(options.LeaseMarginMs);
  result.RemovalGrace = milliseconds(options.ShareHoldMs);
  return result;
}

coordination::WriteRegistryOptions writeOptions(const Options &options) {
  coordination::WriteRegistryOptions result;
  result.ClockSkew = milliseconds(options.ClockSkewMs);
  result.RemovalGrace = milliseconds(options.ShareHoldMs);
  return result;
}

transport::TraceExporterOptions exporterOptions(const Options &options) {
  transport::TraceExporterOptions result;
  const auto collector = transport::parseSocketAddress(options.TraceEndpoint);
  if (collector)
    result.Collector = *collector;
  result.File = options.TraceFile;
  result.BufferSpans = options.TraceBufferSpans;
  return result;
}

transport::HttpServerOptions callerServerOptions(const Options &options) {
  transport::HttpServerOptions result;
  result.MaxBodyBytes = options.MaxBodyBytes;
  result.MaxConnections = std::min<std::size_t>(
      options.MaxConnections,
      transport::ClientMemory::maxConnections(descriptorLimit()));
  result.RequestTimeout = milliseconds(options.IdleTimeoutMs);
  result.CertificateFile = options.TlsCertificate;
  result.KeyFile = options.TlsKey;
  return result;
}

/// The operator listener serves a few checkers and operators. Its connections
/// come out of the descriptors that are left for replicas and peers.
constexpr std::size_t MaxOperatorConnections = 64;

transport::HttpServerOptions operatorServerOptions() {
  transport::HttpServerOptions result;
  result.MaxConnections = MaxOperatorConnections;
  return result;
}

} // namespace

struct Daemon::Impl {
  Impl(transport::EventLoop &loop, const Options &options, std::uint64_t seed);

  void onTick(state::TimePoint now);
  void updateReadiness();
  void updateLeaving();
  void executeActions(const coordination::DrainActions &actions);
  void tickDrain();
  DaemonPhase phase() const;

  transport::EventLoop &Loop;
  const Options Settings;
  const std::string DaemonId;
  state::MetricRegistry Metrics;
  PublishedLists Lists;
  FleetTask Fleet;
  BackendTask Backends;
  AdmissionTask Admission;
  ShareTask Shares;
  WriteTask Writes;
  RecordTask Records;
  transport::TraceExporter Exporter;
  Tracer RequestTracer;
  CallerService Callers;
  OperatorService Operator;
  transport::HttpServer CallerServer;
  transport::HttpServer OperatorServer;
  coordination::Drain Draining;
  state::TimePoint EntitledAt{}; ///< zero until Shares.isEntitled()
  bool HasLists = false;
  bool IsReady = false;
  bool IsListenerClosed = false;
};

Daemon::Impl::Impl(transport::EventLoop &loop, const Options &options,
                   std::uint64_t seed)
    : Loop(loop), Settings(options),
      DaemonId(options.VmId + "/" + options.VmInstance),
      Fleet(loop, fleetOptions(options, seed), Lists, Metrics),
      Backends(loop, backendOptions(options, seed + 1)),
      Admission(loop, {options.MaxQueuedQueries, options.MaxInFlightQueries,
                       options.UrgentSharePercent / OneHundredPercent}),
      Shares(loop, Fleet, Lists, Admission, Backends, ownVm(options).Id,
             shareOptions(options)),
      Writes(loop, Fleet, Lists, Backends, ownVm(options).Id,
             writeOptions(options), seed + 2),
      Records(loop, Fleet, ownVm(options), options.RecordMemoryBytes),
      Exporter(loop, exporterOptions(options),
               {options.VmId, options.DataCentre}),
      RequestTracer(
          loop, options.TraceSampleRate, seed + 4,
          [this](protocol::Span span) { Exporter.add(std::move(span)); }),
      Callers(loop, {DaemonId, options.MaxAnswerBytes, seed + 3}, Lists,
              Backends, Admission, Writes, RequestTracer, Metrics,
              [this](state::RequestRecord record) {
                Records.add(std::move(record));
              }),
      Operator(loop, {DaemonId, options.DataCentre, [this] { return phase(); },
                      [this] { return Callers.openRequests(); }, Lists,
                      Backends, Fleet, Shares, Records, Metrics}),
      CallerServer(
          loop, callerServerOptions(options),
          [this](const transport::HttpRequest &request, auto responder) {
            Callers.handle(request, std::move(responder));
          }),
      OperatorServer(
          loop, operatorServerOptions(),
          [this](const transport::HttpRequest &request, const auto &responder) {
            Operator.handle(request, responder);
          }),
      Draining(loop, {milliseconds(options.BalancerLagMs), MaxDeadline,
                      milliseconds(500)}) {
  loop.clientMemory().setLimit(options.clientMemoryBytes());
  Lists.onChange([this](std::string_view key) {
    if (key == protocol::ServicesKey)
      Backends.setTopology(Lists.topology());
    updateLeaving();
  });
  Fleet.onReady([this] { HasLists = true; });
  Fleet.onPause([this] { Shares.onPause(); });
  Fleet.onTick([this](state::TimePoint now) { onTick(now); });
}

void Daemon::Impl::onTick(state::TimePoint now) {
  Shares.tick(now);
  Writes.tick();
  Records.tick();
  updateReadiness();
  tickDrain();
}

void Daemon::Impl::updateReadiness() {
  if (IsReady || !HasLists || !Lists.isComplete() || !Shares.isEntitled())
    return;
  // The first load reports arrive with a delay. A service whose backend servers
  // are all down must not keep the other services from being served, so the
  // wait has a timeout.
  const state::TimePoint now = Loop.now();
  if (EntitledAt == state::TimePoint())
    EntitledAt = now;
  if (!Backends.hasSnapshots() && now - EntitledAt < SnapshotTimeout)
    return;
  IsReady = true;
  Callers.setReady(true);
  state::log::info("serving", {{"daemon", DaemonId}});
}

void Daemon::Impl::updateLeaving() {
  for (const protocol::Vm &vm : Lists.vms()->Vms)
    if (vm.Role == protocol::VmRole::Backend)
      Backends.setLeaving(vm.Address, vm.State == protocol::VmState::Leaving);
}

void Daemon::Impl::executeActions(const coordination::DrainActions &actions) {
  if (actions.FailHealth)
    state::log::info("draining", {{"daemon", DaemonId}});
  if (actions.HandOverLeases)
    Shares.stopBorrowing();
  if (actions.HandOverGrants)
    Writes.retire();
  if (actions.CopyRecords)
    Records.tick();
  if (actions.Exit) {
    state::log::info("stopped", {{"daemon", DaemonId},
                                 {"cut_short", Draining.isTimedOut()}});
    Fleet.leave();
    // The loop runs for a short time longer, so that the last messages are
    // sent.
    Loop.schedule(milliseconds(100), [this] { Loop.stop(); });
  }
}

void Daemon::Impl::tickDrain() {
  using coordination::DrainPhase;
  if (Draining.phase() == DrainPhase::Serving ||
      Draining.phase() == DrainPhase::Done)
    return;
  const bool alone = Fleet.membership().liveMembers().size() <= 1;
  executeActions(Draining.tick({Callers.openRequests(), true,
                                alone || Writes.isHandedOver(),
                                alone || Records.isFlushed()}));
  const bool isLagOver = Draining.phase() != DrainPhase::BalancerLag;
  if (isLagOver && !IsListenerClosed) {
    IsListenerClosed = true;
    CallerServer.drain();
  }
}

DaemonPhase Daemon::Impl::phase() const {
  if (!Draining.isHealthy())
    return DaemonPhase::Draining;
  return IsReady ? DaemonPhase::Serving : DaemonPhase::Starting;
}

Daemon::Daemon(transport::EventLoop &loop, const Options &options)
    : Self(std::make_unique<Impl>(loop, options, std::random_device{}())) {}

Daemon::~Daemon() = default;

state::Result<DaemonAddresses> Daemon::start() {
  const Options &options = Self->Settings;
  DaemonAddresses result;
  struct Listener {
    const std::string &Text;
    transport::SocketAddress &Bound;
    std::function<state::Result<transport::SocketAddress>(
        const transport::SocketAddress &)>
        Listen;
  };
  const std::vector<Listener> listeners = {
      {options.PeerListen, result.Peers,
       [this](const auto &address) { return Self->Fleet.start(address); }},
      {options.OperatorListen, result.Operator,
       [this](const auto &address) {
         return Self->OperatorServer.listen(address);
       }},
      {options.Listen, result.Callers, [this](const auto &address) {
         return Self->CallerServer.listen(address);
       }}};
  if (const auto opened = Self->Exporter.open(); !opened)
    return tl::unexpected(opened.error());
  for (const Listener &listener : listeners) {
    const auto address = transport::parseSocketAddress(listener.Text);
    if (!address)
      return tl::unexpected(address.error());
    const auto bound = listener.Listen(*address);
    if (!bound)
      return tl::unexpected(bound.error());
    listener.Bound = *bound;
  }
  return result;
}

void Daemon::stop() { Self->executeActions(Self->Draining.requestStop()); }

void Daemon::reloadCertificate() {
  const auto reloaded = Self->CallerServer.reloadCertificate();
  if (!reloaded)
    state::log::error("certificate_not_reloaded",
                      {{"reason", reloaded.error().Text}});
  else if (*reloaded)
    state::log::info("certificate_reloaded");
}

} // namespace galenaflow::daemon
