#include "platform/machines.h"

#include <fstream>
#include <unistd.h>

namespace galenaflow::standin {

std::string machineIp(std::size_t index) {
  constexpr pid_t networks = 250;
  constexpr std::size_t hosts = 250;
  return "127." + std::to_string(2 + getpid() % networks) + "." +
         std::to_string(10 + index / hosts) + "." +
         std::to_string(1 + index % hosts);
}

std::string portOf(const std::string &address) {
  return address.substr(address.rfind(':') + 1);
}

void writeSettings(const std::string &path, const MachineSettings &settings) {
  std::string seeds;
  for (const std::string &ip : settings.Seeds)
    seeds += (seeds.empty() ? "\"" : ", \"") + ip + ":1\"";
  std::ofstream(path) << "node_name: " << settings.Name << "\nzone: z1\nip: \""
                      << settings.Ip << "\"\nlisten:\n  front: \""
                      << settings.Listen << "\"\n  ready: \"" << settings.Ready
                      << "\"\ninternal_ports: [" << settings.PeerPort
                      << "]\nseeds: [" << seeds
                      << "]\nlimits:\n  cpu_share: " << settings.CpuShare
                      << "\n  memory_mb: " << settings.MemoryMb
                      << "\n  max_fds: " << settings.MaxFds
                      << "\nbounds:\n  grace_s: 6\n  retry_ratio: 0.2\n"
                      << "  retry_slack: " << settings.FleetExtraAttempts
                      << "\n  budget_window_s: 10\nplatform:\n  address: \""
                      << settings.Store << "\"\n";
}

} // namespace galenaflow::standin
