#ifndef GALENAFLOW_COORDINATION_RETRY_BUDGET_H
#define GALENAFLOW_COORDINATION_RETRY_BUDGET_H

#include "coordination/query_policies.h"

namespace galenaflow::coordination {

struct TokenBudgetOptions {
  double Ratio = 0.05; ///< tokens added for each primary sub-request
  double Burst = 10;   ///< maximum of the tokens, and their number at the start
};

/// A token bucket that bounds extra sub-requests: over any period, to at most
/// Ratio times the primary sub-requests plus Burst.
class TokenBudget {
public:
  explicit TokenBudget(TokenBudgetOptions options = {})
      : Options(options), Tokens(options.Burst) {}

  void onPrimariesSent(std::size_t n);
  /// Takes a token for one extra sub-request, if there is a whole one.
  bool tryTake();
  double tokens() const { return Tokens; }

private:
  TokenBudgetOptions Options;
  double Tokens;
};

/// Implements RetryBudget by a TokenBudget.
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
