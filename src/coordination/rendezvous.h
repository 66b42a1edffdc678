#ifndef GALENAFLOW_COORDINATION_RENDEZVOUS_H
#define GALENAFLOW_COORDINATION_RENDEZVOUS_H

#include "protocol/fleet_messages.h"

#include <string_view>

namespace galenaflow::coordination {

/// The score of `member` for `key` in rendezvous hashing. The same in every
/// process and release.
std::uint64_t rendezvousScore(std::string_view key,
                              const protocol::MemberId &member);

/// How many of `members` rank before `member` for `key`: 0 is the first choice.
std::size_t rendezvousRank(std::string_view key,
                           const protocol::MemberId &member,
                           std::span<const protocol::MemberId> members);

} // namespace galenaflow::coordination

#endif
