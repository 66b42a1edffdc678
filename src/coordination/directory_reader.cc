#include "coordination/directory_reader.h"

#include <algorithm>

// Reads are paced instead of waiting at the source: with a heartbeat of every
// replica each second or so, a waiting read would return at once every time.
// The pace is counted from the start of a read, so that a slow source does not
// stretch it.

namespace galenaflow::coordination {

DirectoryReader::DirectoryReader(DirectoryReaderOptions options,
                                 std::mt19937_64 random, TimePoint now)
    : Options(options), Random(random),
      EarlyUntil(now + options.StartupDuration), ReadAt(now), StartedAt(now),
      NextAt(now), Backoff(options.MinBackoff) {}

std::optional<DirectoryRead> DirectoryReader::poll(TimePoint now) {
  if (Open || now < NextAt)
    return std::nullopt;
  Open = true;
  StartedAt = now;
  return Known ? DirectoryRead::Changes : DirectoryRead::All;
}

bool DirectoryReader::succeed(TimePoint readAt, TimePoint now) {
  const bool wasAway = ReadAt + Options.OutageAfter < now;
  Open = false;
  ReadAt = std::max(ReadAt, readAt);
  Backoff = Options.MinBackoff;
  const Duration period =
      now < EarlyUntil ? Options.EarlyPeriod : Options.Period;
  NextAt = std::max(now, StartedAt + period);
  return wasAway;
}

bool DirectoryReader::onAll(std::uint64_t revision, TimePoint readAt,
                            TimePoint now) {
  const bool wasKnown = Known || Revision != 0;
  Known = true;
  Revision = revision;
  return succeed(readAt, now) && wasKnown;
}

bool DirectoryReader::onChanges(std::optional<std::uint64_t> lastRevision,
                                TimePoint readAt, TimePoint now) {
  Revision = std::max(Revision, lastRevision.value_or(0));
  return succeed(readAt, now);
}

void DirectoryReader::onHistoryLost(TimePoint now) {
  Open = false;
  Known = false;
  NextAt = now;
}

void DirectoryReader::onFailure(TimePoint now) {
  Open = false;
  NextAt = now + jittered(Backoff);
  Backoff = std::min(Backoff * 2, Options.MaxBackoff);
}

void DirectoryReader::hurry(TimePoint now) { NextAt = std::min(NextAt, now); }

Duration DirectoryReader::jittered(Duration d) {
  return Duration(std::uniform_int_distribution<std::int64_t>(
      d.count() / 2, d.count())(Random));
}

} // namespace galenaflow::coordination
