// Input: five header lines in the order of CallerHeaders, a path, and the body;
// an empty line is an absent header. An accepted request must be within the
// documented limits. A search body must be unchanged by encoding and parsing. A
// refusal must have findings and be encoded as a JSON answer.
#include "fuzz/fuzz.h"
#include "protocol/caller_api.h"
#include "protocol/writes_messages.h"

#include <nlohmann/json.hpp>

using namespace galenaflow;
using nlohmann::json;
using state::Operation;

namespace {

using HeaderLine = std::optional<std::string_view>;

HeaderLine takeHeader(std::string_view &input) {
  const std::string_view line = fuzz::takeLine(input);
  return line.empty() ? HeaderLine() : HeaderLine(line);
}

void checkOptions(const protocol::RequestOptions &options) {
  fuzz::require(options.RequestId.empty() ||
                    protocol::isName(options.RequestId),
                "a request id is a name");
  if (options.Deadline)
    fuzz::require(*options.Deadline >= std::chrono::milliseconds(1) &&
                      *options.Deadline <=
                          std::chrono::milliseconds(protocol::MaxDeadlineMs),
                  "a deadline is within its bounds");
}

void checkRefusal(const state::Findings &findings) {
  fuzz::require(!findings.empty(), "a refusal has findings");
  protocol::ErrorAnswer answer;
  answer.Code = protocol::CallerErrorCode::InvalidRequest;
  answer.Message = findings.toText();
  answer.Findings = findings;
  fuzz::require(json::accept(protocol::encodeErrorAnswer(answer)),
                "an error answer is JSON");
}

std::string searchBody(const protocol::SearchRequest &request) {
  const bool isSuggest = request.Operation == Operation::Suggest;
  json body = {{"service", request.Service},
               {isSuggest ? "prefix" : "query", request.Query},
               {"limit", request.Limit}};
  if (request.Priority)
    body["priority"] = state::priorityName(*request.Priority);
  if (request.MinCoverage)
    body["min_coverage"] = *request.MinCoverage;
  return body.dump();
}

void checkSearch(Operation operation, const protocol::CallerHeaders &headers,
                 std::string_view body) {
  const auto request = protocol::parseSearchRequest(operation, headers, body);
  if (!request)
    return checkRefusal(request.error());
  checkOptions(request->Options);
  fuzz::require(protocol::isName(request->Service), "a service is a name");
  fuzz::require(!request->Query.empty() && request->Query.size() <= 4096,
                "a query is within its bounds");
  fuzz::require(request->Limit >= 1 &&
                    request->Limit <=
                        (operation == Operation::Suggest ? 20U : 1000U),
                "a limit is within its bounds");
  const auto again =
      protocol::parseSearchRequest(operation, headers, searchBody(*request));
  fuzz::require(again && again->Service == request->Service &&
                    again->Query == request->Query &&
                    again->Limit == request->Limit &&
                    again->Priority == request->Priority &&
                    again->MinCoverage == request->MinCoverage,
                "a search is unchanged by encoding and parsing");
}

void checkRead(std::string_view path, const protocol::CallerHeaders &headers) {
  const auto request = protocol::parseReadRequest(path, headers);
  if (!request)
    return checkRefusal(request.error());
  checkOptions(request->Options);
  fuzz::require(path ==
                    "/v1/records/" + request->Service + "/" + request->RecordId,
                "an accepted path has only its two names");
}

void checkWrite(std::string_view path, const protocol::CallerHeaders &headers) {
  const auto request = protocol::parseWriteRequest(path, headers);
  if (!request)
    return checkRefusal(request.error());
  checkOptions(request->Options);
  fuzz::require(path == "/v1/writes/" + request->Service,
                "an accepted path has only its name");
  const auto key = protocol::parseWriteKey(request->IdempotencyKey);
  fuzz::require(key && protocol::writeKeyText(*key) == request->IdempotencyKey,
                "an idempotency key has one form");
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data,
                                      std::size_t size) {
  std::string_view input = fuzz::asText(data, size);
  protocol::CallerHeaders headers;
  headers.Authorization = takeHeader(input);
  headers.RequestId = takeHeader(input);
  headers.DeadlineMs = takeHeader(input);
  headers.Traceparent = takeHeader(input);
  headers.IdempotencyKey = takeHeader(input);
  const std::string_view path = fuzz::takeLine(input);
  if (const auto key = protocol::bearerKey(headers.Authorization))
    fuzz::require(!key->empty(), "a bearer key is not empty");
  checkSearch(Operation::Search, headers, input);
  checkSearch(Operation::Suggest, headers, input);
  if (protocol::findEndpoint("GET", path) == protocol::CallerEndpoint::Read)
    checkRead(path, headers);
  if (protocol::findEndpoint("POST", path) == protocol::CallerEndpoint::Write)
    checkWrite(path, headers);
  return 0;
}
