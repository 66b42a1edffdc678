#include "coordination/forward_execution.h"

#include "coordination/record_merge.h"

#include <algorithm>
#include <array>
#include <utility>

// Each part (the single service, or one shard) has a primary attempt, at most
// one hedge, and retries after failures. The first success, or 3xx or 4xx of an
// unsharded route, ends the part and cancels its other attempts.
// `CountedAttempts` is the number of attempts that ran or may still run, of any
// kind; it never exceeds the route's limit. An attempt counts from the moment
// at which it is made, although it may wait for a connection, and is subtracted
// again when it was rejected, misdirected or not sent. sendAttempt() is the
// only place that makes attempts, and mayRun() the only one that decides
// whether a part may run once more.
//
// A request over many shards that ends the replicas would end both replicas of
// each shard within its first tenth of a second, if its hedges and retries were
// sent at once. With an answer to any part the request is known to be harmless,
// and in other requests an answer has arrived before most hedges are due.
//
// A response of a shard is kept until the request ends, for all shards at once.
// Only what the merge needs is kept, so that a request's memory follows from
// the route and not from what the replicas send.
//
// One slow shard delays the whole answer, while the value of an answer falls
// only with the square of the fraction of parts in it. Therefore, after
// PartialAt an answer with the minimum of parts is worth more than a complete
// answer that is late.

namespace galenaflow::coordination {

namespace {

/// Attempts of a part that did not run, beyond the route's limit. An attempt at
/// a full or departed replica costs only a round trip, but the number of such
/// attempts must be bounded.
constexpr std::size_t MaxUncountedAttempts = 2;

/// Most services that are named in ForwardCounts::Missing, and so in a log
/// line.
constexpr std::size_t MaxNamedServices = 5;

/// Longest signature of a part. All signatures are sent to the caller.
constexpr std::size_t MaxPartSignatureBytes = 256;

/// Removes from the response of a shard what a merge of the greatest `topK`
/// records does not need. A body of up to twice these records is left as it is,
/// since selecting records takes time.
void trimPart(BackendResponse &response, std::size_t topK) {
  response.Headers = {};
  response.Hold = nullptr;
  if (response.Body.size() <= 2 * topK * RecordBytes)
    return;
  const std::array<std::string_view, 1> whole{response.Body};
  response.Body = mergeRecords(whole, topK);
}

/// Whether an attempt with this end has certainly not run at its service.
bool certainlyNotRun(AttemptEnd end) {
  return end == AttemptEnd::Rejected || end == AttemptEnd::Misdirected ||
         end == AttemptEnd::NotSent || end == AttemptEnd::AtLimit ||
         end == AttemptEnd::Stopping;
}

/// A hedge for which the budget has no token is tried again after this time.
/// Each request of the service adds to the budget.
constexpr Duration HedgeTokenRetryDelay = std::chrono::milliseconds(10);

/// Only another configuration or replica allows a request that no region does.
/// Both take about a second to come into force.
constexpr Duration RegionRetryDelay = std::chrono::seconds(1);

} // namespace

ForwardExecution::ForwardExecution(ForwardOptions options,
                                   ForwardPolicy &policy)
    : Options(std::move(options)), Policy(policy),
      Parts(Options.Services.size()) {
  Counts.Parts = static_cast<std::uint32_t>(Parts.size());
}

ForwardActions ForwardExecution::start(TimePoint now) {
  leaveOutEvacuated();
  leaveOutForbidden();
  const bool canSucceed = hasEnoughParts(Parts.size() - FailedParts);
  if (canSucceed && Options.RejectedFor)
    fail(Options.RejectionFault);
  else if (canSucceed)
    sendPrimaries();
  tryFinish(now);
  return completeEvent(now);
}

// First, so that a request that lacks these parts is not told to return when
// there is room.
void ForwardExecution::leaveOutEvacuated() {
  for (std::uint32_t part = 0; part != Parts.size(); ++part)
    if (Policy.isEvacuated(Options.Services[part]))
      failPart(part, ForwardFault::Evacuated);
}

void ForwardExecution::leaveOutForbidden() {
  for (const std::uint32_t part : Options.Forbidden)
    if (!Parts[part].Failed)
      failPart(part, ForwardFault::RegionNotAllowed);
}

// No attempt is sent unless the request can succeed: a part of a request that
// fails for want of others would use up the limit of its replica.
void ForwardExecution::sendPrimaries() {
  for (const std::uint32_t part : Options.LeftOut)
    if (!Parts[part].Failed)
      failPart(part, ForwardFault::NoRoom);
  for (std::uint32_t part = 0; part != Parts.size(); ++part)
    if (!Parts[part].Failed && Policy.isAtLimit(Options.Services[part]))
      failPart(part, ForwardFault::ServerLimit);
  if (!hasEnoughParts(Parts.size() - FailedParts))
    return;
  ArePrimariesHeld = Options.IsSuspect;
  if (ArePrimariesHeld)
    sendFirstPrimary();
  else
    sendRemainingPrimaries();
}

void ForwardExecution::sendFirstPrimary() {
  for (std::size_t i = 0; i != Parts.size(); ++i) {
    const auto part =
        static_cast<std::uint32_t>((Options.FirstPart + i) % Parts.size());
    if (Parts[part].Failed)
      continue;
    sendAttempt(part, AttemptKind::Primary);
    return;
  }
}

// A part that has begun has ended or waits for a retry, which is not made here.
void ForwardExecution::sendRemainingPrimaries() {
  ArePrimariesHeld = false;
  for (std::uint32_t part = 0; part != Parts.size(); ++part)
    if (!Parts[part].Failed && !Parts[part].Begun)
      sendAttempt(part, AttemptKind::Primary);
}

bool ForwardExecution::hasOpenAttempt() const {
  return std::any_of(Parts.begin(), Parts.end(),
                     [](const Part &part) { return part.Open != 0; });
}

// The first part has ended without an answer.
void ForwardExecution::settleHeldPrimaries() {
  if (!ArePrimariesHeld || hasOpenAttempt())
    return;
  if (Counts.Lost == 0) {
    sendFirstPrimary();
    return;
  }
  for (std::uint32_t part = 0; part != Parts.size(); ++part)
    if (!Parts[part].Failed)
      failPart(part, ForwardFault::BackendFailed);
}

bool ForwardExecution::mayRun(const Part &part) const {
  const std::uint32_t limit =
      Options.Route->IsIdempotent ? Options.Route->MaxAttempts : 1;
  return part.CountedAttempts < limit;
}

bool ForwardExecution::sendAttempt(std::uint32_t index, AttemptKind kind) {
  Part &part = Parts[index];
  if (!mayRun(part))
    return false;
  const auto number = static_cast<AttemptNumber>(Attempts.size());
  Attempts.push_back({index, kind, true});
  part.Begun = true;
  ++part.CountedAttempts;
  ++part.Open;
  switch (kind) {
  case AttemptKind::Primary:
    ++Counts.Primaries;
    break;
  case AttemptKind::Hedge:
    ++Counts.Hedges;
    break;
  case AttemptKind::Retry:
    ++Counts.Retries;
    break;
  }
  Pending.emplace_back(SendAttempt{number, index, kind});
  return true;
}

ForwardExecution::Attempt *ForwardExecution::openAttempt(AttemptNumber number) {
  if (Finished || number >= Attempts.size() || !Attempts[number].Open)
    return nullptr;
  return &Attempts[number];
}

ForwardActions ForwardExecution::onSent(AttemptNumber number,
                                        const state::ReplicaId &replica,
                                        TimePoint now) {
  Attempt *attempt = openAttempt(number);
  if (attempt == nullptr)
    return {};
  Part &part = Parts[attempt->Part];
  attempt->Sent = true;
  part.Tried.push_back(replica);
  const bool mayHedge = Options.Route->IsIdempotent && Options.HedgeAfter &&
                        !part.Hedged && attempt->Kind != AttemptKind::Hedge;
  if (mayHedge)
    part.HedgeAt = now + *Options.HedgeAfter;
  return completeEvent(now);
}

ForwardActions ForwardExecution::onResponse(AttemptNumber number,
                                            BackendResponse response,
                                            TimePoint now) {
  // Every replica would respond with the same 3xx or 4xx, so these are final.
  // They cannot be merged into an answer from several shards, however.
  const bool isFinal = response.isSuccess() ||
                       (response.Status < 500 && !Options.Route->isSharded());
  if (!isFinal)
    return onFailure(number, {AttemptEnd::Failed, std::move(response), {}},
                     now);
  if (Options.Route->isSharded() &&
      response.Signature.size() > MaxPartSignatureBytes)
    return onFailure(
        number, {AttemptEnd::Failed, {}, "signature of the part is too long"},
        now);
  Attempt *attempt = openAttempt(number);
  if (attempt == nullptr)
    return {};
  // onAnswered() may add attempts, which moves those that exist.
  const std::uint32_t index = attempt->Part;
  Part &part = Parts[index];
  attempt->Open = false;
  --part.Open;
  part.HedgeAt = TimePoint::max();
  if (Options.Route->isSharded())
    trimPart(response, Options.Route->Shards.TopK);
  part.Response = std::move(response);
  ++AnsweredParts;
  onAnswered(now);
  for (AttemptNumber other = 0; other != Attempts.size(); ++other)
    if (Attempts[other].Open && Attempts[other].Part == index) {
      Attempts[other].Open = false;
      --part.Open;
      Pending.emplace_back(CancelAttempt{other, index});
    }
  tryFinish(now);
  return completeEvent(now);
}

ForwardActions ForwardExecution::onFailure(AttemptNumber number,
                                           AttemptFailure failure,
                                           TimePoint now) {
  Attempt *attempt = openAttempt(number);
  if (attempt == nullptr)
    return {};
  const std::uint32_t index = attempt->Part;
  Part &part = Parts[index];
  attempt->Open = false;
  --part.Open;
  if (certainlyNotRun(failure.End))
    --part.CountedAttempts;
  if (failure.End == AttemptEnd::Rejected) {
    ++Counts.Rejections;
    ++part.Rejections;
  }
  AnyRan |= failure.End == AttemptEnd::Failed;
  AnyUnknown |= failure.End == AttemptEnd::Unknown;
  Counts.Lost += failure.IsLost ? 1 : 0;
  if (failure.Response)
    LastFailure = std::move(failure.Response);
  if (failure.End == AttemptEnd::Failed)
    onAnswered(now);
  const bool isHeld = failure.IsLost && !Counts.IsAnswered && mayRun(part);
  if (part.Open == 0 && isHeld) {
    part.IsRetryHeld = true;
  } else if (part.Open == 0 && !retry(index, failure.End)) {
    ForwardFault fault = ForwardFault::BackendFailed;
    if (failure.End == AttemptEnd::NotSent &&
        Policy.isEvacuated(Options.Services[index]))
      fault = ForwardFault::Evacuated;
    else if (failure.End == AttemptEnd::NotSent)
      fault = part.Tried.empty() ? ForwardFault::NoReplica
                                 : ForwardFault::BackendFailed;
    else if (failure.End == AttemptEnd::Rejected)
      fault = ForwardFault::RejectedByServer;
    else if (failure.End == AttemptEnd::AtLimit)
      fault = ForwardFault::ServerLimit;
    else if (failure.End == AttemptEnd::Stopping)
      fault = ForwardFault::Stopping;
    failPart(index, fault);
  }
  settleHeldRetries();
  settleHeldPrimaries();
  tryFinish(now);
  return completeEvent(now);
}

void ForwardExecution::onAnswered(TimePoint now) {
  if (std::exchange(Counts.IsAnswered, true))
    return;
  for (std::uint32_t index = 0; index != Parts.size(); ++index) {
    Part &part = Parts[index];
    if (std::exchange(part.IsHedgeHeld, false) && part.Open != 0)
      part.HedgeAt = now;
    if (std::exchange(part.IsRetryHeld, false))
      retryOrFail(index);
  }
  if (ArePrimariesHeld)
    sendRemainingPrimaries();
}

void ForwardExecution::retryOrFail(std::uint32_t index) {
  if (!retry(index, AttemptEnd::Unknown))
    failPart(index, ForwardFault::BackendFailed);
}

// When no attempt is open any more, one retry shows whether the connections
// were lost for another reason, such as a reset of all connections.
void ForwardExecution::settleHeldRetries() {
  if (Counts.IsAnswered || hasOpenAttempt())
    return;
  for (std::uint32_t index = 0; index != Parts.size(); ++index) {
    if (!std::exchange(Parts[index].IsRetryHeld, false))
      continue;
    if (IsRetryTried || Options.IsSuspect) {
      failPart(index, ForwardFault::BackendFailed);
      continue;
    }
    retryOrFail(index);
    IsRetryTried = !Parts[index].Failed;
    if (IsRetryTried)
      return;
  }
}

bool ForwardExecution::retry(std::uint32_t index, AttemptEnd end) {
  Part &part = Parts[index];
  if (end == AttemptEnd::Stopping)
    return false;
  const bool isUncounted = certainlyNotRun(end);
  const std::string &service = Options.Services[index];
  if (isUncounted &&
      part.Tried.size() >= Options.Route->MaxAttempts + MaxUncountedAttempts)
    return false;
  if (!mayRun(part) || !Policy.hasOther(service, part.Tried))
    return false;
  // A request that was not sent, or that reached another service, is no load
  // for this service and takes no token. A replica can lose its address to
  // another one only once, so the number of such retries is bounded.
  const bool needsToken = end != AttemptEnd::NotSent &&
                          end != AttemptEnd::AtLimit &&
                          end != AttemptEnd::Misdirected;
  if (needsToken && !Policy.tryTakeExtra(service))
    return false;
  part.HedgeAt = TimePoint::max();
  return sendAttempt(index, AttemptKind::Retry);
}

bool ForwardExecution::holdsHedges() const {
  return !Counts.IsAnswered &&
         (Parts.size() > 1 || Counts.Lost != 0 || Options.IsSuspect);
}

void ForwardExecution::hedge(std::uint32_t index, TimePoint now) {
  Part &part = Parts[index];
  part.HedgeAt = TimePoint::max();
  const std::string &service = Options.Services[index];
  if (holdsHedges()) {
    part.IsHedgeHeld = true;
    return;
  }
  if (!mayRun(part) || !Policy.hasOther(service, part.Tried))
    return;
  if (!Policy.hasIdle(service, part.Tried) || !Policy.tryTakeExtra(service)) {
    part.HedgeAt = now + HedgeTokenRetryDelay;
    return;
  }
  part.Hedged = true;
  sendAttempt(index, AttemptKind::Hedge);
}

void ForwardExecution::failPart(std::uint32_t index, ForwardFault fault) {
  Parts[index].Failed = true;
  Parts[index].HedgeAt = TimePoint::max();
  ++FailedParts;
  LastFault = fault;
}

std::size_t ForwardExecution::heldBytes() const {
  std::size_t n = 0;
  for (const Part &part : Parts) {
    if (!part.Response)
      continue;
    n += part.Response->Body.capacity() + part.Response->Signature.capacity();
    for (const auto &[name, value] : part.Response->Headers)
      n += name.capacity() + value.capacity();
  }
  return n;
}

bool ForwardExecution::hasEnoughParts(std::size_t n) const {
  constexpr double rounding = 1e-9;
  return n > 0 && static_cast<double>(n) + rounding >=
                      Options.Route->Shards.MinShardRatio *
                          static_cast<double>(Parts.size());
}

void ForwardExecution::tryFinish(TimePoint now) {
  if (Finished)
    return;
  if (!Options.Route->isSharded()) {
    if (AnsweredParts == 1) {
      Finished = true;
      Pending.emplace_back(FinishForward{std::move(*Parts[0].Response)});
    } else if (FailedParts == 1) {
      fail(LastFault);
    }
    return;
  }
  const std::size_t total = Parts.size();
  if (!hasEnoughParts(total - FailedParts)) {
    const bool isRejected = FailedParts == total ||
                            LastFault == ForwardFault::ServerLimit ||
                            LastFault == ForwardFault::NoRoom ||
                            LastFault == ForwardFault::Evacuated ||
                            LastFault == ForwardFault::RegionNotAllowed ||
                            LastFault == ForwardFault::Stopping;
    fail(isRejected ? LastFault : ForwardFault::TooFewParts);
    return;
  }
  const bool allEnded = AnsweredParts + FailedParts == total;
  if (allEnded || (now >= Options.PartialAt && hasEnoughParts(AnsweredParts)))
    finishMerged();
}

void ForwardExecution::finishMerged() {
  recordMissing();
  cancelOpen();
  Finished = true;
  MergedAnswer merged;
  std::vector<std::string_view> bodies;
  for (Part &part : Parts) {
    if (!part.Response) {
      ++merged.Missing;
      continue;
    }
    merged.Signatures.push_back(std::move(part.Response->Signature));
    bodies.push_back(part.Response->Body);
  }
  Counts.PartsAnswered = static_cast<std::uint32_t>(bodies.size());
  merged.Records = mergeRecords(bodies, Options.Route->Shards.TopK);
  Pending.emplace_back(FinishForward{std::move(merged)});
}

void ForwardExecution::recordMissing() {
  for (std::size_t i = 0; i != Parts.size(); ++i) {
    if (Parts[i].Response || Counts.Missing.size() == MaxNamedServices)
      continue;
    std::string name = Options.Services[i];
    for (const state::ReplicaId &replica : Parts[i].Tried)
      name.append(":").append(replica);
    Counts.Missing.push_back(std::move(name));
  }
}

void ForwardExecution::cancelOpen() {
  for (AttemptNumber number = 0; number != Attempts.size(); ++number) {
    Attempt &attempt = Attempts[number];
    if (!attempt.Open)
      continue;
    attempt.Open = false;
    AnyUnknown |= attempt.Sent;
    Pending.emplace_back(CancelAttempt{number, attempt.Part});
  }
}

void ForwardExecution::fail(ForwardFault fault) {
  cancelOpen();
  recordMissing();
  Finished = true;
  ForwardFailure failure;
  failure.Fault = fault;
  if (AnyRan || AnsweredParts != 0)
    failure.Ran = ExecutionState::Ran;
  else if (AnyUnknown)
    failure.Ran = ExecutionState::Unknown;
  failure.Response = std::move(LastFailure);
  if (Options.RejectedFor && fault == Options.RejectionFault)
    failure.RetryAfter = Options.RejectedFor;
  if (fault == ForwardFault::RegionNotAllowed)
    failure.RetryAfter = RegionRetryDelay;
  Pending.emplace_back(FinishForward{std::move(failure)});
}

ForwardActions ForwardExecution::onTimer(TimePoint now) {
  if (Finished)
    return {};
  TimerAt = TimePoint::max();
  if (now >= std::min(Options.DeadlineAt, Options.ExitAt)) {
    if (Options.Route->isSharded() && hasEnoughParts(AnsweredParts))
      finishMerged();
    else
      fail(now >= Options.DeadlineAt ? ForwardFault::DeadlineExceeded
                                     : ForwardFault::Stopping);
    return completeEvent(now);
  }
  tryFinish(now);
  for (std::uint32_t part = 0; part != Parts.size() && !Finished; ++part)
    if (Parts[part].HedgeAt <= now)
      hedge(part, now);
  return completeEvent(now);
}

ForwardActions ForwardExecution::onCallerCancel(TimePoint now) {
  if (!Finished)
    fail(ForwardFault::CallerGone);
  return completeEvent(now);
}

ForwardActions ForwardExecution::onStop(TimePoint exitAt, TimePoint now) {
  Options.ExitAt = exitAt;
  return completeEvent(now);
}

ForwardActions ForwardExecution::completeEvent(TimePoint now) {
  if (!Finished) {
    TimePoint next = std::min(Options.DeadlineAt, Options.ExitAt);
    if (Options.PartialAt > now)
      next = std::min(next, Options.PartialAt);
    for (const Part &part : Parts)
      next = std::min(next, part.HedgeAt);
    if (next != TimerAt) {
      TimerAt = next;
      Pending.emplace_back(SetTimer{next});
    }
  }
  return std::exchange(Pending, {});
}

} // namespace galenaflow::coordination
