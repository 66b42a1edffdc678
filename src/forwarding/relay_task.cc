#include "forwarding/relay_task.h"

#include "state/log.h"

#include <algorithm>
#include <utility>

// A relay holds a request until it has read the directory itself (a long poll),
// so that replies are fresh and requests need no timer of their own. Every
// failure of a relay leads to a read at the source in the same iteration of the
// event loop, so no limit depends on another daemon.
//
// A relay's reply is used only if its position is not older than the one known
// to this daemon: a relay that lags behind must not undo newer changes. Any
// revision of a restored source is newer than those of its earlier history.
//
// A host or a link that is slower than the limits must not stop the changes for
// good. A reply that arrives after its limit is therefore used while no other
// read has succeeded, and then its age is counted from the request, since the
// time on its way is not known. Such a reply fits the view, because the view
// changes only with a successful read.
//
// A read at the source discards the position in the log of the relay, so that
// the next relay replies at once with its whole view instead of holding the
// request until it has read again.
//
// The replies to the requests of other daemons are in relay_replies.cc.

namespace galenaflow::forwarding {

using protocol::DirectoryMessageType;
using protocol::DirectoryReply;
using protocol::DirectoryRequest;
using state::Duration;
using transport::PeerIdentity;

namespace {

constexpr Duration TickInterval = std::chrono::milliseconds(100);

} // namespace

RelayTask::RelayTask(transport::EventLoop &loop, DirectorySource &source,
                     RelayTaskOptions options, state::MetricRegistry &metrics)
    : Loop(loop), Source(source), Options(std::move(options)),
      Network(
          loop, Options.Network,
          {[this](const PeerIdentity &peer) { onLinkUp(peer); },
           [this](const PeerIdentity &peer, transport::LinkCloseReason reason) {
             onLinkLost(peer, reason);
           },
           [this](const PeerIdentity &peer, std::uint16_t type,
                  std::string_view payload) {
             onMessage(peer, type, payload);
           }}),
      Selector(Options.Selector, Options.Network.Session.Self.Address),
      Log(Options.Network.Seed | 1),
      Fleet({Options.Network.Session.Self.Address,
             Options.Network.Session.Self.DataCentre, Options.Millicores}),
      StartedAt(loop.now()),
      RelayReads(metrics.counter("galenaflow_relay_reads_total",
                                 "Reads of the directory at other daemons")),
      SourceReads(metrics.counter("galenaflow_source_reads_total",
                                  "Reads of the directory at its source")),
      PeersRefused(metrics.counter("galenaflow_peers_refused_total",
                                   "Handshakes with a different key or "
                                   "version")) {
  Source.onLateAnswer([this] { useLateAnswer(); });
  tick();
}

RelayTask::~RelayTask() {
  Source.onLateAnswer(nullptr);
  Loop.cancel(HeldReplyTimer);
  Loop.cancel(Timer);
  if (Pending)
    Loop.cancel(Pending->Timer);
}

state::Result<transport::SocketAddress>
RelayTask::listen(transport::SocketAddress address) {
  return Network.listen(address);
}

void RelayTask::setRelays(const std::vector<std::string> &addresses) {
  Selector.setRelays(addresses);
  updateLinkTargets();
}

void RelayTask::setExtraLinks(const std::vector<std::string> &addresses) {
  if (addresses == ExtraLinks)
    return;
  ExtraLinks = addresses;
  updateLinkTargets();
}

void RelayTask::updateLinkTargets() {
  std::vector<std::string> targets = Selector.preferred();
  for (const std::string &address : ExtraLinks)
    if (std::find(targets.begin(), targets.end(), address) == targets.end())
      targets.push_back(address);
  Network.setTargets(targets);
}

state::RouteTablePtr RelayTask::decodeRoutes(std::string_view document) const {
  return Source.decodeRoutes(document);
}

void RelayTask::readAll(DirectoryCallback callback) {
  RelayLogId = 0;
  read(std::nullopt, std::move(callback));
}

void RelayTask::readChanges(const state::DirectoryPosition &after,
                            DirectoryCallback callback) {
  read(after, std::move(callback));
}

void RelayTask::readRoutes(DirectoryCallback callback) {
  SourceReads.add();
  Source.readRoutes(std::move(callback));
}

// A relay reads at the source itself. While the source refuses it, the daemons
// that read there know the changes, since they then read at the source too.
std::optional<std::string> RelayTask::chooseRelay() const {
  const auto isLinked = [this](const std::string &address) {
    return findLink(address).has_value();
  };
  if (auto relay = Selector.choose(isLinked, Loop.now()))
    return relay;
  return chooseFallback();
}

std::optional<std::string> RelayTask::chooseFallback() const {
  if (SourceFailedAt + Options.FallbackTime <= Loop.now())
    return std::nullopt;
  std::vector<std::string> linked;
  for (const PeerIdentity &peer : Network.connected())
    linked.push_back(peer.Address);
  return Selector.chooseFallback(std::move(linked), Loop.now());
}

void RelayTask::read(const std::optional<state::DirectoryPosition> &after,
                     DirectoryCallback callback) {
  // A daemon without a view reads at the source first, and at a relay when that
  // has failed: after a stop of the whole fleet, no relay has a view either.
  const bool isFirst =
      View.Table == nullptr && !std::exchange(HasStartedRead, true);
  if (HeldReply && HeldReply->Request.After == after) {
    OpenSourceRead = SourceRead{++LastSourceRead, after, std::move(callback)};
    HeldReplyTimer = Loop.schedule(Duration(0), [this] {
      if (const auto held = std::exchange(HeldReply, std::nullopt))
        useLateReply(held->Request, held->Reply);
    });
    return;
  }
  HeldReply.reset();
  const auto relay = chooseRelay();
  if (!relay || isFirst || Source.hasAnswer(after)) {
    readSource(after, std::move(callback));
    return;
  }
  Pending = PendingRead{0, *relay, after, std::move(callback), 0};
  if (sendPendingRead())
    return;
  if (Loop.now() - StartedAt < Options.LinkSetupGrace) {
    // The links are being set up; the reader soon starts the next read.
    Loop.post([callback = std::move(Pending->Callback)] {
      callback(tl::unexpected(DirectoryFault{DirectoryFaultKind::Failed,
                                             "no link to a relay yet"}));
    });
    Pending.reset();
    return;
  }
  failPendingRead("no link");
}

bool RelayTask::sendPendingRead() {
  Pending->Sequence = ++LastSequence;
  if (!sendRequest(Pending->Relay))
    return false;
  Pending->SentAt = Loop.now();
  Pending->Timer =
      Loop.schedule(Options.ReplyTimeout, [this] { onReplyMissing(); });
  return true;
}

// After a stop of the whole fleet, the relays may start last. The other daemons
// learn the fleet and its executors only from them, so they do not wait for the
// next read.
void RelayTask::onLinkUp(const PeerIdentity &peer) {
  for (PeerListener *it : Listeners)
    it->onLinkUp(peer);
  Selector.onLinkUp(peer.Address);
  const auto &relays = Selector.preferred();
  const bool isRelay =
      std::find(relays.begin(), relays.end(), peer.Address) != relays.end();
  if (isRelay && !IsReadingFromRelay && RelayAvailableCallback)
    Loop.post(RelayAvailableCallback);
}

void RelayTask::onLinkLost(const PeerIdentity &peer,
                           transport::LinkCloseReason reason) {
  state::log::info("peer_lost",
                   {{"peer", peer.VmId}, {"reason", linkCloseName(reason)}});
  for (PeerListener *it : Listeners)
    it->onLinkLost(peer);
  if (!Pending || Pending->Relay != peer.Address)
    return;
  // Posted, because the link can close while a request is written to it.
  Loop.post([this, sequence = Pending->Sequence] {
    if (Pending && Pending->Sequence == sequence)
      failPendingRead("link lost");
  });
}

bool RelayTask::sendRequest(const std::string &relay) {
  DirectoryRequest request;
  request.Sequence = Pending->Sequence;
  request.Log = RelayLogId;
  request.Index = RelayLogIndex;
  request.RouteVersion = View.Table ? View.Table->version() : 0;
  request.Fleet = Fleet.subtreeReport(Loop.now());
  // The relay's versions are those of its log.
  if (RelayLogId == 0) {
    RelayLimitsVersion = 0;
    Limits.resetUpstream();
  }
  request.LimitsVersion = RelayLimitsVersion;
  request.Limits = Limits.unreported(Loop.now());
  const auto peer = findLink(relay);
  return peer &&
         Network.send(*peer,
                      static_cast<std::uint16_t>(DirectoryMessageType::Request),
                      protocol::encodeDirectoryRequest(request));
}

std::optional<PeerIdentity>
RelayTask::findLink(const std::string &address) const {
  for (const PeerIdentity &peer : Network.connected())
    if (peer.Address == address)
      return peer;
  return std::nullopt;
}

void RelayTask::onReplyMissing() {
  if (LateRequests.size() == MaxLateRequests)
    LateRequests.erase(LateRequests.begin());
  LateRequests.push_back(
      {Pending->Sequence, Pending->Relay, Pending->After, Pending->SentAt});
  failPendingRead("no answer in time");
}

void RelayTask::forgetLateReplies() {
  LateRequests.clear();
  HeldReply.reset();
}

void RelayTask::failPendingRead(const char *reason) {
  Loop.cancel(Pending->Timer);
  if (!std::exchange(IsLossLogged, true))
    state::log::info("relay_lost",
                     {{"relay", Pending->Relay}, {"reason", reason}});
  Selector.onFailure(Pending->Relay, Loop.now());
  if (++Pending->FailedRelays <= Options.MaxFallbacks) {
    if (auto fallback = chooseFallback()) {
      Pending->Relay = std::move(*fallback);
      if (sendPendingRead())
        return;
    }
  }
  PendingRead read = std::move(*Pending);
  Pending.reset();
  readSource(read.After, std::move(read.Callback));
}

// An answer of the source to a read that had failed has arrived.
void RelayTask::useLateAnswer() {
  if (!Pending) {
    if (RelayAvailableCallback)
      RelayAvailableCallback();
    return;
  }
  if (!Source.hasAnswer(Pending->After))
    return;
  Loop.cancel(Pending->Timer);
  PendingRead read = std::move(*Pending);
  Pending.reset();
  readSource(read.After, std::move(read.Callback));
}

void RelayTask::readSource(const std::optional<state::DirectoryPosition> &after,
                           DirectoryCallback callback) {
  SourceReads.add();
  IsReadingFromRelay = false;
  RelayLogId = 0;
  UpstreamDaemons = 0;
  OpenSourceRead = SourceRead{++LastSourceRead, after, std::move(callback)};
  const auto record = [this, number = LastSourceRead](DirectoryResult result) {
    onSourceResult(number, std::move(result));
  };
  if (after)
    Source.readChanges(*after, record);
  else
    Source.readAll(record);
}

void RelayTask::onSourceResult(std::uint64_t number, DirectoryResult result) {
  // A late reply of a relay may have ended the read.
  if (!OpenSourceRead || OpenSourceRead->Number != number)
    return;
  const bool hasFailed =
      !result && result.error().Kind == DirectoryFaultKind::Failed;
  SourceFailedAt = hasFailed ? Loop.now() : state::TimePoint::min();
  if (result) {
    ViewPath.clear();
    forgetLateReplies();
  }
  const DirectoryCallback callback = std::move(OpenSourceRead->Callback);
  OpenSourceRead.reset();
  callback(std::move(result));
}

void RelayTask::onMessage(const PeerIdentity &peer, std::uint16_t type,
                          std::string_view payload) {
  if (type == static_cast<std::uint16_t>(DirectoryMessageType::Request)) {
    if (const auto request = protocol::decodeDirectoryRequest(payload)) {
      onRequest(peer, *request);
      return;
    }
  } else if (type == static_cast<std::uint16_t>(DirectoryMessageType::Reply)) {
    if (auto reply = protocol::decodeDirectoryReply(payload)) {
      onReply(peer, std::move(*reply));
      return;
    }
  } else if (type == static_cast<std::uint16_t>(DirectoryMessageType::Routes)) {
    if (const auto routes = protocol::decodeDirectoryRoutes(payload)) {
      onRoutes(*routes);
      return;
    }
  } else if (std::any_of(Listeners.begin(), Listeners.end(),
                         [&](PeerListener *it) {
                           return it->onMessage(peer, type, payload);
                         })) {
    return;
  }
  state::log::warning("peer_message_malformed",
                      {{"peer", peer.VmId}, {"type", type}});
}

// A daemon with a different key or version never gets a link, so onLinkLost()
// does not report it.
void RelayTask::logRefusedPeers() {
  using transport::LinkCloseReason;
  for (const LinkCloseReason reason :
       {LinkCloseReason::NoCommonKey, LinkCloseReason::BadProof,
        LinkCloseReason::VersionMismatch}) {
    const std::uint64_t n = Network.closeCount(reason);
    const std::uint64_t before = std::exchange(RefusedPeers[reason], n);
    PeersRefused.add(n - before);
    if (n != before)
      state::log::warning("peer_refused",
                          {{"reason", linkCloseName(reason)}, {"times", n}});
  }
}

void RelayTask::tick() {
  logRefusedPeers();
  // A reply with a stale view makes the requesting daemons read at the source
  // before their own views are too old.
  if (View.Table != nullptr && isViewStale())
    sendAllReplies();
  while (!WaitingRequests.empty() &&
         Loop.now() - WaitingRequests.front().ArrivedAt >=
             Options.MaxReplyDelay) {
    const WaitingRequest waiting = std::move(WaitingRequests.front());
    WaitingRequests.pop_front();
    sendReply(waiting);
  }
  Timer = Loop.schedule(TickInterval, [this] { tick(); });
}

void RelayTask::logOlderRoutes(const std::string &relay,
                               const DirectoryReply &reply) {
  const std::uint64_t version = View.Table ? View.Table->version() : 0;
  const bool isOlder = reply.RouteVersion != 0 && reply.RouteVersion < version;
  if (isOlder && !IsOlderLogged)
    state::log::warning("relay_routes_older", {{"relay", relay},
                                               {"version", reply.RouteVersion},
                                               {"known", version}});
  IsOlderLogged = isOlder;
}

/// Returns why a reply to a read after this position cannot be used, or null.
const char *RelayTask::findFault(
    const DirectoryReply &reply,
    const std::optional<state::DirectoryPosition> &after) const {
  if (!reply.HasContent || reply.Age >= Options.MaxAge)
    return "its view is old";
  const std::string &self = Options.Network.Session.Self.Address;
  if (std::find(reply.Path.begin(), reply.Path.end(), self) != reply.Path.end())
    return "its view came from here";
  // A read of everything after a lost history must not go back either.
  if (reply.Position < after.value_or(View.Position))
    return "its view is behind";
  // Of a daemon of an older version. What it passes on would be used in data
  // centres whose evacuation it does not know.
  if (!reply.Evacuations)
    return "it states no evacuations";
  return nullptr;
}

/// Returns false when the routes of the reply are malformed. Without routes,
/// `table` stays null.
bool RelayTask::decodeReplyRoutes(const DirectoryReply &reply,
                                  state::RouteTablePtr &table) const {
  if (!reply.Routes.empty())
    table = Source.decodeRoutes(reply.Routes);
  return reply.Routes.empty() || table != nullptr;
}

void RelayTask::onReply(const PeerIdentity &peer, DirectoryReply reply) {
  const bool isPending = Pending && Pending->Sequence == reply.Sequence;
  const auto late = std::find_if(
      LateRequests.begin(), LateRequests.end(),
      [&](const auto &it) { return it.Sequence == reply.Sequence; });
  if (!isPending && late == LateRequests.end())
    return;
  logOlderRoutes(isPending ? Pending->Relay : late->Relay, reply);
  if (RouteVersionCallback)
    RouteVersionCallback(reply.RouteVersion);
  if (reply.WantsRoutes && View.Table)
    Network.send(peer, static_cast<std::uint16_t>(DirectoryMessageType::Routes),
                 protocol::encodeDirectoryRoutes({std::string(View.Document)}));
  if (!isPending) {
    const LateRequest request = std::move(*late);
    LateRequests.erase(late);
    useLateReply(request, std::move(reply));
    return;
  }
  if (const char *fault = findFault(reply, Pending->After)) {
    failPendingRead(fault);
    return;
  }
  state::RouteTablePtr table;
  if (!decodeReplyRoutes(reply, table)) {
    failPendingRead("its routes are malformed");
    return;
  }
  const PendingRead read = std::move(*Pending);
  Pending.reset();
  Loop.cancel(read.Timer);
  useReply(read.Relay, std::move(reply), std::move(table), read.Callback);
}

void RelayTask::useLateReply(const LateRequest &request, DirectoryReply reply) {
  state::RouteTablePtr table;
  if (findFault(reply, request.After) != nullptr ||
      !decodeReplyRoutes(reply, table))
    return;
  DirectoryCallback callback;
  if (Pending && Pending->After == request.After) {
    Loop.cancel(Pending->Timer);
    callback = std::move(Pending->Callback);
    Pending.reset();
  } else if (OpenSourceRead && OpenSourceRead->After == request.After) {
    callback = std::move(OpenSourceRead->Callback);
    OpenSourceRead.reset();
  } else if (!Pending && !OpenSourceRead) {
    HeldReply = LateReply{request, std::move(reply)};
    if (RelayAvailableCallback)
      RelayAvailableCallback();
    return;
  } else {
    return;
  }
  reply.Age += Loop.now() - request.SentAt;
  useReply(request.Relay, std::move(reply), std::move(table), callback);
}

/// Returns what the reply changes in this daemon's view, or all evacuations
/// when it is full.
std::vector<state::EvacuationChange>
RelayTask::evacuationChanges(const DirectoryReply &reply) const {
  const state::EvacuatedDataCentres none;
  const bool isCompared = !reply.IsFull && View.Evacuations != nullptr;
  const state::EvacuatedDataCentres &known =
      isCompared ? *View.Evacuations : none;
  const state::EvacuatedDataCentres &stated =
      reply.Evacuations ? *reply.Evacuations : known;
  std::vector<state::EvacuationChange> changes;
  for (const std::string &name : stated)
    if (!known.contains(name))
      changes.push_back({name, true});
  for (const std::string &name : known)
    if (!stated.contains(name))
      changes.push_back({name, false});
  return changes;
}

void RelayTask::useReply(const std::string &relay, DirectoryReply reply,
                         state::RouteTablePtr table,
                         const DirectoryCallback &callback) {
  DirectoryContent content;
  content.Table = std::move(table);
  content.Document = std::move(reply.Routes);
  RelayReads.add();
  if (!IsReadingFromRelay)
    state::log::info("relay_in_use",
                     {{"relay", relay}, {"revision", reply.Position.Revision}});
  IsReadingFromRelay = true;
  IsLossLogged = false;
  if (RelayLogId != reply.Log)
    Limits.resetUpstream();
  RelayLogId = reply.Log;
  RelayLogIndex = reply.Index;
  RelayLimitsVersion = reply.LimitsVersion;
  UpstreamDaemons = reply.Daemons;
  recordDaemonCount(reply.Daemons);
  ReportedExecutors = std::move(reply.Executors);
  Executors.update(ReportedExecutors, Loop.now());
  ViewPath = std::move(reply.Path);
  content.Changes = std::move(reply.Changes);
  content.Position = reply.Position;
  content.IsFull = reply.IsFull;
  content.Evacuations = evacuationChanges(reply);
  content.Age = reply.Age;
  content.IsLongPoll = true;
  forgetLateReplies();
  callback(std::move(content));
  // After the replicas of the reply are known.
  Limits.mergeUpstream(reply.Limits, Loop.now());
}

void RelayTask::recordDaemonCount(std::uint32_t n) {
  const state::TimePoint now = Loop.now();
  while (!DaemonCounts.empty() &&
         DaemonCounts.front().first + Options.CountWindow < now)
    DaemonCounts.pop_front();
  while (!DaemonCounts.empty() && DaemonCounts.back().second <= n)
    DaemonCounts.pop_back();
  DaemonCounts.emplace_back(now, n);
}

std::uint32_t RelayTask::daemonCount() const {
  // A count of one does not show whether the daemon is alone or cut off.
  const std::uint32_t max =
      DaemonCounts.empty() ? 0 : DaemonCounts.front().second;
  return max > 1 ? max : 0;
}

} // namespace galenaflow::forwarding
