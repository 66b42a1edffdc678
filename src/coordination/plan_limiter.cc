#include "coordination/plan_limiter.h"

#include <algorithm>

// The token bucket holds at least one token, because a plan with a small share
// of a low burst could otherwise never accumulate a whole one. A new plan
// starts with a full bucket of its first allowance. Later increases add no
// tokens immediately, so that an allowance that moves between daemons is not
// used twice.

namespace galenaflow::coordination {

namespace {

double bucketSize(const PlanAllowance &allowance) {
  return std::max(allowance.Burst, 1.0);
}

} // namespace

void PlanLimiter::refill(PlanState &plan, TimePoint now) {
  const std::chrono::duration<double> elapsed = now - plan.RefilledAt;
  plan.RefilledAt = now;
  plan.Tokens = std::min(bucketSize(plan.Allowance),
                         plan.Tokens + elapsed.count() * plan.Allowance.Rate);
}

void PlanLimiter::setAllowance(std::string_view plan, PlanAllowance allowance,
                               TimePoint now) {
  PlanState &it = Plans[std::string(plan)];
  if (!it.IsListed) {
    it.IsListed = true;
    it.Tokens = allowance.Burst;
    it.RefilledAt = now;
  }
  refill(it, now);
  it.Allowance = allowance;
  it.Tokens = std::min(it.Tokens, bucketSize(allowance));
}

void PlanLimiter::remove(std::string_view plan) {
  const auto it = Plans.find(plan);
  if (it == Plans.end())
    return;
  it->second.IsListed = false;
  if (it->second.OpenRequests == 0)
    Plans.erase(it);
}

PlanLimiter::Verdict PlanLimiter::tryAdmit(std::string_view plan,
                                           TimePoint now) {
  const auto found = Plans.find(plan);
  if (found == Plans.end() || !found->second.IsListed)
    return Verdict::UnknownPlan;
  PlanState &it = found->second;
  refill(it, now);
  if (it.OpenRequests + 1 > it.Allowance.Concurrency)
    return Verdict::OverConcurrency;
  if (it.Tokens < 1)
    return Verdict::OverRate;
  it.Tokens -= 1;
  ++it.OpenRequests;
  return Verdict::Admitted;
}

void PlanLimiter::onEnded(std::string_view plan) {
  const auto it = Plans.find(plan);
  if (it == Plans.end() || it->second.OpenRequests == 0)
    return;
  --it->second.OpenRequests;
  if (it->second.OpenRequests == 0 && !it->second.IsListed)
    Plans.erase(it);
}

void PlanLimiter::refund(std::string_view plan) {
  const auto it = Plans.find(plan);
  if (it == Plans.end())
    return;
  PlanState &state = it->second;
  state.Tokens = std::min(bucketSize(state.Allowance), state.Tokens + 1);
}

std::uint32_t PlanLimiter::openRequests(std::string_view plan) const {
  const auto it = Plans.find(plan);
  return it == Plans.end() ? 0 : it->second.OpenRequests;
}

} // namespace galenaflow::coordination
