#ifndef GALENAFLOW_STATE_REQUEST_LIMIT_H
#define GALENAFLOW_STATE_REQUEST_LIMIT_H

#include "state/clock.h"

#include <string>

namespace galenaflow::state {

/// Lowest limit, in requests a second. A replica that states a lower one, or
/// zero, gets a request now and then all the same, since only its responses
/// tell that the limit has ended.
constexpr double MinRequestLimit = 0.01;

/// Higher limits are reduced to this, which no replica reaches, so that counts
/// of requests computed from a limit are in the range of their types.
constexpr double MaxRequestLimit = 1e6;

/// What a daemon knows about the request limit of a replica.
struct RequestLimit {
  std::string Replica;

  /// Requests a second that the replica accepts from all daemons together.
  /// Zero: it has stated that it has no limit any more.
  double PerSecond = 0;

  Duration Age{0}; ///< time since the replica stated it

  bool operator==(const RequestLimit &) const = default;
};

} // namespace galenaflow::state

#endif
