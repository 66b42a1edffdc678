#ifndef GALENAFLOW_PROTOCOL_PLATFORM_API_H
#define GALENAFLOW_PROTOCOL_PLATFORM_API_H

#include "protocol/parsed.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// The API of the platform's configuration service (section 5.3 of
/// docs/design.md).
namespace galenaflow::protocol {

enum class VmRole { Entry, Backend };
enum class VmState { Live, Leaving };

/// One VM of the platform's VM list. `Instance` changes when the VM is
/// replaced.
struct Vm {
  std::string Id;
  std::string Instance;
  VmRole Role = VmRole::Entry;
  std::string Address;         ///< IP:PORT
  std::string OperatorAddress; ///< IP:PORT; empty for backend servers
  std::string DataCentre;
  VmState State = VmState::Live;

  bool operator==(const Vm &) const = default;
};

struct VmList {
  std::uint64_t Version = 0;
  std::vector<Vm> Vms;

  bool operator==(const VmList &) const = default;
};

/// Parses a VM list. Unknown fields are ignored, because the platform may add
/// fields.
Parsed<VmList> parseVmList(std::string_view text);

/// Returns the document that parses to this list.
std::string renderVmList(const VmList &list);

inline constexpr std::string_view CustomersKey = "customers";
inline constexpr std::string_view PlansKey = "plans";
inline constexpr std::string_view ServicesKey = "services";
inline constexpr std::string_view VmsPath = "/v1/vms";
inline constexpr std::string_view VersionHeader = "x-version";

/// "/v1/values/KEY".
std::string valuePath(std::string_view key);

/// "/v1/values/KEY?after=N&wait_ms=W".
std::string watchPath(std::string_view key, std::uint64_t after,
                      std::chrono::milliseconds wait);

/// Parses the value of the X-Version header.
std::optional<std::uint64_t> parseVersion(std::string_view header);

} // namespace galenaflow::protocol

#endif
