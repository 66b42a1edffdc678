#include "protocol/otlp_json.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace galenaflow;
using namespace galenaflow::protocol;

// Guards against spans that a collector rejects or assigns to another trace.
TEST_CASE("spans are encoded as OTLP/JSON") {
  Span span;
  span.Context = {0x0af7651916cd43dd, 0x8448eb211c80319c, 0xb7, true};
  span.ParentSpanId = 0xa6;
  span.Name = "search";
  span.Kind = SpanKind::Server;
  span.Started = state::WallMillis(1'767'607'200'007);
  span.Elapsed = state::Duration(1500);
  span.IsError = true;
  span.StatusText = "timeout";
  span.Attributes = {{"plan", "a\"b"}};
  Span root;
  const std::vector<Span> spans{span, root};
  const auto json = nlohmann::json::parse(encodeSpans(spans, {"vm-1", "a"}));
  const auto &group = json["resourceSpans"][0];
  CHECK(group["resource"]["attributes"][1] ==
        nlohmann::json::parse(R"({"key":"service.instance.id",
          "value":{"stringValue":"vm-1"}})"));
  const auto &items = group["scopeSpans"][0]["spans"];
  CHECK(items[0] == nlohmann::json::parse(R"({
    "traceId":"0af7651916cd43dd8448eb211c80319c","spanId":"00000000000000b7",
    "parentSpanId":"00000000000000a6","name":"search","kind":2,
    "startTimeUnixNano":"1767607200007000000",
    "endTimeUnixNano":"1767607200008500000",
    "attributes":[{"key":"plan","value":{"stringValue":"a\"b"}}],
    "status":{"code":2,"message":"timeout"}})"));
  CHECK_FALSE(items[1].contains("parentSpanId"));
  CHECK_FALSE(items[1].contains("status"));
}

// Guards against memory use that grows while the collector is unavailable.
TEST_CASE("a full span buffer drops new spans and counts them") {
  SpanBuffer buffer(3);
  for (std::uint64_t i = 0; i != 5; ++i) {
    Span span;
    span.ParentSpanId = i;
    CHECK(buffer.add(span) == (i < 3));
  }
  CHECK(buffer.dropped() == 2);
  const auto batch = buffer.take(2);
  REQUIRE(batch.size() == 2);
  CHECK(batch[1].ParentSpanId == 1);
  CHECK(buffer.take(10).size() == 1);
  CHECK(buffer.size() == 0);
  CHECK(buffer.add(Span()));
}
