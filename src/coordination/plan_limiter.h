#ifndef GALENAFLOW_COORDINATION_PLAN_LIMITER_H
#define GALENAFLOW_COORDINATION_PLAN_LIMITER_H

#include "coordination/string_map.h"
#include "state/clock.h"

namespace galenaflow::coordination {

using state::Duration;
using state::TimePoint;

/// What this daemon may use of a plan's limits now. The share ledger changes it
/// at any time.
struct PlanAllowance {
  double Rate = 0;        ///< requests per second
  double Burst = 0;       ///< requests above the rate at once
  double Concurrency = 0; ///< open requests; a fraction below 1 admits none
};

/// Rate and concurrency tokens for each plan, against its allowance.
class PlanLimiter {
public:
  enum class Verdict { Admitted, OverRate, OverConcurrency, UnknownPlan };

  /// A lower allowance holds at once: kept tokens are cut to the new burst, and
  /// nothing is admitted until open requests are below the new concurrency.
  void setAllowance(std::string_view plan, PlanAllowance allowance,
                    TimePoint now);

  /// Removes a plan; its open requests may still end.
  void remove(std::string_view plan);

  /// Takes one rate token and one concurrency token, or none.
  Verdict tryAdmit(std::string_view plan, TimePoint now);
  void onEnded(std::string_view plan);

  /// Gives the rate token back, for a request that was refused afterwards.
  void refund(std::string_view plan);

  std::uint32_t open(std::string_view plan) const;

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
