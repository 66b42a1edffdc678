#ifndef GALENAFLOW_STATE_DAEMON_CAPACITY_H
#define GALENAFLOW_STATE_DAEMON_CAPACITY_H

#include <cstdint>
#include <string>

namespace galenaflow::state {

/// A daemon of the fleet and the CPU that its VM gives it.
struct DaemonCapacity {
  std::string Address; ///< IP:PORT on which it accepts other daemons
  std::string DataCentre;
  std::uint32_t Millicores = 0; ///< zero while not known

  bool operator==(const DaemonCapacity &) const = default;
};

} // namespace galenaflow::state

#endif
