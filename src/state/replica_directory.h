#ifndef GALENAFLOW_STATE_REPLICA_DIRECTORY_H
#define GALENAFLOW_STATE_REPLICA_DIRECTORY_H

#include "state/clock.h"

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace galenaflow::state {

/// The last registration of a backend server in the directory.
struct ReplicaRecord {
  std::string Id;
  std::string Service;
  std::string Address; ///< IP:PORT
  std::string DataCentre;
  std::uint32_t Slots = 1;
  bool Draining = false;
  Duration ColdRemaining{0}; ///< time for which it is still slow after a start

  /// Changes with each start, also under the same id: wall-clock milliseconds
  /// of the start. Zero when not known.
  std::uint64_t Incarnation = 0;

  /// When the cold time ends by the clock of this process; not part of the
  /// registration. The smallest time while it has not been determined.
  TimePoint ColdUntil = TimePoint::min();

  /// Registrations of one cold period arrive with different delays, so the ends
  /// that follow from them differ by up to this time.
  static constexpr Duration ColdTolerance = std::chrono::seconds(2);

  /// Whether users of the replica can ignore that the record has become
  /// `other`. The remaining time of a cold period that goes on is ignored; a
  /// new cold period is not.
  bool isEquivalentTo(const ReplicaRecord &other) const {
    return !startsColdPeriod(other) && Id == other.Id &&
           Service == other.Service && Address == other.Address &&
           DataCentre == other.DataCentre && Slots == other.Slots &&
           Draining == other.Draining && Incarnation == other.Incarnation;
  }

private:
  bool startsColdPeriod(const ReplicaRecord &other) const {
    if (other.ColdUntil == TimePoint::min())
      return false;
    return ColdUntil == TimePoint::min() ||
           other.ColdUntil - ColdUntil > ColdTolerance;
  }
};

/// A position in the history of the directory's source.
struct DirectoryPosition {
  /// Number of the history. A source that was restored from an older copy
  /// starts another history, in which it gives out the revisions again that
  /// were written after the copy was made.
  std::uint64_t Epoch = 0;

  std::uint64_t Revision = 0;

  auto operator<=>(const DirectoryPosition &) const = default;
};

/// One change of the directory. Changes are listed in the order of revisions.
struct DirectoryChange {
  std::string Id;
  bool Removed = false;
  ReplicaRecord Record; ///< set unless Removed
};

struct ReplicaDirectoryOptions {
  /// Records that expired during an outage of the directory's source are kept
  /// for this long after its end. Backend servers register again within about
  /// two seconds.
  Duration OutageGrace = std::chrono::milliseconds(2300);
};

/// Holds the replicas that may be used, as last read from the directory's
/// source. A removal while the source is available takes effect at once.
/// Records that are missing after an outage of the source are kept for a grace
/// period, because the source also removes records of servers that are alive.
class ReplicaDirectory {
public:
  explicit ReplicaDirectory(ReplicaDirectoryOptions options = {})
      : Options(options) {}

  /// Replaces all records by those of a full read. `afterOutage`: the read is
  /// the first one after an outage. Returns whether records() has changed in a
  /// way that its users must react to.
  bool replaceAll(const std::vector<ReplicaRecord> &records, bool afterOutage,
                  TimePoint now);

  /// Applies changes in their order; otherwise as replaceAll().
  bool apply(const std::vector<DirectoryChange> &changes, bool afterOutage,
             TimePoint now);

  /// Removes records whose grace period has ended. Returns whether there were
  /// any.
  bool expire(TimePoint now);

  /// By id.
  const std::map<std::string, ReplicaRecord, std::less<>> &records() const {
    return Records;
  }

  /// The records without those that are kept only for the grace period. This
  /// list is passed on to other daemons. Each daemon applies a grace period of
  /// its own, since an outage seen by one says nothing about the others.
  std::map<std::string, ReplicaRecord, std::less<>> listed() const;

  /// Changes whenever listed() does.
  std::uint64_t listedVersion() const { return ListedVersion; }

private:
  bool put(ReplicaRecord record, TimePoint now);
  bool remove(std::string_view id, bool afterOutage, TimePoint now);

  ReplicaDirectoryOptions Options;
  std::map<std::string, ReplicaRecord, std::less<>> Records;

  /// Ends of the grace periods by id.
  std::map<std::string, TimePoint, std::less<>> InGrace;
  TimePoint GraceUntil = TimePoint::min();
  std::uint64_t ListedVersion = 0;
};

} // namespace galenaflow::state

#endif
