// Input: one byte that selects the type of response, then its body. The scanner
// is compared with nlohmann/json: a body that it accepts must be JSON. The raw
// texts that are copied into answers must be JSON values of their own and lie
// inside the body.
#include "fuzz/fuzz.h"
#include "protocol/backend_api.h"

#include <nlohmann/json.hpp>

using namespace galenaflow;
using nlohmann::json;

namespace {

constexpr std::string_view SubRequest = "s-1";

/// Accepts every value. A number too large for a double is valid JSON, but
/// nlohmann/json rejects it with the error NumberTooLarge.
struct GrammarCheck : nlohmann::json_sax<json> {
  static constexpr int NumberTooLarge = 406;
  bool IsTooLarge = false;

  bool null() override { return true; }
  bool boolean(bool) override { return true; }
  bool number_integer(number_integer_t) override { return true; }
  bool number_unsigned(number_unsigned_t) override { return true; }
  bool number_float(number_float_t, const string_t &) override { return true; }
  bool string(string_t &) override { return true; }
  bool binary(binary_t &) override { return true; }
  bool start_object(std::size_t) override { return true; }
  bool key(string_t &) override { return true; }
  bool end_object() override { return true; }
  bool start_array(std::size_t) override { return true; }
  bool end_array() override { return true; }
  bool parse_error(std::size_t, const std::string &,
                   const nlohmann::detail::exception &error) override {
    IsTooLarge = error.id == NumberTooLarge;
    return false;
  }
};

bool isJson(std::string_view text) {
  GrammarCheck check;
  return json::sax_parse(text, &check) || check.IsTooLarge;
}

bool isInside(std::string_view part, const std::string &whole) {
  return part.data() >= whole.data() &&
         part.data() + part.size() <= whole.data() + whole.size();
}

void checkPayload(std::string_view payload, const std::string &body) {
  fuzz::require(isJson(body), "an accepted response is JSON");
  fuzz::require(isInside(payload, body), "a raw text lies in the body");
  fuzz::require(payload.starts_with('{') && isJson(payload),
                "a raw text is a JSON object");
}

void checkSearch(std::string_view body) {
  protocol::ShardQuery query;
  query.Shard = 3;
  query.Snapshot = 41;
  const auto response =
      protocol::decodeShardResponse(std::string(body), SubRequest, query);
  if (!response)
    return;
  fuzz::require(isJson(body), "an accepted response is JSON");
  for (const protocol::BackendHit &hit : response->Hits)
    checkPayload(hit.Raw, *response->Body);
  for (std::size_t i = 1; i < response->Hits.size(); ++i)
    fuzz::require(response->Hits[i - 1].Score >= response->Hits[i].Score,
                  "hits are sorted");
}

void checkLoad(std::string_view body) {
  const auto report = protocol::decodeLoad(body);
  if (!report)
    return;
  fuzz::require(isJson(body), "an accepted response is JSON");
  json snapshots = json::array();
  for (const protocol::ServedSnapshot &served : report->Snapshots)
    snapshots.push_back({{"id", served.Id}, {"layout", served.Layout}});
  const json written = {{"in_flight", report->InFlight},
                        {"queued", report->Queued},
                        {"slots", report->Slots},
                        {"connections", report->Connections},
                        {"snapshots", std::move(snapshots)}};
  const auto again = protocol::decodeLoad(written.dump());
  fuzz::require(again && *again == *report,
                "a load report is unchanged by encoding and decoding");
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data,
                                      std::size_t size) {
  std::string_view body = fuzz::asText(data, size);
  switch (fuzz::takeByte(body)) {
  case 's':
    checkSearch(body);
    break;
  case 'r':
    if (const auto it =
            protocol::decodeRecordResponse(std::string(body), SubRequest))
      checkPayload(it->Record, *it->Body);
    break;
  case 'w':
    if (const auto it =
            protocol::decodeWriteResponse(std::string(body), SubRequest))
      checkPayload(it->Result, *it->Body);
    break;
  case 'l':
    checkLoad(body);
    break;
  case 'h':
    if (const auto health = protocol::decodeHealth(body))
      fuzz::require(isJson(body), "an accepted response is JSON");
    break;
  default:
    if (const auto reason = protocol::parseNotRun(body))
      fuzz::require(protocol::notRunReasonName(*reason) == body,
                    "a reason has one name");
  }
  return 0;
}
