#ifndef GALENAFLOW_COORDINATION_DIRECTORY_RELAY_H
#define GALENAFLOW_COORDINATION_DIRECTORY_RELAY_H

#include "protocol/directory_messages.h"
#include "state/clock.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace galenaflow::coordination {

using state::Duration;
using state::TimePoint;

/// Logs the changes of this daemon's view of the directory, for daemons that
/// read it here instead of at the source.
class DirectoryLog {
public:
  /// `id` must differ between daemons and between starts of a daemon.
  explicit DirectoryLog(std::uint64_t id) : Id(id) {}

  /// Replaces the view and logs the differences.
  void update(
      const std::map<std::string, state::ReplicaRecord, std::less<>> &records);
  void setRoutes(std::uint64_t version, std::string document);

  /// The evacuations are not logged: each reply contains all of them.
  void setEvacuations(const state::EvacuatedDataCentres &evacuations) {
    Evacuations = evacuations;
  }

  /// Returns the reply to a request. The owner fills in the revision, the age
  /// and the count of daemons.
  protocol::DirectoryReply makeReply(const protocol::DirectoryRequest &request,
                                     TimePoint now) const;

  /// Number of changes kept. A request with an older position gets the whole
  /// view.
  static constexpr std::size_t MaxEntries = 4096;

private:
  std::uint64_t Id;
  std::uint64_t Last = 0; ///< index of the newest entry
  std::deque<state::DirectoryChange> Entries;
  std::map<std::string, state::ReplicaRecord, std::less<>> View;
  std::uint64_t RouteVersion = 0;
  std::string Routes;
  std::optional<state::EvacuatedDataCentres> Evacuations; ///< once read
};

struct RelaySelectorOptions {
  /// A relay that gave no valid reply is not used for this long.
  Duration FailureCooldown = std::chrono::seconds(3);
};

/// Selects the relay, the daemon from which this one reads the directory. The
/// first relay in the order of addresses reads at the source, the other relays
/// prefer the earlier ones, and every other daemon ranks the relays by a hash
/// of both addresses, which distributes the load. When no relay can be used,
/// the daemon reads at the source itself. The selection affects only the number
/// of reads.
class RelaySelector {
public:
  RelaySelector(RelaySelectorOptions options, std::string self)
      : Options(options), Self(std::move(self)) {}

  /// Sets the addresses (IP:PORT) of the daemons that are relays.
  void setRelays(std::vector<std::string> addresses);

  /// Returns the address of the best relay, or nothing for the source. Relays
  /// to which a link is up, according to `isLinked`, are preferred; if there
  /// are none, the best relay is returned all the same.
  std::optional<std::string>
  choose(const std::function<bool(const std::string &)> &isLinked,
         TimePoint now) const;

  /// Returns the best of these daemons to read from while the source refuses
  /// this daemon, or nothing.
  std::optional<std::string> chooseFallback(std::vector<std::string> linked,
                                            TimePoint now) const;
  void onFailure(const std::string &address, TimePoint now);

  /// A link to the daemon is up again, so it may be used at once.
  void onLinkUp(const std::string &address) { CooldownUntil.erase(address); }

  /// Relays that this daemon may use, best first.
  const std::vector<std::string> &preferred() const { return Preferred; }

private:
  void sortByHash(std::vector<std::string> &addresses) const;
  bool isCoolingDown(const std::string &address, TimePoint now) const;

  RelaySelectorOptions Options;
  std::string Self;
  std::vector<std::string> Preferred;
  std::map<std::string, TimePoint> CooldownUntil;
};

/// Aggregates the reports of the daemons that read the directory here. Each
/// report covers its sender and all daemons behind it. A daemon that has just
/// changed its relay is reported by both relays and counted once.
class FleetAggregator {
public:
  explicit FleetAggregator(state::DaemonCapacity self)
      : Self(std::move(self)) {}

  /// Records the report in a request of the daemon `id`.
  void onReport(const std::string &id, protocol::FleetReport report,
                TimePoint now);

  /// Returns the report on this daemon and all daemons behind it.
  protocol::FleetReport subtreeReport(TimePoint now);

  /// Returns only the number of these daemons, which every reply states. May be
  /// up to CountCacheTtl old.
  std::uint32_t daemonCount(TimePoint now);

  /// Maximum number of daemons listed in a report. A fleet with more strong VMs
  /// distributes its work over these.
  static constexpr std::size_t MaxStrongest = 32;

private:
  /// A daemon that has sent no request for this long counts as departed.
  static constexpr Duration ReportTtl = std::chrono::seconds(4);

  /// How long the number is cached. A relay of 300 daemons sends 300 replies a
  /// second, and merging all reports for each would saturate the VM.
  static constexpr Duration CountCacheTtl = std::chrono::milliseconds(100);

  struct Entry {
    protocol::FleetReport Report;
    TimePoint ReceivedAt;
  };
  void expireReports(TimePoint now);
  state::DistinctCount mergeDaemons(TimePoint now);

  state::DaemonCapacity Self;
  std::map<std::string, Entry> Reports;
  std::uint32_t CachedCount = 1;
  TimePoint CachedAt = TimePoint::min();
};

/// Caches the recently reported executors. For a second or two after a daemon
/// has changed its relay, or its relay has started, few or no executors are
/// reported to it, although they still run requests.
class ExecutorCache {
public:
  /// Adds the executors of a report and removes those that have expired.
  void update(const std::vector<state::DaemonCapacity> &executors,
              TimePoint now);

  /// Returns the executors that have not expired, ordered by address, at most
  /// FleetAggregator::MaxStrongest.
  std::vector<state::DaemonCapacity> current(TimePoint now) const;

private:
  /// Duration of two reads from a relay. An executor that has stopped also
  /// stays in the cache for this long, without a link to it.
  static constexpr Duration EntryTtl = std::chrono::seconds(2);

  struct Entry {
    state::DaemonCapacity Daemon;
    TimePoint ReportedAt;
  };
  std::map<std::string, Entry> ByAddress;
};

} // namespace galenaflow::coordination

#endif
