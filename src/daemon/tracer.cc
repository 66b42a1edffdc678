#include "daemon/tracer.h"

namespace galenaflow::daemon {

Tracer::Tracer(const state::Clock &clock, double sampleRate, std::uint64_t seed,
               Sink sink)
    : Time(clock), SampleRate(sampleRate), Random(seed),
      SpanSink(std::move(sink)) {}

OpenSpan
Tracer::startRequest(const std::optional<protocol::TraceContext> &caller) {
  if (caller)
    return startChild(*caller, "", protocol::SpanKind::Server);
  OpenSpan span;
  span.Context = protocol::newTrace(
      Random, std::bernoulli_distribution(SampleRate)(Random));
  span.Kind = protocol::SpanKind::Server;
  span.Started = Time.now();
  span.StartedWall = Time.wallNow();
  return span;
}

OpenSpan Tracer::startChild(const protocol::TraceContext &parent,
                            std::string name, protocol::SpanKind kind) {
  OpenSpan span;
  span.Context = protocol::childOf(parent, Random);
  span.ParentSpanId = parent.SpanId;
  span.Name = std::move(name);
  span.Kind = kind;
  span.Started = Time.now();
  span.StartedWall = Time.wallNow();
  return span;
}

void Tracer::finish(
    OpenSpan span, std::string failure,
    std::vector<std::pair<std::string, std::string>> attributes) {
  if (!span.Context.IsSampled)
    return;
  protocol::Span finished;
  finished.Context = span.Context;
  finished.ParentSpanId = span.ParentSpanId;
  finished.Name = std::move(span.Name);
  finished.Kind = span.Kind;
  finished.Started = span.StartedWall;
  finished.Elapsed = Time.now() - span.Started;
  finished.IsError = !failure.empty();
  finished.StatusText = std::move(failure);
  finished.Attributes = std::move(attributes);
  SpanSink(std::move(finished));
}

} // namespace galenaflow::daemon
