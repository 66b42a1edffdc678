#include "transport/trace_exporter.h"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <unistd.h>

// One batch is taken from the buffer, encoded once and kept until the collector
// has responded. Meanwhile further spans enter the buffer, up to its limit, so
// a collector that is down or slow costs bounded memory and does not delay
// queries.
//
// A batch is retried according to the OTLP/HTTP rules: after a connection
// failure, a timeout, and status 429, 502, 503 and 504. Any other status would
// be returned again for the same bytes, so the batch is dropped and counted. A
// batch whose response is lost is retried and can therefore be received twice;
// collectors deduplicate spans by id.
//
// The file is written on the loop's thread, without fsync: the line of one
// batch goes to the page cache. After a failed or partial write, for example on
// a full disk, the write of the same line is continued later, so that the file
// holds no partial line followed by another.

namespace galenaflow::transport {

namespace {

constexpr std::string_view TracesPath = "/v1/traces";

bool isAccepted(int status) { return status >= 200 && status < 300; }

bool isRetryable(int status) {
  return status == 429 || status == 502 || status == 503 || status == 504;
}

} // namespace

TraceExporter::TraceExporter(EventLoop &loop, TraceExporterOptions options,
                             protocol::SpanSource source)
    : Loop(loop), Options(std::move(options)), Source(std::move(source)),
      Buffer(Options.BufferSpans) {
  if (Options.Collector)
    Connection = std::make_unique<HttpConnection>(Loop, *Options.Collector);
}

TraceExporter::~TraceExporter() {
  Loop.cancel(Timer);
  if (File >= 0)
    close(File);
}

state::Result<bool> TraceExporter::open() {
  if (Options.Collector || Options.File.empty())
    return false;
  constexpr mode_t mode = 0640;
  File = ::open(Options.File.c_str(), O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC,
                mode);
  if (File < 0)
    return state::makeError(state::ErrorCode::Unavailable,
                            "cannot append traces to " + Options.File + ": " +
                                std::strerror(errno));
  return true;
}

void TraceExporter::add(protocol::Span span) {
  if (!isEnabled() || !span.Context.IsSampled || !Buffer.add(std::move(span)))
    return;
  const bool isIdle = EncodedBatch.empty() && Timer == 0;
  if (isIdle)
    schedule(Options.ExportInterval);
}

TraceExporterCounters TraceExporter::counters() const {
  TraceExporterCounters counters = Counters;
  counters.Dropped = Buffer.dropped();
  return counters;
}

void TraceExporter::schedule(state::Duration delay) {
  Timer = Loop.schedule(delay, [this] {
    Timer = 0;
    exportBatch();
  });
}

void TraceExporter::exportBatch() {
  if (EncodedBatch.empty())
    encodeBatch();
  if (Options.Collector)
    sendToCollector();
  else
    appendToFile();
}

void TraceExporter::encodeBatch() {
  const auto spans = Buffer.take(Options.BatchSpans);
  InFlightSpans = spans.size();
  EncodedBatch = protocol::encodeSpans(spans, Source);
  if (!Options.Collector)
    EncodedBatch += '\n';
}

void TraceExporter::appendToFile() {
  while (WrittenBytes != EncodedBatch.size()) {
    const ssize_t n = ::write(File, EncodedBatch.data() + WrittenBytes,
                              EncodedBatch.size() - WrittenBytes);
    if (n < 0 && errno == EINTR)
      continue;
    if (n <= 0)
      return onFailed();
    WrittenBytes += static_cast<std::size_t>(n);
  }
  onAccepted();
}

void TraceExporter::sendToCollector() {
  HttpRequest request{"POST", std::string(TracesPath), {}, EncodedBatch};
  request.Headers.add("content-type", "application/json");
  Connection->send(
      request, Options.ExportTimeout,
      [this, alive = std::weak_ptr(Alive)](const HttpResult &result) {
        if (!alive.expired())
          onResponse(result);
      });
}

void TraceExporter::onResponse(const HttpResult &result) {
  if (result && isAccepted(result->Status))
    onAccepted();
  else if (result && !isRetryable(result->Status))
    onRejected();
  else
    onFailed();
}

void TraceExporter::onAccepted() {
  Counters.Exported += InFlightSpans;
  scheduleNext();
}

void TraceExporter::onRejected() {
  Counters.Rejected += InFlightSpans;
  scheduleNext();
}

void TraceExporter::onFailed() {
  ++Counters.Failures;
  Backoff = std::clamp(2 * Backoff, Options.MinBackoff, Options.MaxBackoff);
  schedule(Backoff);
}

void TraceExporter::scheduleNext() {
  EncodedBatch.clear();
  WrittenBytes = 0;
  InFlightSpans = 0;
  Backoff = state::Duration::zero();
  if (Buffer.size() == 0)
    return;
  // A full batch is exported without delay.
  const bool isFull = Buffer.size() >= Options.BatchSpans;
  schedule(isFull ? state::Duration::zero() : Options.ExportInterval);
}

} // namespace galenaflow::transport
