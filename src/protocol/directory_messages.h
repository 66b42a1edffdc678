#ifndef GALENAFLOW_PROTOCOL_DIRECTORY_MESSAGES_H
#define GALENAFLOW_PROTOCOL_DIRECTORY_MESSAGES_H

#include "state/daemon_capacity.h"
#include "state/distinct_count.h"
#include "state/error.h"
#include "state/evacuation.h"
#include "state/replica_directory.h"
#include "state/request_limit.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Messages by which daemons relay the operator's directory to each other.
namespace galenaflow::protocol {

/// Frame types of a peer link.
enum class DirectoryMessageType : std::uint16_t {
  Request = 80,
  Reply = 81,
  Routes = 82,
};

/// Describes one daemon and the daemons that read the directory from it,
/// directly or through others.
struct FleetReport {
  state::DistinctCount Daemons;                 ///< counted by address
  std::uint32_t WeakestMillicores = 0;          ///< zero when not known
  std::vector<state::DaemonCapacity> Strongest; ///< by descending CPU

  bool operator==(const FleetReport &) const = default;
};

/// Requests the changes since a position in the peer's log.
struct DirectoryRequest {
  std::uint64_t Sequence = 0; ///< copied into the reply
  std::uint64_t Log = 0;      ///< id of the log; 0 requests the full directory
  std::uint64_t Index = 0; ///< position in the log that the sender has reached
  std::uint64_t RouteVersion = 0;
  FleetReport Fleet; ///< the requesting daemon and those that read from it

  /// Version of the peer's request limits that the sender has; zero: none.
  std::uint64_t LimitsVersion = 0;

  /// Request limits of replicas that the peer does not know yet.
  std::vector<state::RequestLimit> Limits;

  bool operator==(const DirectoryRequest &) const = default;
};

struct DirectoryReply {
  std::uint64_t Sequence = 0;
  bool HasContent = false; ///< false until the peer has read the directory
  std::uint64_t Log = 0;   ///< id of the replying daemon's log
  std::uint64_t Index = 0; ///< position in the log after the reply is applied
  state::DirectoryPosition Position; ///< up to which the reply is complete

  /// Time since the replying daemon last knew that its content was up to date.
  state::Duration Age{0};
  std::uint32_t Daemons = 0; ///< in the whole fleet; 0 when not known

  /// Addresses of the daemons through which the content came, from the one that
  /// read it at the source to the replying daemon.
  std::vector<std::string> Path;

  /// The daemons that run requests for other daemons.
  std::vector<state::DaemonCapacity> Executors;
  bool IsFull = false;
  std::vector<state::DirectoryChange> Changes;

  /// All data centres that are evacuated, also when the rest are differences: a
  /// lost change then lasts until the next reply. Nothing from a daemon that
  /// does not know of evacuations.
  std::optional<state::EvacuatedDataCentres> Evacuations;
  std::uint64_t RouteVersion = 0; ///< of the replying daemon
  std::string Routes; ///< the published document; empty when it is not newer

  /// Requests the routes of the receiving daemon, which are newer.
  bool WantsRoutes = false;

  /// Version of the replying daemon's request limits.
  std::uint64_t LimitsVersion = 0;

  /// All request limits of replicas that the replying daemon knows; empty when
  /// the requesting daemon has this version.
  std::vector<state::RequestLimit> Limits;
};

/// Routes for a daemon that has older ones, at its request.
struct DirectoryRoutes {
  std::string Routes; ///< the published document

  bool operator==(const DirectoryRoutes &) const = default;
};

/// Limits on what a peer may send.
constexpr std::size_t MaxDirectoryChanges = 100'000;
constexpr std::size_t MaxListedDaemons = 64;
constexpr std::size_t MaxDirectoryPath = 8;
constexpr std::size_t MaxListedLimits = 20'000;

std::string encodeDirectoryRequest(const DirectoryRequest &request);
std::string encodeDirectoryReply(const DirectoryReply &reply);
std::string encodeDirectoryRoutes(const DirectoryRoutes &routes);

/// Error: InvalidArgument for bytes that are not a valid message of this type.
state::Result<DirectoryRequest> decodeDirectoryRequest(std::string_view bytes);
state::Result<DirectoryReply> decodeDirectoryReply(std::string_view bytes);
state::Result<DirectoryRoutes> decodeDirectoryRoutes(std::string_view bytes);

} // namespace galenaflow::protocol

#endif
