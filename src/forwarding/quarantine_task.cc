#include "forwarding/quarantine_task.h"

#include "protocol/quarantine_messages.h"
#include "state/log.h"

#include <algorithm>

// RequestQuarantine decides from the evidence. This task carries evidence
// between the daemons: every daemon has links to the relays, so that two
// messages one after the other reach the whole fleet.

namespace galenaflow::forwarding {

using coordination::RequestStanding;
using protocol::QuarantineMessageType;
using state::Duration;
using transport::PeerIdentity;

namespace {

/// Ids of rejected requests are above those of `next`, which count from one.
constexpr ForwardId FirstRejectedId = ForwardId{1} << 63;

} // namespace

QuarantineTask::QuarantineTask(transport::EventLoop &loop, RelayTask &links,
                               Forwarder &next, QuarantineTaskOptions options,
                               state::MetricRegistry &metrics)
    : Loop(loop), Links(links), Next(next), Options(options),
      Quarantine(std::mt19937_64(Options.Seed)), LastRejected(FirstRejectedId),
      Rejections(metrics.counter("galenaflow_quarantine_rejections_total",
                                 "Requests that were not sent because equal "
                                 "ones had ended replicas")),
      Suspects(metrics.counter("galenaflow_suspect_requests_total",
                               "Requests that were sent to one replica first "
                               "because an equal one had ended replicas")),
      Trials(metrics.counter("galenaflow_quarantine_trials_total",
                             "Quarantined requests that were sent to one "
                             "replica to learn whether they still end it")) {}

QuarantineTask::~QuarantineTask() { Loop.cancel(MessageTimer); }

ForwardId QuarantineTask::forward(ForwardCall call, ForwardCallback callback) {
  if (!Quarantine.empty()) {
    const auto fingerprint = call.Message->fingerprint();
    const auto standing = Quarantine.standing(fingerprint, Loop.now());
    if (standing == RequestStanding::Quarantined) {
      if (!Quarantine.tryTrial(fingerprint, Links.daemonCount(), Loop.now()))
        return reject(*call.Message, fingerprint, std::move(callback));
      Trials.add();
      state::log::info("request_tried",
                       {{"id", call.Message->RequestId},
                        {"fingerprint", fingerprint.toText()}});
    }
    call.IsSuspect = standing != RequestStanding::Normal;
    if (call.IsSuspect)
      Suspects.add();
  }
  const auto message = call.Message;
  return Next.forward(std::move(call),
                      [this, message, beganAt = Loop.now(),
                       callback = std::move(callback)](ForwardResult result) {
                        onResult(*message, beganAt, result);
                        callback(std::move(result));
                      });
}

ForwardId QuarantineTask::reject(const ForwardedRequest &message,
                                 const state::RequestFingerprint &fingerprint,
                                 ForwardCallback callback) {
  Rejections.add();
  const Duration remaining =
      Quarantine.remaining(fingerprint, Links.daemonCount(), Loop.now());
  state::log::info("request_rejected", {{"id", message.RequestId},
                                        {"fingerprint", fingerprint.toText()},
                                        {"left_ms", remaining.count() / 1000}});
  ForwardResult result;
  coordination::ForwardFailure failure;
  failure.Fault = coordination::ForwardFault::Quarantined;
  failure.RetryAfter = remaining;
  result.Outcome = std::move(failure);
  const ForwardId id = ++LastRejected;
  Rejected.insert(id);
  Loop.post([this, id, result = std::move(result),
             callback = std::move(callback)]() mutable {
    if (Rejected.erase(id) != 0)
      callback(std::move(result));
  });
  return id;
}

void QuarantineTask::cancel(ForwardId id) {
  if (id > FirstRejectedId)
    Rejected.erase(id);
  else
    Next.cancel(id);
}

void QuarantineTask::onResult(const ForwardedRequest &message,
                              state::TimePoint beganAt,
                              const ForwardResult &result) {
  const coordination::ForwardCounts &counts = result.Counts;
  if (counts.Lost == 0 && Quarantine.empty())
    return;
  const auto fingerprint = message.fingerprint();
  const auto before = Quarantine.standing(fingerprint, Loop.now());
  const auto *failure =
      std::get_if<coordination::ForwardFailure>(&result.Outcome);
  const bool mayHaveRun = failure == nullptr ||
                          failure->Ran != coordination::ExecutionState::NotRun;
  const auto after = Quarantine.onEnded(
      fingerprint, {beganAt, counts.Lost, counts.IsAnswered, mayHaveRun},
      Loop.now());
  if (counts.Lost != 0 && !counts.IsAnswered)
    state::log::info("request_lost", {{"id", message.RequestId},
                                      {"fingerprint", fingerprint.toText()},
                                      {"lost", counts.Lost}});
  if (before != after && after == RequestStanding::Quarantined)
    state::log::warning("request_quarantined",
                        {{"id", message.RequestId},
                         {"fingerprint", fingerprint.toText()},
                         {"host", message.Host},
                         {"path", message.Path}});
  scheduleMessage();
}

void QuarantineTask::onLinkUp(const PeerIdentity &peer) {
  send(peer, Quarantine.all(Loop.now()));
}

bool QuarantineTask::onMessage(const PeerIdentity &, std::uint16_t type,
                               std::string_view payload) {
  if (type != static_cast<std::uint16_t>(QuarantineMessageType::Evidence))
    return false;
  const auto evidence = protocol::decodeEvidence(payload);
  if (!evidence)
    return false;
  Quarantine.merge(*evidence, Loop.now());
  scheduleMessage();
  return true;
}

void QuarantineTask::scheduleMessage() {
  if (MessageTimer != 0 || !Quarantine.hasNew())
    return;
  const Duration sinceLast = LastMessageAt == state::TimePoint::min()
                                 ? Options.MessageInterval
                                 : Loop.now() - LastMessageAt;
  MessageTimer =
      Loop.schedule(std::max(Duration(0), Options.MessageInterval - sinceLast),
                    [this] { sendNew(); });
}

void QuarantineTask::sendNew() {
  MessageTimer = 0;
  const auto evidence = Quarantine.takeNew(Loop.now());
  LastMessageAt = Loop.now();
  for (const PeerIdentity &peer : Links.peers())
    send(peer, evidence);
}

void QuarantineTask::send(const PeerIdentity &peer,
                          std::span<const state::RequestEvidence> evidence) {
  if (!evidence.empty())
    Links.send(peer,
               static_cast<std::uint16_t>(QuarantineMessageType::Evidence),
               protocol::encodeEvidence(evidence));
}

} // namespace galenaflow::forwarding
