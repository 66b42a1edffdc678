#include "transport/receive_limits.h"

// The limit of one response protects against one server. A request to many
// shards has as many responses open, and all requests together many more, so
// the sum needs a limit of its own: a process that exceeds the memory of its VM
// is killed with all its requests, while a response that is refused fails one
// attempt. The sum includes responses that callers take slowly: a replica that
// sends the largest allowed ones, and callers that read nothing, would exceed
// the memory otherwise.

namespace galenaflow::transport {

std::string_view responseLimitName(ResponseLimit limit) {
  constexpr std::array<std::string_view, ResponseLimitCount> names = {
      "none",          "head_bytes",        "interim_responses", "body_bytes",
      "framing_bytes", "skipped_responses", "process_bytes"};
  return names[static_cast<std::size_t>(limit)];
}

bool ReceiveLimits::tryGrow(std::size_t before, std::size_t after) {
  const std::size_t reserve = after > SmallResponseBytes ? ProcessBytes / 4 : 0;
  const std::size_t total = *HeldBytes - before + after;
  if (after > before && total > ProcessBytes - reserve)
    return false;
  *HeldBytes = total;
  return true;
}

std::shared_ptr<const void> ReceiveLimits::makeHold(std::size_t n) const {
  return {HeldBytes.get(),
          [held = HeldBytes, n](const std::size_t *) { *held -= n; }};
}

void ReceiveLimits::exportTo(state::MetricRegistry &metrics) const {
  for (std::size_t i = 1; i != ResponseLimitCount; ++i) {
    const auto limit = static_cast<ResponseLimit>(i);
    state::Counter &counter = metrics.counter(
        "galenaflow_responses_over_limit_total",
        "Responses of servers that were ended because they exceeded a limit",
        {{"limit", std::string(responseLimitName(limit))}});
    counter.add(exceeded(limit) - counter.value());
  }
  metrics
      .gauge("galenaflow_open_response_bytes",
             "Bytes of the responses that are being received or passed on")
      .set(static_cast<double>(*HeldBytes));
}

} // namespace galenaflow::transport
