#ifndef GALENAFLOW_COORDINATION_DIRECTORY_READER_H
#define GALENAFLOW_COORDINATION_DIRECTORY_READER_H

#include "state/clock.h"

#include <cstdint>
#include <optional>
#include <random>

namespace galenaflow::coordination {

using state::Duration;
using state::TimePoint;

struct DirectoryReaderOptions {
  /// Time from one read of changes to the next. The operator's bound for a
  /// change and for a draining replica is 3 s; a lost read and its repetition
  /// have to fit in as well. Each read is priced.
  Duration Period = std::chrono::milliseconds(1000);

  /// The first reads follow each other faster, because the count of the fleet
  /// and the list of its executors pass one relay with each read. After a stop
  /// of the whole fleet, connections to replicas depend on them.
  Duration StartupPeriod = std::chrono::milliseconds(250);
  Duration StartupDuration = std::chrono::milliseconds(3000);

  /// Wait after a failed read; doubles up to the maximum, and is multiplied by
  /// a random factor between 0.5 and 1, so that the daemons do not return
  /// together to a source that has just come back.
  Duration MinBackoff = std::chrono::milliseconds(150);
  Duration MaxBackoff = std::chrono::milliseconds(2000);

  /// Without a successful read for this long, the source counts as away.
  /// Backend servers' records lapse after three heartbeats of about 1.2 s.
  Duration OutageTimeout = std::chrono::milliseconds(2200);
};

enum class DirectoryRead {
  All,     ///< the whole content
  Changes, ///< what changed after revision()
};

/// Decides when to read the operator's directory and what. It follows the
/// revisions that it has seen, and reads all again when the source's history
/// no longer reaches back to them.
class DirectoryReader {
public:
  DirectoryReader(DirectoryReaderOptions options, std::mt19937_64 random,
                  TimePoint now);

  /// The read that is due, or nothing before nextAt() and while one is open.
  std::optional<DirectoryRead> poll(TimePoint now);
  TimePoint nextAt() const { return NextAt; }
  bool isReading() const { return IsReadOpen; }

  /// The open read has ended; the content was read at the source at `readAt`.
  /// Returns whether the source had been away.
  bool onAll(std::uint64_t revision, TimePoint readAt, TimePoint now);

  /// `lastRevision` is that of the last change that was read, or nothing. The
  /// source's own revision is not used: changes that it has not shown yet would
  /// be skipped.
  bool onChanges(std::optional<std::uint64_t> lastRevision, TimePoint readAt,
                 TimePoint now);
  void onHistoryLost(TimePoint now);
  void onFailure(TimePoint now);

  /// Reads at once, for example after a reload of settings.
  void requestRead(TimePoint now);

  bool hasRead() const { return HasContent; }
  std::uint64_t revision() const { return Revision; }
  Duration age(TimePoint now) const { return now - LastReadAt; }

private:
  bool onSuccess(TimePoint readAt, TimePoint now);
  Duration jittered(Duration d);

  DirectoryReaderOptions Options;
  std::mt19937_64 Random;
  bool IsReadOpen = false;
  bool HasContent = false;
  std::uint64_t Revision = 0;
  TimePoint StartupUntil;
  TimePoint LastReadAt;
  TimePoint ReadStartedAt; ///< of the last read
  TimePoint NextAt;
  Duration Backoff;
};

} // namespace galenaflow::coordination

#endif
