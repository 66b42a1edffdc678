#include "coordination/drain.h"

// The health fails first. Requests are accepted during the balancer's lag,
// because the balancer still sends them. Leases and grants are handed over
// afterwards, since writes that arrive during the lag may still need them.
// Requests that are open then are finished; records are copied last, because
// finished requests still add records. Handover that is not acknowledged does
// not keep open requests from finishing, and the whole sequence is bounded by
// the lag and the longest deadline: after it, no request can be open.

namespace galenaflow::coordination {

std::string_view drainPhaseName(DrainPhase phase) {
  switch (phase) {
  case DrainPhase::Serving:
    return "serving";
  case DrainPhase::BalancerLag:
    return "balancer_lag";
  case DrainPhase::Handover:
    return "handover";
  case DrainPhase::Finishing:
    return "finishing";
  case DrainPhase::Done:
    return "done";
  }
  return "done";
}

DrainActions Drain::requestStop() {
  DrainActions actions;
  if (Phase != DrainPhase::Serving)
    return actions;
  Phase = DrainPhase::BalancerLag;
  StartedAt = Time.now();
  actions.FailHealth = true;
  return actions;
}

bool Drain::isRetryDue() {
  if (Time.now() < NextRetryAt)
    return false;
  NextRetryAt = Time.now() + Options.HandoverRetry;
  return true;
}

DrainActions Drain::tick(const DrainProgress &progress) {
  if (Phase == DrainPhase::Serving || Phase == DrainPhase::Done)
    return {};
  const state::Duration elapsed = Time.now() - StartedAt;
  if (elapsed >= Options.BalancerLag + Options.LongestDeadline) {
    TimedOut = progress.OpenRequests != 0 || !progress.LeasesHandedOver ||
               !progress.GrantsHandedOver || !progress.RecordsCopied;
    Phase = DrainPhase::Done;
    DrainActions actions;
    actions.Exit = true;
    return actions;
  }
  if (Phase == DrainPhase::BalancerLag) {
    if (elapsed < Options.BalancerLag)
      return {};
    Phase = DrainPhase::Handover;
  }
  return Phase == DrainPhase::Handover ? handOver(progress)
                                       : finishRequests(progress);
}

DrainActions Drain::handOver(const DrainProgress &progress) {
  if (progress.LeasesHandedOver && progress.GrantsHandedOver) {
    Phase = DrainPhase::Finishing;
    NextRetryAt = Time.now();
    return finishRequests(progress);
  }
  DrainActions actions;
  if (!isRetryDue())
    return actions;
  actions.HandOverLeases = !progress.LeasesHandedOver;
  actions.HandOverGrants = !progress.GrantsHandedOver;
  return actions;
}

DrainActions Drain::finishRequests(const DrainProgress &progress) {
  DrainActions actions;
  if (progress.OpenRequests == 0 && progress.RecordsCopied) {
    Phase = DrainPhase::Done;
    actions.Exit = true;
  } else if (!progress.RecordsCopied && isRetryDue()) {
    actions.CopyRecords = true;
  }
  return actions;
}

} // namespace galenaflow::coordination
