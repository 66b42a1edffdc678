#include "daemon/sub_request_task.h"

#include "protocol/backend_api.h"

#include <algorithm>

namespace galenaflow::daemon {

using coordination::FailureReason;
using coordination::SubFailure;
using state::ErrorCode;

namespace {

FailureReason toFailureReason(protocol::NotRunReason reason) {
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

FailureReason toFailureReason(ErrorCode code) {
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

std::string_view attemptKindName(coordination::AttemptKind kind) {
  switch (kind) {
  case coordination::AttemptKind::Primary:
    return "primary";
  case coordination::AttemptKind::Hedge:
    return "hedge";
  case coordination::AttemptKind::Retry:
    return "retry";
  }
  return "primary";
}

/// Describes why the exchange failed; empty for status 200.
std::string failureText(const transport::HttpResult &result) {
  if (!result)
    return result.error().Cause.Text;
  return result->Status == 200 ? ""
                               : "status " + std::to_string(result->Status);
}

} // namespace

SubFailure classifyFailure(coordination::SubRequestNumber number,
                           const transport::HttpResult &result) {
  if (!result)
    return {number, toFailureReason(result.error().Cause.Code),
            result.error().MaybeSent};
  const auto header = result->Headers.find(protocol::NotRunHeader);
  const auto notRun = protocol::parseNotRun(header.value_or(""));
  if (notRun && (result->Status == 503 || result->Status == 410))
    return {number, toFailureReason(*notRun), false};
  return {number, FailureReason::InvalidResponse, true};
}

SubRequestTask::SubRequestTask(transport::EventLoop &loop,
                               BackendTask &backends, SubRequestContext context)
    : Loop(loop), Backends(backends), Context(std::move(context)) {}

SubRequestTask::~SubRequestTask() { Loop.cancel(Timer); }

void SubRequestTask::send(const coordination::SendSubRequest &action,
                          transport::HttpRequest request,
                          transport::SendPredicate maySend) {
  BackendCall call;
  call.MaySend = std::move(maySend);
  call.Replica = action.Replica;
  call.Priority = Context.Priority;
  call.DeadlineAt = Loop.now() + action.Timeout;
  call.SubRequestId = subRequestId(action.Number);
  const auto ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(action.Timeout);
  request.Headers.add(protocol::SubRequestIdHeader, call.SubRequestId);
  request.Headers.add(protocol::DeadlineHeader,
                      std::to_string(std::max<std::int64_t>(ms.count(), 1)));
  OpenCall &open = Calls[action.Number];
  open.Span = Context.RequestTracer->startChild(Context.Trace, "sub_request",
                                                protocol::SpanKind::Client);
  open.Replica = action.Replica;
  open.Shard = action.Shard;
  open.Kind = action.Kind;
  request.Headers.add(protocol::TraceparentHeader,
                      protocol::formatTraceparent(open.Span.Context));
  call.Request = std::move(request);
  open.Id = Backends.call(std::move(call), [self = shared_from_this(), action](
                                               transport::HttpResult result) {
    auto node = self->Calls.extract(action.Number);
    self->finishSpan(std::move(node.mapped()), failureText(result));
    self->onResult(action, std::move(result));
  });
}

void SubRequestTask::cancel(coordination::SubRequestNumber number) {
  const auto it = Calls.find(number);
  if (it == Calls.end())
    return;
  OpenCall call = std::move(it->second);
  Calls.erase(it);
  Backends.cancel(call.Id);
  finishSpan(std::move(call), "cancelled");
}

void SubRequestTask::finishSpan(OpenCall call, std::string failure) {
  if (!call.Span.Context.IsSampled)
    return;
  Context.RequestTracer->finish(
      std::move(call.Span), std::move(failure),
      {{"replica", call.Replica},
       {"shard", std::to_string(call.Shard)},
       {"kind", std::string(attemptKindName(call.Kind))}});
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
