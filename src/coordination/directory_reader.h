#ifndef GALENAFLOW_COORDINATION_DIRECTORY_READER_H
#define GALENAFLOW_COORDINATION_DIRECTORY_READER_H

#include "state/clock.h"
#include "state/replica_directory.h"

#include <cstdint>
#include <optional>
#include <random>

namespace galenaflow::coordination {

using state::Duration;
using state::TimePoint;

struct DirectoryReaderOptions {
  /// Time from the start of one read of changes to the next. The operator
  /// requires that a change, and a replica that drains, take effect within 3 s;
  /// that must suffice for a lost read and its retry as well. Shorter periods
  /// cost more, since each read is charged.
  Duration Period = std::chrono::milliseconds(1000);

  /// Period and duration of the start-up phase. Reads are more frequent then,
  /// because the count of the fleet and the list of its executors advance by
  /// one relay with each read, and after a stop of the whole fleet the
  /// connections to replicas depend on them.
  Duration StartupPeriod = std::chrono::milliseconds(250);
  Duration StartupDuration = std::chrono::milliseconds(3000);

  /// Backoff after a failed read. It doubles up to the maximum and is
  /// multiplied by a random factor between 0.5 and 1, so that the daemons do
  /// not all read at the same time when the source is available again.
  Duration MinBackoff = std::chrono::milliseconds(150);
  Duration MaxBackoff = std::chrono::milliseconds(2000);

  /// Published routes that cannot be read are read again after this time: what
  /// was damaged on its way is then in force within the operator's limit.
  Duration FirstRoutesRetry = std::chrono::milliseconds(500);

  /// Backoff between further reads of them. It doubles and is multiplied as
  /// above. Two reads are never closer than half of its minimum, also when
  /// readable and unreadable routes alternate.
  Duration MinRoutesBackoff = std::chrono::seconds(8);
  Duration MaxRoutesBackoff = std::chrono::seconds(60);

  /// The source counts as unavailable when no read has succeeded for this long
  /// and one has failed. Records of backend servers expire after three
  /// heartbeats of about 1.2 s.
  Duration OutageTimeout = std::chrono::milliseconds(2200);

  /// The same without a failed read, for example when the process was
  /// suspended. A relay that does not answer accounts for up to 2.5 s.
  Duration SilenceTimeout = std::chrono::milliseconds(3000);
};

enum class DirectoryRead {
  Full,    ///< the whole content
  Changes, ///< the changes after position()
};

/// Decides when to read the operator's directory, and whether to read its whole
/// content or only the changes since the last position read. It reads the whole
/// content again when the source's history no longer contains that position.
///
/// Decides also when to read published routes again that could not be read.
/// Such a read is made beside the others, so that it delays none of them.
class DirectoryReader {
public:
  DirectoryReader(DirectoryReaderOptions options, std::mt19937_64 random,
                  TimePoint now);

  /// Returns the read that is due, or nothing before nextAt() and while a read
  /// is open. The owner then reports its end with one of the functions below.
  std::optional<DirectoryRead> poll(TimePoint now);
  TimePoint nextAt() const { return NextAt; }
  bool isReading() const { return IsReadOpen; }

  /// Call when the open read has returned the whole content, which was read
  /// from the source at `readAt`. Returns whether the source had been
  /// unavailable, or was restored from a copy; false for the first read.
  bool onFullRead(const state::DirectoryPosition &position, TimePoint readAt,
                  TimePoint now);

  /// Call when the open read has returned changes. `last` is the position of
  /// the last change that was read, or nothing. The source's own position is
  /// not used, because changes that it has not returned yet would be skipped.
  /// Returns whether the source had been unavailable, or was restored.
  bool onChanges(const std::optional<state::DirectoryPosition> &last,
                 TimePoint readAt, TimePoint now);

  /// Call when the source's history no longer contains position().
  void onHistoryLost(TimePoint now);
  void onFailure(TimePoint now);

  /// Call when a read at the source has found that routes were published or
  /// removed, or which ones are. `at` is the position to which this applies;
  /// nothing, if it is not known. What is older than the last call is ignored.
  void onPublishedRoutes(const std::optional<state::DirectoryPosition> &at,
                         bool isReadable, TimePoint now);

  /// Whether the newest published routes are known and cannot be read.
  bool areRoutesUnreadable() const { return AreRoutesUnreadable; }

  /// Returns whether to read the published routes again now. The owner then
  /// reports the end of that read with onRoutesReadEnd().
  bool pollRoutes(TimePoint now);
  void onRoutesReadEnd() { IsRoutesReadOpen = false; }

  /// Makes the next read due immediately, or as soon as the open read has
  /// succeeded.
  void requestRead(TimePoint now);

  bool hasContent() const { return HasContent; }
  const state::DirectoryPosition &position() const { return Position; }
  Duration age(TimePoint now) const { return now - LastReadAt; }

private:
  bool moveTo(const state::DirectoryPosition &position);
  bool onSuccess(TimePoint readAt, TimePoint now);
  Duration jittered(Duration d);

  DirectoryReaderOptions Options;
  std::mt19937_64 Random;
  bool IsReadOpen = false;
  bool IsReadRequested = false; ///< while a read is open
  bool HasContent = false;
  bool HasRead = false;   ///< whether a full read has ever succeeded
  bool HasFailed = false; ///< whether a read has failed since the last success
  state::DirectoryPosition Position;
  TimePoint StartupUntil;
  TimePoint LastReadAt;
  TimePoint ReadStartedAt; ///< start of the last read
  TimePoint NextAt;
  Duration Backoff;
  bool AreRoutesUnreadable = false;
  bool IsRoutesReadOpen = false;
  state::DirectoryPosition RoutesAt;         ///< of onPublishedRoutes()
  TimePoint RoutesReadAt = TimePoint::min(); ///< last read of pollRoutes()
  TimePoint NextRoutesAt;
  Duration RoutesBackoff;
};

} // namespace galenaflow::coordination

#endif
