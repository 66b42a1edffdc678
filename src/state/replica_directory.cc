#include "state/replica_directory.h"

#include <algorithm>
#include <set>

// After an outage of the source, a removal takes effect only when the grace
// period ends without a new registration. Removals that arrive during the grace
// period are deferred as well, since the changes that were made during the
// outage can arrive in several reads.

namespace galenaflow::state {

bool ReplicaDirectory::put(ReplicaRecord record, TimePoint now) {
  if (record.ColdRemaining > Duration(0))
    record.ColdUntil = now + record.ColdRemaining;
  const bool wasInGrace = InGrace.erase(record.Id) != 0;
  const auto [it, added] = Records.try_emplace(record.Id, record);
  const bool changed = added || !it->second.isEquivalentTo(record);
  if (it->second.Incarnation == record.Incarnation)
    record.ColdUntil = std::max(record.ColdUntil, it->second.ColdUntil);
  it->second = std::move(record);
  if (changed || wasInGrace)
    ++ListedVersion;
  return changed;
}

bool ReplicaDirectory::remove(std::string_view id, bool afterOutage,
                              TimePoint now) {
  const auto it = Records.find(id);
  if (it == Records.end())
    return false;
  if (!afterOutage && now >= GraceUntil) {
    if (InGrace.erase(it->first) == 0)
      ++ListedVersion;
    Records.erase(it);
    return true;
  }
  if (InGrace.try_emplace(it->first, GraceUntil).second)
    ++ListedVersion;
  return false;
}

bool ReplicaDirectory::replaceAll(const std::vector<ReplicaRecord> &records,
                                  bool afterOutage, TimePoint now) {
  if (afterOutage)
    GraceUntil = now + Options.OutageGrace;
  bool changed = false;
  std::set<std::string_view> listed;
  for (const ReplicaRecord &record : records) {
    listed.insert(record.Id);
    changed |= put(record, now);
  }
  std::vector<std::string> missing;
  for (const auto &[id, record] : Records)
    if (!listed.contains(id))
      missing.push_back(id);
  for (const std::string &id : missing)
    changed |= remove(id, afterOutage, now);
  return changed;
}

bool ReplicaDirectory::apply(const std::vector<DirectoryChange> &changes,
                             bool afterOutage, TimePoint now) {
  if (afterOutage)
    GraceUntil = now + Options.OutageGrace;
  bool changed = false;
  for (const DirectoryChange &change : changes)
    changed |= change.Removed ? remove(change.Id, afterOutage, now)
                              : put(change.Record, now);
  return changed;
}

std::map<std::string, ReplicaRecord, std::less<>>
ReplicaDirectory::listed() const {
  auto records = Records;
  for (const auto &[id, until] : InGrace)
    records.erase(id);
  return records;
}

bool ReplicaDirectory::expire(TimePoint now) {
  bool changed = false;
  for (auto it = InGrace.begin(); it != InGrace.end();) {
    if (it->second > now) {
      ++it;
      continue;
    }
    changed |= Records.erase(it->first) != 0;
    it = InGrace.erase(it);
  }
  return changed;
}

} // namespace galenaflow::state
