#include "coordination/record_replication.h"

#include <algorithm>
#include <functional>
#include <utility>

// Own records get sequence numbers and are kept in a bounded queue. Each target
// acknowledges the highest number up to which it has stored every record that
// it was sent. At most one batch per target is in flight. A batch is resent
// when no acknowledgement arrives. A new target first receives the oldest
// record that is still kept, so a record survives the loss of its first
// targets.
//
// Targets are ordered by a hash of both VM ids, with peers in other data
// centres first, so that the copies are spread evenly. A target is kept while
// its link is up.

namespace galenaflow::coordination {

using protocol::FinishedRecord;
using protocol::RecordMessage;
using protocol::RecordMessageType;

namespace {

/// Bytes of memory for the bookkeeping of one record, in addition to its
/// contents.
constexpr std::size_t RecordOverhead = 128;

/// Most peers whose highest received number is kept. Among them are instances
/// of replaced VMs, which are not removed otherwise.
constexpr std::size_t MaxReceivedPeers = 4096;

/// Bounds the records in a Found message, which must stay below the size limit
/// of a frame.
constexpr std::size_t MaxFoundBytes = 1U << 20;

std::size_t sizeOf(const FinishedRecord &record) {
  return record.Id.size() + record.Bytes.size() + RecordOverhead;
}

} // namespace

RecordReplication::RecordReplication(RecordPeer self, const state::Clock &clock,
                                     const RecordReplicationOptions &options)
    : Self(std::move(self)), Time(clock), Options(options),
      RetainedSince(clock.now()) {}

void RecordReplication::setPeers(std::vector<RecordPeer> peers) {
  std::erase(peers, Self);
  std::erase_if(Targets, [&](const auto &it) {
    return std::ranges::find(peers, it.first) == peers.end();
  });
  chooseTargets(std::move(peers));
}

void RecordReplication::chooseTargets(std::vector<RecordPeer> peers) {
  const auto rank = [this](const RecordPeer &peer) {
    return std::pair(peer.DataCentre == Self.DataCentre,
                     std::hash<std::string>()(Self.VmId + "\n" + peer.VmId));
  };
  std::ranges::sort(peers, {}, rank);
  for (const RecordPeer &peer : peers) {
    if (Targets.size() >= Options.CopyCount)
      break;
    Targets.try_emplace(peer, Target{0, 0, Time.now()});
  }
  TargetOrder.clear();
  for (const auto &it : Targets)
    TargetOrder.push_back(it.first);
}

std::uint64_t RecordReplication::highestAck() const {
  std::uint64_t highest = 0;
  for (const auto &it : Targets)
    highest = std::max(highest, it.second.Acked);
  return highest;
}

void RecordReplication::add(FinishedRecord record) {
  if (record.Bytes.size() > protocol::MaxRecordBytes ||
      record.Id.size() > protocol::MaxRecordIdBytes) {
    ++Uncopied;
    return;
  }
  OwnBytes += sizeOf(record);
  Own.push_back({++LastSequence, Time.now(), std::move(record)});
  while (OwnBytes > Options.MaxOwnBytes) {
    const Stored &oldest = Own.front();
    Uncopied += oldest.Sequence > highestAck() ? 1 : 0;
    RetainedSince = std::max(RetainedSince, oldest.At);
    OwnBytes -= sizeOf(oldest.Record);
    Own.pop_front();
  }
}

void RecordReplication::tick() {
  for (auto &[peer, target] : Targets)
    if (Time.now() >= target.NextSend && target.Acked < LastSequence)
      sendBatch(peer, target);
}

void RecordReplication::sendBatch(const RecordPeer &peer, Target &target) {
  RecordMessage message;
  message.Type = RecordMessageType::Batch;
  const auto first =
      std::ranges::upper_bound(Own, target.Acked, {}, &Stored::Sequence);
  std::size_t bytes = 0;
  for (auto it = first; it != Own.end(); ++it) {
    if (message.Records.size() == protocol::MaxRecordsPerMessage ||
        bytes >= Options.MaxBatchBytes)
      break;
    bytes += sizeOf(it->Record);
    message.Records.push_back(it->Record);
    target.Sent = it->Sequence;
  }
  if (message.Records.empty())
    return;
  message.Sequence = first->Sequence;
  target.NextSend = Time.now() + Options.ResendInterval;
  Outgoing.push_back({peer, std::move(message)});
}

void RecordReplication::receive(const RecordPeer &from,
                                const RecordMessage &message) {
  switch (message.Type) {
  case RecordMessageType::Batch:
    onBatch(from, message);
    break;
  case RecordMessageType::Ack:
    onAck(from, message);
    break;
  case RecordMessageType::Find:
    onFind(from, message);
    break;
  case RecordMessageType::Found: // handled by the owner that sent Find
    break;
  }
}

void RecordReplication::onBatch(const RecordPeer &from,
                                const RecordMessage &message) {
  if (message.Records.empty())
    return;
  if (!Received.contains(from) && Received.size() >= MaxReceivedPeers)
    Received.erase(Received.begin());
  std::uint64_t &highest = Received[from];
  std::uint64_t sequence = message.Sequence;
  for (const FinishedRecord &record : message.Records) {
    if (sequence > highest) {
      store(record);
      highest = sequence;
    }
    ++sequence;
  }
  RecordMessage ack;
  ack.Type = RecordMessageType::Ack;
  ack.Sequence = sequence - 1;
  Outgoing.push_back({from, std::move(ack)});
}

void RecordReplication::store(const FinishedRecord &record) {
  CopyBytes += sizeOf(record);
  Copies.push_back({Time.now(), record});
  while (CopyBytes > Options.MaxCopyBytes) {
    RetainedSince = std::max(RetainedSince, Copies.front().At);
    CopyBytes -= sizeOf(Copies.front().Record);
    Copies.pop_front();
  }
}

void RecordReplication::onAck(const RecordPeer &from,
                              const RecordMessage &message) {
  const auto it = Targets.find(from);
  if (it == Targets.end() || message.Sequence > it->second.Sent ||
      message.Sequence <= it->second.Acked)
    return;
  it->second.Acked = message.Sequence;
  const bool isBehind = it->second.Acked < LastSequence;
  it->second.NextSend =
      Time.now() + (isBehind ? state::Duration(0) : Options.BatchInterval);
}

void RecordReplication::onFind(const RecordPeer &from,
                               const RecordMessage &message) {
  RecordMessage reply;
  reply.Type = RecordMessageType::Found;
  reply.Query = message.Query;
  reply.Id = message.Id;
  std::size_t bytes = 0;
  for (FinishedRecord &record : find(message.Id)) {
    bytes += sizeOf(record);
    if (bytes > MaxFoundBytes)
      break;
    reply.Records.push_back(std::move(record));
  }
  const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
      Time.now() - RetainedSince);
  reply.ReachMs = static_cast<std::uint64_t>(age.count());
  Outgoing.push_back({from, std::move(reply)});
}

std::vector<FinishedRecord> RecordReplication::find(std::string_view id) const {
  std::vector<FinishedRecord> found;
  const auto take = [&](const FinishedRecord &record) {
    if (record.Id == id)
      found.push_back(record);
  };
  for (const Stored &stored : Own)
    take(stored.Record);
  for (const Copy &copy : Copies)
    take(copy.Record);
  return found;
}

bool RecordReplication::isFlushed() const {
  if (LastSequence == 0)
    return true;
  return !Targets.empty() && std::ranges::all_of(Targets, [&](const auto &it) {
    return it.second.Acked == LastSequence;
  });
}

std::vector<SendRecordMessage> RecordReplication::takeMessages() {
  return std::exchange(Outgoing, {});
}

} // namespace galenaflow::coordination
