#ifndef GALENAFLOW_FORWARDING_QUARANTINE_TASK_H
#define GALENAFLOW_FORWARDING_QUARANTINE_TASK_H

#include "coordination/request_quarantine.h"
#include "forwarding/forwarder.h"
#include "forwarding/relay_task.h"
#include "state/metrics.h"

#include <set>

namespace galenaflow::forwarding {

struct QuarantineTaskOptions {
  /// Evidence that follows sooner after the last message waits for this long,
  /// so that a flood of it costs a bounded number of messages.
  state::Duration MessageInterval = std::chrono::milliseconds(50);

  std::uint64_t Seed = 1; ///< must differ between daemons and starts
};

/// Rejects requests that end the replicas that run them, but for a few trials,
/// and passes all others on to `next`. Exchanges evidence with the other
/// daemons: each passes what is new to it on to all daemons that it has a link
/// to.
class QuarantineTask final : public Forwarder, public PeerListener {
public:
  QuarantineTask(transport::EventLoop &loop, RelayTask &links, Forwarder &next,
                 QuarantineTaskOptions options, state::MetricRegistry &metrics);
  ~QuarantineTask() override;
  QuarantineTask(const QuarantineTask &) = delete;
  QuarantineTask &operator=(const QuarantineTask &) = delete;

  ForwardId forward(ForwardCall call, ForwardCallback callback) override;
  void cancel(ForwardId id) override;
  void startDrain(state::TimePoint exitAt) override { Next.startDrain(exitAt); }

  void onLinkUp(const transport::PeerIdentity &peer) override;
  void onLinkLost(const transport::PeerIdentity &) override {}
  bool onMessage(const transport::PeerIdentity &peer, std::uint16_t type,
                 std::string_view payload) override;

  /// Number of quarantined requests.
  std::size_t quarantined() const { return Quarantine.quarantined(Loop.now()); }

private:
  ForwardId reject(const ForwardedRequest &message,
                   const state::RequestFingerprint &fingerprint,
                   ForwardCallback callback);
  void onResult(const ForwardedRequest &message, state::TimePoint beganAt,
                const ForwardResult &result);
  void scheduleMessage();
  void sendNew();
  void send(const transport::PeerIdentity &peer,
            std::span<const state::RequestEvidence> evidence);

  transport::EventLoop &Loop;
  RelayTask &Links;
  Forwarder &Next;
  QuarantineTaskOptions Options;
  coordination::RequestQuarantine Quarantine;
  std::set<ForwardId> Rejected; ///< whose callbacks have not run yet
  ForwardId LastRejected;
  state::TimePoint LastMessageAt = state::TimePoint::min();
  transport::TimerId MessageTimer = 0;
  state::Counter &Rejections;
  state::Counter &Suspects;
  state::Counter &Trials;
};

} // namespace galenaflow::forwarding

#endif
