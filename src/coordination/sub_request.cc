#include "coordination/sub_request.h"

namespace galenaflow::coordination {

std::string_view failureReasonName(FailureReason reason) {
  switch (reason) {
  case FailureReason::Timeout:
    return "timeout";
  case FailureReason::Refused:
    return "refused";
  case FailureReason::Shed:
    return "shed";
  case FailureReason::ConnectionFailed:
    return "connection_failed";
  case FailureReason::SnapshotGone:
    return "snapshot_gone";
  case FailureReason::InvalidResponse:
    return "invalid_response";
  case FailureReason::NoReplica:
    return "no_replica";
  case FailureReason::Cancelled:
    return "cancelled";
  }
  return "invalid_response";
}

std::string_view ranStateName(RanState ran) {
  switch (ran) {
  case RanState::NotRun:
    return "not_run";
  case RanState::Ran:
    return "ran";
  case RanState::Unknown:
    return "unknown";
  }
  return "unknown";
}

} // namespace galenaflow::coordination
