#include "daemon/write_task.h"

#include "protocol/backend_api.h"
#include "state/hash.h"

#include <algorithm>

// A submission waits in the registry until a majority has granted its key. The
// registry then returns a RunWrite action, which one WriteExecution executes.
// Right before the first byte is sent, the send predicate checks with the
// registry that the grants are still valid, so that a process that was paused
// between the grant and the send does not send.

namespace galenaflow::daemon {

using coordination::ExecutionState;
using coordination::WriteAnswerKind;
using state::ErrorCode;

namespace {

/// Runs one granted write.
class WriteRun final : public SubRequestTask {
public:
  using Callback =
      std::function<void(std::unique_ptr<coordination::WriteOutcome>)>;

  WriteRun(transport::EventLoop &loop, BackendTask &backends,
           const WriteCommand &command, state::Duration deadline,
           transport::SendPredicate maySend, Callback callback)
      : SubRequestTask(loop, backends, command.Context),
        Key(command.IdempotencyKey), Body(command.Body),
        Execution(
            {replicasOf(command.Service), deadline},
            backends.policies(command.Service.Name, state::Operation::Write)),
        MaySend(std::move(maySend)), DoneCallback(std::move(callback)) {}

  void start() { executeActions(Execution.start(Loop.now())); }

private:
  static std::shared_ptr<const std::vector<state::ReplicaId>>
  replicasOf(const state::Service &service) {
    auto ids = std::make_shared<std::vector<state::ReplicaId>>();
    for (const state::Replica &replica : service.Replicas)
      ids->push_back(replica.Id);
    return ids;
  }

  void executeActions(coordination::WriteActions actions) {
    dispatchActions<coordination::FinishWrite>(
        std::move(actions),
        [this](const coordination::SendSubRequest &action) {
          transport::HttpRequest request{
              "POST", std::string(protocol::BackendWritesPath), {}, Body};
          request.Headers.add("content-type", "application/json");
          request.Headers.add(protocol::IdempotencyKeyHeader, Key);
          send(action, std::move(request), MaySend);
        },
        [this](std::unique_ptr<coordination::WriteOutcome> outcome) {
          std::exchange(DoneCallback, nullptr)(std::move(outcome));
        });
  }

  void onResult(const coordination::SendSubRequest &action,
                transport::HttpResult result) override {
    const state::TimePoint now = Loop.now();
    if (!result || result->Status != 200) {
      executeActions(
          Execution.onFailure(classifyFailure(action.Number, result), now));
      return;
    }
    auto decoded = protocol::decodeWriteResponse(std::move(result->Body),
                                                 subRequestId(action.Number));
    if (!decoded) {
      executeActions(Execution.onFailure(
          {action.Number, coordination::FailureReason::InvalidResponse, true},
          now));
      return;
    }
    coordination::WriteResponse response;
    response.Number = action.Number;
    response.Json = decoded->Result;
    response.Body = decoded->Body;
    executeActions(Execution.onResponse(std::move(response), now));
  }

  void onTimer() override { executeActions(Execution.onTimer(Loop.now())); }

  std::string Key;
  std::string Body;
  coordination::WriteExecution Execution;
  transport::SendPredicate MaySend;
  Callback DoneCallback;
};

WriteResult errorResult(ErrorCode code, ExecutionState ran, std::string text) {
  WriteResult result;
  result.Error = state::Error{code, std::move(text)};
  result.Ran = ran;
  return result;
}

WriteResult toWriteResult(const coordination::WriteAnswer &answer) {
  const ExecutionState ran =
      answer.NotRun ? ExecutionState::NotRun : ExecutionState::Unknown;
  switch (answer.Kind) {
  case WriteAnswerKind::Completed: {
    WriteResult result;
    result.Ran = ExecutionState::Ran;
    result.Status = answer.Status;
    result.Result = answer.Result;
    return result;
  }
  case WriteAnswerKind::InProgress:
    return errorResult(ErrorCode::OutcomeUnknown, ExecutionState::Unknown,
                       "an earlier submission of this key is running");
  case WriteAnswerKind::Refused:
    return errorResult(ErrorCode::Unavailable, ran,
                       "no majority of the daemons granted the write");
  case WriteAnswerKind::Unknown:
    return errorResult(ErrorCode::OutcomeUnknown, ExecutionState::Unknown,
                       "the write may or may not have run");
  case WriteAnswerKind::Conflict:
    return errorResult(ErrorCode::Conflict, ExecutionState::NotRun,
                       "the key was used with a different body");
  case WriteAnswerKind::Expired:
    return errorResult(ErrorCode::OutcomeUnknown, ExecutionState::Unknown,
                       "the key has expired or was issued in the future");
  case WriteAnswerKind::Overloaded:
    return errorResult(ErrorCode::Overloaded, ran,
                       "too many writes are in progress");
  }
  return errorResult(ErrorCode::OutcomeUnknown, ExecutionState::Unknown, "");
}

} // namespace

WriteTask::WriteTask(transport::EventLoop &loop, FleetTask &fleet,
                     PublishedLists &lists, BackendTask &backends,
                     const coordination::MemberId &self,
                     const coordination::WriteRegistryOptions &options,
                     std::uint64_t seed)
    : Loop(loop), Fleet(fleet), Lists(lists), Backends(backends), Random(seed),
      Registry({self.Vm, self.Instance}, loop, Random, options) {
  Lists.onChange([this](std::string_view key) { onListChange(key); });
  Fleet.onLink([this](const transport::PeerIdentity &peer, bool isUp) {
    if (isUp)
      Registry.sendKnowledge({peer.VmId, peer.Instance});
    executePendingActions();
  });
  Fleet.addMessageHandler(
      100, 199,
      [this](const coordination::MemberId &from, std::uint16_t type,
             std::string_view payload) {
        const auto message = protocol::decodeWriteMessage(type, payload);
        if (message)
          Registry.receive({from.Vm, from.Instance}, *message);
        executePendingActions();
      });
}

void WriteTask::submit(WriteCommand command, WriteCallback callback) {
  const auto key = protocol::parseWriteKey(command.IdempotencyKey);
  if (!key) {
    callback(errorResult(ErrorCode::InvalidArgument, ExecutionState::NotRun,
                         key.error().Text));
    return;
  }
  const coordination::SubmissionId id = ++LastSubmission;
  const std::string bodyHash =
      state::sha256Hex(command.Service.Name + "\n" + command.Body);
  Submission submission;
  submission.DeadlineAt = Loop.now() + command.Deadline;
  submission.Command = std::move(command);
  submission.Callback = std::move(callback);
  Submissions.emplace(id, std::move(submission));
  ByKey.emplace(*key, id);
  Registry.submit(id, *key, bodyHash);
  executePendingActions();
}

void WriteTask::tick() {
  Registry.tick();
  executePendingActions();
}

void WriteTask::retire() {
  Registry.retire();
  executePendingActions();
}

void WriteTask::executePendingActions() {
  // Executing an action can add further ones, which the outer call executes.
  if (IsExecutingActions)
    return;
  IsExecutingActions = true;
  for (auto actions = Registry.takeActions(); !actions.empty();
       actions = Registry.takeActions()) {
    for (const auto &action : actions) {
      if (const auto *message =
              std::get_if<coordination::SendWriteMessage>(&action))
        Fleet.send({message->To.VmId, message->To.Instance},
                   static_cast<std::uint16_t>(message->Message.Type),
                   protocol::encodeWriteMessage(message->Message));
      else if (const auto *toRun = std::get_if<coordination::RunWrite>(&action))
        run(*toRun);
      else
        answer(std::get<coordination::AnswerWrite>(action));
    }
  }
  IsExecutingActions = false;
}

void WriteTask::run(const coordination::RunWrite &action) {
  const auto it = ByKey.find(action.Key);
  if (it == ByKey.end()) {
    Registry.finishRun(action.Key, action.Attempt,
                       coordination::RunResult::NotRun, 0, "");
    return;
  }
  const coordination::SubmissionId id = it->second;
  const Submission &submission = Submissions.at(id);
  const state::Duration remaining =
      std::max(submission.DeadlineAt - Loop.now(), state::Duration(0));
  const auto run = std::make_shared<WriteRun>(
      Loop, Backends, submission.Command, remaining,
      [this, action] {
        const bool mayRun = Registry.beginRun(action.Key, action.Attempt);
        Loop.post([this] { executePendingActions(); });
        return mayRun;
      },
      [this, action, id](std::unique_ptr<coordination::WriteOutcome> outcome) {
        finishRun(action, id, *outcome);
      });
  run->start();
}

void WriteTask::finishRun(const coordination::RunWrite &action,
                          coordination::SubmissionId submission,
                          const coordination::WriteOutcome &outcome) {
  const auto it = Submissions.find(submission);
  if (it != Submissions.end())
    it->second.SubRequests = outcome.Counts.Primaries + outcome.Counts.Retries;
  auto result = coordination::RunResult::Unknown;
  if (outcome.Ran == ExecutionState::Ran)
    result = coordination::RunResult::Ran;
  else if (outcome.Ran == ExecutionState::NotRun)
    result = coordination::RunResult::NotRun;
  Registry.finishRun(action.Key, action.Attempt, result,
                     static_cast<std::uint16_t>(outcome.Response.Status),
                     std::string(outcome.Response.Json));
  executePendingActions();
}

void WriteTask::answer(const coordination::AnswerWrite &action) {
  const auto it = Submissions.find(action.Submission);
  if (it == Submissions.end())
    return;
  const Submission submission = std::move(it->second);
  Submissions.erase(it);
  std::erase_if(ByKey, [&](const auto &entry) {
    return entry.second == action.Submission;
  });
  WriteResult result = toWriteResult(action.Answer);
  result.SubRequests = submission.SubRequests;
  submission.Callback(std::move(result));
}

void WriteTask::onListChange(std::string_view key) {
  if (key != protocol::configKeyName(protocol::ConfigKey::Vms))
    return;
  protocol::WriteMemberList list;
  list.Version = Lists.vms()->Version;
  for (const coordination::ListedVm &vm : Fleet.listedVms())
    list.Members.push_back({vm.Id.Vm, vm.Id.Instance});
  Registry.updateList(list);
  executePendingActions();
}

} // namespace galenaflow::daemon
