#ifndef GALENAFLOW_COORDINATION_READER_ELECTION_H
#define GALENAFLOW_COORDINATION_READER_ELECTION_H

#include "coordination/membership.h"

namespace galenaflow::coordination {

struct ReaderElectionOptions {
  std::size_t ReadersPerDataCentre = 2;
  /// How long a daemon must rank among the readers before it reads.
  Duration PromotionDelay = std::chrono::seconds(2);
  /// How long it keeps reading after others outrank it.
  Duration DemotionDelay = std::chrono::seconds(2);
};

/// Decides whether this daemon reads the platform for its data centre.
class ReaderElection {
public:
  ReaderElection(ReaderElectionOptions options, ListedVm self)
      : Options(options), Self(std::move(self)) {}

  /// `live` as of Membership::liveMembers(). Call on each change and each
  /// second. Returns isReader().
  bool update(std::span<const ListedVm> live, TimePoint now);
  bool isReader() const { return IsReader; }

private:
  bool ranksAsReader(std::span<const ListedVm> live) const;

  ReaderElectionOptions Options;
  ListedVm Self;
  bool IsReader = false;
  std::optional<TimePoint> ChangeSince; // the rank contradicts IsReader since
};

} // namespace galenaflow::coordination

#endif
