#ifndef GALENAFLOW_PROTOCOL_RECORD_JSON_H
#define GALENAFLOW_PROTOCOL_RECORD_JSON_H

#include "protocol/parsed.h"
#include "state/request_records.h"

#include <optional>
#include <span>
#include <string>
#include <vector>

namespace galenaflow::protocol {

/// The result of a look-up of request records in one daemon.
struct RecordLookup {
  std::string DaemonId;
  std::optional<state::WallMillis> ReachesBackTo; ///< as reported by the ring
  std::vector<state::RequestRecord> Records;      ///< newest first
};

/// Renders one record as a JSON object. Times are UTC in ISO 8601.
std::string renderRecord(const state::RequestRecord &record);

/// {"daemon":..,"reaches_back_to":..,"records":[..]}.
std::string renderRecordLookup(const RecordLookup &lookup);

/// Formats a time as "2026-01-05T10:00:00.123Z".
std::string isoTime(state::WallMillis time);

} // namespace galenaflow::protocol

#endif
