#include "coordination/retransmission_policy.h"

#include <algorithm>

// This is for two loads that look alike until an answer arrives: a source that
// is slower than the timeout, and a connection that has lost a call. Giving up
// a call and repeating it never ends with the first, and waiting for it never
// ends with the second. So a call stays open, and another one is sent beside
// it.
//
// The timeout of a call that has had no answer is not doubled. The intervals
// between the calls to a silent source are those of the reads, whose backoff
// doubles already; a timeout that doubled as well would delay the first call
// after an outage. A source that is slow is recognized by its answers instead,
// which then set the timeout, so that it gets one call for each read.
//
// When too many calls are open, the second oldest is given up. The oldest is
// the first that a slow source answers, however slow it is, and the newest ones
// are those that an outage has not swallowed.

namespace galenaflow::coordination {

RetransmissionPolicy::Decision RetransmissionPolicy::onRead(TimePoint now) {
  Decision decision;
  if (!Open.empty() && now < Open.back().UnansweredAt) {
    decision.Wait = Open.back().UnansweredAt - now;
    return decision;
  }
  if (Open.size() == Options.MaxOpenCalls) {
    const auto it = Open.begin() + (Open.size() > 1 ? 1 : 0);
    decision.GiveUp = it->Id;
    Open.erase(it);
  }
  Open.push_back({++LastId, now, now + Timeout});
  decision.Send = LastId;
  decision.Wait = Timeout;
  return decision;
}

// Rises at once and falls by halves: a timeout that is too short costs a call.
std::optional<TimePoint> RetransmissionPolicy::onAnswer(CallId id,
                                                        TimePoint now) {
  const auto it =
      std::find_if(Open.begin(), Open.end(),
                   [id](const Call &call) { return call.Id == id; });
  if (it == Open.end())
    return std::nullopt;
  const Call call = *it;
  const Duration sample = now - call.SentAt;
  AnswerTime = std::max(sample, (AnswerTime + sample) / 2);
  Timeout = std::clamp(AnswerTime * Options.TimeoutPercent / 100,
                       Options.MinTimeout, Options.MaxTimeout);
  Open.clear();
  return now < call.UnansweredAt ? std::nullopt : std::optional(call.SentAt);
}

bool RetransmissionPolicy::onFailure(CallId id) {
  const bool isLast = !Open.empty() && Open.back().Id == id;
  std::erase_if(Open, [id](const Call &call) { return call.Id == id; });
  return isLast;
}

bool RetransmissionPolicy::isOpen(CallId id) const {
  return std::any_of(Open.begin(), Open.end(),
                     [id](const Call &call) { return call.Id == id; });
}

} // namespace galenaflow::coordination
