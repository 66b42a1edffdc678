#ifndef GALENAFLOW_DAEMON_QUERY_TASK_H
#define GALENAFLOW_DAEMON_QUERY_TASK_H

#include "coordination/query_execution.h"
#include "coordination/read_execution.h"
#include "daemon/sub_request_task.h"
#include "state/plan_catalog.h"

#include <functional>

namespace galenaflow::daemon {

/// Runs one search or suggest query over all shards.
class QueryTask final : public SubRequestTask {
public:
  using Callback =
      std::function<void(std::unique_ptr<coordination::QueryOutcome>)>;

  QueryTask(transport::EventLoop &loop, BackendTask &backends,
            SubRequestContext context, state::Operation operation,
            std::string query, const coordination::QueryOptions &options,
            Callback callback);

  /// The callback runs once, possibly before this returns.
  void start();

  /// Cancels the query because the caller has disconnected.
  void cancelQuery();

private:
  void executeActions(coordination::QueryActions actions);
  void sendToShard(const coordination::SendSubRequest &action);
  void onResult(const coordination::SendSubRequest &action,
                transport::HttpResult result) override;
  void onTimer() override;

  state::Operation Operation;
  std::string Query;
  std::uint32_t Limit;
  coordination::QueryExecution Execution;
  Callback DoneCallback;
};

/// Reads one record from one replica.
class ReadTask final : public SubRequestTask {
public:
  using Callback =
      std::function<void(std::unique_ptr<coordination::ReadOutcome>)>;

  ReadTask(transport::EventLoop &loop, BackendTask &backends,
           SubRequestContext context, std::string recordId,
           std::string_view service, coordination::ReadOptions options,
           Callback callback);

  void start();
  void cancelRead();

private:
  void executeActions(coordination::ReadActions actions);
  void onResult(const coordination::SendSubRequest &action,
                transport::HttpResult result) override;
  void onTimer() override;

  std::string RecordId;
  coordination::ReadExecution Execution;
  Callback DoneCallback;
};

} // namespace galenaflow::daemon

#endif
