#include "coordination/leaving_replicas.h"

namespace galenaflow::coordination {

bool LeavingReplicas::add(const state::ReplicaRecord &replica) {
  const auto it = Incarnations.find(replica.Id);
  if (it != Incarnations.end() && it->second == replica.Incarnation)
    return false;
  if (Incarnations.size() >= MaxReplicas)
    Incarnations.erase(Incarnations.begin());
  Incarnations.insert_or_assign(replica.Id, replica.Incarnation);
  return true;
}

void LeavingReplicas::applyTo(Records &records) {
  for (auto it = Incarnations.begin(); it != Incarnations.end();) {
    const auto record = records.find(it->first);
    if (record == records.end()) {
      ++it;
    } else if (record->second.Incarnation == it->second) {
      record->second.Draining = true;
      ++it;
    } else {
      it = Incarnations.erase(it);
    }
  }
}

} // namespace galenaflow::coordination
