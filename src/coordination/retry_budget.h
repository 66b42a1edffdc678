#ifndef GALENAFLOW_COORDINATION_RETRY_BUDGET_H
#define GALENAFLOW_COORDINATION_RETRY_BUDGET_H

#include "coordination/query_policies.h"

namespace galenaflow::coordination {

struct TokenBudgetOptions {
  double Ratio = 0.05; ///< tokens earned by one primary sub-request
  double Burst = 10;   ///< most tokens kept, and tokens at the start
};

/// Bounds extra sub-requests: over any period, at most Ratio times the primary
/// sub-requests plus Burst.
class TokenBudget {
public:
  explicit TokenBudget(TokenBudgetOptions options = {})
      : Options(options), Tokens(options.Burst) {}

  void onPrimariesSent(std::size_t n);
  bool tryTake();
  double tokens() const { return Tokens; }

private:
  TokenBudgetOptions Options;
  double Tokens;
};

/// RetryBudget by a TokenBudget.
class RatioRetryBudget final : public RetryBudget {
public:
  explicit RatioRetryBudget(TokenBudgetOptions options = {})
      : Budget(options) {}

  void onPrimariesSent(std::size_t n) override { Budget.onPrimariesSent(n); }
  bool tryTake() override { return Budget.tryTake(); }

private:
  TokenBudget Budget;
};

} // namespace galenaflow::coordination

#endif
