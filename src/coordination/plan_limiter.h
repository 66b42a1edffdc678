#ifndef GALENAFLOW_COORDINATION_PLAN_LIMITER_H
#define GALENAFLOW_COORDINATION_PLAN_LIMITER_H

#include "coordination/string_map.h"
#include "state/clock.h"

namespace galenaflow::coordination {

using state::Duration;
using state::TimePoint;

/// The part of a plan's limits that this daemon may currently use. The share
/// ledger can change it at any time.
struct PlanAllowance {
  double Rate = 0;        ///< requests per second
  double Burst = 0;       ///< requests that may exceed the rate at once
  double Concurrency = 0; ///< open requests; a fraction below 1 admits none
};

/// Limits the rate and the concurrency of each plan to its allowance. The owner
/// calls onEnded() once for each admitted request.
class PlanLimiter {
public:
  enum class Verdict { Admitted, OverRate, OverConcurrency, UnknownPlan };

  /// Adds a plan or changes its allowance. A lower allowance takes effect
  /// immediately: accumulated tokens are reduced to the new burst, and no
  /// request is admitted until fewer are open than the new concurrency.
  void setAllowance(std::string_view plan, PlanAllowance allowance,
                    TimePoint now);

  /// Removes a plan. Its open requests may still end.
  void remove(std::string_view plan);

  /// Admits a request by taking one rate token and one concurrency token, or
  /// rejects it and takes neither.
  Verdict tryAdmit(std::string_view plan, TimePoint now);
  void onEnded(std::string_view plan);

  /// Returns the rate token of an admitted request that was refused afterwards.
  void refund(std::string_view plan);

  std::uint32_t openRequests(std::string_view plan) const;

private:
  struct PlanState {
    PlanAllowance Allowance;
    double Tokens = 0;
    TimePoint RefilledAt;
    std::uint32_t OpenRequests = 0;
    bool IsListed = false;
  };

  static void refill(PlanState &plan, TimePoint now);

  StringMap<PlanState> Plans;
};

} // namespace galenaflow::coordination

#endif
