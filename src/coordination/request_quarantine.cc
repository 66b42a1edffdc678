#include "coordination/request_quarantine.h"

#include <algorithm>
#include <utility>

// One lost execution is no proof: a replica that another request has ended, or
// a reset of all connections, ends harmless requests as well. Such a request is
// answered when it comes again, at the one replica to which it is sent first.
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

TimePoint RequestQuarantine::quarantinedUntil(const Entry &entry) const {
  std::uint32_t lost = 0;
  for (const Execution &execution : entry.Executions)
    lost += execution.Lost;
  const std::size_t n = entry.Executions.size();
  if (n < Options.MinExecutions || lost < Options.MinLostAttempts)
    return TimePoint::min();
  const Duration doubled = Options.MinQuarantineTime *
                           (std::int64_t{1} << (n - Options.MinExecutions));
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

Duration RequestQuarantine::remaining(const RequestFingerprint &request,
                                      TimePoint now) const {
  const auto it = Entries.find(request);
  if (it == Entries.end())
    return Duration(0);
  const TimePoint until = quarantinedUntil(it->second);
  return until > now ? until - now : Duration(0);
}

RequestStanding RequestQuarantine::onEnded(const RequestFingerprint &request,
                                           std::uint32_t lost, bool isAnswered,
                                           TimePoint now) {
  if (isAnswered) {
    if (Entries.contains(request) && clear(request, now, now))
      New.push_back({request, {0, 0, now}});
  } else if (lost != 0) {
    const Execution execution{Random() | 1, lost, now};
    if (add(request, execution, now))
      New.push_back({request, execution});
  }
  return standing(request, now);
}

void RequestQuarantine::merge(std::span<const RequestEvidence> evidence,
                              TimePoint now) {
  for (const RequestEvidence &it : evidence) {
    const Execution execution{it.Execution, it.Lost, now - it.Age};
    const bool isNew = it.Execution == 0
                           ? clear(it.Request, execution.EndedAt, now)
                           : add(it.Request, execution, now);
    if (isNew)
      New.push_back({it.Request, execution});
  }
}

std::vector<RequestEvidence> RequestQuarantine::takeNew(TimePoint now) {
  std::vector<RequestEvidence> evidence;
  for (const auto &[request, execution] : std::exchange(New, {}))
    evidence.push_back(
        {request, execution.Id, execution.Lost, now - execution.EndedAt});
  return evidence;
}

std::vector<RequestEvidence> RequestQuarantine::all(TimePoint now) {
  std::erase_if(Entries,
                [&](const auto &it) { return expiresAt(it.second) <= now; });
  std::vector<RequestEvidence> evidence;
  for (const auto &[request, entry] : Entries)
    for (const Execution &execution : entry.Executions)
      evidence.push_back(
          {request, execution.Id, execution.Lost, now - execution.EndedAt});
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
  if (executions.size() > MaxExecutions)
    executions.erase(executions.begin());
  return true;
}

bool RequestQuarantine::clear(const RequestFingerprint &request, TimePoint at,
                              TimePoint now) {
  Entry &entry = entryFor(request, now);
  entry.AnsweredAt = std::max(entry.AnsweredAt, at);
  return std::erase_if(entry.Executions, [at](const Execution &it) {
           return it.EndedAt <= at;
         }) != 0;
}

} // namespace galenaflow::coordination
