#ifndef GALENAFLOW_STATE_REQUEST_EVIDENCE_H
#define GALENAFLOW_STATE_REQUEST_EVIDENCE_H

#include "state/clock.h"
#include "state/request_fingerprint.h"

#include <cstdint>

namespace galenaflow::state {

/// What one execution of a request has shown, as daemons tell each other.
struct RequestEvidence {
  RequestFingerprint Request;

  /// Identifies the execution. Zero: a replica has answered the request, so
  /// earlier executions no longer count against it.
  std::uint64_t Execution = 0;

  std::uint32_t Lost = 0; ///< attempts whose replica ended the connection
  Duration Age{0};        ///< since the execution ended
  Duration StartAge{0};   ///< since it began; at least Age

  bool operator==(const RequestEvidence &) const = default;
};

} // namespace galenaflow::state

#endif
