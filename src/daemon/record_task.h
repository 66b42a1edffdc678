#ifndef GALENAFLOW_DAEMON_RECORD_TASK_H
#define GALENAFLOW_DAEMON_RECORD_TASK_H

#include "state/request_records.h"
#include "transport/event_loop.h"

#include <functional>
#include <string>

namespace galenaflow::daemon {

/// Keeps the records of answered requests and looks them up.
class RecordTask {
public:
  /// Whether a record was found, and the JSON to answer with.
  using FindCallback = std::function<void(bool found, std::string body)>;

  RecordTask(transport::EventLoop &loop, std::string daemonId,
             std::size_t maxBytes);

  void add(state::RequestRecord record);

  /// Looks for a request id or an idempotency key. The callback runs once.
  void find(const std::string &idOrKey, FindCallback callback);

private:
  transport::EventLoop &Loop;
  std::string DaemonId;
  state::RequestRecordRing Ring;
};

} // namespace galenaflow::daemon

#endif
