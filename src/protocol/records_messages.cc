#include "protocol/records_messages.h"

#include "protocol/flatbuffer_bytes.h"
#include "protocol/records_fb.h"

#include <algorithm>

// All messages use one table, of which each type sets some fields. Bytes from
// peers are first checked by the FlatBuffers verifier and then against the
// limits.

namespace galenaflow::protocol {

using state::ErrorCode;
using state::makeError;

namespace {

/// A year. No daemon keeps records for as long, and a greater number is no
/// signed time.
constexpr std::uint64_t MaxReachMs = 366ULL * 86'400'000;

bool unpackRecords(const fb::RecordMessage &in, RecordMessage &out) {
  if (in.records() == nullptr)
    return true;
  if (in.records()->size() > MaxRecordsPerMessage)
    return false;
  for (const fb::Record *record : *in.records()) {
    FinishedRecord &target = out.Records.emplace_back(
        FinishedRecord{textOf(record->id()), textOf(record->bytes())});
    if (target.Id.size() > MaxRecordIdBytes ||
        target.Bytes.size() > MaxRecordBytes)
      return false;
  }
  return true;
}

} // namespace

bool isRecordMessageType(std::uint16_t type) {
  return type >= static_cast<std::uint16_t>(RecordMessageType::Batch) &&
         type <= static_cast<std::uint16_t>(RecordMessageType::Found);
}

std::string encodeRecordMessage(const RecordMessage &message) {
  flatbuffers::FlatBufferBuilder b;
  std::vector<flatbuffers::Offset<fb::Record>> items;
  for (const FinishedRecord &record : message.Records) {
    const auto id = b.CreateString(record.Id);
    items.push_back(fb::CreateRecord(b, id, b.CreateString(record.Bytes)));
  }
  const auto records = b.CreateVector(items);
  const auto id = b.CreateString(message.Id);
  b.Finish(fb::CreateRecordMessage(b, message.Sequence, records, message.Query,
                                   id, message.ReachMs));
  return bytesOf(b);
}

state::Result<RecordMessage> decodeRecordMessage(std::uint16_t type,
                                                 std::string_view bytes) {
  const AlignedBytes aligned(bytes);
  const auto *root = aligned.verifiedRoot<fb::RecordMessage>();
  if (!isRecordMessageType(type) || root == nullptr)
    return makeError(ErrorCode::InvalidArgument, "malformed record message");
  const fb::RecordMessage &in = *root;
  RecordMessage out;
  out.Type = static_cast<RecordMessageType>(type);
  out.Sequence = in.sequence();
  out.Query = in.query();
  out.Id = textOf(in.id());
  out.ReachMs = std::min(in.reach_ms(), MaxReachMs);
  if (!unpackRecords(in, out) || out.Id.size() > MaxRecordIdBytes)
    return makeError(ErrorCode::InvalidArgument,
                     "record message exceeds a limit");
  return out;
}

} // namespace galenaflow::protocol
