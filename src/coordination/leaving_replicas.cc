#include "coordination/leaving_replicas.h"

namespace galenaflow::coordination {

bool LeavingReplicas::add(const state::ReplicaRecord &replica) {
  if (Leaving.contains({replica.Id, replica.Incarnation}))
    return false;
  if (Leaving.size() >= MaxReplicas)
    Leaving.erase(Leaving.begin());
  Leaving.emplace(replica.Id, replica.Incarnation);
  return true;
}

void LeavingReplicas::applyTo(Records &records) {
  for (auto it = Leaving.begin(); it != Leaving.end();) {
    const auto record = records.find(it->first);
    if (record != records.end() && record->second.Incarnation > it->second) {
      it = Leaving.erase(it);
      continue;
    }
    if (record != records.end() && record->second.Incarnation == it->second)
      record->second.Draining = true;
    ++it;
  }
}

} // namespace galenaflow::coordination
