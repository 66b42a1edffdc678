#include "coordination/membership.h"

#include <algorithm>
#include <bit>

// The SWIM protocol. In each period one member is probed, in a random order
// that visits every member once before it starts again, which bounds the time
// to detect a failure. A member that does not acknowledge the probe is probed
// through a few others, then suspected, and declared dead at the end of the
// suspicion timeout. A suspected or dead member that still runs refutes the
// claim with a higher incarnation. Updates are piggybacked on probes. Those
// sent least often go first, and each is sent a logarithmic number of times, so
// the size of messages and the traffic stay bounded for any size of the fleet.

namespace galenaflow::coordination {

using protocol::MemberUpdate;
using protocol::Ping;
using protocol::PingAck;
using protocol::PingRequest;

namespace {

/// A member raises its incarnation by one for each false suspicion, so that no
/// member gets near this number. From the end of the range of the type it could
/// not refute any more.
constexpr std::uint64_t MaxIncarnation = std::uint64_t{1} << 62;

bool isRunning(MemberState state) {
  return state == MemberState::Alive || state == MemberState::Suspect;
}

MemberUpdate updateOf(const Member &member) {
  return {member.Vm.Id, member.Vm.Address, member.Vm.DataCentre, member.State,
          member.Incarnation};
}

/// Whether an update supersedes the known state, by the rules of SWIM.
bool overrides(const MemberUpdate &update, const Member &known) {
  if (update.Incarnation != known.Incarnation)
    return update.Incarnation > known.Incarnation;
  return update.State > known.State;
}

} // namespace

Membership::Membership(MembershipOptions options, ListedVm self,
                       std::mt19937_64 random, TimePoint now)
    : Options(options), Self(std::move(self)), Random(random), LastTick(now),
      NextProbe(now) {
  Options.UpdatesPerMessage =
      std::min(Options.UpdatesPerMessage, protocol::MaxUpdates);
  queueOwnState();
}

MembershipActions Membership::applyList(std::span<const ListedVm> vms,
                                        TimePoint now) {
  MembershipActions actions;
  for (auto &[id, member] : Members)
    member.IsListed = false;
  std::map<std::string, std::string> instances;
  for (const ListedVm &vm : vms) {
    instances[vm.Id.Vm] = vm.Id.Instance;
    if (vm.Id == Self.Id) {
      Self.IsLeaving = vm.IsLeaving;
      continue;
    }
    auto [it, isNew] =
        Members.try_emplace(vm.Id, Member{vm, MemberState::Alive, 0, now});
    it->second.Vm = vm;
    it->second.IsListed = true;
    it->second.WasEverListed = true;
    if (isNew)
      actions.emplace_back(MemberChanged{vm.Id, MemberState::Alive});
  }
  // If the list has another instance of a VM, an instance that it had earlier
  // is dead. An instance that it never had may be newer than this lagging list.
  for (auto &[id, member] : Members) {
    const auto it = instances.find(id.Vm);
    if (it != instances.end() && it->second != id.Instance &&
        member.WasEverListed && isRunning(member.State))
      setState(member, MemberState::Dead, member.Incarnation, now, actions);
  }
  return actions;
}

TimePoint Membership::nextTimer() const {
  TimePoint next = NextProbe;
  if (CurrentProbe && !CurrentProbe->IsIndirect)
    next = std::min(next, CurrentProbe->StartedAt + Options.ProbeTimeout);
  for (const auto &[id, member] : Members)
    if (member.State == MemberState::Suspect)
      next = std::min(next, member.Since + Options.SuspicionTimeout);
  return next;
}

MembershipActions Membership::tick(TimePoint now) {
  MembershipActions actions;
  const Duration gap = now - LastTick;
  LastTick = now;
  if (HasLeft)
    return actions;
  if (gap > Options.SuspicionTimeout)
    resumeAfterPause(gap, actions);
  checkProbe(now, actions);
  expireSuspects(now, actions);
  if (now >= NextProbe) {
    startProbe(now, actions);
    NextProbe = now + Options.ProbePeriod;
  }
  std::erase_if(ForwardedProbes, [&](const auto &entry) {
    return now - entry.second.StartedAt > Options.ProbePeriod;
  });
  return actions;
}

void Membership::resumeAfterPause(Duration paused, MembershipActions &actions) {
  actions.emplace_back(LocalPause{paused});
  // Acknowledgements that are missing because of the pause do not indicate
  // failures of other members.
  CurrentProbe.reset();
  ForwardedProbes.clear();
  for (auto &[id, member] : Members)
    if (member.State == MemberState::Suspect)
      member.Since = LastTick;
  ++Incarnation;
  queueOwnState();
  const auto targets = randomMembers(Options.IndirectProbeCount, Self.Id);
  IsRejoining = !targets.empty();
  for (const MemberId &id : targets)
    send<Ping>(id, ++LastSequence, id, actions);
}

void Membership::startProbe(TimePoint now, MembershipActions &actions) {
  const auto target = nextTarget();
  if (!target)
    return;
  CurrentProbe = Probe{++LastSequence, *target, now};
  send<Ping>(*target, CurrentProbe->Sequence, *target, actions);
}

void Membership::sendIndirectProbes(MembershipActions &actions) {
  CurrentProbe->IsIndirect = true;
  for (const MemberId &id :
       randomMembers(Options.IndirectProbeCount, CurrentProbe->Target))
    send<PingRequest>(id, CurrentProbe->Sequence, CurrentProbe->Target,
                      actions);
}

void Membership::checkProbe(TimePoint now, MembershipActions &actions) {
  if (!CurrentProbe)
    return;
  const Duration age = now - CurrentProbe->StartedAt;
  if (!CurrentProbe->IsIndirect && age >= Options.ProbeTimeout)
    sendIndirectProbes(actions);
  if (age < Options.ProbePeriod)
    return;
  const auto it = Members.find(CurrentProbe->Target);
  if (it != Members.end() && it->second.State == MemberState::Alive)
    setState(it->second, MemberState::Suspect, it->second.Incarnation, now,
             actions);
  CurrentProbe.reset();
}

void Membership::expireSuspects(TimePoint now, MembershipActions &actions) {
  for (auto &[id, member] : Members)
    if (member.State == MemberState::Suspect &&
        now - member.Since >= Options.SuspicionTimeout)
      setState(member, MemberState::Dead, member.Incarnation, now, actions);
  std::erase_if(Members, [&](const auto &entry) {
    const Member &member = entry.second;
    return !isRunning(member.State) && !member.IsListed &&
           now - member.Since > Options.DeadRetention;
  });
}

MembershipActions Membership::receive(const MemberId &from,
                                      const protocol::FleetBody &body,
                                      TimePoint now) {
  MembershipActions actions;
  const auto *ping = std::get_if<Ping>(&body);
  const auto *request = std::get_if<PingRequest>(&body);
  const auto *ack = std::get_if<PingAck>(&body);
  const protocol::SwimPayload *payload = ping;
  if (request)
    payload = request;
  if (ack)
    payload = ack;
  if (!payload || HasLeft)
    return actions;
  for (const MemberUpdate &update : payload->Updates)
    applyUpdate(update, now, actions);
  if (!payload->Digest.empty())
    actions.emplace_back(DigestReceived{from, payload->Digest});
  if (ping && ping->Subject == Self.Id)
    acknowledge(from, ping->Sequence, Self.Id, actions);
  if (request && request->Subject != Self.Id) {
    ForwardedProbes[++LastSequence] = {from, request->Sequence, now};
    send<Ping>(request->Subject, LastSequence, request->Subject, actions);
  }
  if (ack)
    onAck(*ack, actions);
  return actions;
}

void Membership::acknowledge(const MemberId &from, std::uint64_t sequence,
                             const MemberId &subject,
                             MembershipActions &actions) {
  // The acknowledgement to a member that is suspected or declared dead carries
  // that state, so that the member can refute it.
  const auto it = Members.find(from);
  if (it != Members.end() && it->second.State != MemberState::Alive)
    queueUpdate(updateOf(it->second));
  send<PingAck>(from, sequence, subject, actions);
}

void Membership::onAck(const PingAck &ack, MembershipActions &actions) {
  IsRejoining = false;
  if (CurrentProbe && CurrentProbe->Sequence == ack.Sequence &&
      CurrentProbe->Target == ack.Subject)
    CurrentProbe.reset();
  const auto it = ForwardedProbes.find(ack.Sequence);
  if (it == ForwardedProbes.end())
    return;
  acknowledge(it->second.Requester, it->second.RequesterSequence, ack.Subject,
              actions);
  ForwardedProbes.erase(it);
}

MembershipActions Membership::leave(TimePoint) {
  MembershipActions actions;
  if (HasLeft)
    return actions;
  HasLeft = true;
  queueOwnState();
  for (const MemberId &id :
       randomMembers(Options.IndirectProbeCount + 1, Self.Id))
    send<Ping>(id, ++LastSequence, id, actions);
  return actions;
}

void Membership::applyUpdate(const MemberUpdate &update, TimePoint now,
                             MembershipActions &actions) {
  if (update.Id == Self.Id) {
    // The own number stays at most MaxIncarnation, which the others accept.
    if (update.Incarnation < MaxIncarnation)
      refute(update);
    return;
  }
  if (update.Incarnation > MaxIncarnation)
    return;
  const auto it = Members.find(update.Id);
  if (it == Members.end()) {
    if (!isRunning(update.State))
      return;
    Member member{{update.Id, update.Address, update.DataCentre, false},
                  update.State,
                  update.Incarnation,
                  now};
    actions.emplace_back(MemberChanged{update.Id, update.State});
    Members.emplace(update.Id, std::move(member));
    queueUpdate(update);
  } else if (overrides(update, it->second)) {
    setState(it->second, update.State, update.Incarnation, now, actions);
  }
}

void Membership::refute(const MemberUpdate &update) {
  if (update.State == MemberState::Alive)
    return;
  // A claim older than an earlier refutation shows that its sender missed the
  // refutation, so it is queued again.
  Incarnation = std::max(Incarnation, update.Incarnation + 1);
  queueOwnState();
}

void Membership::setState(Member &member, MemberState state,
                          std::uint64_t incarnation, TimePoint now,
                          MembershipActions &actions) {
  if (member.State != state) {
    member.State = state;
    member.Since = now;
    actions.emplace_back(MemberChanged{member.Vm.Id, state});
  }
  member.Incarnation = incarnation;
  queueUpdate(updateOf(member));
}

void Membership::queueUpdate(const MemberUpdate &update) {
  std::erase_if(UpdateQueue, [&](const QueuedUpdate &it) {
    return it.Update.Id == update.Id;
  });
  const std::size_t rounds = std::bit_width(Members.size() + 1);
  UpdateQueue.push_front({update, Options.RetransmitFactor * rounds});
}

void Membership::queueOwnState() {
  queueUpdate({Self.Id, Self.Address, Self.DataCentre,
               HasLeft ? MemberState::Left : MemberState::Alive, Incarnation});
}

void Membership::attachPiggyback(protocol::SwimPayload &payload) {
  const std::size_t n = std::min(Options.UpdatesPerMessage, UpdateQueue.size());
  for (std::size_t i = 0; i != n; ++i) {
    QueuedUpdate it = std::move(UpdateQueue.front());
    UpdateQueue.pop_front();
    payload.Updates.push_back(it.Update);
    if (--it.SendsRemaining != 0)
      UpdateQueue.push_back(std::move(it));
  }
  if (Digest.size() <= protocol::MaxDigestBytes)
    payload.Digest = Digest;
}

template <typename Message>
void Membership::send(const MemberId &to, std::uint64_t sequence,
                      const MemberId &subject, MembershipActions &actions) {
  Message message;
  message.Sequence = sequence;
  message.Subject = subject;
  attachPiggyback(message);
  const auto it = Members.find(to);
  actions.emplace_back(
      SendMessage{to, it == Members.end() ? "" : it->second.Vm.Address,
                  std::move(message)});
}

std::vector<MemberId> Membership::randomMembers(std::size_t n,
                                                const MemberId &except) {
  std::vector<MemberId> all;
  for (const auto &[id, member] : Members)
    if (isRunning(member.State) && id != except)
      all.push_back(id);
  std::vector<MemberId> sample;
  std::sample(all.begin(), all.end(), std::back_inserter(sample), n, Random);
  return sample;
}

std::optional<MemberId> Membership::nextTarget() {
  // Dead members that are still listed are probed too, so that the two sides of
  // a partition rejoin after its end.
  const auto isTarget = [](const Member &member) {
    return isRunning(member.State) ||
           (member.State == MemberState::Dead && member.IsListed);
  };
  for (int pass = 0; pass != 2; ++pass) {
    while (!ProbeOrder.empty()) {
      const MemberId id = ProbeOrder.back();
      ProbeOrder.pop_back();
      const auto it = Members.find(id);
      if (it == Members.end() || !isTarget(it->second))
        continue;
      if (!isRunning(it->second.State))
        queueUpdate(updateOf(it->second));
      return id;
    }
    ProbeOrder.reserve(Members.size());
    for (const auto &[id, member] : Members)
      ProbeOrder.push_back(id);
    std::shuffle(ProbeOrder.begin(), ProbeOrder.end(), Random);
  }
  return std::nullopt;
}

std::vector<ListedVm> Membership::liveMembers() const {
  std::map<MemberId, ListedVm> live;
  for (const auto &[id, member] : Members)
    if (isRunning(member.State))
      live[id] = member.Vm;
  if (isCountedAlive())
    live[Self.Id] = Self;
  std::vector<ListedVm> result;
  result.reserve(live.size());
  for (auto &[id, vm] : live)
    result.push_back(std::move(vm));
  return result;
}

} // namespace galenaflow::coordination
