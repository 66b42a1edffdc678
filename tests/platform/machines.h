#ifndef GALENAFLOW_PLATFORM_TESTS_MACHINES_H
#define GALENAFLOW_PLATFORM_TESTS_MACHINES_H

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace galenaflow::standin {

/// Returns the loopback address of a daemon. Each has one of its own, as
/// machines that use the same ports. The addresses also differ between runs
/// that are at work at the same time.
std::string machineIp(std::size_t index);

/// Returns PORT of IP:PORT.
std::string portOf(const std::string &address);

/// What differs between the settings files of daemons.
struct MachineSettings {
  std::string Name;
  std::string Ip;
  std::string Listen;
  std::string Ready;
  std::uint16_t PeerPort = 0;
  std::vector<std::string> Seeds; ///< addresses without a port
  double CpuShare = 0.12;
  double FleetExtraAttempts = 56;
  std::string Store;
  std::size_t MemoryMb = 160;
  std::size_t MaxFds = 4100;
};

void writeSettings(const std::string &path, const MachineSettings &settings);

} // namespace galenaflow::standin

#endif
