// Each response is scanned once, from front to back. A hit holds a view of its
// raw text inside the retained body, so that the text is copied exactly once,
// into the answer, and its fields are never parsed into a document. Fields may
// be in any order. A duplicate field makes a response malformed, because
// parsers differ in which of the two they use.
#include "protocol/backend_api.h"

#include "protocol/json_reader.h"
#include "protocol/json_scanner.h"

#include <nlohmann/json.hpp>
#include <set>
#include <utility>

namespace galenaflow::protocol {

namespace {

/// Stores a value read by the scanner. Returns false when the scanner could not
/// read a value or when the field has been stored before.
template <typename T>
bool store(std::optional<T> &field, std::optional<T> value) {
  if (field || !value)
    return false;
  field = std::move(value);
  return true;
}

bool skipValue(JsonScanner &scanner) { return scanner.readRaw().has_value(); }

/// The fields of all kinds of responses; each kind sets some of them.
struct Envelope {
  std::optional<std::string> SubRequestId;
  std::optional<std::uint64_t> Shard;
  std::optional<std::uint64_t> Snapshot;
  std::optional<std::string_view> Payload; ///< "record" or "result"
  std::optional<std::vector<BackendHit>> Hits;
};

struct HitFields {
  std::optional<std::string> Id;
  std::optional<double> Score;
  bool HasFields = false;
};

bool readHitMember(JsonScanner &scanner, std::string_view name,
                   HitFields &fields) {
  if (name == "id")
    return store(fields.Id, scanner.readString());
  if (name == "score")
    return store(fields.Score, scanner.readNumber());
  if (name == "fields" && std::exchange(fields.HasFields, true))
    return false;
  return skipValue(scanner);
}

std::optional<BackendHit> readHit(JsonScanner &scanner, std::string_view text) {
  const std::size_t start = scanner.nextPosition();
  HitFields fields;
  const bool isRead = readObject(scanner, [&](const std::string &name) {
    return readHitMember(scanner, name, fields);
  });
  if (!isRead || !fields.Id || !fields.Score)
    return std::nullopt;
  return BackendHit{std::move(*fields.Id), *fields.Score,
                    text.substr(start, scanner.position() - start)};
}

bool readHits(JsonScanner &scanner, std::string_view text, Envelope &envelope) {
  if (envelope.Hits)
    return false;
  std::vector<BackendHit> &hits = envelope.Hits.emplace();
  return readArray(scanner, [&] {
    std::optional<BackendHit> hit = readHit(scanner, text);
    if (hit)
      hits.push_back(std::move(*hit));
    return hit.has_value();
  });
}

bool readObjectPayload(JsonScanner &scanner, Envelope &envelope) {
  const auto raw = scanner.readRaw();
  return raw && raw->starts_with('{') && store(envelope.Payload, raw);
}

/// Reads a complete response whose payload is in the field `payload`.
std::optional<Envelope> readEnvelope(std::string_view text,
                                     std::string_view payload) {
  Envelope envelope;
  JsonScanner scanner(text);
  const bool isRead = readObject(scanner, [&](const std::string &name) {
    if (name == "sub_request_id")
      return store(envelope.SubRequestId, scanner.readString());
    if (name == "shard")
      return store(envelope.Shard, scanner.readUnsigned());
    if (name == "snapshot")
      return store(envelope.Snapshot, scanner.readUnsigned());
    if (name == payload && payload == "hits")
      return readHits(scanner, text, envelope);
    if (name == payload)
      return readObjectPayload(scanner, envelope);
    return skipValue(scanner);
  });
  if (!isRead || !scanner.atEnd())
    return std::nullopt;
  return envelope;
}

bool isSorted(const std::vector<BackendHit> &hits) {
  for (std::size_t i = 1; i < hits.size(); ++i) {
    const BackendHit &a = hits[i - 1];
    const BackendHit &b = hits[i];
    if (a.Score < b.Score || (a.Score == b.Score && a.Id > b.Id))
      return false;
  }
  return true;
}

/// Returns the first fault of a search response, in the order of ResponseFault.
std::optional<ResponseFault> findFault(const Envelope &envelope,
                                       std::string_view subRequestId,
                                       const ShardQuery &query) {
  if (!envelope.SubRequestId || !envelope.Shard || !envelope.Snapshot ||
      !envelope.Hits)
    return ResponseFault::Malformed;
  if (*envelope.SubRequestId != subRequestId)
    return ResponseFault::WrongSubRequest;
  if (*envelope.Shard != query.Shard)
    return ResponseFault::WrongShard;
  if (*envelope.Snapshot != query.Snapshot)
    return ResponseFault::WrongSnapshot;
  if (!isSorted(*envelope.Hits))
    return ResponseFault::WrongOrder;
  return std::nullopt;
}

std::optional<ServedSnapshot> readServedSnapshot(JsonScanner &scanner) {
  std::optional<std::uint64_t> id;
  std::optional<std::uint64_t> layout;
  const bool isRead = readObject(scanner, [&](const std::string &name) {
    if (name == "id")
      return store(id, scanner.readUnsigned());
    if (name == "layout")
      return store(layout, scanner.readUnsigned());
    return skipValue(scanner);
  });
  if (!isRead || !id)
    return std::nullopt;
  return ServedSnapshot{*id, layout.value_or(0)};
}

bool readSnapshots(JsonScanner &scanner, LoadReport &report) {
  return readArray(scanner, [&] {
    const auto served = readServedSnapshot(scanner);
    if (served)
      report.Snapshots.push_back(*served);
    return served.has_value();
  });
}

bool readCount(JsonScanner &scanner, std::uint32_t &count) {
  const auto value = scanner.readUnsigned();
  if (!value || *value > UINT32_MAX)
    return false;
  count = static_cast<std::uint32_t>(*value);
  return true;
}

bool readLoadMember(JsonScanner &scanner, std::string_view name,
                    LoadReport &report) {
  if (name == "in_flight")
    return readCount(scanner, report.InFlight);
  if (name == "queued")
    return readCount(scanner, report.Queued);
  if (name == "slots")
    return readCount(scanner, report.Slots);
  if (name == "connections")
    return readCount(scanner, report.Connections);
  if (name == "snapshots")
    return readSnapshots(scanner, report);
  return skipValue(scanner);
}

} // namespace

std::string encodeShardQuery(const ShardQuery &query) {
  std::string buf = R"({"op":")";
  buf += state::operationName(query.Operation);
  buf += R"(","shard":)" + std::to_string(query.Shard);
  buf += R"(,"snapshot":)" + std::to_string(query.Snapshot);
  buf += R"(,"query":)" + dumpJson(nlohmann::json(query.Query));
  buf += R"(,"limit":)" + std::to_string(query.Limit) + "}";
  return buf;
}

std::string recordPath(std::string_view recordId) {
  return "/records/" + std::string(recordId);
}

std::string cancelPath(std::string_view subRequestId) {
  return "/sub-requests/" + std::string(subRequestId);
}

std::string_view responseFaultName(ResponseFault fault) {
  switch (fault) {
  case ResponseFault::Malformed:
    return "malformed";
  case ResponseFault::WrongSubRequest:
    return "wrong_sub_request";
  case ResponseFault::WrongShard:
    return "wrong_shard";
  case ResponseFault::WrongSnapshot:
    return "wrong_snapshot";
  case ResponseFault::WrongOrder:
    return "wrong_order";
  }
  return "malformed";
}

Decoded<ShardResponse> decodeShardResponse(std::string body,
                                           std::string_view subRequestId,
                                           const ShardQuery &query) {
  ShardResponse response;
  response.Body = std::make_shared<const std::string>(std::move(body));
  std::optional<Envelope> envelope = readEnvelope(*response.Body, "hits");
  if (!envelope)
    return tl::unexpected(ResponseFault::Malformed);
  if (const auto fault = findFault(*envelope, subRequestId, query))
    return tl::unexpected(*fault);
  if (envelope->Hits)
    response.Hits = std::move(*envelope->Hits);
  return response;
}

Decoded<RecordResponse> decodeRecordResponse(std::string body,
                                             std::string_view subRequestId) {
  RecordResponse response;
  response.Body = std::make_shared<const std::string>(std::move(body));
  const auto envelope = readEnvelope(*response.Body, "record");
  if (!envelope || !envelope->SubRequestId || !envelope->Snapshot ||
      !envelope->Payload)
    return tl::unexpected(ResponseFault::Malformed);
  if (*envelope->SubRequestId != subRequestId)
    return tl::unexpected(ResponseFault::WrongSubRequest);
  response.Snapshot = *envelope->Snapshot;
  response.Record = *envelope->Payload;
  return response;
}

Decoded<WriteResponse> decodeWriteResponse(std::string body,
                                           std::string_view subRequestId) {
  WriteResponse response;
  response.Body = std::make_shared<const std::string>(std::move(body));
  const auto envelope = readEnvelope(*response.Body, "result");
  if (!envelope || !envelope->SubRequestId || !envelope->Payload)
    return tl::unexpected(ResponseFault::Malformed);
  if (*envelope->SubRequestId != subRequestId)
    return tl::unexpected(ResponseFault::WrongSubRequest);
  response.Result = *envelope->Payload;
  return response;
}

std::string_view healthStateName(HealthState health) {
  switch (health) {
  case HealthState::Starting:
    return "starting";
  case HealthState::Serving:
    return "serving";
  case HealthState::Draining:
    return "draining";
  }
  return "starting";
}

Decoded<HealthState> decodeHealth(std::string_view body) {
  std::optional<std::string> text;
  JsonScanner scanner(body);
  const bool isRead = readObject(scanner, [&](const std::string &name) {
    return name == "state" ? store(text, scanner.readString())
                           : skipValue(scanner);
  });
  if (!isRead || !scanner.atEnd())
    return tl::unexpected(ResponseFault::Malformed);
  for (const HealthState health :
       {HealthState::Starting, HealthState::Serving, HealthState::Draining})
    if (text == healthStateName(health))
      return health;
  return tl::unexpected(ResponseFault::Malformed);
}

Decoded<LoadReport> decodeLoad(std::string_view body) {
  LoadReport report;
  std::set<std::string> seen;
  JsonScanner scanner(body);
  const bool isRead = readObject(scanner, [&](const std::string &name) {
    return seen.insert(name).second && readLoadMember(scanner, name, report);
  });
  if (!isRead || !scanner.atEnd() || !seen.contains("slots") ||
      !seen.contains("snapshots"))
    return tl::unexpected(ResponseFault::Malformed);
  return report;
}

std::string_view notRunReasonName(NotRunReason reason) {
  switch (reason) {
  case NotRunReason::Shed:
    return "shed";
  case NotRunReason::Draining:
    return "draining";
  case NotRunReason::Cold:
    return "cold";
  case NotRunReason::SnapshotGone:
    return "snapshot_gone";
  }
  return "shed";
}

std::optional<NotRunReason> parseNotRun(std::string_view header) {
  for (const NotRunReason reason :
       {NotRunReason::Shed, NotRunReason::Draining, NotRunReason::Cold,
        NotRunReason::SnapshotGone})
    if (header == notRunReasonName(reason))
      return reason;
  return std::nullopt;
}

} // namespace galenaflow::protocol
