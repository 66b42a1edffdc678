#ifndef GALENAFLOW_PROTOCOL_RECORDS_MESSAGES_H
#define GALENAFLOW_PROTOCOL_RECORDS_MESSAGES_H

#include "state/error.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace galenaflow::protocol {

/// The record of one finished request. The bytes are not interpreted here.
struct FinishedRecord {
  std::string Id;
  std::string Bytes;

  bool operator==(const FinishedRecord &) const = default;
};

enum class RecordMessageType : std::uint16_t {
  Batch = 200, ///< Records, of which the first has the number Sequence
  Ack = 201,   ///< confirms that all records up to Sequence are stored
  Find = 202,  ///< requests the records with Id
  Found = 203, ///< the matching Records, and ReachMs
};

/// One message. The type determines which fields are used.
struct RecordMessage {
  RecordMessageType Type = RecordMessageType::Batch;
  std::uint64_t Sequence = 0;
  std::vector<FinishedRecord> Records;
  std::uint64_t Query = 0; ///< copied from Find to Found
  std::string Id;
  /// All records of this time up to now are retained.
  std::uint64_t ReachMs = 0;
};

constexpr std::size_t MaxRecordBytes = 64U << 10;
constexpr std::size_t MaxRecordIdBytes = 64;
constexpr std::size_t MaxRecordsPerMessage = 4096;

bool isRecordMessageType(std::uint16_t type);
std::string encodeRecordMessage(const RecordMessage &message);

/// Error: InvalidArgument for bytes that fail verification or exceed a limit.
state::Result<RecordMessage> decodeRecordMessage(std::uint16_t type,
                                                 std::string_view bytes);

} // namespace galenaflow::protocol

#endif
