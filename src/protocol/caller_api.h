#ifndef GALENAFLOW_PROTOCOL_CALLER_API_H
#define GALENAFLOW_PROTOCOL_CALLER_API_H

#include "protocol/parsed.h"
#include "protocol/trace_context.h"
#include "state/execution_state.h"
#include "state/plan_catalog.h"
#include "state/topology.h"

#include <optional>
#include <span>
#include <string>
#include <vector>

/// The API for callers (docs/http-api.md). Views in the parameters are only
/// read during the call; results own their text.
namespace galenaflow::protocol {

inline constexpr std::size_t MaxWriteBytes = std::size_t{64} << 10;
inline constexpr std::uint32_t MaxDeadlineMs = 60'000;

enum class CallerEndpoint { Search, Suggest, Read, Write, RequestIds };

/// The headers that galenaflow reads. Absent ones hold nothing.
struct CallerHeaders {
  std::optional<std::string_view> Authorization;
  std::optional<std::string_view> RequestId;      ///< X-Request-Id
  std::optional<std::string_view> DeadlineMs;     ///< X-Deadline-Ms
  std::optional<std::string_view> Traceparent;    ///< traceparent
  std::optional<std::string_view> IdempotencyKey; ///< Idempotency-Key
};

/// What each request may carry in its headers.
struct RequestOptions {
  std::string RequestId;                   ///< empty when not given
  std::optional<state::Duration> Deadline; ///< asked for by the caller
  std::optional<TraceContext> Trace;       ///< absent when malformed
};

struct SearchRequest {
  RequestOptions Options;
  state::Operation Operation = state::Operation::Search; ///< or Suggest
  std::string Service;
  std::string Query; ///< the prefix when the operation is Suggest
  std::uint32_t Limit = 10;
  std::optional<state::Priority> Priority;
  std::optional<double> MinCoverage;
};

struct ReadRequest {
  RequestOptions Options;
  std::string Service;
  std::string RecordId;
};

struct WriteRequest {
  RequestOptions Options;
  std::string Service;
  std::string IdempotencyKey; ///< a UUIDv7 in lower case
};

/// The endpoint of a method and path, the path without its query string.
std::optional<CallerEndpoint> findEndpoint(std::string_view method,
                                           std::string_view path);

/// The key of "Authorization: Bearer KEY".
std::optional<std::string_view>
bearerKey(const std::optional<std::string_view> &authorization);

/// Reads the headers that all endpoints share and reports their faults.
RequestOptions parseOptions(const CallerHeaders &headers,
                            state::Findings &findings);

/// `operation` is Search or Suggest.
Parsed<SearchRequest> parseSearchRequest(state::Operation operation,
                                         const CallerHeaders &headers,
                                         std::string_view body);

Parsed<ReadRequest> parseReadRequest(std::string_view path,
                                     const CallerHeaders &headers);

/// The body of a write is forwarded unchanged and is not parsed. Bodies above
/// MaxWriteBytes are answered with PayloadTooLarge by the caller.
Parsed<WriteRequest> parseWriteRequest(std::string_view path,
                                       const CallerHeaders &headers);

/// Why a shard is missing in an answer.
enum class MissingReason {
  Timeout,
  Refused,
  Shed,
  ConnectionFailed,
  SnapshotGone,
  InvalidResponse,
  NoReplica,
  Cancelled,
};
std::string_view missingReasonName(MissingReason reason);

struct MissingShard {
  state::ShardNumber Shard = 0;
  MissingReason Reason = MissingReason::Timeout;

  bool operator==(const MissingShard &) const = default;
};

struct SearchAnswer {
  std::string_view RequestId;
  state::SnapshotId Snapshot = 0;
  std::uint32_t Asked = 0;
  std::uint32_t Answered = 0;
  std::span<const MissingShard> Missing;
  std::span<const std::string_view> Hits; ///< raw JSON text, in final order
};

/// "complete" is true exactly when every shard asked has answered and none is
/// missing. The text of each hit is copied once.
std::string encodeSearchAnswer(const SearchAnswer &answer);

/// `record` is raw JSON text.
std::string encodeReadAnswer(std::string_view requestId,
                             state::SnapshotId snapshot,
                             std::string_view record);

/// `result` is raw JSON text.
std::string encodeWriteAnswer(std::string_view requestId,
                              std::string_view result);

/// The answer to POST /v1/request-ids.
std::string encodeRequestIdAnswer(std::string_view id);

/// The codes of error answers.
enum class CallerErrorCode {
  InvalidRequest,
  Unauthenticated,
  Forbidden,
  NotFound,
  PayloadTooLarge,
  IdempotencyConflict,
  OverLimit,
  Overloaded,
  Unavailable,
  DeadlineExceeded,
  OutcomeUnknown,
  Internal,
};
std::string_view callerErrorName(CallerErrorCode code);
int httpStatus(CallerErrorCode code);

/// The code that a caller sees. A failure after which it is unknown whether
/// the request ran is always OutcomeUnknown, so that no caller takes it for a
/// refusal.
CallerErrorCode callerErrorOf(state::ErrorCode code, state::ExecutionState ran);

/// HTTP status of an internal error with what is known about the execution.
int httpStatus(state::ErrorCode code, state::ExecutionState ran);

struct ErrorAnswer {
  CallerErrorCode Code = CallerErrorCode::Internal;
  std::string Message;
  std::string RequestId;
  state::ExecutionState Ran = state::ExecutionState::Unknown;
  state::Findings Findings;
};

std::string encodeErrorAnswer(const ErrorAnswer &answer);

} // namespace galenaflow::protocol

#endif
