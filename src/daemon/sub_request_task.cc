#include "daemon/sub_request_task.h"

#include "protocol/backend_api.h"

#include <algorithm>

namespace galenaflow::daemon {

using coordination::FailureReason;
using coordination::SubFailure;
using state::ErrorCode;

namespace {

FailureReason reasonOf(protocol::NotRunReason reason) {
  switch (reason) {
  case protocol::NotRunReason::Shed:
    return FailureReason::Shed;
  case protocol::NotRunReason::Draining:
  case protocol::NotRunReason::Cold:
    return FailureReason::Refused;
  case protocol::NotRunReason::SnapshotGone:
    return FailureReason::SnapshotGone;
  }
  return FailureReason::Refused;
}

FailureReason reasonOf(ErrorCode code) {
  switch (code) {
  case ErrorCode::DeadlineExceeded:
    return FailureReason::Timeout;
  case ErrorCode::Cancelled:
    return FailureReason::Cancelled;
  case ErrorCode::Overloaded:
    return FailureReason::Shed;
  default:
    return FailureReason::ConnectionFailed;
  }
}

} // namespace

SubFailure failureOf(coordination::SubRequestNumber number,
                     const transport::HttpResult &result) {
  if (!result)
    return {number, reasonOf(result.error().Cause.Code),
            result.error().MaybeSent};
  const auto header = result->Headers.find(protocol::NotRunHeader);
  const auto notRun = protocol::parseNotRun(header.value_or(""));
  if (notRun && (result->Status == 503 || result->Status == 410))
    return {number, reasonOf(*notRun), false};
  return {number, FailureReason::InvalidResponse, true};
}

SubRequestTask::SubRequestTask(transport::EventLoop &loop,
                               BackendTask &backends, SubRequestContext context)
    : Loop(loop), Backends(backends), Context(std::move(context)) {}

SubRequestTask::~SubRequestTask() { Loop.cancel(Timer); }

void SubRequestTask::send(const coordination::SendSubRequest &action,
                          transport::HttpRequest request,
                          transport::SendGate gate) {
  BackendCall call;
  call.Gate = std::move(gate);
  call.Replica = action.Replica;
  call.Priority = Context.Priority;
  call.DeadlineAt = Loop.now() + action.Timeout;
  call.SubRequestId = subRequestId(action.Number);
  const auto ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(action.Timeout);
  request.Headers.add(protocol::SubRequestIdHeader, call.SubRequestId);
  request.Headers.add(protocol::DeadlineHeader,
                      std::to_string(std::max<std::int64_t>(ms.count(), 1)));
  request.Headers.add(protocol::TraceparentHeader,
                      protocol::formatTraceparent(Context.Trace));
  call.Request = std::move(request);
  Calls[action.Number] =
      Backends.call(std::move(call), [self = shared_from_this(),
                                      action](transport::HttpResult result) {
        self->Calls.erase(action.Number);
        self->onResult(action, std::move(result));
      });
}

void SubRequestTask::cancel(coordination::SubRequestNumber number) {
  const auto it = Calls.find(number);
  if (it == Calls.end())
    return;
  const CallId id = it->second;
  Calls.erase(it);
  Backends.cancel(id);
}

void SubRequestTask::setTimer(state::TimePoint at) {
  Loop.cancel(Timer);
  Timer = Loop.schedule(at - Loop.now(), [self = shared_from_this()] {
    self->Timer = 0;
    self->onTimer();
  });
}

void SubRequestTask::stopTimer() {
  Loop.cancel(Timer);
  Timer = 0;
}

std::string
SubRequestTask::subRequestId(coordination::SubRequestNumber number) const {
  return Context.IdPrefix + "-" + std::to_string(number);
}

} // namespace galenaflow::daemon
