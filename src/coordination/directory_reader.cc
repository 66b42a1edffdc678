#include "coordination/directory_reader.h"

#include <algorithm>
#include <utility>

// The directory is read periodically instead of by long polling: every replica
// writes a heartbeat about once a second, so a long poll would return at once
// every time. The period is counted from the start of a read, so that a slow
// source does not lengthen it.
//
// Changes are read once, so routes that could not be read would never be read
// again. They are requested by themselves: a repeated read of the changes would
// grow, and hold up those of backend servers.

namespace galenaflow::coordination {

DirectoryReader::DirectoryReader(DirectoryReaderOptions options,
                                 std::mt19937_64 random, TimePoint now)
    : Options(options), Random(random),
      StartupUntil(now + options.StartupDuration), LastReadAt(now),
      ReadStartedAt(now), NextAt(now), Backoff(options.MinBackoff),
      RoutesBackoff(options.MinRoutesBackoff) {}

std::optional<DirectoryRead> DirectoryReader::poll(TimePoint now) {
  if (IsReadOpen || now < NextAt)
    return std::nullopt;
  IsReadOpen = true;
  IsReadRequested = false;
  ReadStartedAt = now;
  return HasContent ? DirectoryRead::Changes : DirectoryRead::Full;
}

// A view that another daemon read before the last read of this one does not
// show that the source is available again.
bool DirectoryReader::onSuccess(TimePoint readAt, TimePoint now) {
  const Duration timeout =
      HasFailed ? Options.OutageTimeout : Options.SilenceTimeout;
  const bool wasOut = LastReadAt + timeout < now;
  HasFailed = HasFailed && readAt <= LastReadAt;
  IsReadOpen = false;
  LastReadAt = std::max(LastReadAt, readAt);
  Backoff = Options.MinBackoff;
  const Duration period =
      now < StartupUntil ? Options.StartupPeriod : Options.Period;
  NextAt = IsReadRequested ? now : std::max(now, ReadStartedAt + period);
  return wasOut;
}

// Returns whether the position is in another history of the source. What
// backend servers have registered since the copy was made is missing there
// until they register again, as after an outage.
bool DirectoryReader::moveTo(const state::DirectoryPosition &position) {
  const bool wasRestored = position.Epoch != Position.Epoch;
  Position = position;
  return wasRestored;
}

bool DirectoryReader::onFullRead(const state::DirectoryPosition &position,
                                 TimePoint readAt, TimePoint now) {
  const bool hadContent = std::exchange(HasRead, true);
  HasContent = true;
  const bool wasRestored = moveTo(position);
  const bool wasOut = onSuccess(readAt, now);
  return hadContent && (wasRestored || wasOut);
}

bool DirectoryReader::onChanges(
    const std::optional<state::DirectoryPosition> &last, TimePoint readAt,
    TimePoint now) {
  const bool wasRestored = last && *last > Position && moveTo(*last);
  const bool wasOut = onSuccess(readAt, now);
  return wasRestored || wasOut;
}

void DirectoryReader::onHistoryLost(TimePoint now) {
  IsReadOpen = false;
  HasContent = false;
  NextAt = now;
  // Revisions may be smaller from now on.
  RoutesAt = {};
}

void DirectoryReader::onFailure(TimePoint now) {
  IsReadOpen = false;
  HasFailed = true;
  NextAt = now + jittered(Backoff);
  Backoff = std::min(Backoff * 2, Options.MaxBackoff);
}

void DirectoryReader::onPublishedRoutes(
    const std::optional<state::DirectoryPosition> &at, bool isReadable,
    TimePoint now) {
  if (at && *at < RoutesAt)
    return;
  RoutesAt = at.value_or(RoutesAt);
  const bool wasUnreadable = std::exchange(AreRoutesUnreadable, !isReadable);
  if (isReadable || wasUnreadable)
    return;
  RoutesBackoff = Options.MinRoutesBackoff;
  NextRoutesAt = std::max(now + jittered(Options.FirstRoutesRetry),
                          RoutesReadAt + Options.MinRoutesBackoff / 2);
}

bool DirectoryReader::pollRoutes(TimePoint now) {
  if (!AreRoutesUnreadable || IsRoutesReadOpen || now < NextRoutesAt)
    return false;
  IsRoutesReadOpen = true;
  RoutesReadAt = now;
  NextRoutesAt = now + jittered(RoutesBackoff);
  RoutesBackoff = std::min(RoutesBackoff * 2, Options.MaxRoutesBackoff);
  return true;
}

void DirectoryReader::requestRead(TimePoint now) {
  IsReadRequested = IsReadOpen;
  NextAt = std::min(NextAt, now);
}

Duration DirectoryReader::jittered(Duration d) {
  return Duration(std::uniform_int_distribution<std::int64_t>(
      d.count() / 2, d.count())(Random));
}

} // namespace galenaflow::coordination
