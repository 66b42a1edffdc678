#include "coordination/reader_election.h"

#include "coordination/rendezvous.h"

// Rendezvous hashing over the live members of a data centre gives every daemon
// the same ranking without messages. A change of rank takes effect only when it
// has lasted for a delay. Otherwise each member that is considered dead for a
// moment would add a reader for that moment, and many such moments would exceed
// the platform's rate limit. Suspected members count as live.

namespace galenaflow::coordination {

bool ReaderElection::ranksAsReader(std::span<const ListedVm> live) const {
  std::vector<MemberId> candidates;
  for (const ListedVm &vm : live)
    if (vm.DataCentre == Self.DataCentre && !vm.IsLeaving)
      candidates.push_back(vm.Id);
  return rendezvousRank("readers", Self.Id, candidates) <
         Options.ReadersPerDataCentre;
}

bool ReaderElection::update(std::span<const ListedVm> live, TimePoint now) {
  if (ranksAsReader(live) == IsReader) {
    ChangeSince.reset();
    return IsReader;
  }
  if (!ChangeSince)
    ChangeSince = now;
  const Duration delay =
      IsReader ? Options.DemotionDelay : Options.PromotionDelay;
  if (now - *ChangeSince >= delay) {
    IsReader = !IsReader;
    ChangeSince.reset();
  }
  return IsReader;
}

} // namespace galenaflow::coordination
