#ifndef GALENAFLOW_COORDINATION_LEAVING_REPLICAS_H
#define GALENAFLOW_COORDINATION_LEAVING_REPLICAS_H

#include "state/replica_directory.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace galenaflow::coordination {

/// Remembers the replicas that have stated in a response that they leave. Their
/// registrations may state it later or not at all, and may expire and return
/// meanwhile. Ends for a replica with its next start. A registration of an
/// earlier start, as in a restored copy of the directory, ends nothing.
class LeavingReplicas {
public:
  using Records = std::map<std::string, state::ReplicaRecord, std::less<>>;

  /// Returns false when it is known already.
  bool add(const state::ReplicaRecord &replica);

  bool empty() const { return Leaving.empty(); }

  /// Marks the records of leaving replicas as draining, and forgets replicas
  /// that have started again.
  void applyTo(Records &records);

  /// Maximum number of replicas that are remembered.
  static constexpr std::size_t MaxReplicas = 10'000;

private:
  std::set<std::pair<std::string, std::uint64_t>> Leaving; ///< id, incarnation
};

} // namespace galenaflow::coordination

#endif
