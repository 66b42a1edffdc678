#include "coordination/forward_execution.h"

// Names of the ends of attempts and of the faults of requests.

namespace galenaflow::coordination {

std::string_view attemptEndName(AttemptEnd end) {
  switch (end) {
  case AttemptEnd::Rejected:
    return "rejected";
  case AttemptEnd::Misdirected:
    return "misdirected";
  case AttemptEnd::NotSent:
    return "not_sent";
  case AttemptEnd::AtLimit:
    return "at_limit";
  case AttemptEnd::Stopping:
    return "stopping";
  case AttemptEnd::Failed:
    return "failed";
  case AttemptEnd::Unknown:
    break;
  }
  return "unknown";
}

std::string_view forwardFaultName(ForwardFault fault) {
  switch (fault) {
  case ForwardFault::NoReplica:
    return "no_replica";
  case ForwardFault::NoCapacity:
    return "no_capacity";
  case ForwardFault::RejectedByServer:
    return "rejected_by_server";
  case ForwardFault::BackendFailed:
    return "backend_failed";
  case ForwardFault::DeadlineExceeded:
    return "deadline_exceeded";
  case ForwardFault::TooFewParts:
    return "too_few_parts";
  case ForwardFault::ServerLimit:
    return "server_limit";
  case ForwardFault::Quarantined:
    return "quarantined";
  case ForwardFault::Stopping:
    return "stopping";
  case ForwardFault::NoRoom:
    return "no_room";
  case ForwardFault::Evacuated:
    return "evacuated";
  case ForwardFault::RegionNotAllowed:
    return "region_not_allowed";
  case ForwardFault::CallerGone:
    break;
  }
  return "caller_gone";
}

} // namespace galenaflow::coordination
