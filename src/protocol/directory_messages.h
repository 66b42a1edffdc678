#ifndef GALENAFLOW_PROTOCOL_DIRECTORY_MESSAGES_H
#define GALENAFLOW_PROTOCOL_DIRECTORY_MESSAGES_H

#include "state/daemon_capacity.h"
#include "state/distinct_count.h"
#include "state/error.h"
#include "state/replica_directory.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// Messages by which daemons pass the operator's directory on to each other.
namespace galenaflow::protocol {

/// Frame types of a peer link.
enum class DirectoryMessageType : std::uint16_t {
  Request = 80,
  Reply = 81,
};

/// The daemons that read the directory at one daemon, directly or through
/// others, and that daemon itself.
struct FleetReport {
  state::DistinctCount Daemons;                 ///< by their addresses
  std::uint32_t WeakestMillicores = 0;          ///< zero: not known
  std::vector<state::DaemonCapacity> Strongest; ///< by CPU, the strongest first

  bool operator==(const FleetReport &) const = default;
};

/// Asks for what has changed since a position in the peer's log.
struct DirectoryRequest {
  std::uint64_t Sequence = 0; ///< copied into the reply
  std::uint64_t Log = 0;      ///< names the log; 0: everything is wanted
  std::uint64_t Index = 0;    ///< the last change of the log that is known
  std::uint64_t RouteVersion = 0;
  FleetReport Fleet; ///< the asking daemon and those that ask it

  bool operator==(const DirectoryRequest &) const = default;
};

struct DirectoryReply {
  std::uint64_t Sequence = 0;
  bool HasContent = false; ///< false: the peer has read nothing itself yet
  std::uint64_t Log = 0;
  std::uint64_t Index = 0;
  std::uint64_t Revision = 0; ///< of the source, up to which this is complete
  state::Duration Age{0};     ///< since the peer knows that nothing is newer
  std::uint32_t Daemons = 0;  ///< in the whole fleet; 0: not known

  /// The daemons that run requests for others.
  std::vector<state::DaemonCapacity> Executors;
  bool IsFull = false;
  std::vector<state::DirectoryChange> Changes;
  std::string Routes; ///< the published document, empty when not newer
};

/// Limits on what a peer may send.
constexpr std::size_t MaxDirectoryChanges = 100'000;
constexpr std::size_t MaxListedDaemons = 64;

std::string encodeDirectoryRequest(const DirectoryRequest &request);
std::string encodeDirectoryReply(const DirectoryReply &reply);

/// Error: InvalidArgument for bytes that are no such message.
state::Result<DirectoryRequest> decodeDirectoryRequest(std::string_view bytes);
state::Result<DirectoryReply> decodeDirectoryReply(std::string_view bytes);

} // namespace galenaflow::protocol

#endif
