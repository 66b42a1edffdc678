#include "coordination/query_execution.h"

#include "coordination/top_k_merge.h"

#include <algorithm>
#include <cmath>

// Each shard of the chosen layout is pending, answered or missing. The query
// ends when no shard is pending, at the straggler cut-off, or at the deadline.
//
// A sub-request number is an index into Attempts and is never reused, not even
// after a restart on another snapshot, so a late response cannot be mistaken
// for that of a newer attempt. A response counts only while its attempt is open
// and if it names the requested shard and snapshot.
//
// A pending shard has one wake-up time: that of the next hedge while an attempt
// is open, otherwise that of the next retry. NextWake is the earliest of them.
// It may be too early after a shard was answered, which costs one unneeded scan
// but saves a search on each response.

namespace galenaflow::coordination {

using state::ErrorCode;

namespace {

/// Bounds of the rules for retries and the straggler cut-off (design page,
/// section 9).
constexpr std::uint8_t MaxRetriesLatency = 1;
constexpr std::uint8_t MaxRetriesCoverage = 3;
constexpr int CutOffFactor = 3;
constexpr Duration MinCutOff = std::chrono::milliseconds(20);

/// A shard to which nothing can be sent now (no usable replica, no token, or
/// all replicas have already failed) is retried after a quarter of the
/// remaining time, so that the retries are spread over the time until the
/// deadline.
constexpr Duration MinRetryWait = std::chrono::milliseconds(10);
constexpr int RetryWaitDivisor = 4;
constexpr std::uint8_t MaxWaits = 6;

/// Most replicas of a shard that the selector considers: one bit each in a
/// 64-bit mask.
constexpr std::size_t MaxReplicas = 64;

std::uint64_t bitOf(std::size_t i) { return std::uint64_t{1} << i; }

} // namespace

QueryExecution::QueryExecution(QueryOptions options, QueryPolicies policies)
    : Options(std::move(options)), Policies(policies) {}

QueryActions QueryExecution::start(TimePoint now) {
  StartedAt = now;
  DeadlineAt = now + Options.Deadline;
  if (now >= DeadlineAt) {
    finish(state::Error{ErrorCode::DeadlineExceeded,
                        "the deadline passed before the query started"},
           now);
    return std::move(Actions);
  }
  auto choice = Policies.Snapshots.select(Options.Service, {});
  if (!choice || !choice->Layout || choice->Layout->Shards.empty()) {
    finish(state::Error{ErrorCode::Unavailable,
                        "no snapshot of " + Options.Service + " is served"},
           now);
    return std::move(Actions);
  }
  beginRound(std::move(*choice), now);
  Policies.Hedging.onPrimariesSent(Counts.Primaries);
  Policies.Retries.onPrimariesSent(Counts.Primaries);
  return completeEvent(now);
}

void QueryExecution::beginRound(SnapshotChoice choice, TimePoint now) {
  Choice = std::move(choice);
  const std::size_t n = Choice.Layout->Shards.size();
  Shards.clear();
  Shards.resize(n);
  Attempts.reserve(Attempts.size() + n);
  Actions.reserve(Actions.size() + n + 1);
  Pending = n;
  AnsweredShards = 0;
  NextWake = TimePoint::max();
  for (std::size_t i = 0; i < n; ++i)
    if (!send(i, AttemptKind::Primary, 0, now))
      waitOrMarkMissing(i, FailureReason::NoReplica, now);
}

bool QueryExecution::send(std::size_t shard, AttemptKind kind,
                          std::uint64_t excluded, TimePoint now) {
  const state::Shard &listed = Choice.Layout->Shards[shard];
  const auto pick = Policies.Replicas.choose(
      {listed.Replicas, excluded, Choice.Snapshot}, now);
  if (!pick || *pick >= std::min(listed.Replicas.size(), MaxReplicas))
    return false;
  ShardState &it = Shards[shard];
  const auto number = static_cast<SubRequestNumber>(Attempts.size());
  Attempts.push_back({static_cast<std::uint32_t>(shard),
                      static_cast<std::uint8_t>(*pick), true, now});
  it.Tried |= bitOf(*pick);
  ++it.OpenAttempts;
  switch (kind) {
  case AttemptKind::Primary:
    ++Counts.Primaries;
    break;
  case AttemptKind::Hedge:
    ++Counts.Hedges;
    ++it.Hedges;
    break;
  case AttemptKind::Retry:
    ++Counts.Retries;
    break;
  }
  const std::string_view replica = listed.Replicas[*pick];
  Policies.Replicas.onSent(replica, now);
  Actions.push_back(SendSubRequest{number, listed.Number, replica,
                                   Choice.Snapshot, DeadlineAt - now, kind});
  const auto p95 = Policies.Hedging.p95();
  wakeShardAt(it, p95 ? now + *p95 : TimePoint::max());
  return true;
}

void QueryExecution::wakeShardAt(ShardState &shard, TimePoint at) {
  shard.WakeAt = at;
  NextWake = std::min(NextWake, at);
}

QueryExecution::Attempt *QueryExecution::openAttempt(SubRequestNumber number) {
  if (Finished || number >= Attempts.size() || !Attempts[number].Open)
    return nullptr;
  return &Attempts[number];
}

QueryActions QueryExecution::onResponse(SubResponse response, TimePoint now) {
  Attempt *attempt = openAttempt(response.Number);
  if (!attempt) {
    ++Counts.Discarded;
    return {};
  }
  const std::size_t i = attempt->ShardIndex;
  AnyRan = true;
  const bool matches = response.Shard == Choice.Layout->Shards[i].Number &&
                       response.Snapshot == Choice.Snapshot &&
                       hitsInOrder(response.Hits);
  if (!matches) {
    ++Counts.Discarded;
    failAttempt(*attempt, FailureReason::InvalidResponse, true, now);
    return completeEvent(now);
  }
  Policies.Hedging.onLatency(now - attempt->SentAt);
  endAttempt(*attempt, AttemptOutcome::Succeeded, now);
  cancelOpen(i, now);
  ShardState &it = Shards[i];
  it.Status = ShardStatus::Answered;
  it.Hits = std::move(response.Hits);
  it.Body = std::move(response.Body);
  --Pending;
  ++AnsweredShards;
  return completeEvent(now);
}

QueryActions QueryExecution::onFailure(const SubFailure &failure,
                                       TimePoint now) {
  Attempt *attempt = openAttempt(failure.Number);
  if (!attempt)
    return {};
  failAttempt(*attempt, failure.Reason, failure.MayHaveRun, now);
  return completeEvent(now);
}

QueryActions QueryExecution::onTimer(TimePoint now) {
  if (Finished)
    return {};
  TimerAt = TimePoint::max();
  if (now < DeadlineAt && now >= NextWake)
    wakeShards(now);
  return completeEvent(now);
}

QueryActions QueryExecution::onCallerCancel(TimePoint now) {
  if (Finished)
    return {};
  finish(state::Error{ErrorCode::Cancelled, "the caller cancelled the request"},
         now);
  return std::move(Actions);
}

void QueryExecution::endAttempt(Attempt &attempt, AttemptOutcome outcome,
                                TimePoint now) {
  attempt.Open = false;
  --Shards[attempt.ShardIndex].OpenAttempts;
  const auto &listed = Choice.Layout->Shards[attempt.ShardIndex];
  Policies.Replicas.onEnded(listed.Replicas[attempt.ReplicaIndex], outcome,
                            now - attempt.SentAt, now);
}

void QueryExecution::cancel(SubRequestNumber number, TimePoint now) {
  AnyMayHaveRun = true;
  const Duration elapsed = now - Attempts[number].SentAt;
  if (exceedsP95(Policies.Hedging, elapsed))
    Policies.Hedging.onLatency(elapsed);
  endAttempt(Attempts[number], AttemptOutcome::Cancelled, now);
  Actions.push_back(CancelSubRequest{number});
}

void QueryExecution::cancelOpen(std::size_t shard, TimePoint now) {
  for (SubRequestNumber i = 0; Shards[shard].OpenAttempts > 0; ++i)
    if (Attempts[i].Open && Attempts[i].ShardIndex == shard)
      cancel(i, now);
}

void QueryExecution::cancelAll(TimePoint now) {
  for (SubRequestNumber i = 0; i < Attempts.size(); ++i)
    if (Attempts[i].Open)
      cancel(i, now);
}

void QueryExecution::failAttempt(Attempt &attempt, FailureReason reason,
                                 bool mayHaveRun, TimePoint now) {
  const std::size_t i = attempt.ShardIndex;
  ShardState &it = Shards[i];
  AnyMayHaveRun = AnyMayHaveRun || mayHaveRun;
  endAttempt(attempt, attemptOutcomeOf(reason), now);
  it.Reason = reason;
  if (reason == FailureReason::SnapshotGone)
    it.WithoutSnapshot |= bitOf(attempt.ReplicaIndex);
  if (it.OpenAttempts > 0) { // another attempt may still get a response
    if (prefersCoverage())
      wakeShardAt(it, now + MinRetryWait);
    return;
  }
  // Without a connection the replica did no work, so a sub-request to another
  // replica is no extra load. The retry budget alone would not suffice when
  // each shard has lost a replica that is not ejected yet.
  const bool unsent = reason == FailureReason::ConnectionFailed && !mayHaveRun;
  if ((reason == FailureReason::SnapshotGone || unsent) && redirect(i, now))
    return;
  retry(i, now);
}

bool QueryExecution::redirect(std::size_t shard, TimePoint now) {
  if (now >= DeadlineAt)
    return false;
  if (!send(shard, AttemptKind::Retry, Shards[shard].Tried, now))
    return false;
  ++Counts.Redirects;
  return true;
}

void QueryExecution::retry(std::size_t shard, TimePoint now) {
  ShardState &it = Shards[shard];
  const bool hasUntried =
      it.Tried != 0 && Policies.Replicas
                           .choose({Choice.Layout->Shards[shard].Replicas,
                                    it.Tried, Choice.Snapshot},
                                   now)
                           .has_value();
  if (it.WithoutSnapshot != 0 && !hasUntried) {
    // No usable replica is known to have the snapshot.
    RestartWanted = RestartWanted || Counts.Restarts == 0;
    return markMissing(shard, FailureReason::SnapshotGone);
  }
  const auto maxRetries =
      prefersCoverage() ? MaxRetriesCoverage : MaxRetriesLatency;
  if (it.Retries >= maxRetries || now >= DeadlineAt)
    return markMissing(shard, it.Reason);
  if (!trySend(shard, hasUntried, now))
    waitOrMarkMissing(shard, it.Reason, now);
}

bool QueryExecution::trySend(std::size_t shard, bool hasUntried,
                             TimePoint now) {
  ShardState &it = Shards[shard];
  if (it.Tried == 0) // no replica has been usable yet
    return send(shard, AttemptKind::Primary, 0, now);
  // An immediate retry at a replica that has just failed would rarely succeed.
  if (!hasUntried && it.Waits == 0)
    return false;
  const std::uint64_t excluded = hasUntried ? it.Tried : it.WithoutSnapshot;
  const auto &replicas = Choice.Layout->Shards[shard].Replicas;
  if (!Policies.Replicas.choose({replicas, excluded, Choice.Snapshot}, now) ||
      !Policies.Retries.tryTake())
    return false;
  ++it.Retries;
  return send(shard, AttemptKind::Retry, excluded, now);
}

void QueryExecution::waitOrMarkMissing(std::size_t shard, FailureReason reason,
                                       TimePoint now) {
  ShardState &it = Shards[shard];
  it.Reason = reason;
  if (!prefersCoverage() || it.Waits >= MaxWaits)
    return markMissing(shard, reason);
  ++it.Waits;
  wakeShardAt(
      it, now + std::max(MinRetryWait, (DeadlineAt - now) / RetryWaitDivisor));
}

void QueryExecution::markMissing(std::size_t shard, FailureReason reason) {
  Shards[shard].Status = ShardStatus::Missing;
  Shards[shard].Reason = reason;
  --Pending;
}

void QueryExecution::wakeShards(TimePoint now) {
  NextWake = TimePoint::max();
  for (std::size_t i = 0; i < Shards.size(); ++i) {
    ShardState &it = Shards[i];
    if (it.Status != ShardStatus::Pending)
      continue;
    if (it.WakeAt > now)
      NextWake = std::min(NextWake, it.WakeAt);
    else if (it.OpenAttempts > 0)
      hedge(i, now);
    else
      retry(i, now);
  }
}

void QueryExecution::hedge(std::size_t shard, TimePoint now) {
  ShardState &it = Shards[shard];
  it.WakeAt = TimePoint::max();
  if (it.Hedges > 0 && !prefersCoverage())
    return;
  const auto &replicas = Choice.Layout->Shards[shard].Replicas;
  if (!Policies.Replicas.choose({replicas, it.Tried, Choice.Snapshot}, now))
    return;
  if (const auto kind = takeHedgeToken(now)) {
    send(shard, *kind, it.Tried, now);
    return;
  }
  if (const auto p95 = Policies.Hedging.p95())
    wakeShardAt(it, now + std::max(*p95, MinRetryWait));
}

std::optional<AttemptKind> QueryExecution::takeHedgeToken(TimePoint now) {
  if (Policies.Hedging.tryTake())
    return AttemptKind::Hedge;
  // When the plan prefers coverage, an attempt that has taken half the deadline
  // counts as a failure, because waiting longer would leave no time to retry.
  const bool isLate = now - StartedAt >= Options.Deadline / 2;
  if (prefersCoverage() && isLate && Policies.Retries.tryTake())
    return AttemptKind::Retry;
  return std::nullopt;
}

bool QueryExecution::coverageReached() const {
  const double needed =
      std::ceil(Options.MinCoverage * static_cast<double>(Shards.size()) -
                1e-9); // 0.95 * 20 is slightly above 19 in binary
  return AnsweredShards > 0 && static_cast<double>(AnsweredShards) >= needed;
}

TimePoint QueryExecution::cutOff() const {
  const auto p95 = Policies.Hedging.p95();
  if (prefersCoverage() || !p95)
    return DeadlineAt;
  return std::min(DeadlineAt,
                  StartedAt + std::max(MinCutOff, *p95 * CutOffFactor));
}

bool QueryExecution::restart(TimePoint now) {
  RestartWanted = false;
  if (now >= DeadlineAt)
    return false;
  const state::SnapshotId current = Choice.Snapshot;
  auto choice = Policies.Snapshots.select(Options.Service, {&current, 1});
  if (!choice || !choice->Layout || choice->Snapshot == current ||
      choice->Layout->Shards.empty())
    return false;
  ++Counts.Restarts;
  cancelAll(now);
  EarlierLayouts.push_back(Choice.Layout);
  beginRound(std::move(*choice), now);
  return true;
}

QueryActions QueryExecution::completeEvent(TimePoint now) {
  if (RestartWanted)
    restart(now);
  if (Pending == 0 || now >= DeadlineAt ||
      (coverageReached() && now >= cutOff()))
    finishByCoverage(now);
  else
    armTimer();
  return std::move(Actions);
}

void QueryExecution::armTimer() {
  TimePoint at = std::min(NextWake, DeadlineAt);
  if (coverageReached())
    at = std::min(at, cutOff());
  if (at >= TimerAt)
    return;
  TimerAt = at;
  Actions.push_back(SetTimer{at});
}

void QueryExecution::finishByCoverage(TimePoint now) {
  if (coverageReached())
    return finish(std::nullopt, now);
  const bool isLate = Pending > 0 || now >= DeadlineAt;
  finish(state::Error{isLate ? ErrorCode::DeadlineExceeded
                             : ErrorCode::Unavailable,
                      std::to_string(AnsweredShards) + " of " +
                          std::to_string(Shards.size()) +
                          " shards answered, fewer than min_coverage"},
         now);
}

ExecutionState QueryExecution::ranState() const {
  if (AnyRan)
    return ExecutionState::Ran;
  return AnyMayHaveRun ? ExecutionState::Unknown : ExecutionState::NotRun;
}

void QueryExecution::fillCoverage(QueryOutcome &outcome) const {
  outcome.Coverage.Asked = static_cast<std::uint32_t>(Shards.size());
  outcome.Coverage.Answered = static_cast<std::uint32_t>(AnsweredShards);
  for (std::size_t i = 0; i < Shards.size(); ++i) {
    const ShardState &it = Shards[i];
    if (it.Status == ShardStatus::Answered)
      continue;
    // An attempt that is still open now means that its replica was too slow.
    const bool isOpen = it.OpenAttempts > 0;
    outcome.Coverage.Missing.push_back(
        {Choice.Layout->Shards[i].Number,
         isOpen ? FailureReason::Timeout : it.Reason});
  }
}

void QueryExecution::fillHits(QueryOutcome &outcome) {
  std::vector<std::span<const Hit>> lists;
  lists.reserve(AnsweredShards);
  outcome.Bodies.reserve(AnsweredShards);
  for (ShardState &it : Shards) {
    if (it.Status != ShardStatus::Answered)
      continue;
    lists.emplace_back(it.Hits);
    outcome.Bodies.push_back(std::move(it.Body));
  }
  MergedHits merged = mergeTopK(lists, Options.Limit);
  outcome.Hits = std::move(merged.Hits);
  Counts.Duplicates = merged.Duplicates;
}

void QueryExecution::finish(std::optional<state::Error> error, TimePoint now) {
  auto outcome = std::make_unique<QueryOutcome>();
  outcome->Snapshot = Choice.Snapshot;
  fillCoverage(*outcome);
  cancelAll(now);
  if (!error)
    fillHits(*outcome);
  outcome->Error = std::move(error);
  outcome->Ran = ranState();
  outcome->Counts = Counts;
  Finished = true;
  Actions.push_back(FinishQuery{std::move(outcome)});
}

} // namespace galenaflow::coordination
