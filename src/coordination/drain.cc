#include "coordination/drain.h"

#include <algorithm>
#include <cstdint>

// The health check fails first. Requests are still accepted during the
// balancer's lag, because the balancer continues to send them. Leases and
// grants are handed over after the lag, since writes that arrive during it may
// still need them. Then the open requests are finished. Records are copied
// last, because requests add records when they finish. A handover that is not
// acknowledged does not prevent open requests from finishing. The whole
// sequence is limited to the lag plus the longest deadline, after which no
// request can be open.

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

bool canEndWithin(state::Duration remaining, std::size_t ahead,
                  std::size_t connections, state::Duration latency) {
  const std::size_t rounds = ahead / std::max<std::size_t>(connections, 1) + 1;
  return static_cast<std::int64_t>(rounds) * latency <= remaining;
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
  if (Time.now() >= latestExit()) {
    TimedOut = progress.OpenRequests != 0 || !progress.LeasesHandedOver ||
               !progress.GrantsHandedOver || !progress.RecordsCopied;
    Phase = DrainPhase::Done;
    DrainActions actions;
    actions.Exit = true;
    return actions;
  }
  if (Phase == DrainPhase::BalancerLag) {
    if (Time.now() < balancerLagEnd())
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
