#include "transport/http_server.h"
#include "transport/trace_exporter.h"

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <unistd.h>

using namespace galenaflow;
using namespace galenaflow::transport;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

/// Long, since it only ends a test that would otherwise hang.
constexpr auto TestLimit = 20s;

protocol::Span makeSpan(std::uint64_t id) {
  protocol::Span span;
  span.Context = {1, 2, id, true};
  span.Name = "search";
  return span;
}

std::vector<std::string> spanIds(const std::string &body) {
  std::vector<std::string> ids;
  const json request = json::parse(body);
  for (const json &span : request["resourceSpans"][0]["scopeSpans"][0]["spans"])
    ids.push_back(span["spanId"]);
  return ids;
}

/// A collector that responds with the given statuses first and then with 200.
/// Status 0 closes the connection without a response.
struct Collector {
  EventLoop Loop;
  std::vector<int> Statuses;
  std::vector<HttpRequest> Requests;
  std::vector<std::string> Accepted;
  HttpServer Server{
      Loop, {}, [this](const HttpRequest &request, const auto &responder) {
        const std::size_t i = Requests.size();
        Requests.push_back(request);
        const int status = i < Statuses.size() ? Statuses[i] : 200;
        if (status == 0)
          return responder->abort();
        if (status == 200)
          std::ranges::copy(spanIds(request.Body),
                            std::back_inserter(Accepted));
        responder->send(jsonResponse(status, "{}"));
      }};
  SocketAddress Address = *Server.listen(*parseSocketAddress("127.0.0.1:0"));

  TraceExporterOptions options() const {
    TraceExporterOptions options;
    options.Collector = Address;
    options.BatchSpans = 4;
    options.ExportInterval = 1ms;
    options.MinBackoff = 1ms;
    options.MaxBackoff = 4ms;
    return options;
  }
  bool waitUntilEmpty(const TraceExporter &exporter) {
    return Loop.runUntil([&] { return exporter.pendingSpans() == 0; },
                         TestLimit);
  }
};

} // namespace

// Guards against spans that are lost, sent twice or reordered between batches.
TEST_CASE("spans are delivered to the collector once and in order") {
  Collector collector;
  TraceExporter exporter(collector.Loop, collector.options(), {"vm-1", "a"});
  std::vector<std::string> sent;
  for (std::uint64_t id = 1; id != 12; ++id) {
    exporter.add(makeSpan(id));
    sent.push_back(protocol::spanIdText(id));
  }
  CHECK(collector.Requests.empty()); // add() does not send
  REQUIRE(collector.waitUntilEmpty(exporter));
  CHECK(collector.Accepted == sent);
  REQUIRE(collector.Requests.size() == 3);
  const HttpRequest &request = collector.Requests[0];
  CHECK(request.Method == "POST");
  CHECK(request.Path == "/v1/traces");
  CHECK(request.Headers.find("content-type") == "application/json");
  CHECK(exporter.counters().Exported == 11);
}

// Guards against a batch that is lost or altered when the collector restarts.
TEST_CASE("a failed export is repeated unchanged") {
  Collector collector;
  collector.Statuses = {503, 0, 429, 504, 502};
  TraceExporter exporter(collector.Loop, collector.options(), {"vm-1", "a"});
  exporter.add(makeSpan(7));
  REQUIRE(collector.waitUntilEmpty(exporter));
  REQUIRE(collector.Requests.size() == 6);
  for (const HttpRequest &request : collector.Requests)
    CHECK(request.Body == collector.Requests[0].Body);
  CHECK(exporter.counters().Failures == 5);
  CHECK(exporter.counters().Exported == 1);
}

// Guards against a batch that the collector always rejects and that blocks all
// later ones.
TEST_CASE("a rejected batch is discarded and counted") {
  Collector collector;
  collector.Statuses = {400};
  TraceExporter exporter(collector.Loop, collector.options(), {"vm-1", "a"});
  for (std::uint64_t id = 1; id != 7; ++id)
    exporter.add(makeSpan(id));
  REQUIRE(collector.waitUntilEmpty(exporter));
  CHECK(exporter.counters().Rejected == 4);
  CHECK(exporter.counters().Exported == 2);
  CHECK(collector.Accepted.size() == 2);
}

// Guards against memory use that grows while the collector refuses connections,
// and against callbacks that use the exporter after its destruction.
TEST_CASE("spans above the capacity of the buffer are dropped and counted") {
  EventLoop loop;
  SocketAddress address = *parseSocketAddress("127.0.0.1:0");
  close(*listenOn(address)); // the port has no listener
  TraceExporterOptions options;
  options.Collector = address;
  options.BufferSpans = 8;
  options.BatchSpans = 4;
  options.ExportInterval = options.MinBackoff = 1ms;
  auto exporter = std::make_unique<TraceExporter>(
      loop, options, protocol::SpanSource{"vm-1", "a"});
  for (std::uint64_t id = 1; id != 101; ++id)
    exporter->add(makeSpan(id));
  REQUIRE(loop.runUntil([&] { return exporter->counters().Failures > 2; },
                        TestLimit));
  CHECK(exporter->pendingSpans() == 8);
  CHECK(exporter->counters().Dropped == 92);
  exporter.reset();
  loop.runUntil([] { return false; }, 20ms);
}

// Guards against a use of the exporter after its destruction, when the response
// of the collector is still pending.
TEST_CASE("an exporter can be destroyed during an export") {
  EventLoop loop;
  std::shared_ptr<HttpResponder> held;
  HttpServer server(loop, {}, [&](const HttpRequest &, const auto &responder) {
    held = responder;
  });
  TraceExporterOptions options;
  options.Collector = *server.listen(*parseSocketAddress("127.0.0.1:0"));
  options.ExportInterval = 1ms;
  auto exporter = std::make_unique<TraceExporter>(
      loop, options, protocol::SpanSource{"vm-1", "a"});
  exporter->add(makeSpan(1));
  REQUIRE(loop.runUntil([&] { return held != nullptr; }, TestLimit));
  exporter.reset();
  held->send(jsonResponse(200, "{}"));
  loop.runUntil([] { return false; }, 20ms);
}

// Guards against lines that cannot be parsed on their own, and against an
// exporter that overwrites the spans of an earlier process.
TEST_CASE("spans are appended to a file, one line per export") {
  const auto path = std::filesystem::temp_directory_path() /
                    ("galenaflow-traces-" + std::to_string(getpid()));
  EventLoop loop;
  TraceExporterOptions options;
  options.File = path;
  options.BatchSpans = 2;
  options.ExportInterval = 1ms;
  for (const std::uint64_t first : {1, 4}) {
    TraceExporter exporter(loop, options, {"vm-1", "a"});
    REQUIRE(exporter.open());
    for (std::uint64_t id = first; id != first + 3; ++id)
      exporter.add(makeSpan(id));
    REQUIRE(
        loop.runUntil([&] { return exporter.pendingSpans() == 0; }, TestLimit));
  }
  std::ifstream file(path);
  std::vector<std::string> ids;
  std::size_t lines = 0;
  for (std::string line; std::getline(file, line); ++lines)
    std::ranges::copy(spanIds(line), std::back_inserter(ids));
  std::filesystem::remove(path);
  CHECK(lines == 4);
  REQUIRE(ids.size() == 6);
  for (std::uint64_t id = 1; id != 7; ++id)
    CHECK(ids[id - 1] == protocol::spanIdText(id));
}

// Guards against memory use that grows while the disk is full.
TEST_CASE("a write to the file that fails is counted as a failure") {
  EventLoop loop;
  TraceExporterOptions options;
  options.File = "/dev/full";
  options.BufferSpans = options.BatchSpans = 2;
  options.ExportInterval = options.MinBackoff = 1ms;
  TraceExporter exporter(loop, options, {"vm-1", "a"});
  REQUIRE(exporter.open());
  for (std::uint64_t id = 1; id != 6; ++id)
    exporter.add(makeSpan(id));
  REQUIRE(loop.runUntil([&] { return exporter.counters().Failures > 2; },
                        TestLimit));
  CHECK(exporter.pendingSpans() == 2);
  CHECK(exporter.counters().Dropped == 3);
}

// Guards against the export of traces that were not selected for sampling.
TEST_CASE("spans of traces that are not sampled are ignored") {
  EventLoop loop;
  TraceExporterOptions options;
  options.File = "/dev/null";
  TraceExporter exporter(loop, options, {"vm-1", "a"});
  protocol::Span span = makeSpan(1);
  span.Context.IsSampled = false;
  exporter.add(span);
  CHECK(exporter.pendingSpans() == 0);
}

// Guards against a wrong path that is not reported at the start, but only
// noticed when traces are missing.
TEST_CASE("a file that cannot be opened is an error") {
  EventLoop loop;
  TraceExporterOptions options;
  options.File = "/nonexistent/traces";
  TraceExporter exporter(loop, options, {"vm-1", "a"});
  const auto opened = exporter.open();
  REQUIRE_FALSE(opened);
  CHECK(opened.error().Code == state::ErrorCode::Unavailable);
}
