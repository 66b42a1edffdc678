#ifndef GALENAFLOW_COORDINATION_RECORD_REPLICATION_H
#define GALENAFLOW_COORDINATION_RECORD_REPLICATION_H

#include "protocol/records_messages.h"
#include "state/clock.h"

#include <compare>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace galenaflow::coordination {

struct RecordPeer {
  std::string VmId;
  std::string Instance;
  std::string DataCentre;

  auto operator<=>(const RecordPeer &) const = default;
};

struct RecordReplicationOptions {
  std::size_t CopyCount = 2;
  std::size_t MaxOwnBytes = 8U << 20;   ///< own records kept for resending
  std::size_t MaxCopyBytes = 32U << 20; ///< copies of the records of peers
  std::size_t MaxBatchBytes = 256U << 10;
  state::Duration BatchInterval = std::chrono::milliseconds(200);
  state::Duration ResendInterval = std::chrono::seconds(2);
};

struct SendRecordMessage {
  RecordPeer To;
  protocol::RecordMessage Message;
};

/// Copies the records of finished requests to CopyCount peers, and stores the
/// copies that peers send. Call tick() at least every 100 ms, and send
/// takeMessages() after each call of any method.
class RecordReplication {
public:
  RecordReplication(RecordPeer self, const state::Clock &clock,
                    const RecordReplicationOptions &options);

  /// Sets the peers with a live link. Targets that are not among them are
  /// replaced, and a new target receives all own records that are still kept.
  void setPeers(std::vector<RecordPeer> peers);

  /// Adds the record of a finished request. A record above the message limits
  /// is discarded and counted in uncopied().
  void add(protocol::FinishedRecord record);

  void receive(const RecordPeer &from, const protocol::RecordMessage &message);
  void tick();
  std::vector<SendRecordMessage> takeMessages();

  /// All records with this id, own ones and copies.
  std::vector<protocol::FinishedRecord> find(std::string_view id) const;

  /// Every record that was stored here after this time is still kept.
  state::TimePoint reachesBackTo() const { return RetainedSince; }

  /// Whether every own record has been stored by all targets, of which there
  /// must be at least one.
  bool isFlushed() const;

  const std::vector<RecordPeer> &targets() const { return TargetOrder; }
  std::size_t copyBytes() const { return CopyBytes; }
  std::size_t ownBytes() const { return OwnBytes; }
  /// Number of own records that were discarded before any peer had stored them.
  std::uint64_t uncopied() const { return Uncopied; }

private:
  struct Stored {
    std::uint64_t Sequence;
    state::TimePoint At;
    protocol::FinishedRecord Record;
  };
  struct Target {
    std::uint64_t Acked = 0;
    std::uint64_t Sent = 0;
    state::TimePoint NextSend;
  };
  struct Copy {
    state::TimePoint At;
    protocol::FinishedRecord Record;
  };

  void chooseTargets(std::vector<RecordPeer> peers);
  void sendBatch(const RecordPeer &peer, Target &target);
  void onBatch(const RecordPeer &from, const protocol::RecordMessage &message);
  void onAck(const RecordPeer &from, const protocol::RecordMessage &message);
  void onFind(const RecordPeer &from, const protocol::RecordMessage &message);
  void store(const protocol::FinishedRecord &record);
  std::uint64_t highestAck() const;

  const RecordPeer Self;
  const state::Clock &Time;
  const RecordReplicationOptions Options;
  std::uint64_t LastSequence = 0;
  std::deque<Stored> Own;
  std::size_t OwnBytes = 0;
  std::uint64_t Uncopied = 0;
  std::map<RecordPeer, Target> Targets;
  std::vector<RecordPeer> TargetOrder;
  std::deque<Copy> Copies;
  std::size_t CopyBytes = 0;
  std::map<RecordPeer, std::uint64_t> Received; // highest number of each peer
  state::TimePoint RetainedSince;
  std::vector<SendRecordMessage> Outgoing;
};

} // namespace galenaflow::coordination

#endif
