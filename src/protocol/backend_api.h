#ifndef GALENAFLOW_PROTOCOL_BACKEND_API_H
#define GALENAFLOW_PROTOCOL_BACKEND_API_H

#include "state/error.h"
#include "state/plan_catalog.h"
#include "state/topology.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// The protocol of backend servers (section 5.2 of docs/design.md).
namespace galenaflow::protocol {

inline constexpr std::string_view SearchPath = "/search";
inline constexpr std::string_view BackendWritesPath = "/writes";
inline constexpr std::string_view HealthPath = "/healthz";
inline constexpr std::string_view LoadPath = "/loadz";

inline constexpr std::string_view SubRequestIdHeader = "x-sub-request-id";
inline constexpr std::string_view DeadlineHeader = "x-deadline-ms";
inline constexpr std::string_view TraceparentHeader = "traceparent";
inline constexpr std::string_view IdempotencyKeyHeader = "x-idempotency-key";
inline constexpr std::string_view NotRunHeader = "x-not-run";
inline constexpr std::string_view DrainingHeader = "x-draining";

/// A search or suggest sub-request for one shard.
struct ShardQuery {
  state::Operation Operation = state::Operation::Search;
  state::ShardNumber Shard = 0;
  state::SnapshotId Snapshot = 0;
  std::string_view Query;
  std::uint32_t Limit = 10;
};

/// The body of POST /search.
std::string encodeShardQuery(const ShardQuery &query);

/// "/records/ID" and "/sub-requests/ID".
std::string recordPath(std::string_view recordId);
std::string cancelPath(std::string_view subRequestId);

/// The reason for which a response is rejected.
enum class ResponseFault {
  Malformed,       ///< not the documented JSON, or truncated
  WrongSubRequest, ///< a response to another sub-request
  WrongShard,      ///< from another shard
  WrongSnapshot,   ///< from another snapshot of the index
  WrongOrder,      ///< hits not sorted by descending score, then by id
};
std::string_view responseFaultName(ResponseFault fault);

template <typename T> using Decoded = tl::expected<T, ResponseFault>;

struct BackendHit {
  std::string Id;
  double Score = 0;
  std::string_view Raw; ///< JSON text of the whole hit
};

/// Owns the text of the response in `Body`; the hits hold views into it.
struct ShardResponse {
  std::shared_ptr<const std::string> Body;
  std::vector<BackendHit> Hits;
};

/// Decodes the response with status 200 to `query`, which was sent with
/// `subRequestId`.
Decoded<ShardResponse> decodeShardResponse(std::string body,
                                           std::string_view subRequestId,
                                           const ShardQuery &query);

/// Owns the text of the response in `Body`; `Record` is a view into it.
struct RecordResponse {
  std::shared_ptr<const std::string> Body;
  state::SnapshotId Snapshot = 0;
  std::string_view Record; ///< JSON text of an object
};

Decoded<RecordResponse> decodeRecordResponse(std::string body,
                                             std::string_view subRequestId);

/// Owns the text of the response in `Body`; `Result` is a view into it.
struct WriteResponse {
  std::shared_ptr<const std::string> Body;
  std::string_view Result; ///< JSON text of an object
};

Decoded<WriteResponse> decodeWriteResponse(std::string body,
                                           std::string_view subRequestId);

enum class HealthState { Starting, Serving, Draining };
std::string_view healthStateName(HealthState health);
Decoded<HealthState> decodeHealth(std::string_view body);

struct ServedSnapshot {
  state::SnapshotId Id = 0;
  state::LayoutId Layout = 0;

  bool operator==(const ServedSnapshot &) const = default;
};

struct LoadReport {
  std::uint32_t InFlight = 0;
  std::uint32_t Queued = 0;
  std::uint32_t Slots = 0;
  std::uint32_t Connections = 0;
  std::vector<ServedSnapshot> Snapshots;

  bool operator==(const LoadReport &) const = default;
};

Decoded<LoadReport> decodeLoad(std::string_view body);

/// Values of X-Not-Run.
enum class NotRunReason { Shed, Draining, Cold, SnapshotGone };
std::string_view notRunReasonName(NotRunReason reason);

/// Returns nothing for an unknown value, from which it cannot be concluded that
/// the sub-request did not run.
std::optional<NotRunReason> parseNotRun(std::string_view header);

} // namespace galenaflow::protocol

#endif
