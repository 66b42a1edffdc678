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

/// The changes of this daemon's view of the directory, for daemons that read it
/// here instead of at the source.
class DirectoryLog {
public:
  /// `id` differs between daemons and between starts.
  explicit DirectoryLog(std::uint64_t id) : Id(id) {}

  /// Records what has changed in the view.
  void update(
      const std::map<std::string, state::ReplicaRecord, std::less<>> &records);
  void setRoutes(std::uint64_t version, std::string document);

  /// The answer to a request, without its revision, age and count of daemons.
  protocol::DirectoryReply
  answer(const protocol::DirectoryRequest &request) const;

  /// Changes that are kept; an older position gets everything.
  static constexpr std::size_t MaxEntries = 4096;

private:
  std::uint64_t Id;
  std::uint64_t Last = 0; ///< index of the newest entry
  std::deque<state::DirectoryChange> Entries;
  std::map<std::string, state::ReplicaRecord, std::less<>> View;
  std::uint64_t RouteVersion = 0;
  std::string Routes;
};

struct RelaySelectorOptions {
  /// A daemon that gave no good answer is not asked again for this long.
  Duration FailureCooldown = std::chrono::seconds(3);
};

/// Chooses the daemon from which this one reads the directory. The first of the
/// relays in the order of their addresses reads at the source, the other relays
/// prefer the earlier ones, and every other daemon prefers a relay by its own
/// hash, so that the load spreads. When no relay is left, the daemon reads at
/// the source itself; nothing but the number of reads depends on the choice.
class RelaySelector {
public:
  RelaySelector(RelaySelectorOptions options, std::string self)
      : Options(options), Self(std::move(self)) {}

  /// Addresses (IP:PORT) of daemons that others may ask.
  void setRelays(std::vector<std::string> addresses);

  /// Whom to ask now, or nothing for the source. `isLinked` tells whether a
  /// link to an address is up; without any, the best one is named all the same.
  std::optional<std::string>
  choose(const std::function<bool(const std::string &)> &isLinked,
         TimePoint now) const;
  void onFailure(const std::string &address, TimePoint now);

  /// Relays that this daemon may ask, best first.
  const std::vector<std::string> &preferred() const { return Preferred; }

private:
  RelaySelectorOptions Options;
  std::string Self;
  std::vector<std::string> Preferred;
  std::map<std::string, TimePoint> CooldownUntil;
};

/// Sums up the daemons that read the directory here, and those behind them. A
/// daemon that has just changed its relay is reported by both and counts once.
class FleetAggregator {
public:
  explicit FleetAggregator(state::DaemonCapacity self)
      : Self(std::move(self)) {}

  /// `report` as stated in the request of the daemon `id`.
  void onRequest(const std::string &id, protocol::FleetReport report,
                 TimePoint now);

  /// This daemon and all behind it.
  protocol::FleetReport subtree(TimePoint now);

  /// Their number alone, which every answer to another daemon states. May be
  /// as old as CountCacheTtl.
  std::uint32_t daemons(TimePoint now);

  /// Daemons that a report names at most. A fleet with more strong VMs than
  /// that spreads its work over these.
  static constexpr std::size_t MaxStrongest = 32;

private:
  /// A daemon that has not asked for this long is gone.
  static constexpr Duration ReportTtl = std::chrono::seconds(4);

  /// The number is kept for this long: a relay of 300 daemons gives as many
  /// answers a second, and uniting all reports for each would take the VM.
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

/// The executors that were named lately. A daemon that changes its relay, or
/// whose relay has just started, hears of few or none for a second or two; they
/// still run requests in the meantime.
class ExecutorCache {
public:
  void update(const std::vector<state::DaemonCapacity> &executors,
              TimePoint now);

  /// By address, at most FleetAggregator::MaxStrongest.
  std::vector<state::DaemonCapacity> current(TimePoint now) const;

private:
  /// Two reads at a relay. An executor that has gone is kept as much longer,
  /// without a link to it.
  static constexpr Duration EntryTtl = std::chrono::seconds(2);

  struct Entry {
    state::DaemonCapacity Daemon;
    TimePoint ReportedAt;
  };
  std::map<std::string, Entry> ByAddress;
};

} // namespace galenaflow::coordination

#endif
