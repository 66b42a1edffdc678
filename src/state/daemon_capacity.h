#ifndef GALENAFLOW_STATE_DAEMON_CAPACITY_H
#define GALENAFLOW_STATE_DAEMON_CAPACITY_H

#include <cstdint>
#include <string>

namespace galenaflow::state {

/// A daemon of the fleet and the CPU of its VM.
struct DaemonCapacity {
  std::string Address; ///< IP:PORT on which it accepts other daemons
  std::string DataCentre;
  std::uint32_t Millicores = 0; ///< thousandths of a core; zero: not known

  bool operator==(const DaemonCapacity &) const = default;
};

} // namespace galenaflow::state

#endif
