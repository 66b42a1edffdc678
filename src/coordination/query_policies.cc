#include "coordination/query_policies.h"

namespace galenaflow::coordination {

AttemptOutcome attemptOutcomeOf(FailureReason reason) {
  switch (reason) {
  case FailureReason::Refused:
  case FailureReason::Shed:
  case FailureReason::SnapshotGone:
    return AttemptOutcome::NotRun;
  case FailureReason::Cancelled:
    return AttemptOutcome::Cancelled;
  default:
    return AttemptOutcome::Failed;
  }
}

bool exceedsP95(const HedgePolicy &policy, Duration elapsed) {
  const auto p95 = policy.p95();
  return p95 && elapsed > *p95;
}

} // namespace galenaflow::coordination
