#ifndef GALENAFLOW_COORDINATION_LIMIT_REGISTRY_H
#define GALENAFLOW_COORDINATION_LIMIT_REGISTRY_H

#include "coordination/string_map.h"
#include "state/clock.h"
#include "state/request_limit.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace galenaflow::coordination {

using state::Duration;
using state::TimePoint;

/// Holds what the fleet knows about the request limits of replicas. For each
/// replica, the statement that it made last counts, whichever daemon received
/// it. A daemon whose part of a limit is one request in many seconds learns the
/// end of the limit from the others.
class LimitRegistry {
public:
  /// Called when the limit of a replica changes. Zero: it has none, possibly as
  /// before.
  using ChangeCallback =
      std::function<void(std::string_view replica, double perSecond)>;

  void onChange(ChangeCallback callback) { Callback = std::move(callback); }

  /// A replica stated its limit at `at`; zero: that it has none.
  void record(std::string_view replica, double perSecond, TimePoint at);

  /// Records the limits in the message of another daemon.
  void merge(std::span<const state::RequestLimit> limits, TimePoint now);

  /// Records the limits in the reply of the relay. See unreported().
  void mergeUpstream(std::span<const state::RequestLimit> limits,
                     TimePoint now);

  /// The relay has changed, and what it knows is not known.
  void resetUpstream() { Upstream.clear(); }

  /// Returns the recent statements that the relay does not know yet.
  std::vector<state::RequestLimit> unreported(TimePoint now) const;

  /// Returns all limits that are not too old, and the recently ended ones.
  std::vector<state::RequestLimit> all(TimePoint now);

  /// Changes whenever the result of all() does, apart from ages.
  std::uint64_t version() const { return Version; }

private:
  /// A statement is reported for this long, which covers several reads from
  /// the relay.
  static constexpr Duration ReportTtl = std::chrono::seconds(4);

  /// An ended limit is kept for this long, so that an older statement of the
  /// limit that arrives later is not taken as a new one.
  static constexpr Duration EndedTtl = std::chrono::seconds(30);

  /// A limit that no daemon has been told again for this long is dropped: its
  /// replica has left, or its next response states the limit again.
  static constexpr Duration LimitTtl = std::chrono::minutes(5);

  struct Entry {
    double PerSecond = 0;
    TimePoint StatedAt;
  };

  StringMap<Entry> Entries;
  StringMap<double> Upstream; ///< as last stated by the relay
  std::uint64_t Version = 1;
  ChangeCallback Callback;
};

} // namespace galenaflow::coordination

#endif
