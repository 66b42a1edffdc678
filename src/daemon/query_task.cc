#include "daemon/query_task.h"

#include "protocol/backend_api.h"

namespace galenaflow::daemon {

using coordination::SendSubRequest;

namespace {

/// Converts a decoded response. The result owns the decoded response, because
/// the hits hold views of its ids and text.
coordination::SubResponse toSubResponse(const SendSubRequest &action,
                                        protocol::ShardResponse decoded) {
  auto owner =
      std::make_shared<const protocol::ShardResponse>(std::move(decoded));
  coordination::SubResponse response;
  response.Number = action.Number;
  response.Shard = action.Shard;
  response.Snapshot = action.Snapshot;
  response.Hits.reserve(owner->Hits.size());
  for (const protocol::BackendHit &hit : owner->Hits)
    response.Hits.push_back({hit.Id, hit.Score, hit.Raw});
  response.Body = std::move(owner);
  return response;
}

} // namespace

QueryTask::QueryTask(transport::EventLoop &loop, BackendTask &backends,
                     SubRequestContext context, state::Operation operation,
                     std::string query,
                     const coordination::QueryOptions &options,
                     Callback callback)
    : SubRequestTask(loop, backends, std::move(context)), Operation(operation),
      Query(std::move(query)), Limit(options.Limit),
      Execution(options, backends.policies(options.Service, operation)),
      DoneCallback(std::move(callback)) {}

void QueryTask::start() { executeActions(Execution.start(Loop.now())); }

void QueryTask::cancelQuery() {
  executeActions(Execution.onCallerCancel(Loop.now()));
}

void QueryTask::executeActions(coordination::QueryActions actions) {
  dispatchActions<coordination::FinishQuery>(
      std::move(actions),
      [this](const SendSubRequest &action) { sendToShard(action); },
      [this](std::unique_ptr<coordination::QueryOutcome> outcome) {
        std::exchange(DoneCallback, nullptr)(std::move(outcome));
      });
}

void QueryTask::sendToShard(const SendSubRequest &action) {
  transport::HttpRequest request;
  request.Method = "POST";
  request.Path = protocol::SearchPath;
  request.Headers.add("content-type", "application/json");
  request.Body = protocol::encodeShardQuery(
      {Operation, action.Shard, action.Snapshot, Query, Limit});
  send(action, std::move(request));
}

void QueryTask::onResult(const SendSubRequest &action,
                         transport::HttpResult result) {
  const state::TimePoint now = Loop.now();
  if (!result || result->Status != 200) {
    executeActions(
        Execution.onFailure(classifyFailure(action.Number, result), now));
    return;
  }
  auto decoded = protocol::decodeShardResponse(
      std::move(result->Body), subRequestId(action.Number),
      {Operation, action.Shard, action.Snapshot, Query, Limit});
  if (!decoded) {
    executeActions(Execution.onFailure(
        {action.Number, coordination::FailureReason::InvalidResponse, true},
        now));
    return;
  }
  executeActions(
      Execution.onResponse(toSubResponse(action, std::move(*decoded)), now));
}

void QueryTask::onTimer() { executeActions(Execution.onTimer(Loop.now())); }

ReadTask::ReadTask(transport::EventLoop &loop, BackendTask &backends,
                   SubRequestContext context, std::string recordId,
                   std::string_view service, coordination::ReadOptions options,
                   Callback callback)
    : SubRequestTask(loop, backends, std::move(context)),
      RecordId(std::move(recordId)),
      Execution(std::move(options),
                backends.policies(service, state::Operation::Read)),
      DoneCallback(std::move(callback)) {}

void ReadTask::start() { executeActions(Execution.start(Loop.now())); }

void ReadTask::cancelRead() {
  executeActions(Execution.onCallerCancel(Loop.now()));
}

void ReadTask::executeActions(coordination::ReadActions actions) {
  dispatchActions<coordination::FinishRead>(
      std::move(actions),
      [this](const SendSubRequest &action) {
        send(action, {"GET", protocol::recordPath(RecordId), {}, ""});
      },
      [this](std::unique_ptr<coordination::ReadOutcome> outcome) {
        std::exchange(DoneCallback, nullptr)(std::move(outcome));
      });
}

void ReadTask::onResult(const SendSubRequest &action,
                        transport::HttpResult result) {
  const state::TimePoint now = Loop.now();
  coordination::ReadResponse response;
  response.Number = action.Number;
  if (result && result->Status == 404) {
    response.Found = false;
    executeActions(Execution.onResponse(std::move(response), now));
    return;
  }
  if (!result || result->Status != 200) {
    executeActions(
        Execution.onFailure(classifyFailure(action.Number, result), now));
    return;
  }
  auto decoded = protocol::decodeRecordResponse(std::move(result->Body),
                                                subRequestId(action.Number));
  if (!decoded) {
    executeActions(Execution.onFailure(
        {action.Number, coordination::FailureReason::InvalidResponse, true},
        now));
    return;
  }
  response.Snapshot = decoded->Snapshot;
  response.Json = decoded->Record;
  response.Body = decoded->Body;
  executeActions(Execution.onResponse(std::move(response), now));
}

void ReadTask::onTimer() { executeActions(Execution.onTimer(Loop.now())); }

} // namespace galenaflow::daemon
