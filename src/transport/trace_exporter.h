#ifndef GALENAFLOW_TRANSPORT_TRACE_EXPORTER_H
#define GALENAFLOW_TRANSPORT_TRACE_EXPORTER_H

#include "protocol/otlp_json.h"
#include "state/error.h"
#include "transport/http_client.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace galenaflow::transport {

struct TraceExporterOptions {
  /// Collector that takes OTLP/JSON with POST /v1/traces.
  std::optional<SocketAddress> Collector;

  /// File to which each export is appended as one line. Used when no collector
  /// is set. With neither, spans are dropped without a count.
  std::string File;

  /// Spans that wait for export. Further spans are dropped.
  std::size_t BufferSpans = 4096;

  /// Spans of one export.
  std::size_t BatchSpans = 256;

  /// Pause between the first waiting span and its export.
  state::Duration ExportInterval = std::chrono::seconds(1);

  /// An export without an answer for this long has failed.
  state::Duration ExportTimeout = std::chrono::seconds(5);

  /// Pause after the first failure; it doubles up to the largest one.
  state::Duration MinBackoff = std::chrono::milliseconds(500);
  state::Duration MaxBackoff = std::chrono::seconds(30);
};

/// Spans that have left the buffer, and those that never entered it.
struct TraceExporterCounters {
  std::uint64_t Exported = 0;
  std::uint64_t Dropped = 0;  ///< the buffer was full
  std::uint64_t Rejected = 0; ///< the collector refused them for good
  std::uint64_t Failures = 0; ///< exports that are repeated
};

/// Sends finished spans to a collector or a file. add() only stores the span;
/// exports run from timers, one at a time. A batch that fails is repeated
/// unchanged until it is accepted or refused.
class TraceExporter {
public:
  TraceExporter(EventLoop &loop, TraceExporterOptions options,
                protocol::SpanSource source);
  ~TraceExporter();
  TraceExporter(const TraceExporter &) = delete;
  TraceExporter &operator=(const TraceExporter &) = delete;

  /// Opens the file for appending, when one is used. Error: Unavailable.
  state::Result<bool> open();

  /// Stores a span of a sampled trace; ignores others.
  void add(protocol::Span span);

  /// Spans that are stored, including the batch that is being exported.
  std::size_t pendingSpans() const { return Buffer.size() + InFlightSpans; }

  TraceExporterCounters counters() const;

private:
  bool isEnabled() const { return Options.Collector || !Options.File.empty(); }
  void schedule(state::Duration delay);
  void exportBatch();
  void encodeBatch();
  void appendToFile();
  void sendToCollector();
  void onResponse(const HttpResult &result);
  void onAccepted();
  void onRejected();
  void onFailed();
  void scheduleNext();

  EventLoop &Loop;
  const TraceExporterOptions Options;
  const protocol::SpanSource Source;
  protocol::SpanBuffer Buffer;
  std::unique_ptr<HttpConnection> Connection;
  int File = -1;
  std::string EncodedBatch;     ///< the encoded batch; empty when there is none
  std::size_t WrittenBytes = 0; ///< bytes of the line that are in the file
  std::size_t InFlightSpans = 0; ///< spans in Body
  TimerId Timer = 0;
  state::Duration Backoff{0};
  TraceExporterCounters Counters;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace galenaflow::transport

#endif
