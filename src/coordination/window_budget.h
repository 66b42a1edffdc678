#ifndef GALENAFLOW_COORDINATION_WINDOW_BUDGET_H
#define GALENAFLOW_COORDINATION_WINDOW_BUDGET_H

#include "state/clock.h"

#include <cstdint>
#include <deque>

namespace galenaflow::coordination {

using state::Duration;
using state::TimePoint;

struct WindowBudgetOptions {
  Duration Window = std::chrono::seconds(10);
  double Ratio = 0.18; ///< extra attempts per request
};

/// Bounds the extra attempts at a service: in any window that ends now, to at
/// most Ratio times the requests in the window, plus this daemon's part of the
/// slack that all daemons share. The sum over all daemons then stays within the
/// operator's bound without messages between them. The slack is not used in the
/// first window after the start, since an earlier incarnation may have used it.
class WindowBudget {
public:
  WindowBudget(WindowBudgetOptions options, TimePoint startedAt)
      : Options(options), SlackFrom(startedAt + options.Window) {}

  /// A request of a caller for the service.
  void onRequest(TimePoint now);

  /// Takes one extra attempt from the budget, if available() is at least 1.
  /// `slack` is this daemon's part in extra attempts per window.
  bool tryTake(double slack, TimePoint now);

  /// Extra attempts that can be taken now, rounded down; negative when the
  /// budget is exceeded.
  std::int64_t available(double slack, TimePoint now);

private:
  struct Slice {
    TimePoint Start;
    std::uint32_t Requests = 0;
    std::uint32_t Extras = 0;
  };

  Slice &sliceAt(TimePoint now);
  void expire(TimePoint now);

  WindowBudgetOptions Options;
  TimePoint SlackFrom;
  std::deque<Slice> Slices;
  std::uint64_t Requests = 0;
  std::uint64_t Extras = 0;
};

} // namespace galenaflow::coordination

#endif
