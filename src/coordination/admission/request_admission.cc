#include "coordination/admission/request_admission.h"

#include <algorithm>
#include <functional>

// Returning callers are spread over one latency objective from the moment at
// which room is expected: as many as room allows are admitted in that time,
// and a caller who returns later has its objective missed by its own delay.

namespace galenaflow::coordination::admission {

AdmissionDecision RequestAdmission::decide(const AdmissionRequest &request) {
  AdmissionDecision decision;
  std::vector<Duration> excess;
  for (std::uint32_t i = 0; i != request.Parts.size(); ++i) {
    const PartForecast &part = request.Parts[i];
    const Duration late = part.QueueDelay + part.AttemptTime - request.Useful;
    if (part.QueueDelay <= Duration(0) || late <= Duration(0))
      continue;
    decision.LeftOut.push_back(i);
    excess.push_back(std::min(late, part.QueueDelay));
  }
  decision.Lacking = excess.size();
  if (excess.empty())
    return decision;
  const std::size_t spare =
      request.Parts.size() - std::min(request.Parts.size(), request.MinParts);
  if (excess.size() <= spare)
    return decision;
  // Room is there when all but `spare` of the parts have it.
  std::nth_element(excess.begin(),
                   excess.begin() + static_cast<std::ptrdiff_t>(spare),
                   excess.end(), std::greater<>());
  decision.IsAdmitted = false;
  decision.LeftOut.clear();
  decision.RetryAfter = retryAfter(request, excess[spare]);
  return decision;
}

Duration RequestAdmission::retryAfter(const AdmissionRequest &request,
                                      Duration roomAfter) {
  const Duration most(static_cast<std::int64_t>(
      Options.MaxRetryFraction *
      static_cast<double>(request.Remaining.count())));
  const Duration first =
      std::min(std::max(roomAfter, Options.MinRetryAfter), most);
  const Duration last = std::clamp(first + request.Objective, first, most);
  return Duration(std::uniform_int_distribution<std::int64_t>(
      first.count(), std::max(first, last).count())(Random));
}

} // namespace galenaflow::coordination::admission
