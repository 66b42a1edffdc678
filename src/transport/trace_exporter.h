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
  /// Collector that accepts OTLP/JSON with POST /v1/traces.
  std::optional<SocketAddress> Collector;

  /// File to which each export is appended as one line. Used when no collector
  /// is set. With neither, spans are dropped and not counted.
  std::string File;

  /// Capacity of the buffer of spans that wait for export. Further spans are
  /// dropped.
  std::size_t BufferSpans = 4096;

  /// Largest number of spans in one export.
  std::size_t BatchSpans = 256;

  /// Delay between the first waiting span and its export.
  state::Duration ExportInterval = std::chrono::seconds(1);

  /// An export without a response after this time has failed.
  state::Duration ExportTimeout = std::chrono::seconds(5);

  /// Delay after the first failure; it doubles with each failure up to the
  /// maximum.
  state::Duration MinBackoff = std::chrono::milliseconds(500);
  state::Duration MaxBackoff = std::chrono::seconds(30);
};

/// Counts spans by the result of their export.
struct TraceExporterCounters {
  std::uint64_t Exported = 0;
  std::uint64_t Dropped = 0;  ///< not stored because the buffer was full
  std::uint64_t Rejected = 0; ///< refused by the collector, not retried
  std::uint64_t Failures = 0; ///< failed exports (not spans), which are retried
};

/// Exports finished spans to a collector or a file. add() only stores the span;
/// exports run from timers, one at a time. A batch whose export fails is
/// retried unchanged until it is accepted or refused.
class TraceExporter {
public:
  TraceExporter(EventLoop &loop, TraceExporterOptions options,
                protocol::SpanSource source);
  ~TraceExporter();
  TraceExporter(const TraceExporter &) = delete;
  TraceExporter &operator=(const TraceExporter &) = delete;

  /// Opens the file for appending. Returns false when no file is used. Error:
  /// Unavailable.
  state::Result<bool> open();

  /// Stores a span of a sampled trace; ignores others.
  void add(protocol::Span span);

  /// Number of spans that are stored, including the batch in export.
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
  std::string EncodedBatch;      ///< the batch in export; empty without one
  std::size_t WrittenBytes = 0;  ///< bytes of the batch that are in the file
  std::size_t InFlightSpans = 0; ///< spans in EncodedBatch
  TimerId Timer = 0;
  state::Duration Backoff{0};
  TraceExporterCounters Counters;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace galenaflow::transport

#endif
