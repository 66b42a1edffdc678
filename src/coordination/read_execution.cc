#include "coordination/read_execution.h"

#include <algorithm>

// Each replica gets at most one sub-request, since a pool has several
// replicas and reading a record from another one is cheap.

namespace galenaflow::coordination {

using state::ErrorCode;

namespace {

constexpr std::uint32_t MaxRetriesLatency = 1;
constexpr std::uint32_t MaxRetriesCoverage = 3;

} // namespace

ReadExecution::ReadExecution(ReadOptions options, QueryPolicies policies)
    : Options(std::move(options)), Policies(policies) {}

ReadActions ReadExecution::start(TimePoint now) {
  DeadlineAt = now + Options.Deadline;
  if (now >= DeadlineAt)
    fail(ErrorCode::DeadlineExceeded,
         "the deadline passed before the read started", now);
  else if (send(AttemptKind::Primary, now)) {
    Policies.Hedging.onPrimariesSent(1);
    Policies.Retries.onPrimariesSent(1);
  } else {
    fail(ErrorCode::Unavailable, "no usable replica", now);
  }
  return completeEvent(now);
}

bool ReadExecution::hasUntriedReplica(TimePoint now) const {
  return now < DeadlineAt &&
         Policies.Replicas.choose({*Options.Replicas, Tried}, now).has_value();
}

bool ReadExecution::send(AttemptKind kind, TimePoint now) {
  const auto pick = Policies.Replicas.choose({*Options.Replicas, Tried}, now);
  if (!pick)
    return false;
  const auto number = static_cast<SubRequestNumber>(Attempts.size());
  const std::string_view replica = (*Options.Replicas)[*pick];
  Attempts.push_back({*pick, true, now});
  Tried |= std::uint64_t{1} << *pick;
  ++OpenAttempts;
  Counts.Primaries += kind == AttemptKind::Primary ? 1 : 0;
  Counts.Hedges += kind == AttemptKind::Hedge ? 1 : 0;
  Counts.Retries += kind == AttemptKind::Retry ? 1 : 0;
  Policies.Replicas.onSent(replica, now);
  Actions.push_back(
      SendSubRequest{number, 0, replica, 0, DeadlineAt - now, kind});
  const auto p95 = Policies.Hedging.p95();
  HedgeAt = p95 && Counts.Hedges == 0 ? now + *p95 : TimePoint::max();
  return true;
}

void ReadExecution::endAttempt(Attempt &attempt, AttemptOutcome outcome,
                               TimePoint now) {
  attempt.Open = false;
  --OpenAttempts;
  Policies.Replicas.onEnded((*Options.Replicas)[attempt.Replica], outcome,
                            now - attempt.SentAt, now);
}

ReadActions ReadExecution::onResponse(ReadResponse response, TimePoint now) {
  const bool isKnown = !Finished && response.Number < Attempts.size();
  if (!isKnown || !Attempts[response.Number].Open) {
    ++Counts.Discarded;
    return {};
  }
  Attempt &attempt = Attempts[response.Number];
  Policies.Hedging.onLatency(now - attempt.SentAt);
  endAttempt(attempt, AttemptOutcome::Succeeded, now);
  ReadOutcome outcome;
  outcome.Ran = ExecutionState::Ran;
  outcome.Response = std::move(response);
  finish(std::move(outcome), now);
  return std::move(Actions);
}

ReadActions ReadExecution::onFailure(const SubFailure &failure, TimePoint now) {
  if (Finished || failure.Number >= Attempts.size() ||
      !Attempts[failure.Number].Open)
    return {};
  AnyMayHaveRun = AnyMayHaveRun || failure.MayHaveRun;
  endAttempt(Attempts[failure.Number], attemptOutcomeOf(failure.Reason), now);
  if (OpenAttempts == 0)
    retry(failure.Reason, now);
  return completeEvent(now);
}

void ReadExecution::retry(FailureReason reason, TimePoint now) {
  const auto maxRetries = Options.Prefer == state::Preference::Coverage
                              ? MaxRetriesCoverage
                              : MaxRetriesLatency;
  if (Counts.Retries < maxRetries && hasUntriedReplica(now) &&
      Policies.Retries.tryTake()) {
    send(AttemptKind::Retry, now);
    return;
  }
  const bool isLate = now >= DeadlineAt || reason == FailureReason::Timeout;
  fail(isLate ? ErrorCode::DeadlineExceeded : ErrorCode::Unavailable,
       "no replica responded; last failure: " +
           std::string(protocol::missingReasonName(reason)),
       now);
}

void ReadExecution::hedge(TimePoint now) {
  HedgeAt = TimePoint::max();
  if (hasUntriedReplica(now) && Policies.Hedging.tryTake())
    send(AttemptKind::Hedge, now);
}

ReadActions ReadExecution::onTimer(TimePoint now) {
  if (Finished)
    return {};
  TimerAt = TimePoint::max();
  if (now >= DeadlineAt)
    fail(ErrorCode::DeadlineExceeded, "no response before the deadline", now);
  else if (now >= HedgeAt)
    hedge(now);
  return completeEvent(now);
}

ReadActions ReadExecution::onCallerCancel(TimePoint now) {
  if (!Finished)
    fail(ErrorCode::Cancelled, "the caller cancelled the request", now);
  return std::move(Actions);
}

ReadActions ReadExecution::completeEvent(TimePoint) {
  const TimePoint at = std::min(HedgeAt, DeadlineAt);
  if (!Finished && at < TimerAt) {
    TimerAt = at;
    Actions.push_back(SetTimer{at});
  }
  return std::move(Actions);
}

void ReadExecution::fail(ErrorCode code, std::string text, TimePoint now) {
  AnyMayHaveRun = AnyMayHaveRun || OpenAttempts > 0;
  ReadOutcome outcome;
  outcome.Error = state::Error{code, std::move(text)};
  outcome.Ran =
      AnyMayHaveRun ? ExecutionState::Unknown : ExecutionState::NotRun;
  finish(std::move(outcome), now);
}

void ReadExecution::finish(ReadOutcome outcome, TimePoint now) {
  for (std::size_t i = 0; i < Attempts.size(); ++i) {
    if (!Attempts[i].Open)
      continue;
    const Duration elapsed = now - Attempts[i].SentAt;
    if (exceedsP95(Policies.Hedging, elapsed))
      Policies.Hedging.onLatency(elapsed);
    endAttempt(Attempts[i], AttemptOutcome::Cancelled, now);
    Actions.push_back(CancelSubRequest{static_cast<SubRequestNumber>(i)});
  }
  outcome.Counts = Counts;
  Finished = true;
  Actions.push_back(
      FinishRead{std::make_unique<ReadOutcome>(std::move(outcome))});
}

} // namespace galenaflow::coordination
