#include "coordination/write_execution.h"

// A write has no hedges, and its only timer is the deadline. Each replica gets
// at most one sub-request. Retries take tokens from the same budget as those of
// reads; without a token the write ends as not run, and the caller may submit
// it again.

namespace galenaflow::coordination {

using state::ErrorCode;

WriteExecution::WriteExecution(WriteOptions options, QueryPolicies policies)
    : Options(std::move(options)), Policies(policies) {}

WriteActions WriteExecution::start(TimePoint now) {
  DeadlineAt = now + Options.Deadline;
  if (!send(AttemptKind::Primary, now)) {
    fail(ErrorCode::Unavailable, ExecutionState::NotRun, "no usable replica");
    return std::move(Actions);
  }
  Policies.Hedging.onPrimariesSent(1);
  Policies.Retries.onPrimariesSent(1);
  Actions.push_back(SetTimer{DeadlineAt});
  return std::move(Actions);
}

bool WriteExecution::isOpen(SubRequestNumber number) const {
  return !Finished && Open && number + 1 == SentCount;
}

bool WriteExecution::send(AttemptKind kind, TimePoint now) {
  const auto pick = Policies.Replicas.choose({*Options.Replicas, Tried}, now);
  if (!pick)
    return false;
  Replica = *pick;
  Tried |= std::uint64_t{1} << *pick;
  SentAt = now;
  Open = true;
  const std::string_view id = (*Options.Replicas)[*pick];
  Counts.Primaries += kind == AttemptKind::Primary ? 1 : 0;
  Counts.Retries += kind == AttemptKind::Retry ? 1 : 0;
  Policies.Replicas.onSent(id, now);
  Actions.push_back(
      SendSubRequest{SentCount++, 0, id, 0, DeadlineAt - now, kind});
  return true;
}

void WriteExecution::endAttempt(AttemptOutcome outcome, TimePoint now) {
  Open = false;
  Policies.Replicas.onEnded((*Options.Replicas)[Replica], outcome, now - SentAt,
                            now);
}

WriteActions WriteExecution::onResponse(WriteResponse response, TimePoint now) {
  if (!isOpen(response.Number)) {
    ++Counts.Discarded;
    return {};
  }
  Policies.Hedging.onLatency(now - SentAt);
  endAttempt(AttemptOutcome::Succeeded, now);
  WriteOutcome outcome;
  outcome.Ran = ExecutionState::Ran;
  outcome.Response = std::move(response);
  finish(std::move(outcome));
  return std::move(Actions);
}

WriteActions WriteExecution::onFailure(const SubFailure &failure,
                                       TimePoint now) {
  if (!isOpen(failure.Number))
    return {};
  endAttempt(attemptOutcomeOf(failure.Reason), now);
  const std::string reason(protocol::missingReasonName(failure.Reason));
  if (failure.MayHaveRun) {
    fail(ErrorCode::OutcomeUnknown, ExecutionState::Unknown,
         "the write failed after it was sent: " + reason);
    return std::move(Actions);
  }
  const bool canRetry =
      now < DeadlineAt &&
      Policies.Replicas.choose({*Options.Replicas, Tried}, now) &&
      Policies.Retries.tryTake();
  if (!canRetry || !send(AttemptKind::Retry, now))
    fail(now < DeadlineAt ? ErrorCode::Unavailable
                          : ErrorCode::DeadlineExceeded,
         ExecutionState::NotRun,
         "no replica ran the write; last failure: " + reason);
  return std::move(Actions);
}

WriteActions WriteExecution::onTimer(TimePoint now) {
  if (Finished || now < DeadlineAt)
    return {};
  endAttempt(AttemptOutcome::Failed, now);
  Actions.push_back(CancelSubRequest{SentCount - 1});
  fail(ErrorCode::OutcomeUnknown, ExecutionState::Unknown,
       "no response before the deadline");
  return std::move(Actions);
}

void WriteExecution::fail(ErrorCode code, ExecutionState ran,
                          std::string text) {
  WriteOutcome outcome;
  outcome.Error = state::Error{code, std::move(text)};
  outcome.Ran = ran;
  finish(std::move(outcome));
}

void WriteExecution::finish(WriteOutcome outcome) {
  outcome.Counts = Counts;
  Finished = true;
  Actions.push_back(
      FinishWrite{std::make_unique<WriteOutcome>(std::move(outcome))});
}

} // namespace galenaflow::coordination
