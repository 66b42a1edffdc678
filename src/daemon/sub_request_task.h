#ifndef GALENAFLOW_DAEMON_SUB_REQUEST_TASK_H
#define GALENAFLOW_DAEMON_SUB_REQUEST_TASK_H

#include "coordination/sub_request.h"
#include "daemon/backend_task.h"
#include "daemon/tracer.h"
#include "protocol/trace_context.h"

#include <memory>
#include <string>
#include <unordered_map>
#include <utility>
#include <variant>

namespace galenaflow::daemon {

/// Values that all sub-requests of one caller's request share.
struct SubRequestContext {
  /// Prefix of the sub-request ids; unique over all daemons and restarts.
  std::string IdPrefix;
  state::Priority Priority = state::Priority::Normal;
  protocol::TraceContext Trace;    ///< of the caller's request
  Tracer *RequestTracer = nullptr; ///< outlives the task
};

/// Maps an unsuccessful exchange to the failure of its sub-request.
coordination::SubFailure classifyFailure(coordination::SubRequestNumber number,
                                         const transport::HttpResult &result);

/// Executes the actions of one execution: sends sub-requests, cancels them and
/// sets the timer. The task keeps itself alive until all sub-requests have
/// ended.
class SubRequestTask : public std::enable_shared_from_this<SubRequestTask> {
public:
  SubRequestTask(transport::EventLoop &loop, BackendTask &backends,
                 SubRequestContext context);
  virtual ~SubRequestTask();

  /// The trace and the sub-request ids of this task.
  const SubRequestContext &context() const { return Context; }

protected:
  /// Sends `request` with the headers that every sub-request carries.
  void send(const coordination::SendSubRequest &action,
            transport::HttpRequest request,
            transport::SendPredicate maySend = nullptr);
  void cancel(coordination::SubRequestNumber number);
  void setTimer(state::TimePoint at);

  /// Cancels the timer. Open sub-requests continue until they end.
  void stopTimer();

  std::string subRequestId(coordination::SubRequestNumber number) const;

  /// Executes the actions of an execution in order. `sendTo` is called with
  /// each SendSubRequest, `finish` with the outcome in the Finish action.
  template <typename Finish, typename Actions, typename SendTo,
            typename OnFinish>
  void dispatchActions(Actions actions, SendTo sendTo, OnFinish finish) {
    for (auto &action : actions) {
      if (const auto *toSend =
              std::get_if<coordination::SendSubRequest>(&action)) {
        sendTo(*toSend);
      } else if (const auto *cancelled =
                     std::get_if<coordination::CancelSubRequest>(&action)) {
        cancel(cancelled->Number);
      } else if (const auto *timer =
                     std::get_if<coordination::SetTimer>(&action)) {
        setTimer(timer->At);
      } else if (auto *finished = std::get_if<Finish>(&action)) {
        stopTimer();
        finish(std::move(finished->Outcome));
      }
    }
  }

  /// Called when a sub-request that was not cancelled has ended.
  virtual void onResult(const coordination::SendSubRequest &action,
                        transport::HttpResult result) = 0;
  virtual void onTimer() = 0;

  transport::EventLoop &Loop;

private:
  struct OpenCall {
    CallId Id = 0;
    OpenSpan Span;
    std::string Replica;
    state::ShardNumber Shard = 0;
    coordination::AttemptKind Kind = coordination::AttemptKind::Primary;
  };

  void finishSpan(OpenCall call, std::string failure);

  BackendTask &Backends;
  SubRequestContext Context;
  std::unordered_map<coordination::SubRequestNumber, OpenCall> Calls;
  transport::TimerId Timer = 0;
};

} // namespace galenaflow::daemon

#endif
