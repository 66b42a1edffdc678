// OTLP/JSON is the JSON mapping of protobuf with two exceptions: ids are
// hexadecimal and enumerations are numbers. 64-bit numbers are strings, as in
// all protobuf JSON. Start times have the wall clock's resolution of 1 ms;
// durations are measured by the steady clock, so an adjustment of the wall
// clock never makes a duration negative.
#include "protocol/otlp_json.h"

#include "protocol/json_reader.h"

#include <algorithm>
#include <iterator>
#include <nlohmann/json.hpp>

namespace galenaflow::protocol {

using nlohmann::json;

namespace {

constexpr int StatusError = 2;

json attribute(const std::string &key, const std::string &value) {
  return {{"key", key}, {"value", {{"stringValue", value}}}};
}

std::string nanoseconds(std::chrono::nanoseconds time) {
  return std::to_string(time.count());
}

json spanToJson(const Span &span) {
  json attributes = json::array();
  for (const auto &[key, value] : span.Attributes)
    attributes.push_back(attribute(key, value));
  json value = {
      {"traceId", traceIdText(span.Context)},
      {"spanId", spanIdText(span.Context.SpanId)},
      {"name", span.Name},
      {"kind", static_cast<int>(span.Kind)},
      {"startTimeUnixNano", nanoseconds(span.Started)},
      {"endTimeUnixNano",
       nanoseconds(std::chrono::nanoseconds(span.Started) + span.Elapsed)},
      {"attributes", std::move(attributes)}};
  if (span.ParentSpanId != 0)
    value["parentSpanId"] = spanIdText(span.ParentSpanId);
  if (span.IsError)
    value["status"] = {{"code", StatusError}, {"message", span.StatusText}};
  return value;
}

json resource(const SpanSource &source) {
  json attributes = json::array();
  attributes.push_back(attribute("service.name", "galenaflow"));
  attributes.push_back(attribute("service.instance.id", source.VmId));
  attributes.push_back(attribute("cloud.availability_zone", source.DataCentre));
  return {{"attributes", std::move(attributes)}};
}

} // namespace

std::string encodeSpans(std::span<const Span> spans, const SpanSource &source) {
  json items = json::array();
  for (const Span &span : spans)
    items.push_back(spanToJson(span));
  json scope;
  scope["scope"]["name"] = "galenaflow";
  scope["spans"] = std::move(items);
  json group;
  group["resource"] = resource(source);
  group["scopeSpans"].push_back(std::move(scope));
  json request;
  request["resourceSpans"].push_back(std::move(group));
  return dumpJson(request);
}

bool SpanBuffer::add(Span span) {
  if (Spans.size() >= MaxSpans) {
    ++Dropped;
    return false;
  }
  Spans.push_back(std::move(span));
  return true;
}

std::vector<Span> SpanBuffer::take(std::size_t n) {
  const auto count = static_cast<std::ptrdiff_t>(std::min(n, Spans.size()));
  const auto end = Spans.begin() + count;
  std::vector<Span> taken(std::make_move_iterator(Spans.begin()),
                          std::make_move_iterator(end));
  Spans.erase(Spans.begin(), end);
  return taken;
}

} // namespace galenaflow::protocol
