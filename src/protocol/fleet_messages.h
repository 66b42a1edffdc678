#ifndef GALENAFLOW_PROTOCOL_FLEET_MESSAGES_H
#define GALENAFLOW_PROTOCOL_FLEET_MESSAGES_H

#include "state/error.h"

#include <array>
#include <compare>
#include <cstdint>
#include <span>
#include <string>
#include <variant>
#include <vector>

/// Messages between the daemons of a fleet, and their FlatBuffers form
/// (fleet.fbs).
namespace galenaflow::protocol {

/// Identifies a daemon. A VM replaced under the same id and address has another
/// instance.
struct MemberId {
  std::string Vm;
  std::string Instance;

  auto operator<=>(const MemberId &) const = default;
};

enum class MemberState : std::uint8_t { Alive, Suspect, Dead, Left };

/// "alive", "suspect", "dead" or "left".
std::string_view memberStateName(MemberState state);

struct MemberUpdate {
  MemberId Id;
  std::string Address;
  std::string DataCentre;
  MemberState State = MemberState::Alive;
  std::uint64_t Incarnation = 0;

  bool operator==(const MemberUpdate &) const = default;
};

/// The fields that the three SWIM messages have in common.
struct SwimPayload {
  std::uint64_t Sequence = 0;
  MemberId Subject; ///< the member whose liveness is probed
  std::vector<MemberUpdate> Updates;
  std::string Digest; ///< not interpreted by the membership protocol

  bool operator==(const SwimPayload &) const = default;
};

struct Ping : SwimPayload {
  bool operator==(const Ping &) const = default;
};
/// Requests that the receiver ping the subject.
struct PingRequest : SwimPayload {
  bool operator==(const PingRequest &) const = default;
};
struct PingAck : SwimPayload {
  bool operator==(const PingAck &) const = default;
};

enum class ConfigKey : std::uint8_t { Customers, Plans, Services, Vms };
inline constexpr std::size_t ConfigKeyCount = 4;
std::string_view configKeyName(ConfigKey key);

/// Indexed by ConfigKey; zero means that no version is known.
using ConfigVersionVector = std::array<std::uint64_t, ConfigKeyCount>;

struct ConfigValue {
  ConfigKey Key = ConfigKey::Customers;
  std::uint64_t Version = 0;
  std::string Value;

  bool operator==(const ConfigValue &) const = default;
};

/// Requests every value that is newer than these versions.
struct ConfigPull {
  ConfigVersionVector Versions{};

  bool operator==(const ConfigPull &) const = default;
};

/// Reports the versions that the sender holds. Sent after the values that a
/// pull requested.
struct ConfigDigest {
  ConfigVersionVector Versions{};

  bool operator==(const ConfigDigest &) const = default;
};

/// Returns the id of a shared resource on the wire, the 64-bit FNV-1a hash of
/// its name. The probability that any two of a million names collide is below
/// 1e-7.
std::uint64_t shareResourceId(std::string_view name);

struct ShareRequest {
  std::uint64_t Resource = 0;
  std::uint64_t Sequence = 0; ///< increases with each request of one borrower
  std::uint64_t Wanted = 0;   ///< units that the borrower could use
  /// From now on the borrower uses at most this many units of earlier grants.
  std::uint64_t MaxRetained = 0;

  bool operator==(const ShareRequest &) const = default;
};

/// The reply to the request with the same sequence number.
struct ShareGrant {
  std::uint64_t Resource = 0;
  std::uint64_t Sequence = 0;
  std::uint64_t Amount = 0;

  bool operator==(const ShareGrant &) const = default;
};

struct ShareExchange {
  /// Versions of the VM list whose shares the sender's use does not exceed, and
  /// for which the sender knows of no removed VM that may still run outside the
  /// list.
  std::vector<std::uint64_t> ListVersions;
  std::uint64_t NewestList = 0; ///< highest version that the sender has seen
  bool WantsReport = false;     ///< requests the receiver's list versions
  std::vector<ShareRequest> Requests;
  std::vector<ShareGrant> Grants;
  /// Resources of which the sender currently has unused units.
  std::vector<std::uint64_t> SpareResources;

  bool operator==(const ShareExchange &) const = default;
};

using FleetBody = std::variant<Ping, PingRequest, PingAck, ConfigValue,
                               ConfigPull, ConfigDigest, ShareExchange>;

struct FleetMessage {
  MemberId From;
  MemberId To; ///< a receiver with another id drops the message
  FleetBody Body;

  bool operator==(const FleetMessage &) const = default;
};

/// Limits that the decoder enforces and that senders must observe.
inline constexpr std::size_t MaxIdBytes = 128;
inline constexpr std::size_t MaxUpdates = 16;
inline constexpr std::size_t MaxDigestBytes = 256;
inline constexpr std::size_t MaxConfigValueBytes = 1U << 20U;
inline constexpr std::size_t MaxListVersions = 64;
inline constexpr std::size_t MaxShareItems = 1024;
inline constexpr std::size_t MaxFleetMessageBytes =
    MaxConfigValueBytes + (64U << 10U);

/// Returns the type number on the wire, 16 to 99. It is sent in the frame of
/// the peer link, which reserves lower numbers for itself.
std::uint16_t fleetMessageType(const FleetBody &body);

std::vector<std::uint8_t> encodeFleetMessage(const FleetMessage &message);

/// Error: InvalidArgument for an unknown type, malformed bytes or an exceeded
/// limit.
state::Result<FleetMessage>
decodeFleetMessage(std::uint16_t type, std::span<const std::uint8_t> bytes);

} // namespace galenaflow::protocol

#endif
