#include "coordination/retry_budget.h"

#include <algorithm>

namespace galenaflow::coordination {

void TokenBudget::onPrimariesSent(std::size_t n) {
  const double added = Options.Ratio * static_cast<double>(n);
  Tokens = std::min(Options.Burst, Tokens + added);
}

bool TokenBudget::tryTake() {
  if (Tokens < 1)
    return false;
  Tokens -= 1;
  return true;
}

} // namespace galenaflow::coordination
