#ifndef GALENAFLOW_FORWARDING_DIRECTORY_TASK_H
#define GALENAFLOW_FORWARDING_DIRECTORY_TASK_H

#include "coordination/directory_reader.h"
#include "state/evacuation.h"
#include "state/metrics.h"
#include "state/replica_directory.h"
#include "state/route_table.h"
#include "transport/event_loop.h"

#include <functional>
#include <optional>
#include <tl/expected.hpp>

namespace galenaflow::forwarding {

/// What a read at the source has found out about the published routes.
struct PublishedRoutes {
  /// To which position this applies; nothing, if it is not known.
  std::optional<state::DirectoryPosition> Position;

  /// Why they cannot be read; empty if they can, or if none are published.
  std::string Fault;
};

/// The result of one read of the operator's directory.
struct DirectoryContent {
  std::vector<state::DirectoryChange> Changes;

  /// In their order. When IsFull: all data centres that are evacuated.
  std::vector<state::EvacuationChange> Evacuations;

  /// Changes and Evacuations are the whole content, not differences.
  bool IsFull = false;
  state::RouteTablePtr Table; ///< null when the read contains no routes
  std::string Document;       ///< the published form of Table

  /// Nothing when the read was made at another daemon, or has found no change
  /// of the published routes.
  std::optional<PublishedRoutes> Published;

  /// Position of the last change that was read. For a full read and a read from
  /// another daemon, the position of the source.
  std::optional<state::DirectoryPosition> Position;

  state::Duration Age{0}; ///< since it was read at the source

  /// Whether the content was read from another daemon, which held the request
  /// until it had a new view; the next read then needs no delay.
  bool IsLongPoll = false;

  /// Whether the answer took longer than a read, so that changes made meanwhile
  /// may be missing; the next read then needs no delay either.
  bool IsLate = false;
};

enum class DirectoryFaultKind {
  Failed,      ///< no usable response
  HistoryLost, ///< the changes after the position cannot be read
};

/// Why a read gave nothing. Reads that fail alike have the same reason.
struct DirectoryFault {
  DirectoryFaultKind Kind = DirectoryFaultKind::Failed;
  std::string Reason;
};

using DirectoryResult = tl::expected<DirectoryContent, DirectoryFault>;
using DirectoryCallback = std::function<void(DirectoryResult)>;

/// Reads the directory in which the operator publishes routes and backend
/// servers register. At most one read is open at a time, and one by
/// readRoutes() beside it; their callbacks run once, after the call has
/// returned. A read replaces an open one, whose callback may then run or not.
class DirectorySource {
public:
  virtual ~DirectorySource() = default;
  virtual void readAll(DirectoryCallback callback) = 0;
  virtual void readChanges(const state::DirectoryPosition &after,
                           DirectoryCallback callback) = 0;

  /// Reads the published routes alone, at the source itself and not at another
  /// daemon. The result has no position.
  virtual void readRoutes(DirectoryCallback callback) = 0;

  /// Decodes a published document of routes; null when it is malformed.
  virtual state::RouteTablePtr
  decodeRoutes(std::string_view document) const = 0;

  /// Whether the answer to a read has arrived after the read had failed. The
  /// next read of the same content, the changes after `after` or everything,
  /// gets it.
  virtual bool
  hasAnswer(const std::optional<state::DirectoryPosition> & /*after*/) const {
    return false;
  }

  /// Calls `callback` when such an answer arrives.
  virtual void onLateAnswer(const std::function<void()> & /*callback*/) {}
};

/// The directory as known to this process.
struct DirectoryView {
  state::RouteTablePtr Table;
  std::string_view Document;
  const state::ReplicaDirectory *Replicas = nullptr;
  state::DirectoryPosition Position;
  state::Duration Age{0};
  const state::EvacuatedDataCentres *Evacuations = nullptr; ///< null: not read
};

struct DirectoryListener {
  std::function<void(const state::RouteTablePtr &)> Routes;
  std::function<void(
      const std::map<std::string, state::ReplicaRecord, std::less<>> &)>
      Replicas;

  /// Called after each read, and after changes without a read.
  std::function<void(const DirectoryView &)> Read;

  /// Called when the set has changed, before Routes and Replicas of the same
  /// read, so that no request is sent to a data centre that is evacuated.
  std::function<void(const state::EvacuatedDataCentres &)> Evacuations =
      nullptr;
};

/// Keeps this process's view of the directory up to date. The version of the
/// routes never decreases. Published routes that cannot be read are logged and
/// read again; those in force stay. Evacuations stay in force until a read
/// shows their end.
class DirectoryTask {
public:
  DirectoryTask(transport::EventLoop &loop, DirectorySource &source,
                coordination::DirectoryReaderOptions options,
                std::mt19937_64 random, DirectoryListener listener,
                state::MetricRegistry &metrics);
  ~DirectoryTask();
  DirectoryTask(const DirectoryTask &) = delete;
  DirectoryTask &operator=(const DirectoryTask &) = delete;

  void start();

  /// Reads immediately, or as soon as the open read has succeeded.
  void requestRead();

  /// Applies routes that another daemon has read. Older ones are ignored.
  void adoptRoutes(const state::RouteTablePtr &table, std::string document);

  /// Records that another daemon has routes of this version. When they are not
  /// in force here within PendingRoutesDelay, this is logged with the reason.
  void recordKnownVersion(std::uint64_t version);

  /// Time after which newer routes that are known but not in force are logged.
  static constexpr state::Duration PendingRoutesDelay = std::chrono::seconds(3);

  /// Whether routes, replicas and evacuations have been read.
  bool isReady() const {
    return Table != nullptr && Reader.hasContent() && AreEvacuationsRead;
  }

  /// Age of the view: time since it was read at the source.
  state::Duration age() const { return Reader.age(Loop.now()); }

private:
  void tick();
  void onRead(coordination::DirectoryRead read, const DirectoryResult &result);
  void onReadFailed(const DirectoryFault &fault);
  void onRoutesRead(const DirectoryResult &result);
  void applyEvacuations(const DirectoryContent &content);
  void recordPublished(const DirectoryContent &content);
  void apply(const DirectoryContent &content, bool afterOutage);
  void applyRoutes(const state::RouteTablePtr &table, std::string document,
                   state::Duration age);
  void reportView() const;
  void logPendingRoutes();
  void warnPending(const std::string &reason) const;
  std::uint64_t version() const { return Table ? Table->version() : 0; }

  transport::EventLoop &Loop;
  DirectorySource &Source;
  coordination::DirectoryReader Reader;
  state::ReplicaDirectory Directory;
  state::EvacuatedDataCentres Evacuations;
  bool AreEvacuationsRead = false;
  state::RouteTablePtr Table;
  std::string Document;
  DirectoryListener Listener;
  transport::TimerId Timer = 0;
  bool AreEvacuationsIgnored = false; ///< more than the limit; logged
  bool LastReadFailed = false;
  std::string LastFault;   ///< reason of the last failed read of the series
  std::string RoutesFault; ///< why published routes cannot be read, or empty
  std::uint64_t KnownVersion = 0;  ///< newest version that a daemon has
  state::TimePoint KnownAt;        ///< when KnownVersion was recorded
  std::uint64_t LoggedVersion = 0; ///< last known version logged as pending
  state::Counter &Reads;
  state::Counter &Failures;
  state::Gauge &Version;
  state::Gauge &Known;
  state::Gauge &Findings;
  state::Gauge &Unreadable;
};

} // namespace galenaflow::forwarding

#endif
