#include "coordination/request_quarantine.h"

#include <algorithm>
#include <utility>

// One lost execution is no proof: a replica that another request has ended, or
// a reset of all connections, ends harmless requests as well. Such a request is
// answered when it comes again, at the one replica to which it is sent first.
//
// Neither are many that are lost together: when all replicas of a service
// crash, every execution of a popular request that is at work is lost. Only an
// execution that began after an earlier one was lost shows anything new. The
// independent executions are chosen by their ends, earliest first, which yields
// the largest number of them.
//
// A verdict must be open to disproof, so a quarantined request is tried again.
// The daemon that saw the last lost execution goes first, and the others at
// random times whose spread grows with the fleet, so that the evidence of one
// trial stops the others.
//
// The evidence of all daemons is a set of executions, which can be merged in
// any order and more than once. Each daemon derives the standing of a request
// from that set, so no daemon decides for others. Ages are sent instead of
// times, because daemons have different clocks.

namespace galenaflow::coordination {

using state::RequestEvidence;
using state::RequestFingerprint;

TimePoint RequestQuarantine::lastEvidenceAt(const Entry &entry) const {
  return entry.Executions.empty() ? entry.AnsweredAt
                                  : entry.Executions.back().EndedAt;
}

RequestQuarantine::Observations
RequestQuarantine::observe(const Entry &entry) const {
  Observations seen;
  TimePoint lastEnd;
  for (std::size_t i = 0; i != entry.Executions.size(); ++i) {
    const Execution &it = entry.Executions[i];
    if (seen.Count != 0 && it.BeganAt < lastEnd + Options.IndependenceGap) {
      seen.LastDependent = i;
      continue;
    }
    ++seen.Count;
    seen.Lost += it.Lost;
    lastEnd = it.EndedAt;
  }
  return seen;
}

TimePoint RequestQuarantine::quarantinedUntil(const Entry &entry) const {
  const Observations seen = observe(entry);
  if (seen.Count < Options.MinExecutions || seen.Lost < Options.MinLostAttempts)
    return TimePoint::min();
  const Duration doubled =
      Options.MinQuarantineTime *
      (std::int64_t{1} << (seen.Count - Options.MinExecutions));
  return lastEvidenceAt(entry) + std::min(doubled, Options.MaxQuarantineTime);
}

TimePoint RequestQuarantine::expiresAt(const Entry &entry) const {
  if (entry.Executions.empty())
    return entry.AnsweredAt + AnswerTtl;
  return std::max(lastEvidenceAt(entry), quarantinedUntil(entry)) +
         Options.SuspicionTime;
}

RequestStanding RequestQuarantine::standing(const RequestFingerprint &request,
                                            TimePoint now) const {
  const auto it = Entries.find(request);
  if (it == Entries.end() || it->second.Executions.empty() ||
      expiresAt(it->second) <= now)
    return RequestStanding::Normal;
  return quarantinedUntil(it->second) > now ? RequestStanding::Quarantined
                                            : RequestStanding::Suspect;
}

// Other daemons' trials are known by their lost executions.
TimePoint RequestQuarantine::trialAt(const Entry &entry,
                                     std::uint32_t daemons) const {
  const std::size_t seen = observe(entry).Count;
  const std::size_t trials =
      std::max(entry.Trials, seen - std::min(seen, Options.MinExecutions));
  if (trials >= Options.MaxTrials)
    return TimePoint::max();
  const Execution &last = entry.Executions.back();
  TimePoint at =
      last.EndedAt + Options.TrialPause * (std::int64_t{1} << trials);
  if (!last.IsOwn) {
    std::mt19937_64 random(Salt ^ last.Id);
    const Duration spread = Options.TrialSpread * std::max(daemons, 1U);
    at += Duration(
        std::uniform_int_distribution<std::int64_t>(0, spread.count())(random));
  }
  return std::max(at, entry.NextTrialAt);
}

Duration RequestQuarantine::remaining(const RequestFingerprint &request,
                                      std::uint32_t daemons,
                                      TimePoint now) const {
  const auto it = Entries.find(request);
  if (it == Entries.end() || quarantinedUntil(it->second) <= now)
    return Duration(0);
  const TimePoint until =
      std::min(quarantinedUntil(it->second), trialAt(it->second, daemons));
  return std::max(until - now, Duration(0));
}

bool RequestQuarantine::tryTrial(const RequestFingerprint &request,
                                 std::uint32_t daemons, TimePoint now) {
  const auto it = Entries.find(request);
  if (it == Entries.end() || quarantinedUntil(it->second) <= now ||
      trialAt(it->second, daemons) > now)
    return false;
  Entry &entry = it->second;
  entry.NextTrialAt =
      now + Options.TrialPause * (std::int64_t{1} << ++entry.Trials);
  entry.IsTrialOpen = true;
  return true;
}

RequestStanding RequestQuarantine::onEnded(const RequestFingerprint &request,
                                           const ExecutionEnd &end,
                                           TimePoint now) {
  const auto it = Entries.find(request);
  if (it != Entries.end() && std::exchange(it->second.IsTrialOpen, false) &&
      !end.MayHaveRun) {
    --it->second.Trials;
    it->second.NextTrialAt = now + Options.TrialRetryPause;
  }
  if (end.IsAnswered) {
    if (Entries.contains(request) && clear(request, now, now))
      New.push_back({request, {0, 0, now, now, true}});
  } else if (end.Lost != 0) {
    const Execution execution{Random() | 1, end.Lost, end.BeganAt, now, true};
    if (add(request, execution, now))
      New.push_back({request, execution});
  }
  return standing(request, now);
}

void RequestQuarantine::merge(std::span<const RequestEvidence> evidence,
                              TimePoint now) {
  for (const RequestEvidence &it : evidence) {
    const Execution execution{it.Execution, it.Lost, now - it.StartAge,
                              now - it.Age, false};
    const bool isNew = it.Execution == 0
                           ? clear(it.Request, execution.EndedAt, now)
                           : add(it.Request, execution, now);
    if (isNew)
      New.push_back({it.Request, execution});
  }
}

RequestEvidence RequestQuarantine::toEvidence(const RequestFingerprint &request,
                                              const Execution &execution,
                                              TimePoint now) {
  return {request, execution.Id, execution.Lost, now - execution.EndedAt,
          now - execution.BeganAt};
}

std::vector<RequestEvidence> RequestQuarantine::takeNew(TimePoint now) {
  std::vector<RequestEvidence> evidence;
  for (const auto &[request, execution] : std::exchange(New, {}))
    evidence.push_back(toEvidence(request, execution, now));
  return evidence;
}

std::vector<RequestEvidence> RequestQuarantine::all(TimePoint now) {
  std::erase_if(Entries,
                [&](const auto &it) { return expiresAt(it.second) <= now; });
  std::vector<RequestEvidence> evidence;
  for (const auto &[request, entry] : Entries)
    for (const Execution &execution : entry.Executions)
      evidence.push_back(toEvidence(request, execution, now));
  return evidence;
}

std::size_t RequestQuarantine::quarantined(TimePoint now) const {
  return static_cast<std::size_t>(
      std::count_if(Entries.begin(), Entries.end(), [&](const auto &it) {
        return quarantinedUntil(it.second) > now;
      }));
}

RequestQuarantine::Entry &
RequestQuarantine::entryFor(const RequestFingerprint &request, TimePoint now) {
  const auto it = Entries.find(request);
  if (it != Entries.end())
    return it->second;
  if (Entries.size() >= MaxEntries)
    std::erase_if(Entries, [&](const auto &entry) {
      return expiresAt(entry.second) <= now;
    });
  if (Entries.size() >= MaxEntries)
    Entries.erase(std::min_element(
        Entries.begin(), Entries.end(), [this](const auto &a, const auto &b) {
          return lastEvidenceAt(a.second) < lastEvidenceAt(b.second);
        }));
  return Entries[request];
}

bool RequestQuarantine::add(const RequestFingerprint &request,
                            const Execution &execution, TimePoint now) {
  Entry &entry = entryFor(request, now);
  auto &executions = entry.Executions;
  const bool isKnown =
      std::any_of(executions.begin(), executions.end(),
                  [&](const Execution &it) { return it.Id == execution.Id; });
  if (isKnown || execution.EndedAt <= entry.AnsweredAt)
    return false;
  const auto at = std::upper_bound(
      executions.begin(), executions.end(), execution,
      [](const auto &a, const auto &b) { return a.EndedAt < b.EndedAt; });
  executions.insert(at, execution);
  // Evicts the latest execution that is not independent, which changes no
  // verdict, or else the oldest one. An execution that is evicted at once is
  // not passed on, or daemons would pass it back and forth.
  if (executions.size() > MaxExecutions)
    executions.erase(executions.begin() +
                     static_cast<std::ptrdiff_t>(observe(entry).LastDependent));
  return std::any_of(
      executions.begin(), executions.end(),
      [&](const Execution &it) { return it.Id == execution.Id; });
}

bool RequestQuarantine::clear(const RequestFingerprint &request, TimePoint at,
                              TimePoint now) {
  Entry &entry = entryFor(request, now);
  entry.AnsweredAt = std::max(entry.AnsweredAt, at);
  entry.Trials = 0;
  entry.NextTrialAt = TimePoint::min();
  return std::erase_if(entry.Executions, [at](const Execution &it) {
           return it.EndedAt <= at;
         }) != 0;
}

} // namespace galenaflow::coordination
