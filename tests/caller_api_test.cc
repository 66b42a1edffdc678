#include "protocol/caller_api.h"
#include "state/uuid.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

using namespace galenaflow;
using namespace galenaflow::protocol;
using state::ErrorCode;
using state::ExecutionState;
using state::Operation;

namespace {

template <typename T>
bool hasFinding(const Parsed<T> &parsed, const char *place) {
  return !parsed &&
         std::any_of(parsed.error().items().begin(),
                     parsed.error().items().end(),
                     [&](const auto &item) { return item.Place == place; });
}

} // namespace

// Guards against requests that reach the wrong handler.
TEST_CASE("paths and methods select the endpoint") {
  CHECK(findEndpoint("POST", "/v1/search") == CallerEndpoint::Search);
  CHECK(findEndpoint("POST", "/v1/suggest") == CallerEndpoint::Suggest);
  CHECK(findEndpoint("GET", "/v1/records/s/1") == CallerEndpoint::Read);
  CHECK(findEndpoint("POST", "/v1/writes/s") == CallerEndpoint::Write);
  CHECK(findEndpoint("POST", "/v1/request-ids") == CallerEndpoint::RequestIds);
  CHECK_FALSE(findEndpoint("GET", "/v1/search"));
  CHECK_FALSE(findEndpoint("POST", "/v1/searches"));
  CHECK(bearerKey("Bearer k1") == "k1");
  CHECK_FALSE(bearerKey("Basic k1"));
  CHECK_FALSE(bearerKey("Bearer "));
  CHECK_FALSE(bearerKey(std::nullopt));
}

// Guards against a field or header that is stored in the wrong member.
TEST_CASE("a search request is parsed with its headers") {
  CallerHeaders headers;
  headers.RequestId = "r-1";
  headers.DeadlineMs = "250";
  headers.Traceparent =
      "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
  const auto request = parseSearchRequest(
      Operation::Search, headers,
      R"({"service":"archivio","query":"foglia d'oro","limit":50,
          "priority":"urgent","min_coverage":0.5})");
  REQUIRE(request);
  CHECK(request->Options.RequestId == "r-1");
  CHECK(request->Options.Deadline == std::chrono::milliseconds(250));
  CHECK(request->Options.Trace->IsSampled);
  CHECK(request->Query == "foglia d'oro");
  CHECK(request->Limit == 50);
  CHECK(request->Priority == state::Priority::Urgent);
  CHECK(request->MinCoverage == 0.5);
}

// Guards against findings that are reported one at a time or not at all.
TEST_CASE("all findings of a search request are reported together") {
  CallerHeaders headers;
  headers.RequestId = "bad id";
  headers.DeadlineMs = "60001";
  const auto request = parseSearchRequest(
      Operation::Suggest, headers,
      R"({"service":"a/b","query":"x","limit":21,"min_coverage":1.1})");
  for (const char *place : {"X-Request-Id", "X-Deadline-Ms", "/service",
                            "/prefix", "/query", "/limit", "/min_coverage"}) {
    INFO(place);
    CHECK(hasFinding(request, place));
  }
  for (const char *deadline : {"", "0", "-1", "1.5", "1 ", "0x10"}) {
    headers.DeadlineMs = deadline;
    CHECK(hasFinding(parseSearchRequest(Operation::Search, headers, "{}"),
                     "X-Deadline-Ms"));
  }
}

// Guards against paths that would address other resources of a backend server.
TEST_CASE("record paths contain exactly a service and an id") {
  const auto request = parseReadRequest("/v1/records/painel/abc-1", {});
  REQUIRE(request);
  CHECK(request->Service == "painel");
  CHECK(request->RecordId == "abc-1");
  for (const char *path :
       {"/v1/records/", "/v1/records/a", "/v1/records/a/", "/v1/records//b",
        "/v1/records/a/b/c", "/v1/records/a/%2e", "/v1/records/a/b?x=1"})
    CHECK(hasFinding(parseReadRequest(path, {}), "path"));
}

// Guards against accepting a write without a key, which could run more than
// once.
TEST_CASE("a write needs a UUIDv7 key") {
  std::mt19937_64 random(1);
  const auto uuid =
      state::makeUuidV7(state::WallMillis(1'700'000'000'123), random);
  CallerHeaders headers;
  CHECK(hasFinding(parseWriteRequest("/v1/writes/s", headers),
                   "Idempotency-Key"));
  std::string upper = uuid.Text;
  std::transform(upper.begin(), upper.end(), upper.begin(), [](char c) {
    return c >= 'a' && c <= 'f' ? static_cast<char>(c - 'a' + 'A') : c;
  });
  headers.IdempotencyKey = upper;
  CHECK(parseWriteRequest("/v1/writes/s", headers)->IdempotencyKey ==
        uuid.Text);
  headers.IdempotencyKey = "f47ac10b-58cc-4372-a567-0e02b2c3d479"; // version 4
  CHECK(hasFinding(parseWriteRequest("/v1/writes/s", headers),
                   "Idempotency-Key"));
}

// Guards against an answer that overstates its coverage or corrupts its hits.
TEST_CASE("a search answer states its coverage and keeps hits unchanged") {
  CHECK(rc::check([] {
    const auto shardCount = *rc::gen::inRange<std::uint32_t>(0, 30);
    const auto missingCount =
        *rc::gen::inRange<std::uint32_t>(0, shardCount + 1);
    std::vector<MissingShard> missing;
    for (std::uint32_t i = 0; i != missingCount; ++i)
      missing.push_back({i, MissingReason::Shed});
    std::vector<std::string> texts;
    const int hitCount = *rc::gen::inRange(0, 5);
    for (int i = 0; i != hitCount; ++i)
      texts.push_back(nlohmann::json({{"id", i}, {"t", "\"\n"}}).dump());
    const std::vector<std::string_view> hits(texts.begin(), texts.end());
    SearchAnswer answer{"r\"1",  41,  shardCount, shardCount - missingCount,
                        missing, hits};
    const auto json = nlohmann::json::parse(encodeSearchAnswer(answer));
    RC_ASSERT(json["request_id"] == "r\"1");
    RC_ASSERT(json["snapshot"] == 41);
    RC_ASSERT(json["complete"] == (missingCount == 0));
    RC_ASSERT(json["coverage"]["answered"] == shardCount - missingCount);
    RC_ASSERT(json["coverage"]["missing"].size() == missingCount);
    RC_ASSERT(json["hits"].size() == texts.size());
    for (std::size_t i = 0; i != texts.size(); ++i)
      RC_ASSERT(json["hits"][i].dump() == texts[i]);
  }));
}

// Guards against an unknown outcome that a caller interprets as a refusal.
TEST_CASE("errors map to the documented code and status") {
  CHECK(httpStatus(ErrorCode::InvalidArgument, ExecutionState::NotRun) == 400);
  CHECK(httpStatus(ErrorCode::Unauthenticated, ExecutionState::NotRun) == 401);
  CHECK(httpStatus(ErrorCode::Forbidden, ExecutionState::NotRun) == 403);
  CHECK(httpStatus(ErrorCode::NotFound, ExecutionState::Ran) == 404);
  CHECK(httpStatus(CallerErrorCode::PayloadTooLarge) == 413);
  CHECK(httpStatus(ErrorCode::Conflict, ExecutionState::Unknown) == 422);
  CHECK(httpStatus(ErrorCode::OverLimit, ExecutionState::NotRun) == 429);
  CHECK(httpStatus(ErrorCode::Overloaded, ExecutionState::NotRun) == 503);
  CHECK(httpStatus(ErrorCode::Unavailable, ExecutionState::Ran) == 503);
  CHECK(httpStatus(ErrorCode::DeadlineExceeded, ExecutionState::NotRun) == 504);
  for (const ErrorCode code :
       {ErrorCode::Unavailable, ErrorCode::Overloaded, ErrorCode::Internal,
        ErrorCode::Cancelled, ErrorCode::DeadlineExceeded})
    CHECK(callerErrorOf(code, ExecutionState::Unknown) ==
          CallerErrorCode::OutcomeUnknown);
  ErrorAnswer answer{
      CallerErrorCode::OverLimit, "m", "r", ExecutionState::NotRun, {}};
  answer.Findings.add("/limit", "too large");
  CHECK(nlohmann::json::parse(encodeErrorAnswer(answer)) ==
        nlohmann::json::parse(R"({"error":{"code":"over_limit","message":"m",
          "request_id":"r","ran":"not_run",
          "findings":[{"place":"/limit","message":"too large"}]}})"));
}

// Guards against ids that lose their issue time, which determines their expiry.
TEST_CASE("a UUIDv7 keeps its issue time") {
  CHECK(rc::check([](std::uint64_t seed) {
    std::mt19937_64 random(seed);
    const state::WallMillis now(random() & 0xffffffffffff);
    const auto uuid = state::makeUuidV7(now, random);
    const auto parsed = state::parseUuidV7(uuid.Text);
    RC_ASSERT(parsed.has_value());
    RC_ASSERT(parsed->Issued == now);
    RC_ASSERT(parsed->Text == uuid.Text);
    std::string corrupt = uuid.Text;
    corrupt[seed % corrupt.size()] = 'x';
    RC_ASSERT(!state::parseUuidV7(corrupt));
    RC_ASSERT(!state::parseUuidV7(uuid.Text.substr(1)));
  }));
}

// Guards against traces that are interrupted at galenaflow.
TEST_CASE("traceparent is parsed, formatted and continued") {
  const std::string header =
      "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
  const auto trace = parseTraceparent(header);
  REQUIRE(trace);
  CHECK(formatTraceparent(*trace) == header);
  std::mt19937_64 random(1);
  const TraceContext child = childOf(*trace, random);
  CHECK(traceIdText(child) == traceIdText(*trace));
  CHECK(child.SpanId != trace->SpanId);
  CHECK(parseTraceparent("cc" + header.substr(2) + "-more"));
  for (const std::string &bad :
       {header + "-more", "ff" + header.substr(2), header.substr(1),
        "00-" + std::string(32, '0') + header.substr(35),
        header.substr(0, 36) + std::string(16, '0') + "-01",
        std::string("00-0AF7651916CD43DD8448EB211C80319C-b7ad6b7169203331-01")})
    CHECK_FALSE(parseTraceparent(bad));
}
