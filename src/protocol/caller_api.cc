// Requests are small; they are parsed into values, and all faults are
// collected. Answers to searches can be large; they are assembled from the raw
// text of the hits in one buffer, whose final size is reserved in advance.
#include "protocol/caller_api.h"

#include "protocol/json_reader.h"
#include "state/uuid.h"

#include <charconv>
#include <nlohmann/json.hpp>

namespace galenaflow::protocol {

using nlohmann::json;
using state::Findings;
using state::Operation;

namespace {

constexpr std::string_view RecordsPrefix = "/v1/records/";
constexpr std::string_view WritesPrefix = "/v1/writes/";
constexpr std::size_t MaxQueryBytes = 4096;
constexpr std::uint64_t MaxSearchLimit = 1000;
constexpr std::uint64_t MaxSuggestLimit = 20;
constexpr std::uint32_t DefaultLimit = 10;

std::optional<state::Duration> parseDeadline(std::string_view text) {
  std::uint32_t ms = 0;
  const char *end = text.data() + text.size();
  const auto [stop, ec] = std::from_chars(text.data(), end, ms);
  if (ec != std::errc() || stop != end || ms < 1 || ms > MaxDeadlineMs)
    return std::nullopt;
  return std::chrono::milliseconds(ms);
}

std::optional<state::Priority> readPriority(ObjectReader &reader) {
  const auto text = reader.text("priority", Presence::Optional);
  if (text == "urgent")
    return state::Priority::Urgent;
  if (text == "normal")
    return state::Priority::Normal;
  if (text)
    reader.report("priority", R"(must be "urgent" or "normal")");
  return std::nullopt;
}

std::string readQuery(ObjectReader &reader, const char *field) {
  auto text = reader.text(field, Presence::Required);
  if (text && (text->empty() || text->size() > MaxQueryBytes))
    reader.report(field, "must be 1 to 4096 bytes");
  return std::move(text).value_or("");
}

void readSearchBody(const json &body, SearchRequest &request,
                    Findings &findings) {
  const bool isSuggest = request.Operation == Operation::Suggest;
  ObjectReader reader(body, "", findings);
  request.Service = reader.name("service", Presence::Required).value_or("");
  request.Query = readQuery(reader, isSuggest ? "prefix" : "query");
  const auto limit =
      reader.integer("limit", 1, isSuggest ? MaxSuggestLimit : MaxSearchLimit,
                     Presence::Optional);
  request.Limit = static_cast<std::uint32_t>(limit.value_or(DefaultLimit));
  request.Priority = readPriority(reader);
  request.MinCoverage = reader.number("min_coverage", 0, 1, Presence::Optional);
  reader.rejectUnknownFields();
}

std::string_view stripQueryString(std::string_view path) {
  return path.substr(0, path.find('?'));
}

void rejectQueryString(std::string_view path, Findings &findings) {
  if (path.find('?') != std::string_view::npos)
    findings.add("path", "no query string is accepted");
}

std::string readPathName(std::string_view segment, std::string_view what,
                         Findings &findings) {
  if (!isName(segment))
    findings.add("path",
                 std::string(what) +
                     " must be 1 to 64 characters of A-Z a-z 0-9 . _ -");
  return std::string(segment);
}

std::string quoteJson(std::string_view text) { return dumpJson(json(text)); }

/// Appends the missing shards as JSON objects separated by commas.
void appendMissing(std::string &buf, std::span<const MissingShard> missing) {
  bool isFirst = true;
  for (const MissingShard &shard : missing) {
    buf += isFirst ? R"({"shard":)" : R"(,{"shard":)";
    buf += std::to_string(shard.Shard);
    buf += R"(,"reason":")";
    buf += missingReasonName(shard.Reason);
    buf += R"("})";
    isFirst = false;
  }
}

std::size_t estimateAnswerBytes(const SearchAnswer &answer) {
  constexpr std::size_t fixedBytes = 256;
  constexpr std::size_t bytesPerMissing = 64;
  std::size_t n = fixedBytes + bytesPerMissing * answer.Missing.size();
  for (const std::string_view hit : answer.Hits)
    n += hit.size() + 1;
  return n;
}

bool mayHaveRun(state::ErrorCode code) {
  switch (code) {
  case state::ErrorCode::Overloaded:
  case state::ErrorCode::Unavailable:
  case state::ErrorCode::DeadlineExceeded:
  case state::ErrorCode::OutcomeUnknown:
  case state::ErrorCode::Cancelled:
  case state::ErrorCode::Internal:
    return true;
  default:
    return false;
  }
}

CallerErrorCode callerErrorOf(state::ErrorCode code) {
  switch (code) {
  case state::ErrorCode::InvalidArgument:
    return CallerErrorCode::InvalidRequest;
  case state::ErrorCode::NotFound:
    return CallerErrorCode::NotFound;
  case state::ErrorCode::Unauthenticated:
    return CallerErrorCode::Unauthenticated;
  case state::ErrorCode::Forbidden:
    return CallerErrorCode::Forbidden;
  case state::ErrorCode::OverLimit:
    return CallerErrorCode::OverLimit;
  case state::ErrorCode::Overloaded:
    return CallerErrorCode::Overloaded;
  case state::ErrorCode::Unavailable:
  case state::ErrorCode::Cancelled:
    return CallerErrorCode::Unavailable;
  case state::ErrorCode::DeadlineExceeded:
    return CallerErrorCode::DeadlineExceeded;
  case state::ErrorCode::Conflict:
    return CallerErrorCode::IdempotencyConflict;
  case state::ErrorCode::OutcomeUnknown:
    return CallerErrorCode::OutcomeUnknown;
  case state::ErrorCode::Internal:
    return CallerErrorCode::Internal;
  }
  return CallerErrorCode::Internal;
}

} // namespace

std::optional<CallerEndpoint> findEndpoint(std::string_view method,
                                           std::string_view path) {
  path = stripQueryString(path);
  if (method == "GET" && path.starts_with(RecordsPrefix))
    return CallerEndpoint::Read;
  if (method != "POST")
    return std::nullopt;
  if (path == "/v1/search")
    return CallerEndpoint::Search;
  if (path == "/v1/suggest")
    return CallerEndpoint::Suggest;
  if (path == "/v1/request-ids")
    return CallerEndpoint::RequestIds;
  if (path.starts_with(WritesPrefix))
    return CallerEndpoint::Write;
  return std::nullopt;
}

std::optional<std::string_view>
bearerKey(const std::optional<std::string_view> &authorization) {
  constexpr std::string_view scheme = "Bearer ";
  if (!authorization || !authorization->starts_with(scheme) ||
      authorization->size() == scheme.size())
    return std::nullopt;
  return authorization->substr(scheme.size());
}

RequestOptions parseOptions(const CallerHeaders &headers, Findings &findings) {
  RequestOptions options;
  if (headers.RequestId) {
    options.RequestId = *headers.RequestId;
    if (!isName(options.RequestId))
      findings.add("X-Request-Id",
                   "must be 1 to 64 characters of A-Z a-z 0-9 . _ -");
  }
  if (headers.DeadlineMs) {
    options.Deadline = parseDeadline(*headers.DeadlineMs);
    if (!options.Deadline)
      findings.add("X-Deadline-Ms", "must be a whole number from 1 to 60000");
  }
  // W3C Trace Context requires a receiver to ignore a malformed traceparent.
  if (headers.Traceparent)
    options.Trace = parseTraceparent(*headers.Traceparent);
  return options;
}

Parsed<SearchRequest> parseSearchRequest(Operation operation,
                                         const CallerHeaders &headers,
                                         std::string_view body) {
  Findings findings;
  SearchRequest request;
  request.Operation = operation;
  request.Options = parseOptions(headers, findings);
  readSearchBody(parseJson(body, findings), request, findings);
  if (!findings.empty())
    return tl::unexpected(std::move(findings));
  return request;
}

Parsed<ReadRequest> parseReadRequest(std::string_view path,
                                     const CallerHeaders &headers) {
  Findings findings;
  ReadRequest request;
  request.Options = parseOptions(headers, findings);
  rejectQueryString(path, findings);
  path = stripQueryString(path);
  path.remove_prefix(std::min(path.size(), RecordsPrefix.size()));
  const std::size_t slash = std::min(path.find('/'), path.size());
  request.Service =
      readPathName(path.substr(0, slash), "the service", findings);
  const std::size_t next = std::min(slash + 1, path.size());
  request.RecordId = readPathName(path.substr(next), "the record id", findings);
  if (!findings.empty())
    return tl::unexpected(std::move(findings));
  return request;
}

Parsed<WriteRequest> parseWriteRequest(std::string_view path,
                                       const CallerHeaders &headers) {
  Findings findings;
  WriteRequest request;
  request.Options = parseOptions(headers, findings);
  rejectQueryString(path, findings);
  path = stripQueryString(path);
  path.remove_prefix(std::min(path.size(), WritesPrefix.size()));
  request.Service = readPathName(path, "the service", findings);
  const auto key =
      state::parseUuidV7(headers.IdempotencyKey.value_or(std::string_view()));
  if (key)
    request.IdempotencyKey = key->Text;
  else
    findings.add("Idempotency-Key", "must be a UUIDv7");
  if (!findings.empty())
    return tl::unexpected(std::move(findings));
  return request;
}

std::string_view missingReasonName(MissingReason reason) {
  switch (reason) {
  case MissingReason::Timeout:
    return "timeout";
  case MissingReason::Refused:
    return "refused";
  case MissingReason::Shed:
    return "shed";
  case MissingReason::ConnectionFailed:
    return "connection_failed";
  case MissingReason::SnapshotGone:
    return "snapshot_gone";
  case MissingReason::InvalidResponse:
    return "invalid_response";
  case MissingReason::NoReplica:
    return "no_replica";
  case MissingReason::Cancelled:
    return "cancelled";
  }
  return "timeout";
}

std::string encodeSearchAnswer(const SearchAnswer &answer) {
  const bool isComplete =
      answer.Missing.empty() && answer.Asked == answer.Answered;
  std::string buf;
  buf.reserve(estimateAnswerBytes(answer));
  buf += R"({"request_id":)" + quoteJson(answer.RequestId);
  buf += R"(,"snapshot":)" + std::to_string(answer.Snapshot);
  buf += isComplete ? R"(,"complete":true)" : R"(,"complete":false)";
  buf += R"(,"coverage":{"asked":)" + std::to_string(answer.Asked);
  buf += R"(,"answered":)" + std::to_string(answer.Answered);
  buf += R"(,"missing":[)";
  appendMissing(buf, answer.Missing);
  buf += R"(]},"hits":[)";
  for (std::size_t i = 0; i != answer.Hits.size(); ++i) {
    if (i != 0)
      buf += ',';
    buf += answer.Hits[i];
  }
  buf += "]}";
  return buf;
}

std::string encodeReadAnswer(std::string_view requestId,
                             state::SnapshotId snapshot,
                             std::string_view record) {
  std::string buf = R"({"request_id":)" + quoteJson(requestId);
  buf += R"(,"snapshot":)" + std::to_string(snapshot) + R"(,"record":)";
  buf += record;
  buf += '}';
  return buf;
}

std::string encodeWriteAnswer(std::string_view requestId,
                              std::string_view result) {
  std::string buf =
      R"({"request_id":)" + quoteJson(requestId) + R"(,"result":)";
  buf += result;
  buf += '}';
  return buf;
}

std::string encodeRequestIdAnswer(std::string_view id) {
  return R"({"id":)" + quoteJson(id) + "}";
}

std::string_view callerErrorName(CallerErrorCode code) {
  switch (code) {
  case CallerErrorCode::InvalidRequest:
    return "invalid_request";
  case CallerErrorCode::Unauthenticated:
    return "unauthenticated";
  case CallerErrorCode::Forbidden:
    return "forbidden";
  case CallerErrorCode::NotFound:
    return "not_found";
  case CallerErrorCode::PayloadTooLarge:
    return "payload_too_large";
  case CallerErrorCode::IdempotencyConflict:
    return "idempotency_conflict";
  case CallerErrorCode::OverLimit:
    return "over_limit";
  case CallerErrorCode::Overloaded:
    return "overloaded";
  case CallerErrorCode::Unavailable:
    return "unavailable";
  case CallerErrorCode::DeadlineExceeded:
    return "deadline_exceeded";
  case CallerErrorCode::OutcomeUnknown:
    return "outcome_unknown";
  case CallerErrorCode::Internal:
    return "internal";
  }
  return "internal";
}

int httpStatus(CallerErrorCode code) {
  switch (code) {
  case CallerErrorCode::InvalidRequest:
    return 400;
  case CallerErrorCode::Unauthenticated:
    return 401;
  case CallerErrorCode::Forbidden:
    return 403;
  case CallerErrorCode::NotFound:
    return 404;
  case CallerErrorCode::PayloadTooLarge:
    return 413;
  case CallerErrorCode::IdempotencyConflict:
    return 422;
  case CallerErrorCode::OverLimit:
    return 429;
  case CallerErrorCode::Overloaded:
  case CallerErrorCode::Unavailable:
    return 503;
  case CallerErrorCode::DeadlineExceeded:
  case CallerErrorCode::OutcomeUnknown:
    return 504;
  case CallerErrorCode::Internal:
    return 500;
  }
  return 500;
}

CallerErrorCode callerErrorOf(state::ErrorCode code,
                              state::ExecutionState ran) {
  if (ran == state::ExecutionState::Unknown && mayHaveRun(code))
    return CallerErrorCode::OutcomeUnknown;
  return callerErrorOf(code);
}

int httpStatus(state::ErrorCode code, state::ExecutionState ran) {
  return httpStatus(callerErrorOf(code, ran));
}

std::string encodeErrorAnswer(const ErrorAnswer &answer) {
  json error = {{"code", callerErrorName(answer.Code)},
                {"message", answer.Message},
                {"request_id", answer.RequestId},
                {"ran", state::executionStateName(answer.Ran)}};
  for (const state::Finding &finding : answer.Findings.items())
    error["findings"].push_back(
        {{"place", finding.Place}, {"message", finding.Message}});
  return dumpJson({{"error", std::move(error)}});
}

} // namespace galenaflow::protocol
