#ifndef GALENAFLOW_COORDINATION_RETRANSMISSION_POLICY_H
#define GALENAFLOW_COORDINATION_RETRANSMISSION_POLICY_H

#include "state/clock.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace galenaflow::coordination {

using state::Duration;
using state::TimePoint;

struct RetransmissionOptions {
  /// Limits of the timeout of a call. The minimum is for a source that responds
  /// within milliseconds. The maximum bounds how long a lost call of a slow
  /// source goes unnoticed.
  Duration MinTimeout = std::chrono::milliseconds(700);
  Duration MaxTimeout = std::chrono::milliseconds(3000);

  /// The timeout is the time that recent answers took, multiplied by these
  /// percent.
  int TimeoutPercent = 150;

  /// Maximum number of calls that are open at the same time.
  std::size_t MaxOpenCalls = 4;

  /// Time after which a call is given up.
  Duration MaxCallTime = std::chrono::seconds(30);
};

/// Decides when a read sends a call, when it sends another one beside calls
/// that have had no answer, and which call is given up. All calls of a read ask
/// for the same, so the first answer to any of them is the answer. A read that
/// gets none within a timeout is reported to its caller as unanswered, its
/// calls stay open, and the next read of the same content joins them.
class RetransmissionPolicy {
public:
  using CallId = std::uint64_t;

  explicit RetransmissionPolicy(RetransmissionOptions options = {})
      : Options(options) {}

  struct Decision {
    std::optional<CallId> Send;   ///< the call to send, if any
    std::optional<CallId> GiveUp; ///< the call to give up before that
    Duration Wait{0};             ///< the read is unanswered after this time
  };

  /// A read begins at `now`.
  Decision onRead(TimePoint now);

  /// The read has had no answer within Decision::Wait.
  void onUnanswered() { Timeout = Options.MinTimeout; }

  /// The call was answered. All other calls are to be given up. When the answer
  /// is late, so that later changes may be missing in it, returns when its call
  /// was sent.
  std::optional<TimePoint> onAnswer(CallId id, TimePoint now);

  /// The call failed, for example because it was refused. Returns whether it
  /// was the last one sent, for which the read waits.
  bool onFailure(CallId id);

  /// All open calls are given up, because other content is read.
  void reset() { Open.clear(); }

  bool isOpen(CallId id) const;

  /// Timeout of the next call.
  Duration timeout() const { return Timeout; }

  const RetransmissionOptions &options() const { return Options; }

private:
  struct Call {
    CallId Id = 0;
    TimePoint SentAt;
    TimePoint UnansweredAt;
  };

  RetransmissionOptions Options;
  std::vector<Call> Open; ///< in the order in which they were sent
  CallId LastId = 0;
  Duration AnswerTime{0}; ///< of recent calls
  Duration Timeout = Options.MinTimeout;
};

} // namespace galenaflow::coordination

#endif
