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

/// The HTTP API for callers (docs/http-api.md). Functions read the views in
/// their parameters only during the call; results own their text.
namespace galenaflow::protocol {

inline constexpr std::size_t MaxWriteBytes = std::size_t{64} << 10;
inline constexpr std::uint32_t MaxDeadlineMs = 60'000;

enum class CallerEndpoint { Search, Suggest, Read, Write, RequestIds };

/// The request headers that galenaflow reads. Absent headers hold no value.
struct CallerHeaders {
  std::optional<std::string_view> Authorization;
  std::optional<std::string_view> RequestId;      ///< X-Request-Id
  std::optional<std::string_view> DeadlineMs;     ///< X-Deadline-Ms
  std::optional<std::string_view> Traceparent;    ///< traceparent
  std::optional<std::string_view> IdempotencyKey; ///< Idempotency-Key
};

/// Options in the headers that every request may have.
struct RequestOptions {
  std::string RequestId;                   ///< empty when the header is absent
  std::optional<state::Duration> Deadline; ///< requested by the caller
  std::optional<TraceContext> Trace; ///< no value when absent or malformed
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

/// Returns the endpoint of a method and path. The query string is ignored.
std::optional<CallerEndpoint> findEndpoint(std::string_view method,
                                           std::string_view path);

/// Returns KEY of the header value "Bearer KEY".
std::optional<std::string_view>
bearerKey(const std::optional<std::string_view> &authorization);

/// Parses the headers that all endpoints have in common and reports their
/// faults.
RequestOptions parseOptions(const CallerHeaders &headers,
                            state::Findings &findings);

/// `operation` is Search or Suggest.
Parsed<SearchRequest> parseSearchRequest(state::Operation operation,
                                         const CallerHeaders &headers,
                                         std::string_view body);

Parsed<ReadRequest> parseReadRequest(std::string_view path,
                                     const CallerHeaders &headers);

/// The body of a write is forwarded unchanged and is not parsed. The code that
/// calls this function must reject bodies above MaxWriteBytes with
/// PayloadTooLarge.
Parsed<WriteRequest> parseWriteRequest(std::string_view path,
                                       const CallerHeaders &headers);

/// The reason for which a shard is missing from an answer.
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
  std::uint32_t Asked = 0;    ///< shards queried
  std::uint32_t Answered = 0; ///< shards that responded
  std::span<const MissingShard> Missing;
  std::span<const std::string_view> Hits; ///< raw JSON text, in final order
};

/// Encodes the answer to a search. Its field "complete" is true exactly when
/// every queried shard has responded and none is missing. The text of each hit
/// is copied once.
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

/// The code of an error answer.
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

/// Returns the code that a caller receives for the error `code`. When it is
/// unknown whether the request ran, the code is OutcomeUnknown for every error
/// after which the request may have run, so that no caller mistakes the failure
/// for a refusal.
CallerErrorCode callerErrorOf(state::ErrorCode code, state::ExecutionState ran);

/// Returns the HTTP status of callerErrorOf(code, ran).
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
