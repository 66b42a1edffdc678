#ifndef GALENAFLOW_DAEMON_RECORD_TASK_H
#define GALENAFLOW_DAEMON_RECORD_TASK_H

#include "coordination/record_replication.h"
#include "daemon/fleet_task.h"
#include "state/request_records.h"
#include "transport/event_loop.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace galenaflow::daemon {

/// Keeps the records of answered requests, copies them to two peers, and looks
/// them up over all listed daemons.
class RecordTask {
public:
  /// Receives whether a record was found, and the JSON of the answer.
  using FindCallback = std::function<void(bool found, std::string body)>;

  RecordTask(transport::EventLoop &loop, FleetTask &fleet,
             const coordination::ListedVm &self, std::size_t maxBytes);
  ~RecordTask();

  void add(state::RequestRecord record);

  /// Looks up a request id or an idempotency key, here and at every listed
  /// daemon. The callback runs once, at the latest after LookupTimeout. The
  /// answer names the daemons that did not reply and how far back the records
  /// of the others reach.
  void find(const std::string &idOrKey, FindCallback callback);

  /// Call on each tick of the fleet task.
  void tick();

  /// Whether all records have been copied to the peers that store them.
  bool isFlushed() const { return Replication.isFlushed(); }

  static constexpr state::Duration LookupTimeout =
      std::chrono::milliseconds(1000);

private:
  struct DaemonReply {
    std::string Daemon; ///< VM id and instance
    bool HasReplied = false;
    std::uint64_t RetainedMs = 0; ///< the records cover this time up to now
  };

  struct Lookup {
    std::string Id;
    FindCallback Callback;
    std::map<coordination::MemberId, DaemonReply> Daemons;
    /// JSON by its own text, so that equal copies count once.
    std::map<std::string, std::string> Records;
    transport::TimerId TimeoutTimer = 0;
  };

  void onMessage(const coordination::MemberId &from, std::uint16_t type,
                 std::string_view payload);
  void onFound(const coordination::MemberId &from,
               const protocol::RecordMessage &message);
  void queryPeers(std::uint64_t lookupId, Lookup &lookup);
  void addRecord(Lookup &lookup, const std::string &json);
  void finish(std::uint64_t lookupId);
  void sendMessages();

  transport::EventLoop &Loop;
  FleetTask &Fleet;
  coordination::ListedVm Self;
  state::RequestRecordRing Ring;
  coordination::RecordReplication Replication;
  std::map<coordination::MemberId, coordination::RecordPeer> Peers;
  std::unordered_map<std::uint64_t, Lookup> Lookups;
  std::uint64_t LastLookupId = 0;
  state::TimePoint Started;
};

} // namespace galenaflow::daemon

#endif
