#ifndef GALENAFLOW_STATE_REPLICA_DIRECTORY_H
#define GALENAFLOW_STATE_REPLICA_DIRECTORY_H

#include "state/clock.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace galenaflow::state {

/// What a backend server last said of itself in the directory.
struct ReplicaRecord {
  std::string Id;
  std::string Service;
  std::string Address; ///< IP:PORT
  std::string DataCentre;
  std::uint32_t Slots = 1;
  bool Draining = false;
  Duration ColdRemaining{0}; ///< how long it remains slow after its start

  /// Differs after each start, also under the same id. Wall-clock milliseconds
  /// of the start; zero when not known.
  std::uint64_t Incarnation = 0;

  /// Whether a user of the replica has to do something about the difference.
  bool isEquivalentTo(const ReplicaRecord &other) const {
    return Id == other.Id && Service == other.Service &&
           Address == other.Address && DataCentre == other.DataCentre &&
           Slots == other.Slots && Draining == other.Draining &&
           Incarnation == other.Incarnation;
  }
};

/// One change of the directory, in the order of its revisions.
struct DirectoryChange {
  std::string Id;
  bool Removed = false;
  ReplicaRecord Record; ///< unless removed
};

struct ReplicaDirectoryOptions {
  /// Records that lapse while the directory's source was away are kept for
  /// this long after its return. Backend servers register again within about
  /// two seconds.
  Duration OutageGrace = std::chrono::milliseconds(2300);
};

/// The replicas that may be used, as last read from their source. A record that
/// is removed while the source works is gone at once. Records that are missing
/// after the source was away are kept for a grace time, because the source also
/// drops records of servers that live.
class ReplicaDirectory {
public:
  explicit ReplicaDirectory(ReplicaDirectoryOptions options = {})
      : Options(options) {}

  /// Replaces everything by a full read. Returns whether a user of the
  /// directory has to look again.
  bool replaceAll(const std::vector<ReplicaRecord> &records, bool afterOutage,
                  TimePoint now);

  bool apply(const std::vector<DirectoryChange> &changes, bool afterOutage,
             TimePoint now);

  /// Drops records whose grace time is over.
  bool expire(TimePoint now);

  /// By id.
  const std::map<std::string, ReplicaRecord, std::less<>> &records() const {
    return Records;
  }

  /// The records without those that are only kept for their grace time. Each
  /// user of the directory waits by itself, since an outage here says nothing
  /// about other daemons.
  std::map<std::string, ReplicaRecord, std::less<>> listed() const;

  /// Changes whenever listed() does.
  std::uint64_t listedVersion() const { return ListedVersion; }

private:
  bool put(const ReplicaRecord &record);
  bool remove(std::string_view id, bool afterOutage, TimePoint now);

  ReplicaDirectoryOptions Options;
  std::map<std::string, ReplicaRecord, std::less<>> Records;
  std::map<std::string, TimePoint, std::less<>> InGrace; ///< id, end of grace
  TimePoint GraceUntil = TimePoint::min();
  std::uint64_t ListedVersion = 0;
};

} // namespace galenaflow::state

#endif
