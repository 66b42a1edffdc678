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

/// A step of a request that has started.
struct OpenSpan {
  protocol::TraceContext Context;
  std::uint64_t ParentSpanId = 0;
  std::string Name;
  protocol::SpanKind Kind = protocol::SpanKind::Internal;
  state::TimePoint Started;
  state::WallMillis StartedWall{0};
};

/// Makes the spans of requests and passes the finished ones on. Requests that
/// are not sampled cost no memory.
class Tracer {
public:
  using Sink = std::function<void(protocol::Span)>;

  /// `sampleRate` is the part of requests without a trace that are sampled.
  Tracer(const state::Clock &clock, double sampleRate, std::uint64_t seed,
         Sink sink);

  /// The span of a caller's request, within the caller's trace if it sent one.
  OpenSpan startRequest(const std::optional<protocol::TraceContext> &caller);

  /// A span below `parent`, which a sub-request carries in its traceparent.
  OpenSpan startChild(const protocol::TraceContext &parent, std::string name,
                      protocol::SpanKind kind);

  /// Passes a finished span on, if it is sampled. A failure has a text.
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
