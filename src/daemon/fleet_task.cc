#include "daemon/fleet_task.h"

#include "state/log.h"

#include <algorithm>
#include <span>

// coordination::Membership, ReaderElection and ConfigDistribution make the
// decisions. This task passes them the time, sends and receives their messages
// over the peer links, and reads the platform for them. One tick drives all of
// them, so that a process that was paused detects the pause in its first tick
// afterwards, before it handles anything that arrived in the meantime.

namespace galenaflow::daemon {

using coordination::ConfigKey;
using coordination::ListedVm;
using coordination::MemberId;

namespace {

transport::PeerNetworkOptions networkOptions(const FleetTaskOptions &options) {
  transport::PeerNetworkOptions result;
  result.Session.Self = {options.Self.Id.Vm, options.Self.Id.Instance,
                         options.Self.DataCentre, options.Self.Address};
  result.Session.Keys = options.PeerKeys;
  result.Heartbeat = options.Heartbeat;
  result.ReceiveTimeout = options.LinkReceiveTimeout;
  result.Seed = options.Seed;
  return result;
}

std::string_view asStringView(const std::vector<std::uint8_t> &bytes) {
  return {reinterpret_cast<const char *>(bytes.data()), bytes.size()};
}

std::span<const std::uint8_t> asBytes(std::string_view text) {
  return {reinterpret_cast<const std::uint8_t *>(text.data()), text.size()};
}

MemberId memberId(const transport::PeerIdentity &peer) {
  return {peer.VmId, peer.Instance};
}

} // namespace

FleetTask::FleetTask(transport::EventLoop &loop, FleetTaskOptions options,
                     PublishedLists &lists, state::MetricRegistry &metrics)
    : Loop(loop), Options(std::move(options)), Lists(lists), Metrics(metrics),
      Members(Options.Membership, Options.Self, std::mt19937_64(Options.Seed),
              loop.now()),
      Election({}, Options.Self),
      Config(
          Options.Config, Options.Self.Id,
          [](ConfigKey key, const std::string &text) {
            return PublishedLists::check(protocol::configKeyName(key), text);
          },
          std::mt19937_64(Options.Seed + 1), loop.now()),
      Network(loop, networkOptions(Options),
              {[this](const transport::PeerIdentity &peer) { onLinkUp(peer); },
               [this](const transport::PeerIdentity &peer,
                      transport::LinkCloseReason reason) {
                 onLinkDown(peer, reason);
               },
               [this](const transport::PeerIdentity &peer, std::uint16_t type,
                      std::string_view payload) {
                 onMessage(peer, type, payload);
               }}) {
  if (Options.Platform)
    Platform = std::make_unique<PlatformClient>(Loop, *Options.Platform);
  Lists.onChange([this](std::string_view key) { onListChange(key); });
  std::vector<ListedVm> seeds;
  for (const std::string &address : Options.SeedPeers)
    seeds.push_back({{}, address, {}, false});
  Config.setPeers(std::move(seeds));
}

FleetTask::~FleetTask() { Loop.cancel(Timer); }

state::Result<transport::SocketAddress>
FleetTask::start(const transport::SocketAddress &listenAddress) {
  auto bound = Network.listen(listenAddress);
  if (!bound)
    return bound;
  Network.setTargets(Options.SeedPeers);
  tick();
  return bound;
}

void FleetTask::addMessageHandler(std::uint16_t first, std::uint16_t last,
                                  MessageHandler handler) {
  Handlers.push_back({first, last, std::move(handler)});
}

bool FleetTask::send(const MemberId &to, std::uint16_t type,
                     std::string_view payload) {
  const auto it = LinkedPeers.find(to);
  return it != LinkedPeers.end() && Network.send(it->second, type, payload);
}

void FleetTask::send(const coordination::SendMessage &message) {
  const auto bytes =
      protocol::encodeFleetMessage({Options.Self.Id, message.To, message.Body});
  const std::uint16_t type = protocol::fleetMessageType(message.Body);
  if (!message.To.Vm.empty()) {
    send(message.To, type, asStringView(bytes));
    return;
  }
  // Only the address of a seed peer is known.
  for (const auto &[id, peer] : LinkedPeers)
    if (peer.Address == message.Address)
      Network.send(peer, type, asStringView(bytes));
}

void FleetTask::leave() { executeActions(Members.leave(Loop.now())); }

std::vector<PeerStatus> FleetTask::peers() const {
  std::vector<PeerStatus> rows;
  for (const auto &[id, member] : Members.members()) {
    PeerStatus row;
    row.Member = member;
    row.IsLinked = LinkedPeers.contains(id);
    const auto digest = Digests.find(id);
    if (digest != Digests.end())
      row.Versions = digest->second;
    rows.push_back(std::move(row));
  }
  return rows;
}

std::vector<ListedVm> FleetTask::listedVms() const {
  std::vector<ListedVm> result;
  for (const protocol::Vm &vm : Lists.vms()->Vms)
    if (vm.Role == protocol::VmRole::Entry)
      result.push_back({{vm.Id, vm.Instance},
                        vm.Address,
                        vm.DataCentre,
                        vm.State == protocol::VmState::Leaving});
  return result;
}

std::uint64_t FleetTask::platformReads() const {
  return Platform ? Platform->reads() : 0;
}

void FleetTask::tick() {
  const state::TimePoint now = Loop.now();
  Timer = Loop.schedule(TickPeriod, [this] { tick(); });
  executeActions(Members.tick(now));
  Config.setReader(Election.update(Members.liveMembers(), now));
  executeActions(Config.tick(now));
  Members.setDigest(Config.digest());
  if (Config.isReady() && !IsReadyReported) {
    IsReadyReported = true;
    if (OnReadyCallback)
      OnReadyCallback();
  }
  if (OnTickCallback)
    OnTickCallback(now);
}

void FleetTask::onLinkUp(const transport::PeerIdentity &peer) {
  LinkedPeers.insert_or_assign(memberId(peer), peer);
  state::log::info("peer_link_up", {{"peer", peer.VmId},
                                    {"instance", peer.Instance},
                                    {"address", peer.Address}});
  for (const auto &callback : OnLinkCallbacks)
    callback(peer, true);
}

void FleetTask::onLinkDown(const transport::PeerIdentity &peer,
                           transport::LinkCloseReason reason) {
  LinkedPeers.erase(memberId(peer));
  state::log::info("peer_link_down",
                   {{"peer", peer.VmId},
                    {"instance", peer.Instance},
                    {"reason", transport::linkCloseName(reason)}});
  for (const auto &callback : OnLinkCallbacks)
    callback(peer, false);
}

void FleetTask::onMessage(const transport::PeerIdentity &peer,
                          std::uint16_t type, std::string_view payload) {
  for (const HandlerRange &range : Handlers)
    if (type >= range.First && type <= range.Last) {
      range.Handler(memberId(peer), type, payload);
      return;
    }
  onFleetMessage(peer, type, payload);
}

void FleetTask::onFleetMessage(const transport::PeerIdentity &peer,
                               std::uint16_t type, std::string_view payload) {
  const auto message = protocol::decodeFleetMessage(type, asBytes(payload));
  // The link authenticates the sender, so a message with any other sender is
  // rejected.
  if (!message || message->From != memberId(peer)) {
    Metrics
        .counter("galenaflow_peer_messages_rejected_total",
                 "Messages of peers that could not be used")
        .add();
    return;
  }
  const bool isForUs = message->To == Options.Self.Id || message->To.Vm.empty();
  if (!isForUs)
    return;
  const state::TimePoint now = Loop.now();
  const ListedVm from{memberId(peer), peer.Address, peer.DataCentre, false};
  executeActions(Members.receive(from.Id, message->Body, now));
  executeActions(Config.receive(from, message->Body, now));
  if (const auto *shares = std::get_if<protocol::ShareExchange>(&message->Body);
      shares != nullptr && OnSharesCallback)
    OnSharesCallback(from.Id, *shares);
}

void FleetTask::executeActions(const coordination::MembershipActions &actions) {
  bool changed = false;
  for (const auto &action : actions) {
    if (const auto *message = std::get_if<coordination::SendMessage>(&action)) {
      send(*message);
    } else if (const auto *change =
                   std::get_if<coordination::MemberChanged>(&action)) {
      changed = true;
      state::log::info("member_changed",
                       {{"member", change->Id.Vm},
                        {"instance", change->Id.Instance},
                        {"state", protocol::memberStateName(change->State)}});
    } else if (const auto *pause =
                   std::get_if<coordination::LocalPause>(&action)) {
      state::log::warning("process_paused",
                          {{"for_ms", pause->Paused.count() / 1000}});
      if (OnPauseCallback)
        OnPauseCallback();
    } else if (const auto *digest =
                   std::get_if<coordination::DigestReceived>(&action)) {
      if (const auto versions = coordination::parseDigest(digest->Digest))
        Digests.insert_or_assign(digest->From, *versions);
      const auto it = LinkedPeers.find(digest->From);
      if (it != LinkedPeers.end())
        executeActions(Config.onDigest(
            {digest->From, it->second.Address, it->second.DataCentre, false},
            digest->Digest, Loop.now()));
    }
  }
  if (changed)
    updatePeers();
}

void FleetTask::executeActions(coordination::ConfigActions actions) {
  for (auto &action : actions) {
    if (const auto *message = std::get_if<coordination::SendMessage>(&action)) {
      send(*message);
    } else if (const auto *read = std::get_if<coordination::ReadKey>(&action)) {
      readPlatform(*read);
    } else if (const auto *value =
                   std::get_if<coordination::ApplyValue>(&action)) {
      const auto key = protocol::configKeyName(value->Key);
      Lists.apply(key, value->Version, *value->Value);
      state::log::info("list_applied",
                       {{"list", key}, {"version", value->Version}});
    } else if (const auto *invalid =
                   std::get_if<coordination::ReportInvalid>(&action)) {
      Metrics
          .counter("galenaflow_lists_rejected_total",
                   "Versions of lists that were invalid")
          .add();
      state::log::error("list_rejected",
                        {{"list", protocol::configKeyName(invalid->Key)},
                         {"version", invalid->Version},
                         {"findings", invalid->Faults.toText()}});
    }
  }
}

void FleetTask::readPlatform(const coordination::ReadKey &read) {
  const ConfigKey key = read.Key;
  const std::string_view name = protocol::configKeyName(key);
  if (Platform == nullptr || Platform->isReading(name)) {
    Loop.post([this, key] {
      executeActions(
          Config.onRead(key, coordination::ReadFailed{}, Loop.now()));
    });
    return;
  }
  Platform->read(
      name, read.After, read.Wait, [this, key](PlatformResult result) {
        const state::TimePoint now = Loop.now();
        if (!result) {
          executeActions(Config.onRead(key, coordination::ReadFailed{}, now));
          return;
        }
        if (!result->has_value()) {
          executeActions(
              Config.onRead(key, coordination::ReadNotModified{}, now));
          return;
        }
        PlatformValue &value = **result;
        if (key == ConfigKey::Vms) {
          const auto list = protocol::parseVmList(value.Text);
          value.Version = list ? list->Version : 0;
        }
        if (value.Version == 0) {
          executeActions(Config.onRead(key, coordination::ReadFailed{}, now));
          return;
        }
        executeActions(Config.onRead(
            key, coordination::ReadValue{value.Version, std::move(value.Text)},
            now));
      });
}

void FleetTask::onListChange(std::string_view key) {
  if (key != protocol::configKeyName(ConfigKey::Vms))
    return;
  const std::vector<ListedVm> listed = listedVms();
  executeActions(Members.applyList(listed, Loop.now()));
  const auto others =
      std::count_if(listed.begin(), listed.end(), [this](const ListedVm &vm) {
        return vm.Id != Options.Self.Id;
      });
  Config.setListedPeers(static_cast<std::size_t>(others));
  updatePeers();
}

void FleetTask::updatePeers() {
  std::vector<ListedVm> live = Members.liveMembers();
  std::vector<std::string> targets = Options.SeedPeers;
  for (const ListedVm &vm : listedVms())
    if (vm.Id != Options.Self.Id)
      targets.push_back(vm.Address);
  for (const ListedVm &vm : live)
    if (vm.Id != Options.Self.Id)
      targets.push_back(vm.Address);
  std::sort(targets.begin(), targets.end());
  targets.erase(std::unique(targets.begin(), targets.end()), targets.end());
  Network.setTargets(targets);
  for (const std::string &address : Options.SeedPeers)
    if (std::none_of(live.begin(), live.end(),
                     [&](const ListedVm &vm) { return vm.Address == address; }))
      live.push_back({{}, address, {}, false});
  Config.setPeers(std::move(live));
}

} // namespace galenaflow::daemon
