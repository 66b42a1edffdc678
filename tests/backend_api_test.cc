#include "protocol/backend_api.h"
#include "protocol/json_scanner.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <random>
#include <rapidcheck.h>

using namespace galenaflow;
using namespace galenaflow::protocol;

namespace {

const ShardQuery Query{state::Operation::Search, 3, 41, "q", 50};

const std::string ResponseText = R"({ "sub_request_id":"s-1","shard":3,
  "snapshot":41,"extra":[1,{"a":null}],"hits":[
  {"id":"b","score":2.5,"fields":{"t":"caff\u00e8 \"x\""}} ,
  { "score":1,"id":"a\u0062" },{"id":"c","score":1}]})";

ResponseFault faultOf(const std::string &body) {
  const auto response = decodeShardResponse(body, "s-1", Query);
  REQUIRE_FALSE(response);
  return response.error();
}

std::string replaceFirst(std::string text, const std::string &from,
                         const std::string &to) {
  const std::size_t at = text.find(from);
  REQUIRE(at != std::string::npos);
  return text.replace(at, from.size(), to);
}

bool isScannable(const std::string &text) {
  JsonScanner scanner(text);
  return scanner.readRaw() && scanner.atEnd();
}

} // namespace

// Guards against raw text of a hit that starts or ends at the wrong byte.
TEST_CASE("a shard response yields hits with their raw text") {
  const auto response = decodeShardResponse(ResponseText, "s-1", Query);
  REQUIRE(response);
  REQUIRE(response->Hits.size() == 3);
  CHECK(response->Hits[0].Id == "b");
  CHECK(response->Hits[0].Score == 2.5);
  CHECK(response->Hits[1].Id == "ab");
  CHECK(response->Hits[1].Raw == R"({ "score":1,"id":"a\u0062" })");
  for (const BackendHit &hit : response->Hits)
    CHECK(nlohmann::json::parse(hit.Raw)["id"] == hit.Id);
}

// Guards against merging the response to another query, of another shard or of
// another snapshot.
TEST_CASE("a response that does not match its request is rejected") {
  using enum ResponseFault;
  CHECK(faultOf(replaceFirst(ResponseText, "s-1", "s-2")) == WrongSubRequest);
  CHECK(faultOf(replaceFirst(ResponseText, "\"shard\":3", "\"shard\":4")) ==
        WrongShard);
  CHECK(faultOf(replaceFirst(ResponseText, "41", "42")) == WrongSnapshot);
  CHECK(faultOf(replaceFirst(ResponseText, "2.5", "0.5")) == WrongOrder);
  CHECK(faultOf(replaceFirst(ResponseText, "\"c\"", "\"aa\"")) == WrongOrder);
  for (const char *field : {"\"sub_request_id\"", "\"shard\"", "\"snapshot\"",
                            "\"hits\"", "\"id\"", "\"score\""})
    CHECK(faultOf(replaceFirst(ResponseText, field, "\"other\"")) == Malformed);
  CHECK(faultOf(replaceFirst(ResponseText, "\"extra\":[1,{\"a\":null}]",
                             "\"shard\":3")) == Malformed);
}

// Guards against a truncated response that is accepted as complete.
TEST_CASE("every truncation of a response is malformed") {
  const std::string record =
      R"({"sub_request_id":"s-1","snapshot":41,"record":{"a":1}})";
  const std::string load =
      R"({"in_flight":1,"slots":2,"snapshots":[{"id":41,"layout":3}]})";
  for (std::size_t n = 0; n != ResponseText.size(); ++n)
    CHECK(faultOf(ResponseText.substr(0, n)) == ResponseFault::Malformed);
  for (std::size_t n = 0; n != record.size(); ++n)
    CHECK_FALSE(decodeRecordResponse(record.substr(0, n), "s-1"));
  for (std::size_t n = 0; n != load.size(); ++n)
    CHECK_FALSE(decodeLoad(load.substr(0, n)));
}

// Guards against a scanner that accepts other texts than a complete JSON parser
// does: invalid JSON would be copied into an answer, or a valid response
// rejected.
TEST_CASE("the scanner accepts what the reference parser accepts") {
  std::mt19937_64 random(20260105);
  const std::string alphabet = "{}[]\",:\\u0019dDeE+-. \n\x01\x7f\xc3\xa8\xed"
                               "\xf0\x90truefalsnab";
  const std::string base =
      R"({"a":[1,-0.5e+3,true,null],"è":"\ud83d\ude00\n","b":{}})";
  for (int i = 0; i != 100'000; ++i) {
    std::string text = base;
    for (std::uint64_t edits = random() % 4; edits != 0; --edits) {
      const std::size_t at = random() % text.size();
      if (random() % 2 == 0)
        text[at] = alphabet[random() % alphabet.size()];
      else if (text.size() > 2)
        text.erase(at, 1);
    }
    INFO(text);
    const bool isValid = nlohmann::json::accept(text);
    // A number outside the range of a double would differ.
    if (isScannable(text) != isValid)
      CHECK(isScannable(text) == isValid);
  }
  CHECK_FALSE(isScannable(std::string(100'000, '[')));
}

// Guards against hits or scores that decoding loses.
TEST_CASE("decoding preserves the hits of random responses") {
  CHECK(rc::check([](const std::vector<std::string> &names) {
    nlohmann::json hits = nlohmann::json::array();
    double score = 1e6;
    for (const std::string &name : names) {
      std::string id;
      for (const char c : name)
        id += static_cast<char>(c & 0x7f);
      score -= *rc::gen::inRange(1, 1000) / 7.0;
      hits.push_back({{"id", id}, {"score", score}, {"fields", {{"x", id}}}});
    }
    const nlohmann::json body = {{"sub_request_id", "s-1"},
                                 {"shard", 3},
                                 {"snapshot", 41},
                                 {"hits", hits}};
    const auto response = decodeShardResponse(body.dump(), "s-1", Query);
    RC_ASSERT(response.has_value());
    RC_ASSERT(response->Hits.size() == hits.size());
    for (std::size_t i = 0; i != hits.size(); ++i) {
      RC_ASSERT(response->Hits[i].Id == hits[i]["id"]);
      RC_ASSERT(response->Hits[i].Score == hits[i]["score"]);
      RC_ASSERT(nlohmann::json::parse(response->Hits[i].Raw) == hits[i]);
    }
  }));
}

// Guards against corrupt bytes of a response that make an answer invalid JSON.
TEST_CASE("a corrupt response is rejected or yields valid hits") {
  std::mt19937_64 random(20260106);
  int decoded = 0;
  for (int i = 0; i != 20'000; ++i) {
    std::string body = ResponseText;
    body[random() % body.size()] = static_cast<char>(random());
    const auto response = decodeShardResponse(body, "s-1", Query);
    if (!response)
      continue;
    ++decoded;
    REQUIRE(nlohmann::json::accept(*response->Body));
    for (const BackendHit &hit : response->Hits)
      REQUIRE(nlohmann::json::parse(hit.Raw)["score"] == hit.Score);
  }
  CHECK(decoded > 0);
  CHECK(decoded < 20'000);
}

// Guards against accepting the record or write response to another request.
TEST_CASE("record and write responses are validated") {
  const auto record = decodeRecordResponse(
      R"({"sub_request_id":"s-1","snapshot":41,"record":{"a":[1]}})", "s-1");
  REQUIRE(record);
  CHECK(record->Snapshot == 41);
  CHECK(record->Record == R"({"a":[1]})");
  const std::string write = R"({"sub_request_id":"s-1","result":{"ok":true}})";
  CHECK(decodeWriteResponse(write, "s-1")->Result == R"({"ok":true})");
  CHECK(decodeWriteResponse(write, "s-2").error() ==
        ResponseFault::WrongSubRequest);
  CHECK_FALSE(
      decodeWriteResponse(R"({"sub_request_id":"s-1","result":1})", "s-1"));
}

// Guards against new requests to a draining replica, and against load figures
// that are lost.
TEST_CASE("health, load and X-Not-Run are decoded") {
  CHECK(decodeHealth(R"({"state":"draining"})") == HealthState::Draining);
  CHECK_FALSE(decodeHealth(R"({"state":"well"})"));
  CHECK_FALSE(decodeHealth("{}"));
  const auto load = decodeLoad(
      R"({"in_flight":1,"queued":4,"slots":2,"connections":12,
          "snapshots":[{"id":41,"layout":3},{"id":40,"layout":2}]})");
  REQUIRE(load);
  CHECK(*load == LoadReport{1, 4, 2, 12, {{41, 3}, {40, 2}}});
  CHECK_FALSE(decodeLoad(R"({"slots":-1,"snapshots":[]})"));
  // Guards against figures that wrap or are cut off.
  for (const char *number : {"4294967296", "18446744073709551617", "-1", "1.5",
                             "1e3", "null", "\"1\""})
    for (const char *name : {"in_flight", "queued", "slots", "connections"}) {
      INFO(name << " " << number);
      std::string figures = R"("snapshots":[])";
      if (std::string_view(name) != "slots")
        figures += R"(,"slots":2)";
      CHECK_FALSE(decodeLoad("{" + figures + ",\"" + name +
                             "\":" + std::string(number) + "}"));
    }
  CHECK_FALSE(decodeLoad(
      R"({"slots":2,"snapshots":[{"id":18446744073709551616,"layout":1}]})"));
  CHECK(parseNotRun("snapshot_gone") == NotRunReason::SnapshotGone);
  CHECK_FALSE(parseNotRun("Shed"));
  CHECK(nlohmann::json::parse(
            encodeShardQuery({state::Operation::Suggest, 3, 41, "a\"\n", 5})) ==
        nlohmann::json::parse(
            R"({"op":"suggest","shard":3,"snapshot":41,"query":"a\"\n",
                "limit":5})"));
}
