#include "coordination/write_registry.h"

#include <algorithm>
#include <utility>

// At-most-once execution without shared state.
//
// Every member (VM id and instance) has one vote (grant) per key until the key
// expires. A coordinator runs a key only with the votes of a strict majority of
// every required list, not counting members that are proven never to vote for
// the key. Two attempts that share a required list have a voter in common,
// since each quorum is more than half of the members that can ever vote. That
// voter granted the key twice only if the first attempt was released, and a
// coordinator releases an attempt only after it has abandoned it.
//
// Why two attempts share a list: each message about a key carries the required
// lists of its sender, so a coordinator knows the newest list of each voter. A
// daemon expires a list only when every member has reported a newer one, has
// retired, or has been removed for the grace period, and one key lifetime has
// passed since then. Therefore, a coordinator that still uses an expired list
// as its newest gets votes only together with a newer list. A new daemon does
// not know which lists preceded its first one. It runs no writes until it has
// received the lists of a complete peer that knows its newest list, or, at a
// cold start, until every member has reported.
//
// Failures:
// * Partition, loss, delay, duplicates: only votes that arrived count. A vote
//   is given to one attempt, so repeated messages change nothing.
// * Kill and replacement: the votes of the killed member are lost, but the
//   member still counts in the denominators of the lists that contain it. The
//   new process under the same address abstains for all keys issued up to its
//   start plus the clock skew, so it cannot vote again for a key that the old
//   process voted for. Grantors reject keys issued in the future, so that this
//   bound holds.
// * Rolling replacement: a retiring member freezes its votes and hands them
//   over in fixed parts. A daemon that holds all parts knows whether the member
//   voted for a key. If so, the vote counts for that attempt only; if not, the
//   member is not counted in the denominator, since it will never vote.
// * Pause between grant and send: right before the first byte, the coordinator
//   checks that its grants are at most GrantValidity old on its own steady
//   clock. Otherwise a write could run after its key had expired and its
//   records were removed.
// * Steps of the wall clock: the difference between wall and steady clock is
//   monitored. After a step, the member abstains for all keys for one key
//   lifetime, and permanently for keys issued up to the later of the two
//   readings.
// * Expiry: grants are kept for twice the clock skew longer than the key can be
//   granted by any member.
//
// `not_run` is reported when this attempt holds at least half of each required
// list (then no other attempt can have had a majority), or when it once had a
// majority and did not send.

namespace galenaflow::coordination {

using protocol::MaxGrantsPerHandover;
using protocol::MaxWriteLists;
using protocol::MaxWriteResultBytes;
using protocol::RetiredVote;
using protocol::WriteMessageType;
using state::Duration;
using state::WallMillis;

namespace {

/// A change of the difference between wall and steady clock by more than this
/// is a step.
constexpr Duration MaxWallDrift = std::chrono::seconds(1);
constexpr Duration ReportInterval = std::chrono::seconds(1);
constexpr Duration HandoverInterval = std::chrono::milliseconds(500);
constexpr std::size_t MaxExpiredVersions = 1000;

WriteMessage makeMessage(WriteMessageType type, const WriteKey &key = {},
                         std::uint64_t attempt = 0) {
  WriteMessage message;
  message.Type = type;
  message.Key = key;
  message.Attempt = attempt;
  return message;
}

WallMillis toMillis(Duration d) {
  return std::chrono::duration_cast<WallMillis>(d);
}

} // namespace

WriteRegistry::WriteRegistry(WriteMember self, const state::Clock &clock,
                             std::mt19937_64 &random,
                             WriteRegistryOptions options)
    : Self(std::move(self)), Time(clock), Options(options),
      AbstainIssuedUpTo(options.Disabled.NoAbstention
                            ? WallMillis(0)
                            : clock.wallNow() + toMillis(options.ClockSkew)),
      AbstainUntil(clock.now()),
      WallOffset(Duration(clock.wallNow()) - clock.now().time_since_epoch()),
      // Random, so that the numbers of a process that restarts under the same
      // instance differ from those of the earlier one.
      FirstAttempt(random()), NextAttempt(FirstAttempt),
      NextHandover(clock.now()), NextReport(clock.now()) {}

std::vector<RegistryAction> WriteRegistry::takeActions() {
  return std::exchange(Actions, {});
}

void WriteRegistry::send(const WriteMember &to, WriteMessage message) {
  Actions.emplace_back(SendWriteMessage{to, std::move(message)});
}

void WriteRegistry::answer(SubmissionId submission, WriteAnswer value) {
  Actions.emplace_back(AnswerWrite{submission, std::move(value)});
}

void WriteRegistry::answerAll(Entry &entry, const WriteAnswer &value) {
  for (const SubmissionId id : std::exchange(entry.Waiting, {}))
    answer(id, value);
}

// Time ---------------------------------------------------------------------

void WriteRegistry::checkWallClock() {
  const auto steady = Time.now().time_since_epoch();
  const Duration offset = Duration(Time.wallNow()) - steady;
  const Duration change = offset - WallOffset;
  if (change > MaxWallDrift || change < -MaxWallDrift) {
    const Duration later = steady + std::max(offset, WallOffset);
    if (!Options.Disabled.NoAbstention)
      AbstainIssuedUpTo =
          std::max(AbstainIssuedUpTo, toMillis(later + Options.ClockSkew));
    AbstainUntil = Time.now() + Options.KeyLifetime;
  }
  WallOffset = offset;
}

state::TimePoint WriteRegistry::expiryOf(const WriteKey &key) const {
  return Time.now() + Duration(key.issuedAt() - Time.wallNow()) +
         Options.KeyLifetime;
}

bool WriteRegistry::isInLifetime(const WriteKey &key) const {
  const Duration age = Time.wallNow() - key.issuedAt();
  return age >= -Options.ClockSkew && age < Options.KeyLifetime;
}

bool WriteRegistry::mustAbstain(const WriteKey &key) const {
  return key.issuedAt() <= AbstainIssuedUpTo || Time.now() < AbstainUntil;
}

// Lists --------------------------------------------------------------------

WriteKnowledge WriteRegistry::knowledge() const {
  WriteKnowledge result;
  result.Complete = Complete && Lists.size() <= MaxWriteLists;
  auto it = Lists.begin();
  if (Lists.size() > MaxWriteLists)
    std::advance(it, Lists.size() - MaxWriteLists);
  for (; it != Lists.end(); ++it)
    result.Lists.push_back(
        {it->first, {it->second.Members.begin(), it->second.Members.end()}});
  return result;
}

const std::set<WriteMember> &WriteRegistry::newestMembers() const {
  static const std::set<WriteMember> None;
  return Lists.empty() ? None : Lists.rbegin()->second.Members;
}

std::set<WriteMember> WriteRegistry::allMembers() const {
  std::set<WriteMember> all;
  for (const auto &it : Lists)
    all.insert(it.second.Members.begin(), it.second.Members.end());
  return all;
}

bool WriteRegistry::addList(const WriteMemberList &list) {
  if (list.Members.empty() || Lists.contains(list.Version) ||
      ExpiredVersions.contains(list.Version))
    return false;
  Lists[list.Version].Members = {list.Members.begin(), list.Members.end()};
  for (const WriteMember &member : allMembers()) {
    if (newestMembers().contains(member))
      RemovedAt.erase(member);
    else
      RemovedAt.emplace(member, Time.now());
  }
  return true;
}

void WriteRegistry::updateList(const WriteMemberList &list) {
  if (!Lists.empty() && list.Version <= Lists.rbegin()->first)
    return;
  if (!addList(list))
    return;
  NextReport = Time.now();
  mergeKnowledge(Self, {});
}

void WriteRegistry::mergeKnowledge(const WriteMember &from,
                                   const WriteKnowledge &theirs) {
  for (const WriteMemberList &list : theirs.Lists)
    addList(list);
  if (!theirs.Lists.empty()) {
    std::uint64_t &newest = ReportedVersions[from];
    newest = std::max(newest, theirs.Lists.back().Version);
  }
  updateCompleteness(from, theirs);
}

void WriteRegistry::updateCompleteness(const WriteMember &from,
                                       const WriteKnowledge &theirs) {
  if (Complete || Lists.empty())
    return;
  const std::uint64_t newest = Lists.rbegin()->first;
  if (from != Self && theirs.Complete && !theirs.Lists.empty() &&
      theirs.Lists.back().Version >= newest) {
    Complete = true;
    return;
  }
  Complete = std::ranges::all_of(allMembers(), [&](const WriteMember &m) {
    const auto removed = RemovedAt.find(m);
    return m == Self || ReportedVersions.contains(m) ||
           (removed != RemovedAt.end() &&
            Time.now() - removed->second >= Options.RemovalGrace);
  });
}

bool WriteRegistry::isSuperseded(std::uint64_t version,
                                 const WriteMember &member) const {
  if (member == Self)
    return version < Lists.rbegin()->first;
  const auto reported = ReportedVersions.find(member);
  if (reported != ReportedVersions.end() && reported->second > version)
    return true;
  const auto retired = RetiredMembers.find(member);
  if (retired != RetiredMembers.end() && retired->second.hasAllParts())
    return true;
  const auto removed = RemovedAt.find(member);
  return removed != RemovedAt.end() &&
         Time.now() - removed->second >= Options.RemovalGrace;
}

void WriteRegistry::expireLists() {
  const Duration retention = Options.KeyLifetime + 4 * Options.ClockSkew;
  for (auto it = Lists.begin(); it != Lists.end();) {
    RequiredList &list = it->second;
    const bool isObsolete =
        std::ranges::all_of(list.Members, [&](const WriteMember &m) {
          return isSuperseded(it->first, m);
        });
    if (isObsolete && !list.ObsoleteSince)
      list.ObsoleteSince = Time.now();
    const bool isExpired = it->first != Lists.rbegin()->first &&
                           list.ObsoleteSince &&
                           Time.now() - *list.ObsoleteSince > retention;
    if (isExpired)
      ExpiredVersions.insert(it->first);
    it = isExpired ? Lists.erase(it) : std::next(it);
  }
  while (ExpiredVersions.size() > MaxExpiredVersions)
    ExpiredVersions.erase(ExpiredVersions.begin());
  const auto members = allMembers();
  const auto isDeparted = [&](const auto &it) {
    return !members.contains(it.first);
  };
  std::erase_if(RemovedAt, isDeparted);
  std::erase_if(ReportedVersions, isDeparted);
  for (auto &[member, retired] : RetiredMembers)
    if (Time.now() - retired.Received > retention)
      retired.Votes.clear();
  std::erase_if(RetiredMembers, [&](const auto &it) {
    return it.second.Votes.empty() && isDeparted(it);
  });
}

// Grantor ------------------------------------------------------------------

WriteVerdict WriteRegistry::verdictFor(const WriteKey &key,
                                       const WriteHolder &holder,
                                       std::optional<WriteHolder> &held) {
  const auto it = Grants.find(key);
  if (it != Grants.end()) {
    if (it->second.Holder == holder)
      return WriteVerdict::Granted;
    held = it->second.Holder;
    return WriteVerdict::Held;
  }
  if (Retiring)
    return WriteVerdict::Retired;
  if (!isInLifetime(key))
    return WriteVerdict::Expired;
  if (mustAbstain(key))
    return WriteVerdict::Abstained;
  if (Grants.size() >= Options.MaxGrants)
    return WriteVerdict::Full;
  Grants[key] = {holder, expiryOf(key) + 2 * Options.ClockSkew};
  return WriteVerdict::Granted;
}

WriteMessage WriteRegistry::decideGrant(const WriteMember &from,
                                        const WriteMessage &request) {
  WriteMessage reply =
      makeMessage(WriteMessageType::GrantReply, request.Key, request.Attempt);
  reply.Verdict = verdictFor(
      request.Key, {from, request.Attempt, request.BodyHash}, reply.Holder);
  addRetiredVotes(reply);
  reply.Knowledge = knowledge();
  return reply;
}

void WriteRegistry::addRetiredVotes(WriteMessage &reply) const {
  for (const auto &[member, retired] : RetiredMembers) {
    if (!retired.hasAllParts())
      continue;
    RetiredVote &vote = reply.Retired.emplace_back(RetiredVote{member, {}});
    const auto it = retired.Votes.find(reply.Key);
    if (it != retired.Votes.end())
      vote.Holder = it->second;
  }
}

void WriteRegistry::onRelease(const WriteMember &from,
                              const WriteMessage &message) {
  const auto matches = [&](const WriteHolder &holder) {
    return holder.Coordinator == from && holder.Attempt == message.Attempt;
  };
  const auto it = Grants.find(message.Key);
  if (it != Grants.end() && matches(it->second.Holder))
    Grants.erase(it);
  for (auto &[member, retired] : RetiredMembers) {
    const auto vote = retired.Votes.find(message.Key);
    if (vote != retired.Votes.end() && matches(vote->second))
      retired.Votes.erase(vote);
  }
}

void WriteRegistry::onOutcomeQuery(const WriteMember &from,
                                   const WriteMessage &message) {
  WriteMessage reply = makeMessage(WriteMessageType::OutcomeReply, message.Key);
  const auto it = Entries.find(message.Key);
  reply.State = WriteState::NotHeld;
  if (it != Entries.end()) {
    const Entry &entry = it->second;
    reply.State = entry.State == EntryState::Completed ? WriteState::Completed
                  : entry.State == EntryState::Unknown ? WriteState::Unknown
                                                       : WriteState::InProgress;
    if (entry.State == EntryState::Completed) {
      reply.Status = entry.Status;
      reply.Result = entry.Result;
    }
  }
  send(from, std::move(reply));
}

// Handover -----------------------------------------------------------------

void WriteRegistry::addHandover(const WriteMember &member,
                                const std::map<WriteKey, WriteHolder> &votes) {
  const auto parts = static_cast<std::uint32_t>(std::max<std::size_t>(
      1, (votes.size() + MaxGrantsPerHandover - 1) / MaxGrantsPerHandover));
  auto it = votes.begin();
  for (std::uint32_t part = 0; part != parts; ++part) {
    WriteMessage message = makeMessage(WriteMessageType::Handover);
    message.Member = member;
    message.Part = part;
    message.Parts = parts;
    for (; it != votes.end() && message.Grants.size() != MaxGrantsPerHandover;
         ++it)
      message.Grants.push_back({it->first, it->second});
    HandoverParts.push_back(std::move(message));
  }
}

// The parts are made once. If they were made again for a resend, they could
// distribute the grants differently, and the receiver could miss some.
void WriteRegistry::retire() {
  if (Retiring)
    return;
  Retiring = true;
  std::map<WriteKey, WriteHolder> votes;
  for (const auto &[key, grant] : Grants)
    votes.emplace(key, grant.Holder);
  addHandover(Self, votes);
  for (const auto &[member, retired] : RetiredMembers)
    if (retired.hasAllParts())
      addHandover(member, retired.Votes);
  NextHandover = Time.now();
}

void WriteRegistry::sendHandover() {
  NextHandover = Time.now() + HandoverInterval;
  for (const WriteMember &member : newestMembers()) {
    if (member == Self)
      continue;
    const auto &acks = HandoverAcks[member];
    for (std::size_t i = 0; i != HandoverParts.size(); ++i)
      if (!acks.contains(i))
        send(member, HandoverParts[i]);
  }
}

void WriteRegistry::onHandover(const WriteMember &from,
                               const WriteMessage &message) {
  if (message.Member == Self || message.Part >= message.Parts)
    return;
  RetiredMember &retired = RetiredMembers[message.Member];
  if (retired.PartCount != 0 && retired.PartCount != message.Parts)
    return;
  if (retired.Parts.insert(message.Part).second) {
    retired.PartCount = message.Parts;
    retired.Received = Time.now();
    for (const auto &grant : message.Grants)
      retired.Votes[grant.Key] = grant.Holder;
  }
  WriteMessage ack = makeMessage(WriteMessageType::HandoverAck);
  ack.Member = message.Member;
  ack.Part = message.Part;
  send(from, std::move(ack));
}

void WriteRegistry::onHandoverAck(const WriteMember &from,
                                  const WriteMessage &message) {
  for (std::size_t i = 0; i != HandoverParts.size(); ++i)
    if (HandoverParts[i].Member == message.Member &&
        HandoverParts[i].Part == message.Part)
      HandoverAcks[from].insert(i);
}

bool WriteRegistry::isHandedOver() const {
  std::size_t others = 0;
  std::size_t done = 0;
  for (const WriteMember &member : newestMembers()) {
    if (member == Self)
      continue;
    ++others;
    const auto it = HandoverAcks.find(member);
    if (it != HandoverAcks.end() && it->second.size() == HandoverParts.size())
      ++done;
  }
  return Retiring && 2 * done >= others;
}

// Coordinator --------------------------------------------------------------

void WriteRegistry::submit(SubmissionId submission, const WriteKey &key,
                           const std::string &bodyHash) {
  checkWallClock();
  const auto it = Entries.find(key);
  if (it != Entries.end()) {
    answerKnown(submission, it->second, bodyHash);
    return;
  }
  if (!isInLifetime(key)) {
    answer(submission, {WriteAnswerKind::Expired, false, 0, ""});
    return;
  }
  if (Entries.size() >= Options.MaxEntries) {
    answer(submission, {WriteAnswerKind::Overloaded, false, 0, ""});
    return;
  }
  Entry &entry = Entries[key];
  entry.BodyHash = bodyHash;
  entry.Attempt = NextAttempt++;
  entry.RequestedAt = Time.now();
  entry.ExpiresAt = expiryOf(key);
  entry.Waiting.push_back(submission);
  requestGrants(key, entry);
}

void WriteRegistry::answerKnown(SubmissionId submission, const Entry &entry,
                                const std::string &bodyHash) {
  WriteAnswer value;
  if (entry.BodyHash != bodyHash)
    value.Kind = WriteAnswerKind::Conflict;
  else if (entry.State == EntryState::Completed)
    value = {WriteAnswerKind::Completed, false, entry.Status, entry.Result};
  else if (entry.State == EntryState::Unknown)
    value.Kind = WriteAnswerKind::Unknown;
  else
    value.Kind = WriteAnswerKind::InProgress;
  answer(submission, std::move(value));
}

void WriteRegistry::requestGrants(const WriteKey &key, Entry &entry) {
  entry.ResendAt = Time.now() + Options.ResendInterval;
  WriteMessage request =
      makeMessage(WriteMessageType::GrantRequest, key, entry.Attempt);
  request.BodyHash = entry.BodyHash;
  request.Knowledge = knowledge();
  for (const WriteMember &member : allMembers()) {
    if (member != Self && !entry.Granted.contains(member))
      send(member, request);
  }
  onGrantReply(Self, decideGrant(Self, request));
}

bool WriteRegistry::coversLists(const Entry &entry, bool half) const {
  if (!Complete || Lists.empty() || Lists.size() > MaxWriteLists)
    return false;
  const std::uint64_t newest = Lists.rbegin()->first;
  for (const auto &[version, list] : Lists) {
    if (Options.Disabled.NewestListOnly && version != newest)
      continue;
    std::size_t voters = 0;
    std::size_t granted = 0;
    for (const WriteMember &member : list.Members) {
      const bool isGranted = entry.Granted.contains(member);
      granted += isGranted ? 1 : 0;
      voters += isGranted || !entry.NeverGranted.contains(member) ? 1 : 0;
    }
    // If an older list has no possible voters, no attempt can have had its
    // majority for this key, so the list is covered. The newest list must give
    // a majority.
    const bool isMet = 2 * granted > voters || (half && 2 * granted == voters);
    if (!isMet && (voters != 0 || version == newest))
      return false;
    if (granted == 0 && version == newest)
      return false;
  }
  return true;
}

void WriteRegistry::onGrantReply(const WriteMember &from,
                                 const WriteMessage &message) {
  const auto it = Entries.find(message.Key);
  if (it == Entries.end() || it->second.Attempt != message.Attempt) {
    // The attempt was abandoned, and a repeated request was granted after the
    // release. The grants of attempts by an earlier process under the same
    // identity are not released, since such an attempt may have run (fault
    // found by the model check with seed 1313).
    const bool isOwn =
        message.Attempt - FirstAttempt < NextAttempt - FirstAttempt;
    if (message.Verdict == WriteVerdict::Granted && isOwn)
      send(from, makeMessage(WriteMessageType::Release, message.Key,
                             message.Attempt));
    return;
  }
  Entry &entry = it->second;
  if (entry.State != EntryState::Requesting)
    return;
  if (message.Verdict == WriteVerdict::Granted)
    entry.Granted.insert(from);
  if (message.Holder)
    entry.OtherHolder = message.Holder;
  const WriteHolder own{Self, entry.Attempt, entry.BodyHash};
  for (const RetiredVote &vote : message.Retired) {
    if (!vote.Holder)
      entry.NeverGranted.insert(vote.Member);
    else if (*vote.Holder == own)
      entry.Granted.insert(vote.Member);
    else
      entry.OtherHolder = vote.Holder;
  }
  evaluate(it);
}

void WriteRegistry::evaluate(EntryMap::iterator it) {
  Entry &entry = it->second;
  if (coversLists(entry, false)) {
    entry.State = EntryState::Ready;
    entry.HadMajority = true;
    Actions.emplace_back(RunWrite{it->first, entry.Attempt});
    return;
  }
  if (!entry.OtherHolder)
    return;
  if (entry.OtherHolder->BodyHash != entry.BodyHash) {
    answerAll(entry, {WriteAnswerKind::Conflict, false, 0, ""});
    abandon(it);
    return;
  }
  if (!entry.OutcomeRequested && entry.OtherHolder->Coordinator != Self) {
    entry.OutcomeRequested = true;
    send(entry.OtherHolder->Coordinator,
         makeMessage(WriteMessageType::OutcomeQuery, it->first));
  }
}

void WriteRegistry::onOutcomeReply(const WriteMember &from,
                                   const WriteMessage &message) {
  const auto it = Entries.find(message.Key);
  if (it == Entries.end() || it->second.State != EntryState::Requesting ||
      !it->second.OtherHolder || it->second.OtherHolder->Coordinator != from)
    return;
  Entry &entry = it->second;
  switch (message.State) {
  case WriteState::Completed:
    answerAll(entry, {WriteAnswerKind::Completed, false, message.Status,
                      message.Result});
    break;
  case WriteState::InProgress:
    answerAll(entry, {WriteAnswerKind::InProgress, false, 0, ""});
    break;
  case WriteState::Unknown:
    answerAll(entry, {WriteAnswerKind::Unknown, false, 0, ""});
    break;
  case WriteState::NotHeld:
    // The other attempt may have been released in the meantime; the next round
    // of requests shows whether it was.
    entry.OtherHolder.reset();
    entry.OutcomeRequested = false;
    return;
  }
  abandon(it);
}

void WriteRegistry::abandon(EntryMap::iterator it) {
  const WriteKey key = it->first;
  Entry entry = std::move(it->second);
  const bool notRun = entry.HadMajority || coversLists(entry, true);
  Entries.erase(it);
  answerAll(entry,
            {notRun ? WriteAnswerKind::Refused : WriteAnswerKind::Unknown,
             notRun, 0, ""});
  const WriteMessage release =
      makeMessage(WriteMessageType::Release, key, entry.Attempt);
  onRelease(Self, release);
  for (const WriteMember &member : allMembers())
    if (member != Self)
      send(member, release);
}

bool WriteRegistry::beginRun(const WriteKey &key, std::uint64_t attempt) {
  checkWallClock();
  const auto it = Entries.find(key);
  if (it == Entries.end() || it->second.Attempt != attempt ||
      (it->second.State != EntryState::Ready &&
       it->second.State != EntryState::Running))
    return false;
  Entry &entry = it->second;
  const bool isValid =
      Time.now() - entry.RequestedAt <= Options.GrantValidity &&
      Time.now() < entry.ExpiresAt && isInLifetime(key);
  if ((!isValid && !Options.Disabled.NoValidityCheck) ||
      !coversLists(entry, false)) {
    if (entry.State == EntryState::Ready)
      abandon(it);
    return false;
  }
  entry.State = EntryState::Running;
  return true;
}

void WriteRegistry::finishRun(const WriteKey &key, std::uint64_t attempt,
                              RunResult result, std::uint16_t status,
                              std::string body) {
  const auto it = Entries.find(key);
  if (it == Entries.end() || it->second.Attempt != attempt)
    return;
  Entry &entry = it->second;
  if (result == RunResult::NotRun) {
    abandon(it);
    return;
  }
  entry.State = EntryState::Unknown;
  if (result == RunResult::Unknown) {
    answerAll(entry, {WriteAnswerKind::Unknown, false, 0, ""});
    return;
  }
  answerAll(entry, {WriteAnswerKind::Completed, false, status, body});
  // If there is no room for the result, later submissions of the key are
  // answered as unknown.
  if (body.size() > MaxWriteResultBytes ||
      ResultBytes + body.size() > Options.MaxResultBytes)
    return;
  ResultBytes += body.size();
  entry.State = EntryState::Completed;
  entry.Status = status;
  entry.Result = std::move(body);
}

// Events -------------------------------------------------------------------

void WriteRegistry::receive(const WriteMember &from,
                            const WriteMessage &message) {
  checkWallClock();
  if (from == Self)
    return;
  mergeKnowledge(from, message.Knowledge);
  switch (message.Type) {
  case WriteMessageType::GrantRequest:
    send(from, decideGrant(from, message));
    break;
  case WriteMessageType::GrantReply:
    onGrantReply(from, message);
    break;
  case WriteMessageType::Release:
    onRelease(from, message);
    break;
  case WriteMessageType::OutcomeQuery:
    onOutcomeQuery(from, message);
    break;
  case WriteMessageType::OutcomeReply:
    onOutcomeReply(from, message);
    break;
  case WriteMessageType::Knowledge:
    break;
  case WriteMessageType::Handover:
    onHandover(from, message);
    break;
  case WriteMessageType::HandoverAck:
    onHandoverAck(from, message);
    break;
  }
}

void WriteRegistry::sendKnowledge(const WriteMember &peer) {
  WriteMessage report = makeMessage(WriteMessageType::Knowledge);
  report.Knowledge = knowledge();
  send(peer, std::move(report));
}

void WriteRegistry::tick() {
  checkWallClock();
  const state::TimePoint now = Time.now();
  for (auto it = Entries.begin(); it != Entries.end();) {
    const auto next = std::next(it);
    Entry &entry = it->second;
    if (entry.State == EntryState::Requesting) {
      if (now - entry.RequestedAt >= Options.GrantTimeout)
        abandon(it);
      else if (now >= entry.ResendAt)
        requestGrants(it->first, entry);
    } else if (entry.State == EntryState::Ready) {
      if (!Options.Disabled.NoValidityCheck &&
          now - entry.RequestedAt > Options.GrantValidity)
        abandon(it);
    } else if (entry.State != EntryState::Running &&
               now >= entry.ExpiresAt + 2 * Options.ClockSkew) {
      ResultBytes -= entry.Result.size();
      Entries.erase(it);
    }
    it = next;
  }
  if (Retiring && now >= NextHandover)
    sendHandover();
  if (now < NextReport)
    return;
  NextReport = now + ReportInterval;
  std::erase_if(Grants,
                [&](const auto &it) { return now >= it.second.ExpiresAt; });
  if (!Lists.empty())
    expireLists();
  updateCompleteness(Self, {});
  for (const WriteMember &member : allMembers())
    if (member != Self)
      sendKnowledge(member);
}

} // namespace galenaflow::coordination
