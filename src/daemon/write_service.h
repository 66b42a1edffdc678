#ifndef GALENAFLOW_DAEMON_WRITE_SERVICE_H
#define GALENAFLOW_DAEMON_WRITE_SERVICE_H

#include "coordination/sub_request.h"
#include "daemon/sub_request_task.h"
#include "state/error.h"
#include "state/topology.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace galenaflow::daemon {

/// A write that must run at most once.
struct WriteCommand {
  std::string IdempotencyKey;
  std::string Body;
  state::Service Service;
  state::Duration Deadline{0};
  SubRequestContext Context;
};

/// The result of a write, as the caller receives it.
struct WriteResult {
  std::optional<state::Error> Error; ///< set when no result is known
  coordination::ExecutionState Ran = coordination::ExecutionState::Unknown;
  int Status = 200;   ///< of the backend server's response
  std::string Result; ///< raw JSON text
  std::uint32_t SubRequests = 0;
};

using WriteCallback = std::function<void(WriteResult)>;

/// Runs each write at most once over all daemons.
class WriteService {
public:
  virtual ~WriteService() = default;

  /// The callback runs once, possibly before this returns.
  virtual void submit(WriteCommand command, WriteCallback callback) = 0;
};

} // namespace galenaflow::daemon

#endif
