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

/// A VM replaced under the same id and address has another instance.
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

/// Parts common to the three SWIM messages.
struct SwimPayload {
  std::uint64_t Sequence = 0;
  MemberId Subject; ///< the member whose liveness is in question
  std::vector<MemberUpdate> Updates;
  std::string Digest; ///< opaque to membership

  bool operator==(const SwimPayload &) const = default;
};

struct Ping : SwimPayload {
  bool operator==(const Ping &) const = default;
};
/// Asks the receiver to ping the subject.
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

/// Asks for every value newer than these versions.
struct ConfigPull {
  ConfigVersionVector Versions{};

  bool operator==(const ConfigPull &) const = default;
};

/// States the versions that the sender holds; follows the values of a pull.
struct ConfigDigest {
  ConfigVersionVector Versions{};

  bool operator==(const ConfigDigest &) const = default;
};

/// The identity of a shared resource on the wire: FNV-1a of its name. With 64
/// bits, two of a million names are the same with a chance below 1e-7.
std::uint64_t shareResourceId(std::string_view name);

struct ShareRequest {
  std::uint64_t Resource = 0;
  std::uint64_t Sequence = 0; ///< rises with each request of one borrower
  std::uint64_t Wanted = 0;   ///< units the borrower could use
  /// From now on the borrower uses at most this much of earlier grants.
  std::uint64_t MaxRetained = 0;

  bool operator==(const ShareRequest &) const = default;
};

/// Answers the request of the same sequence number.
struct ShareGrant {
  std::uint64_t Resource = 0;
  std::uint64_t Sequence = 0;
  std::uint64_t Amount = 0;

  bool operator==(const ShareGrant &) const = default;
};

struct ShareExchange {
  /// Versions of VM lists whose shares the sender's use respects, and for
  /// which it knows of no removed VM that may still run outside the list.
  std::vector<std::uint64_t> ListVersions;
  std::uint64_t NewestList = 0; ///< highest version that the sender has seen
  bool WantsReport = false;     ///< asks for the receiver's list versions
  std::vector<ShareRequest> Requests;
  std::vector<ShareGrant> Grants;
  /// Resources of which the sender has unused units now.
  std::vector<std::uint64_t> SpareResources;

  bool operator==(const ShareExchange &) const = default;
};

using FleetBody = std::variant<Ping, PingRequest, PingAck, ConfigValue,
                               ConfigPull, ConfigDigest, ShareExchange>;

struct FleetMessage {
  MemberId From;
  MemberId To; ///< a receiver with another identity drops the message
  FleetBody Body;

  bool operator==(const FleetMessage &) const = default;
};

/// Limits that the decoder enforces and that senders stay within.
inline constexpr std::size_t MaxIdBytes = 128;
inline constexpr std::size_t MaxUpdates = 16;
inline constexpr std::size_t MaxDigestBytes = 256;
inline constexpr std::size_t MaxConfigValueBytes = 1U << 20U;
inline constexpr std::size_t MaxListVersions = 64;
inline constexpr std::size_t MaxShareItems = 1024;
inline constexpr std::size_t MaxFleetMessageBytes =
    MaxConfigValueBytes + (64U << 10U);

/// Type numbers on the wire, 16 to 99; the frame of the peer link carries them,
/// and uses lower ones itself.
std::uint16_t fleetMessageType(const FleetBody &body);

std::vector<std::uint8_t> encodeFleetMessage(const FleetMessage &message);

/// Error: InvalidArgument, for an unknown type, broken bytes or exceeded
/// limits.
state::Result<FleetMessage>
decodeFleetMessage(std::uint16_t type, std::span<const std::uint8_t> bytes);

} // namespace galenaflow::protocol

#endif
