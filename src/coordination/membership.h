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

/// An entry VM in the platform's list, which lags behind the actual state.
struct ListedVm {
  MemberId Id;
  std::string Address;
  std::string DataCentre;
  bool IsLeaving = false;
};

struct MembershipOptions {
  Duration ProbePeriod = std::chrono::seconds(1);
  /// Time without an acknowledgement after which other members are requested to
  /// probe the target.
  Duration ProbeTimeout = std::chrono::milliseconds(300);
  Duration SuspicionTimeout = std::chrono::seconds(3);
  std::size_t IndirectProbeCount = 3; ///< members requested to probe a target
  /// An update is sent this many times, multiplied by log2(members + 1).
  std::size_t RetransmitFactor = 3;
  std::size_t UpdatesPerMessage = 8; ///< at most protocol::MaxUpdates
  /// How long dead and departed members that are not listed are kept.
  Duration DeadRetention = std::chrono::seconds(60);
};

/// Action: send `Body` to the member `To`.
struct SendMessage {
  MemberId To;
  std::string Address;
  protocol::FleetBody Body;
};

/// Action: note that the state of a member has changed.
struct MemberChanged {
  MemberId Id;
  MemberState State;
};

/// Action: treat leases and received state as stale, because this process did
/// not run for the time `Paused`.
struct LocalPause {
  Duration Paused;
};

/// Action: process the digest that a peer piggybacked on a message.
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
  TimePoint Since{}; ///< time of the last change of State
  bool IsListed = false;
  bool WasEverListed = false; ///< by this or an earlier list
};

/// Detects failures of daemons and disseminates their states by the SWIM
/// protocol. The owner executes the returned actions in order.
class Membership {
public:
  Membership(MembershipOptions options, ListedVm self, std::mt19937_64 random,
             TimePoint now);

  /// Applies a newer VM list. The owner ensures the order of versions.
  MembershipActions applyList(std::span<const ListedVm> vms, TimePoint now);

  /// Probes members and expires suspicions. Call at nextTimer() or more often.
  MembershipActions tick(TimePoint now);
  TimePoint nextTimer() const;

  MembershipActions receive(const MemberId &from,
                            const protocol::FleetBody &body, TimePoint now);

  /// Announces a graceful departure. Afterwards tick() and receive() return no
  /// actions.
  MembershipActions leave(TimePoint now);

  /// Sets the digest to piggyback on messages. A digest longer than
  /// protocol::MaxDigestBytes is not sent.
  void setDigest(std::string digest) { Digest = std::move(digest); }

  /// False after a pause of this process, until a peer has acknowledged a
  /// probe, and after leave().
  bool isCountedAlive() const { return !IsRejoining && !HasLeft; }
  std::uint64_t incarnation() const { return Incarnation; }
  const ListedVm &self() const { return Self; }
  const std::map<MemberId, Member> &members() const { return Members; }

  /// Returns the members that are alive or suspected, including this one if
  /// isCountedAlive(), in order of id.
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
  std::map<MemberId, Member> Members; // excluding this one
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
