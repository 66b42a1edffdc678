#include "coordination/window_budget.h"

#include <cmath>

// The window moves in slices. Requests expire with the start of their slice and
// extra attempts with its end, so that the rounding to slices never allows too
// many extra attempts.

namespace galenaflow::coordination {

namespace {

constexpr std::int64_t SlicesPerWindow = 40;

} // namespace

WindowBudget::Slice &WindowBudget::sliceAt(TimePoint now) {
  const Duration width = Options.Window / SlicesPerWindow;
  if (Slices.empty() || now >= Slices.back().Start + width)
    Slices.push_back({now, 0, 0});
  return Slices.back();
}

void WindowBudget::expire(TimePoint now) {
  const Duration width = Options.Window / SlicesPerWindow;
  for (Slice &slice : Slices) {
    if (slice.Start + Options.Window > now)
      break;
    Requests -= slice.Requests;
    slice.Requests = 0;
  }
  while (!Slices.empty() &&
         Slices.front().Start + width + Options.Window <= now) {
    Extras -= Slices.front().Extras;
    Slices.pop_front();
  }
}

void WindowBudget::onRequest(TimePoint now) {
  expire(now);
  ++sliceAt(now).Requests;
  ++Requests;
}

std::int64_t WindowBudget::available(double slack, TimePoint now) {
  expire(now);
  const double allowed = Options.Ratio * static_cast<double>(Requests) +
                         (now >= SlackFrom ? slack : 0);
  return static_cast<std::int64_t>(std::floor(allowed)) -
         static_cast<std::int64_t>(Extras);
}

bool WindowBudget::tryTake(double slack, TimePoint now) {
  if (available(slack, now) < 1)
    return false;
  ++sliceAt(now).Extras;
  ++Extras;
  return true;
}

} // namespace galenaflow::coordination
