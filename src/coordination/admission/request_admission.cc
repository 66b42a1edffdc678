#include "coordination/admission/request_admission.h"

#include <algorithm>
#include <cmath>
#include <functional>

// Returning callers are spread over one latency objective from the moment at
// which room is expected: as many as room allows are admitted in that time.

namespace galenaflow::coordination::admission {

namespace {

/// Returns the largest of the values after the first `spare` largest, or zero.
Duration largestAfter(std::vector<Duration> &values, std::size_t spare) {
  if (values.size() <= spare)
    return Duration(0);
  const auto at = values.begin() + static_cast<std::ptrdiff_t>(spare);
  std::nth_element(values.begin(), at, values.end(), std::greater<>());
  return *at;
}

} // namespace

bool RequestAdmission::isLimiting() const {
  return std::any_of(Classes.begin(), Classes.end(),
                     [](const auto &it) { return it.second.Share < 1; });
}

double RequestAdmission::share(WorkClass id) const {
  const auto it = Classes.find(id);
  return it == Classes.end() ? 1 : it->second.Share;
}

RequestAdmission::ClassState &RequestAdmission::grow(WorkClass id,
                                                     TimePoint now) {
  ClassState &it = Classes[id];
  if (it.Share < 1 && it.GrownAt != TimePoint::min()) {
    const double doublings = static_cast<double>((now - it.GrownAt).count()) /
                             static_cast<double>(Options.DoublingTime.count());
    it.Share = std::min(1.0, it.Share * std::exp2(doublings));
  }
  it.GrownAt = now;
  return it;
}

void RequestAdmission::onCongested(WorkClass id, TimePoint now) {
  ClassState &it = grow(id, now);
  it.Share = std::max(Options.MinShare, it.Share * Options.Decrease);
}

void RequestAdmission::onEnded(WorkClass id, double pressure, TimePoint now) {
  ClassState &it = grow(id, now);
  const double room = 1 - std::clamp(pressure, 0.0, 1.0);
  it.Share = std::min(1.0, it.Share * (1 + (Options.Increase - 1) * room) +
                               Options.IdleIncrease * room);
}

double RequestAdmission::factor(const AdmissionRequest &request) const {
  if (request.Elapsed <= Duration(0))
    return 1;
  return request.Elapsed < Options.MinRetryAfter ? Options.EarlyFactor
                                                 : Options.ReturnFactor;
}

AdmissionDecision RequestAdmission::decide(const AdmissionRequest &request,
                                           TimePoint now) {
  AdmissionDecision decision;
  std::vector<Duration> late;
  for (std::uint32_t i = 0; i != request.Parts.size(); ++i) {
    const RoomForecast &part = request.Parts[i];
    const Duration excess = std::min(
        part.QueueDelay + part.AttemptTime - request.Useful, part.QueueDelay);
    if (excess <= Duration(0))
      continue;
    decision.LeftOut.push_back(i);
    late.push_back(excess);
  }
  const std::size_t spare =
      request.Parts.size() - std::min(request.Parts.size(), request.MinParts);
  const Duration roomAfter = largestAfter(late, spare);
  ClassState &cls = grow(request.Class, now);
  if (cls.Share >= 1)
    cls.Credit = 1;
  else
    cls.Credit = std::min(1.0, cls.Credit + factor(request) * cls.Share);
  constexpr double rounding = 1e-9;
  if (roomAfter == Duration(0) && cls.Credit >= 1 - rounding) {
    cls.Credit = 0;
    return decision;
  }
  decision.IsAdmitted = false;
  decision.LeftOut.clear();
  decision.IsOwnQueueLong = roomAfter > Duration(0);
  decision.RetryAfter = retryAfter(request, roomAfter);
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
