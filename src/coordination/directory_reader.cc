#include "coordination/directory_reader.h"

#include <algorithm>

// The directory is read periodically instead of by long polling: every replica
// writes a heartbeat about once a second, so a long poll would return at once
// every time. The period is counted from the start of a read, so that a slow
// source does not lengthen it.

namespace galenaflow::coordination {

DirectoryReader::DirectoryReader(DirectoryReaderOptions options,
                                 std::mt19937_64 random, TimePoint now)
    : Options(options), Random(random),
      StartupUntil(now + options.StartupDuration), LastReadAt(now),
      ReadStartedAt(now), NextAt(now), Backoff(options.MinBackoff) {}

std::optional<DirectoryRead> DirectoryReader::poll(TimePoint now) {
  if (IsReadOpen || now < NextAt)
    return std::nullopt;
  IsReadOpen = true;
  IsReadRequested = false;
  ReadStartedAt = now;
  return HasContent ? DirectoryRead::Changes : DirectoryRead::Full;
}

bool DirectoryReader::onSuccess(TimePoint readAt, TimePoint now) {
  const bool wasOut = LastReadAt + Options.OutageTimeout < now;
  IsReadOpen = false;
  LastReadAt = std::max(LastReadAt, readAt);
  Backoff = Options.MinBackoff;
  const Duration period =
      now < StartupUntil ? Options.StartupPeriod : Options.Period;
  NextAt = IsReadRequested ? now : std::max(now, ReadStartedAt + period);
  return wasOut;
}

bool DirectoryReader::onFullRead(std::uint64_t revision, TimePoint readAt,
                                 TimePoint now) {
  const bool hadContent = HasContent || Revision != 0;
  HasContent = true;
  Revision = revision;
  return onSuccess(readAt, now) && hadContent;
}

bool DirectoryReader::onChanges(std::optional<std::uint64_t> lastRevision,
                                TimePoint readAt, TimePoint now) {
  Revision = std::max(Revision, lastRevision.value_or(0));
  return onSuccess(readAt, now);
}

void DirectoryReader::onHistoryLost(TimePoint now) {
  IsReadOpen = false;
  HasContent = false;
  NextAt = now;
}

void DirectoryReader::onFailure(TimePoint now) {
  IsReadOpen = false;
  NextAt = now + jittered(Backoff);
  Backoff = std::min(Backoff * 2, Options.MaxBackoff);
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
