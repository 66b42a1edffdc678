#include "coordination/limit_registry.h"

// Ages are used instead of times because daemons have different clocks. A
// message makes a statement look younger by its time on the way, which is short
// against the time between two statements that differ.

namespace galenaflow::coordination {

void LimitRegistry::record(std::string_view replica, double perSecond,
                           TimePoint at) {
  auto it = Entries.find(replica);
  if (it == Entries.end()) {
    if (perSecond == 0) {
      // The limit may have been dropped here and still be in use by the owner.
      if (Callback)
        Callback(replica, 0);
      return;
    }
    it = Entries.emplace(replica, Entry{0, at}).first;
  }
  Entry &entry = it->second;
  if (at < entry.StatedAt)
    return;
  entry.StatedAt = at;
  if (entry.PerSecond == perSecond)
    return;
  entry.PerSecond = perSecond;
  ++Version;
  if (Callback)
    Callback(replica, perSecond);
}

void LimitRegistry::merge(std::span<const state::RequestLimit> limits,
                          TimePoint now) {
  for (const state::RequestLimit &limit : limits)
    record(limit.Replica, limit.PerSecond, now - limit.Age);
}

void LimitRegistry::mergeUpstream(std::span<const state::RequestLimit> limits,
                                  TimePoint now) {
  for (const state::RequestLimit &limit : limits)
    Upstream[limit.Replica] = limit.PerSecond;
  merge(limits, now);
}

std::vector<state::RequestLimit>
LimitRegistry::unreported(TimePoint now) const {
  std::vector<state::RequestLimit> limits;
  for (const auto &[replica, entry] : Entries) {
    const auto it = Upstream.find(replica);
    const double known = it == Upstream.end() ? 0 : it->second;
    const bool isKnown =
        entry.PerSecond == known && (it != Upstream.end() || known == 0);
    if (!isKnown && now - entry.StatedAt <= ReportTtl)
      limits.push_back({replica, entry.PerSecond, now - entry.StatedAt});
  }
  return limits;
}

std::vector<state::RequestLimit> LimitRegistry::all(TimePoint now) {
  std::erase_if(Entries, [now](const auto &it) {
    const Duration ttl = it.second.PerSecond == 0 ? EndedTtl : LimitTtl;
    return now - it.second.StatedAt > ttl;
  });
  std::vector<state::RequestLimit> limits;
  for (const auto &[replica, entry] : Entries)
    limits.push_back({replica, entry.PerSecond, now - entry.StatedAt});
  return limits;
}

} // namespace galenaflow::coordination
