#ifndef GALENAFLOW_STATE_REQUEST_RECORDS_H
#define GALENAFLOW_STATE_REQUEST_RECORDS_H

#include "state/clock.h"
#include "state/execution_state.h"
#include "state/plan_catalog.h"
#include "state/topology.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

/// Records of past requests, kept so that callers can look them up later.
namespace galenaflow::state {

/// A step of a request, with its time after the start of the request.
struct RecordEvent {
  Duration After{0};
  std::string Text;

  bool operator==(const RecordEvent &) const = default;
};

struct RequestRecord {
  std::string RequestId;
  std::string IdempotencyKey; ///< empty unless the request is a write
  std::string CustomerId;
  std::string PlanId;
  state::Operation Operation = state::Operation::Search;
  std::string Service;
  WallMillis Started{0};
  Duration Elapsed{0};
  std::string Outcome; ///< "ok" or the error code that the caller received
  state::ExecutionState Ran = state::ExecutionState::Unknown;
  SnapshotId Snapshot = 0;
  std::uint32_t ShardsAsked = 0;
  std::uint32_t ShardsAnswered = 0;
  std::uint32_t SubRequests = 0;
  std::uint32_t Hedges = 0;
  std::uint32_t Retries = 0;
  std::vector<RecordEvent> Events; ///< at most MaxEvents
  std::string DaemonId;            ///< the entry daemon of the request

  static constexpr std::size_t MaxEvents = 16;

  /// Adds an event unless MaxEvents have been added.
  void addEvent(Duration after, std::string_view text);

  /// Memory of the record in the ring, with its index entries.
  std::size_t bytes() const;

  bool operator==(const RequestRecord &) const = default;
};

/// Keeps the newest records within a limit in bytes; evicts the oldest first.
class RequestRecordRing {
public:
  explicit RequestRecordRing(std::size_t maxBytes) : MaxBytes(maxBytes) {}

  /// A record larger than the whole ring is dropped.
  void add(RequestRecord record);

  /// All records with this request id or idempotency key, newest first. The
  /// pointers are valid until the next call of add().
  std::vector<const RequestRecord *> find(std::string_view idOrKey) const;

  /// The latest start time of a request whose record was evicted or dropped.
  /// Requests that started later still have their records. Nothing if no record
  /// was evicted or dropped: the ring then reaches back to the start of the
  /// process.
  std::optional<WallMillis> reachesBackTo() const;

  std::size_t size() const { return Records.size(); }
  std::size_t bytes() const { return Bytes; }

private:
  void evictOldest();
  void index(const std::string &name, std::uint64_t number);
  void unindex(const std::string &name, std::uint64_t number);

  std::size_t MaxBytes;
  std::size_t Bytes = 0;
  std::uint64_t FirstNumber = 0; ///< number of Records.front()
  std::optional<WallMillis> NewestEvicted;
  std::deque<RequestRecord> Records;
  std::unordered_multimap<std::string, std::uint64_t> NumbersByName;
};

} // namespace galenaflow::state

#endif
