#include "daemon/record_task.h"

#include "protocol/record_json.h"

namespace galenaflow::daemon {

RecordTask::RecordTask(transport::EventLoop &loop, std::string daemonId,
                       std::size_t maxBytes)
    : Loop(loop), DaemonId(std::move(daemonId)), Ring(maxBytes) {}

void RecordTask::add(state::RequestRecord record) {
  Ring.add(std::move(record));
}

void RecordTask::find(const std::string &idOrKey, FindCallback callback) {
  protocol::RecordLookup lookup;
  lookup.DaemonId = DaemonId;
  lookup.ReachesBackTo = Ring.reachesBackTo();
  for (const state::RequestRecord *record : Ring.find(idOrKey))
    lookup.Records.push_back(*record);
  const bool found = !lookup.Records.empty();
  Loop.post(
      [callback = std::move(callback), found,
       body = protocol::renderRecordLookup(lookup)] { callback(found, body); });
}

} // namespace galenaflow::daemon
