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
  /// A VM that left the list has stopped after this time.
  state::Duration RemovalGrace = std::chrono::seconds(30);
  /// Grants are usable for this long after they were asked for.
  state::Duration GrantValidity = std::chrono::seconds(2);
  /// An attempt without a majority is given up after this time.
  state::Duration GrantTimeout = std::chrono::seconds(1);
  state::Duration ResendInterval = std::chrono::milliseconds(250);
  std::size_t MaxGrants = 200'000;
  std::size_t MaxEntries = 20'000;
  std::size_t MaxResultBytes = 16U << 20;

  /// Weakened rules, by which tests show that the model check finds faults.
  struct DisabledRules {
    bool NewestListOnly = false;
    bool NoAbstention = false;
    bool NoValidityCheck = false;
  } Disabled;
};

enum class WriteAnswerKind {
  Completed,  ///< ran; Status and Result hold what the backend answered
  InProgress, ///< an attempt is running
  Refused,    ///< unavailable; NotRun tells whether `not_run` may be said
  Unknown,    ///< may or may not have run
  Conflict,   ///< the key was used with another body
  Expired,    ///< the key is too old or issued in the future
  Overloaded, ///< no room; says nothing about earlier submissions
};

struct WriteAnswer {
  WriteAnswerKind Kind = WriteAnswerKind::Unknown;
  /// No submission of the key can have run up to now.
  bool NotRun = false;
  std::uint16_t Status = 0;
  std::string Result;
};

using SubmissionId = std::uint64_t;

struct SendWriteMessage {
  WriteMember To;
  WriteMessage Message;
};
/// Connect to a backend server, then call beginRun().
struct RunWrite {
  WriteKey Key;
  std::uint64_t Attempt = 0;
};
struct AnswerWrite {
  SubmissionId Submission = 0;
  WriteAnswer Answer;
};
using RegistryAction = std::variant<SendWriteMessage, RunWrite, AnswerWrite>;

enum class RunResult {
  Ran,     ///< a response of the backend server
  NotRun,  ///< certainly not sent, or X-Not-Run
  Unknown, ///< everything else
};

/// Runs each key at most once over all daemons, as grantor and as coordinator.
/// Call tick() at least every 100 ms and perform takeActions() after each call.
class WriteRegistry {
public:
  WriteRegistry(WriteMember self, const state::Clock &clock,
                std::mt19937_64 &random, WriteRegistryOptions options);

  /// A new version of the VM list (entry VMs). Older versions are ignored.
  void updateList(const WriteMemberList &list);

  /// A caller's write. Exactly one AnswerWrite follows.
  void submit(SubmissionId submission, const WriteKey &key,
              const std::string &bodyHash);

  /// Call right before the first byte may leave for a backend server. On false
  /// nothing may be sent; the submissions are answered by the registry. Call it
  /// again before another try that follows proof that the try before did not
  /// run; on false finishRun() with NotRun must follow.
  bool beginRun(const WriteKey &key, std::uint64_t attempt);

  /// The end of a run, or of the try to start one (with NotRun).
  void finishRun(const WriteKey &key, std::uint64_t attempt, RunResult result,
                 std::uint16_t status, std::string body);

  void receive(const WriteMember &from, const WriteMessage &message);

  /// A link to the peer came up: tells it the known lists.
  void sendKnowledge(const WriteMember &peer);

  void tick();

  /// Stops granting for good and hands all grants to the other daemons.
  void retire();
  /// Whether a majority of the others in the newest list has acknowledged.
  bool isHandedOver() const;

  std::vector<RegistryAction> takeActions();

  std::size_t grantCount() const { return Grants.size(); }
  std::size_t entryCount() const { return Entries.size(); }
  /// False until this daemon knows every list that peers may still use.
  bool isReady() const { return Complete; }

private:
  struct Grant {
    WriteHolder Holder;
    state::TimePoint ExpiresAt;
  };
  /// A list that is still required, and who has reported a newer one.
  struct RequiredList {
    std::set<WriteMember> Members;
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
    std::set<WriteMember>
        NeverGranted; // retired and proven never to have granted
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
  bool mayHaveExpired(const WriteKey &key) const;

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

  state::WallMillis AbstainIssuedUpTo; // abstain for keys issued up to here
  state::TimePoint AbstainUntil;       // after a step of the wall clock
  state::Duration WallOffset;          // wall minus steady at the last check
  bool Complete = false;
  bool Retiring = false;
  std::uint64_t FirstAttempt; // of this process
  std::uint64_t NextAttempt;

  std::map<std::uint64_t, RequiredList> Lists;
  std::set<std::uint64_t>
      ExpiredVersions; // versions that are not required any more
  std::map<WriteMember, state::TimePoint> RemovedAt; // when seen to leave
  std::map<WriteMember, std::uint64_t>
      ReportedVersions; // newest list they know
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
