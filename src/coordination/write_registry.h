#ifndef GALENAFLOW_COORDINATION_WRITE_REGISTRY_H
#define GALENAFLOW_COORDINATION_WRITE_REGISTRY_H

#include "protocol/writes_messages.h"
#include "state/clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace galenaflow::coordination {

using protocol::WriteHolder;
using protocol::WriteKey;
using protocol::WriteKnowledge;
using protocol::WriteMember;
using protocol::WriteMemberList;
using protocol::WriteMessage;
using protocol::WriteState;
using protocol::WriteVerdict;

struct WriteRegistryOptions {
  /// A key can be granted for this long after its issue time.
  state::Duration KeyLifetime = std::chrono::seconds(120);
  /// How far two wall clocks may be apart.
  state::Duration ClockSkew = std::chrono::seconds(2);
  /// A VM that was removed from the list has stopped after this time.
  state::Duration RemovalGrace = std::chrono::seconds(30);
  /// Grants are usable for this long after they were first requested.
  state::Duration GrantValidity = std::chrono::seconds(2);
  /// An attempt that has no majority after this time is abandoned.
  state::Duration GrantTimeout = std::chrono::seconds(1);
  state::Duration ResendInterval = std::chrono::milliseconds(250);
  std::size_t MaxGrants = 200'000;
  std::size_t MaxEntries = 20'000;
  std::size_t MaxResultBytes = 16U << 20;

  /// Rules that a test disables to show that the model check finds the
  /// resulting faults.
  struct DisabledRules {
    bool NewestListOnly = false;
    bool NoAbstention = false;
    bool NoValidityCheck = false;
  } Disabled;
};

enum class WriteAnswerKind {
  Completed,  ///< ran; Status and Result hold the backend server's response
  InProgress, ///< an attempt is running
  Refused,    ///< unavailable; NotRun states whether `not_run` may be reported
  Unknown,    ///< may or may not have run
  Conflict,   ///< the key was used with another body
  Expired,    ///< the key is too old or issued in the future
  Overloaded, ///< no room; states nothing about earlier submissions
};

struct WriteAnswer {
  WriteAnswerKind Kind = WriteAnswerKind::Unknown;
  /// Whether no submission of the key can have run up to now.
  bool NotRun = false;
  std::uint16_t Status = 0;
  std::string Result;
};

using SubmissionId = std::uint64_t;

/// Action: send the message to another daemon.
struct SendWriteMessage {
  WriteMember To;
  WriteMessage Message;
};
/// Action: connect to a backend server, then call beginRun().
struct RunWrite {
  WriteKey Key;
  std::uint64_t Attempt = 0;
};
/// Action: answer the caller's submission.
struct AnswerWrite {
  SubmissionId Submission = 0;
  WriteAnswer Answer;
};
using RegistryAction = std::variant<SendWriteMessage, RunWrite, AnswerWrite>;

enum class RunResult {
  Ran,     ///< the backend server responded
  NotRun,  ///< certainly not sent, or a response with X-Not-Run
  Unknown, ///< everything else
};

/// Ensures that the write with a key runs at most once over all daemons. This
/// daemon is both the coordinator of its callers' writes and a grantor of votes
/// for those of other daemons. Call tick() at least every 100 ms, and execute
/// the actions of takeActions() after each call of any method.
class WriteRegistry {
public:
  WriteRegistry(WriteMember self, const state::Clock &clock,
                std::mt19937_64 &random, WriteRegistryOptions options);

  /// Applies a new version of the VM list (entry VMs). Older versions are
  /// ignored.
  void updateList(const WriteMemberList &list);

  /// Submits a caller's write. Exactly one AnswerWrite follows.
  void submit(SubmissionId submission, const WriteKey &key,
              const std::string &bodyHash);

  /// Call right before the first byte may be sent to a backend server. If it
  /// returns false, nothing may be sent, and the registry answers the
  /// submissions. Call it again before a retry, which is allowed only with
  /// proof that the previous try did not run; if it then returns false, call
  /// finishRun() with NotRun.
  bool beginRun(const WriteKey &key, std::uint64_t attempt);

  /// Reports the end of a run, or of an unsuccessful try to start one (with
  /// NotRun).
  void finishRun(const WriteKey &key, std::uint64_t attempt, RunResult result,
                 std::uint16_t status, std::string body);

  void receive(const WriteMember &from, const WriteMessage &message);

  /// Sends the known lists to the peer. Call when a link to the peer comes up.
  void sendKnowledge(const WriteMember &peer);

  void tick();

  /// Stops granting permanently, and hands all grants over to the other
  /// daemons.
  void retire();
  /// Whether at least half of the other members of the newest list have
  /// acknowledged the handover.
  bool isHandedOver() const;

  std::vector<RegistryAction> takeActions();

  std::size_t grantCount() const { return Grants.size(); }
  std::size_t entryCount() const { return Entries.size(); }
  /// Whether this daemon knows every list that peers may still use. Until then
  /// it runs no writes.
  bool isReady() const { return Complete; }

private:
  struct Grant {
    WriteHolder Holder;
    state::TimePoint ExpiresAt;
  };
  /// A list that is still required for majorities.
  struct RequiredList {
    std::set<WriteMember> Members;
    /// Since when no member can still use this list as its newest one.
    std::optional<state::TimePoint> ObsoleteSince;
  };
  struct RetiredMember {
    std::map<WriteKey, WriteHolder> Votes;
    std::set<std::uint32_t> Parts;
    std::uint32_t PartCount = 0;
    state::TimePoint Received;
    bool hasAllParts() const {
      return PartCount != 0 && Parts.size() == PartCount;
    }
  };
  enum class EntryState { Requesting, Ready, Running, Completed, Unknown };
  struct Entry {
    EntryState State = EntryState::Requesting;
    std::string BodyHash;
    std::uint64_t Attempt = 0;
    state::TimePoint RequestedAt;
    state::TimePoint ResendAt;
    state::TimePoint ExpiresAt;
    std::set<WriteMember> Granted;
    /// Retired members that are proven never to have granted the key.
    std::set<WriteMember> NeverGranted;
    std::optional<WriteHolder> OtherHolder;
    bool OutcomeRequested = false;
    bool HadMajority = false;
    std::vector<SubmissionId> Waiting;
    std::uint16_t Status = 0;
    std::string Result;
  };
  using EntryMap = std::map<WriteKey, Entry>;

  void checkWallClock();
  state::TimePoint expiryOf(const WriteKey &key) const;
  bool isInLifetime(const WriteKey &key) const;
  bool mustAbstain(const WriteKey &key) const;

  WriteKnowledge knowledge() const;
  void mergeKnowledge(const WriteMember &from, const WriteKnowledge &theirs);
  bool addList(const WriteMemberList &list);
  bool isSuperseded(std::uint64_t version, const WriteMember &member) const;
  void updateCompleteness(const WriteMember &from,
                          const WriteKnowledge &theirs);
  void expireLists();
  const std::set<WriteMember> &newestMembers() const;
  std::set<WriteMember> allMembers() const;

  WriteMessage decideGrant(const WriteMember &from,
                           const WriteMessage &request);
  WriteVerdict verdictFor(const WriteKey &key, const WriteHolder &holder,
                          std::optional<WriteHolder> &held);
  void addRetiredVotes(WriteMessage &reply) const;
  void onRelease(const WriteMember &from, const WriteMessage &message);
  void onGrantReply(const WriteMember &from, const WriteMessage &message);
  void onOutcomeQuery(const WriteMember &from, const WriteMessage &message);
  void onOutcomeReply(const WriteMember &from, const WriteMessage &message);
  void onHandover(const WriteMember &from, const WriteMessage &message);
  void onHandoverAck(const WriteMember &from, const WriteMessage &message);
  void addHandover(const WriteMember &member,
                   const std::map<WriteKey, WriteHolder> &votes);
  void sendHandover();

  void requestGrants(const WriteKey &key, Entry &entry);
  /// Whether the grants are a strict majority (with `half`, at least half) of
  /// the possible voters of each required list.
  bool coversLists(const Entry &entry, bool half) const;
  void evaluate(EntryMap::iterator it);
  void abandon(EntryMap::iterator it);
  void answerAll(Entry &entry, const WriteAnswer &answer);
  void answer(SubmissionId submission, WriteAnswer value);
  void answerKnown(SubmissionId submission, const Entry &entry,
                   const std::string &bodyHash);
  void send(const WriteMember &to, WriteMessage message);

  const WriteMember Self;
  const state::Clock &Time;
  const WriteRegistryOptions Options;

  // This daemon abstains for keys that were issued up to AbstainIssuedUpTo and,
  // after a step of the wall clock, for all keys until AbstainUntil.
  state::WallMillis AbstainIssuedUpTo;
  state::TimePoint AbstainUntil;
  state::Duration WallOffset; // wall minus steady clock at the last check
  bool Complete = false;
  bool Retiring = false;
  std::uint64_t FirstAttempt; // of this process
  std::uint64_t NextAttempt;

  std::map<std::uint64_t, RequiredList> Lists;
  std::set<std::uint64_t> ExpiredVersions; // of lists no longer required
  // When this daemon first received a newest list without the member.
  std::map<WriteMember, state::TimePoint> RemovedAt;
  // The newest list that each member has reported.
  std::map<WriteMember, std::uint64_t> ReportedVersions;
  std::map<WriteMember, RetiredMember> RetiredMembers;
  std::map<WriteKey, Grant> Grants;
  EntryMap Entries;
  std::size_t ResultBytes = 0;
  std::vector<WriteMessage> HandoverParts;
  std::map<WriteMember, std::set<std::size_t>> HandoverAcks;
  state::TimePoint NextHandover;
  state::TimePoint NextReport;
  std::vector<RegistryAction> Actions;
};

} // namespace galenaflow::coordination

#endif
