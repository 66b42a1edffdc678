#ifndef GALENAFLOW_DAEMON_TRACER_H
#define GALENAFLOW_DAEMON_TRACER_H

#include "protocol/otlp_json.h"
#include "protocol/trace_context.h"
#include "state/clock.h"

#include <functional>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace galenaflow::daemon {

/// A span that has started and not ended.
struct OpenSpan {
  protocol::TraceContext Context;
  std::uint64_t ParentSpanId = 0;
  std::string Name;
  protocol::SpanKind Kind = protocol::SpanKind::Internal;
  state::TimePoint Started;
  state::WallMillis StartedWall{0};
};

/// Creates the spans of requests and passes finished spans to a sink. Requests
/// that are not sampled use no memory.
class Tracer {
public:
  using Sink = std::function<void(protocol::Span)>;

  /// `sampleRate` is the fraction, from 0 to 1, of the requests without a trace
  /// that are sampled.
  Tracer(const state::Clock &clock, double sampleRate, std::uint64_t seed,
         Sink sink);

  /// Starts the span of a request, within the caller's trace if there is one.
  OpenSpan startRequest(const std::optional<protocol::TraceContext> &caller);

  /// Starts a child span of `parent`. The traceparent header of a sub-request
  /// carries the context of its child span.
  OpenSpan startChild(const protocol::TraceContext &parent, std::string name,
                      protocol::SpanKind kind);

  /// Ends a span and passes it to the sink if it is sampled. `failure` is empty
  /// on success.
  void finish(OpenSpan span, std::string failure,
              std::vector<std::pair<std::string, std::string>> attributes);

private:
  const state::Clock &Time;
  double SampleRate;
  std::mt19937_64 Random;
  Sink SpanSink;
};

} // namespace galenaflow::daemon

#endif
