#include "daemon/record_task.h"

#include "protocol/record_json.h"

#include <nlohmann/json.hpp>

// A record is copied under its request id, and under its idempotency key if it
// has one, so that it can be found by either of them after the entry daemon is
// no longer running. Several daemons can return the same record; copies have
// equal texts and count once.

namespace galenaflow::daemon {

using nlohmann::json;
using protocol::RecordMessageType;

namespace {

std::string daemonName(const coordination::MemberId &id) {
  return id.Vm + "/" + id.Instance;
}

std::uint64_t ageMs(state::TimePoint since, state::TimePoint now) {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(now - since)
          .count());
}

} // namespace

RecordTask::RecordTask(transport::EventLoop &loop, FleetTask &fleet,
                       const coordination::ListedVm &self, std::size_t maxBytes)
    : Loop(loop), Fleet(fleet), Self(self), Ring(maxBytes),
      Replication({self.Id.Vm, self.Id.Instance, self.DataCentre}, loop, {}),
      Started(loop.now()) {
  Fleet.addMessageHandler(
      200, 299,
      [this](const coordination::MemberId &from, std::uint16_t type,
             std::string_view payload) { onMessage(from, type, payload); });
  Fleet.onLink([this](const transport::PeerIdentity &peer, bool isUp) {
    const coordination::MemberId id{peer.VmId, peer.Instance};
    if (isUp)
      Peers.insert_or_assign(
          id,
          coordination::RecordPeer{peer.VmId, peer.Instance, peer.DataCentre});
    else
      Peers.erase(id);
    std::vector<coordination::RecordPeer> live;
    for (const auto &[member, recordPeer] : Peers)
      live.push_back(recordPeer);
    Replication.setPeers(std::move(live));
    sendMessages();
  });
}

RecordTask::~RecordTask() {
  for (auto &[lookupId, lookup] : Lookups)
    Loop.cancel(lookup.TimeoutTimer);
}

void RecordTask::add(state::RequestRecord record) {
  const std::string text = protocol::renderRecord(record);
  Replication.add({record.RequestId, text});
  if (!record.IdempotencyKey.empty() &&
      record.IdempotencyKey != record.RequestId)
    Replication.add({record.IdempotencyKey, text});
  Ring.add(std::move(record));
}

void RecordTask::find(const std::string &idOrKey, FindCallback callback) {
  const std::uint64_t lookupId = ++LastLookupId;
  Lookup &lookup = Lookups[lookupId];
  lookup.Id = idOrKey;
  lookup.Callback = std::move(callback);
  for (const state::RequestRecord *record : Ring.find(idOrKey))
    addRecord(lookup, protocol::renderRecord(*record));
  for (const protocol::FinishedRecord &record : Replication.find(idOrKey))
    addRecord(lookup, record.Bytes);
  const auto retainedSince = Ring.reachesBackTo();
  const auto ownRetainedMs =
      retainedSince ? static_cast<std::uint64_t>(
                          (Loop.wallNow() - *retainedSince).count())
                    : ageMs(Started, Loop.now());
  lookup.Daemons[Self.Id] = {daemonName(Self.Id), true, ownRetainedMs};
  queryPeers(lookupId, lookup);
  lookup.TimeoutTimer = Loop.schedule(LookupTimeout, [this, lookupId] {
    Lookups.at(lookupId).TimeoutTimer = 0;
    finish(lookupId);
  });
  // A lookup without peers ends at once, but in a posted function, so that the
  // callback never runs inside this call.
  Loop.post([this, lookupId] {
    const auto it = Lookups.find(lookupId);
    if (it != Lookups.end() && it->second.Daemons.size() == 1)
      finish(lookupId);
  });
}

void RecordTask::tick() {
  Replication.tick();
  sendMessages();
}

void RecordTask::queryPeers(std::uint64_t lookupId, Lookup &lookup) {
  protocol::RecordMessage message;
  message.Type = RecordMessageType::Find;
  message.Query = lookupId;
  message.Id = lookup.Id;
  const std::string bytes = protocol::encodeRecordMessage(message);
  for (const coordination::ListedVm &vm : Fleet.listedVms())
    lookup.Daemons.try_emplace(vm.Id, DaemonReply{daemonName(vm.Id), false, 0});
  for (const auto &[id, peer] : Peers)
    lookup.Daemons.try_emplace(id, DaemonReply{daemonName(id), false, 0});
  for (const auto &[id, reply] : lookup.Daemons)
    if (!reply.HasReplied)
      Fleet.send(id, static_cast<std::uint16_t>(message.Type), bytes);
}

void RecordTask::onMessage(const coordination::MemberId &from,
                           std::uint16_t type, std::string_view payload) {
  const auto message = protocol::decodeRecordMessage(type, payload);
  const auto peer = Peers.find(from);
  if (!message || peer == Peers.end())
    return;
  if (message->Type == RecordMessageType::Found)
    onFound(from, *message);
  else
    Replication.receive(peer->second, *message);
  sendMessages();
}

void RecordTask::onFound(const coordination::MemberId &from,
                         const protocol::RecordMessage &message) {
  const auto it = Lookups.find(message.Query);
  if (it == Lookups.end() || it->second.Id != message.Id)
    return;
  Lookup &lookup = it->second;
  const auto daemon = lookup.Daemons.find(from);
  if (daemon == lookup.Daemons.end())
    return;
  daemon->second.HasReplied = true;
  daemon->second.RetainedMs = message.ReachMs;
  for (const protocol::FinishedRecord &record : message.Records)
    addRecord(lookup, record.Bytes);
  for (const auto &[id, reply] : lookup.Daemons)
    if (!reply.HasReplied)
      return;
  finish(message.Query);
}

void RecordTask::addRecord(Lookup &lookup, const std::string &text) {
  lookup.Records.emplace(text, text);
}

void RecordTask::finish(std::uint64_t lookupId) {
  const auto it = Lookups.find(lookupId);
  const Lookup lookup = std::move(it->second);
  Lookups.erase(it);
  Loop.cancel(lookup.TimeoutTimer);
  json body;
  body["id"] = lookup.Id;
  body["records"] = json::array();
  for (const auto &[key, text] : lookup.Records) {
    json record = json::parse(text, nullptr, false);
    if (!record.is_discarded())
      body["records"].push_back(std::move(record));
  }
  body["daemons"] = json::array();
  bool complete = true;
  for (const auto &[id, reply] : lookup.Daemons) {
    json row{{"daemon", reply.Daemon}, {"answered", reply.HasReplied}};
    if (reply.HasReplied)
      row["reaches_back_to"] = protocol::isoTime(
          Loop.wallNow() -
          state::WallMillis(static_cast<std::int64_t>(reply.RetainedMs)));
    body["daemons"].push_back(std::move(row));
    complete = complete && reply.HasReplied;
  }
  body["all_daemons_answered"] = complete;
  const std::string text =
      body.dump(2, ' ', false, json::error_handler_t::replace) + "\n";
  lookup.Callback(!lookup.Records.empty(), text);
}

void RecordTask::sendMessages() {
  for (const auto &outgoing : Replication.takeMessages())
    Fleet.send({outgoing.To.VmId, outgoing.To.Instance},
               static_cast<std::uint16_t>(outgoing.Message.Type),
               protocol::encodeRecordMessage(outgoing.Message));
}

} // namespace galenaflow::daemon
