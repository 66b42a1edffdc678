#ifndef GALENAFLOW_PROTOCOL_DELEGATION_MESSAGES_H
#define GALENAFLOW_PROTOCOL_DELEGATION_MESSAGES_H

#include "state/clock.h"
#include "state/error.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

/// Messages by which a daemon delegates a request over many shards to another
/// daemon, the executor, and receives the merged answer.
namespace galenaflow::protocol {

/// Frame types of a peer link.
enum class DelegationMessageType : std::uint16_t {
  Request = 96,
  Reply = 97,
  Cancel = 98,
};

/// Requests that the executor run a request of a caller.
struct DelegatedRequest {
  std::uint64_t Sequence = 0;     ///< copied into the reply
  std::uint64_t RouteVersion = 0; ///< of the route table used for the request
  std::string Route;              ///< name of the route in this version
  state::Duration Remaining{0};   ///< time until the caller's deadline
  state::Duration ReturnTime{0};  ///< time the reply takes to reach the caller
  std::string RequestId;
  std::string Method;
  std::string Path;
  std::string Host;
  std::vector<std::pair<std::string, std::string>> Headers;
  std::string Body;
  bool IsSuspect = false; ///< whether equal requests have ended replicas

  bool operator==(const DelegatedRequest &) const = default;
};

enum class DelegationOutcome : std::uint8_t {
  Refused, ///< nothing has been sent to a replica, and nothing will be
  Merged,
  Failed,
  Pending, ///< the executor has started and still waits for replicas
};

struct DelegatedReply {
  std::uint64_t Sequence = 0;
  DelegationOutcome Outcome = DelegationOutcome::Refused;
  state::Duration Elapsed{0}; ///< at the executor

  /// Set with Merged.
  std::vector<std::string> Signatures;
  std::uint32_t MissingParts = 0;
  std::string Records;

  /// Set with Failed: ForwardFault and ExecutionState of the executor's result,
  /// as numbers.
  std::uint8_t Fault = 0;
  std::uint8_t Ran = 0;

  /// Counts for the log.
  std::uint32_t Parts = 0;
  std::uint32_t PartsAnswered = 0;
  std::uint32_t Hedges = 0;
  std::uint32_t Retries = 0;
  std::uint32_t Rejections = 0;
  std::vector<std::string> MissingServices;

  std::uint32_t Lost = 0;  ///< attempts whose replica ended the connection
  bool IsAnswered = false; ///< whether any replica has answered

  /// Of a request that was rejected: time after which the caller may try again;
  /// zero: not known.
  state::Duration RetryAfter{0};

  bool operator==(const DelegatedReply &) const = default;
};

/// Cancels a request because its caller has disconnected.
struct DelegationCancel {
  std::uint64_t Sequence = 0;
};

std::string encodeDelegatedRequest(const DelegatedRequest &request);
std::string encodeDelegatedReply(const DelegatedReply &reply);
std::string encodeDelegationCancel(const DelegationCancel &cancel);

/// Error: InvalidArgument for bytes that are not a valid message of this type.
state::Result<DelegatedRequest> decodeDelegatedRequest(std::string_view bytes);
state::Result<DelegatedReply> decodeDelegatedReply(std::string_view bytes);
state::Result<DelegationCancel> decodeDelegationCancel(std::string_view bytes);

} // namespace galenaflow::protocol

#endif
