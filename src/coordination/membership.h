#ifndef GALENAFLOW_COORDINATION_MEMBERSHIP_H
#define GALENAFLOW_COORDINATION_MEMBERSHIP_H

#include "protocol/fleet_messages.h"
#include "state/clock.h"

#include <deque>
#include <map>
#include <optional>
#include <random>
#include <variant>

namespace galenaflow::coordination {

using protocol::MemberId;
using protocol::MemberState;
using state::Duration;
using state::TimePoint;

/// One entry VM of the platform's lagging list.
struct ListedVm {
  MemberId Id;
  std::string Address;
  std::string DataCentre;
  bool IsLeaving = false;
};

struct MembershipOptions {
  Duration ProbePeriod = std::chrono::seconds(1);
  /// Time for a direct answer before other members are asked to probe.
  Duration ProbeTimeout = std::chrono::milliseconds(300);
  Duration SuspicionTime = std::chrono::seconds(3);
  std::size_t IndirectProbeCount = 3;
  /// An update is sent this many times, times log2(members + 1).
  std::size_t RetransmitFactor = 3;
  std::size_t UpdatesPerMessage = 8; ///< at most protocol::MaxUpdates
  Duration DeadRetention = std::chrono::seconds(60);
};

/// Action: send `Body` to `To`.
struct SendMessage {
  MemberId To;
  std::string Address;
  protocol::FleetBody Body;
};

/// Action: the state of a member changed.
struct MemberChanged {
  MemberId Id;
  MemberState State;
};

/// Action: this process did not run for `Paused`; leases and facts are stale.
struct LocalPause {
  Duration Paused;
};

/// Action: a peer's piggybacked digest.
struct DigestReceived {
  MemberId From;
  std::string Digest;
};

using MembershipAction =
    std::variant<SendMessage, MemberChanged, LocalPause, DigestReceived>;
using MembershipActions = std::vector<MembershipAction>;

struct Member {
  ListedVm Vm;
  MemberState State = MemberState::Alive;
  std::uint64_t Incarnation = 0;
  TimePoint Since{}; ///< of the state
  bool IsListed = false;
  bool WasEverListed = false; ///< by this or an earlier list
};

/// SWIM failure detection and dissemination over one member table.
class Membership {
public:
  Membership(MembershipOptions options, ListedVm self, std::mt19937_64 random,
             TimePoint now);

  /// A newer VM list. The caller orders versions.
  MembershipActions applyList(std::span<const ListedVm> vms, TimePoint now);

  /// Call at nextTimer() or more often.
  MembershipActions tick(TimePoint now);
  TimePoint nextTimer() const;

  MembershipActions receive(const MemberId &from,
                            const protocol::FleetBody &body, TimePoint now);

  /// Announces a graceful departure.
  MembershipActions leave(TimePoint now);

  /// At most protocol::MaxDigestBytes; longer digests are not sent.
  void setDigest(std::string digest) { Digest = std::move(digest); }

  /// False after a pause, until a peer has answered a probe.
  bool isCountedAlive() const { return !IsRejoining && !HasLeft; }
  std::uint64_t incarnation() const { return Incarnation; }
  const ListedVm &self() const { return Self; }
  const std::map<MemberId, Member> &members() const { return Members; }

  /// Members that are alive or suspected, with this one if counted alive.
  /// In order of id.
  std::vector<ListedVm> liveMembers() const;

private:
  struct QueuedUpdate {
    protocol::MemberUpdate Update;
    std::size_t SendsRemaining;
  };
  struct Probe {
    std::uint64_t Sequence;
    MemberId Target;
    TimePoint StartedAt;
    bool IsIndirect = false;
  };
  struct ForwardedProbe {
    MemberId Requester;
    std::uint64_t RequesterSequence;
    TimePoint StartedAt;
  };

  void startProbe(TimePoint now, MembershipActions &actions);
  void sendIndirectProbes(MembershipActions &actions);
  void checkProbe(TimePoint now, MembershipActions &actions);
  void expireSuspects(TimePoint now, MembershipActions &actions);
  void resumeAfterPause(Duration paused, MembershipActions &actions);
  void applyUpdate(const protocol::MemberUpdate &update, TimePoint now,
                   MembershipActions &actions);
  void refute(const protocol::MemberUpdate &update);
  void setState(Member &member, MemberState state, std::uint64_t incarnation,
                TimePoint now, MembershipActions &actions);
  void acknowledge(const MemberId &from, std::uint64_t sequence,
                   const MemberId &subject, MembershipActions &actions);
  void onAck(const protocol::PingAck &ack, MembershipActions &actions);
  void queueUpdate(const protocol::MemberUpdate &update);
  void queueOwnState();
  void attachPiggyback(protocol::SwimPayload &payload);
  template <typename Message>
  void send(const MemberId &to, std::uint64_t sequence, const MemberId &subject,
            MembershipActions &actions);
  std::vector<MemberId> randomMembers(std::size_t n, const MemberId &except);
  std::optional<MemberId> nextTarget();

  MembershipOptions Options;
  ListedVm Self;
  std::mt19937_64 Random;
  std::uint64_t Incarnation = 1;
  std::uint64_t LastSequence = 0;
  std::string Digest;
  std::map<MemberId, Member> Members; // without this member
  std::vector<MemberId> ProbeOrder;
  std::deque<QueuedUpdate> UpdateQueue;
  std::optional<Probe> CurrentProbe;
  std::map<std::uint64_t, ForwardedProbe> ForwardedProbes;
  TimePoint LastTick;
  TimePoint NextProbe;
  bool IsRejoining = false;
  bool HasLeft = false;
};

} // namespace galenaflow::coordination

#endif
