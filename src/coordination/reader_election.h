#ifndef GALENAFLOW_COORDINATION_READER_ELECTION_H
#define GALENAFLOW_COORDINATION_READER_ELECTION_H

#include "coordination/membership.h"

namespace galenaflow::coordination {

struct ReaderElectionOptions {
  std::size_t ReadersPerDataCentre = 2;
  /// How long a daemon must rank among the readers before it becomes one.
  Duration PromotionDelay = std::chrono::seconds(2);
  /// How long a reader that no longer ranks among the readers remains one.
  Duration DemotionDelay = std::chrono::seconds(2);
};

/// Decides whether this daemon is one of those that read the platform for their
/// data centre.
class ReaderElection {
public:
  ReaderElection(ReaderElectionOptions options, ListedVm self)
      : Options(options), Self(std::move(self)) {}

  /// Call with Membership::liveMembers() on each change and once a second.
  /// Returns isReader().
  bool update(std::span<const ListedVm> live, TimePoint now);
  bool isReader() const { return IsReader; }

private:
  bool ranksAsReader(std::span<const ListedVm> live) const;

  ReaderElectionOptions Options;
  ListedVm Self;
  bool IsReader = false;
  /// Since when the rank has differed from IsReader.
  std::optional<TimePoint> ChangeSince;
};

} // namespace galenaflow::coordination

#endif
