#include "transport/client_memory_policy.h"

#include <algorithm>
#include <tuple>

// Answers the load of many clients that stop just short of the end of a body:
// each is within the published limits, and together they exceed the memory. A
// slow large body costs the most and is the least likely to be completed. A new
// body displaces slow clients only, since two clients that are equally fast
// would otherwise displace each other without an end.

namespace galenaflow::transport {

namespace {

/// Position in the order of eviction; none for connections that stay.
std::optional<int> rank(const ClientLoad &load, ClientDemand demand,
                        const ClientMemoryPolicyOptions &options) {
  const bool isSlow = load.SinceProgress >= options.SlowTime;
  switch (load.Phase) {
  case ClientPhase::Body:
    if (isSlow)
      return 0;
    return demand == ClientDemand::NewBody ? std::nullopt
                                           : std::optional<int>(1);
  case ClientPhase::Head:
    if (isSlow || demand == ClientDemand::Small)
      return 2;
    return std::nullopt;
  case ClientPhase::Answer:
    return isSlow ? std::optional<int>(3) : std::nullopt;
  case ClientPhase::Idle:
  case ClientPhase::Request:
  case ClientPhase::Lingering:
    return std::nullopt;
  }
  return std::nullopt;
}

} // namespace

std::optional<std::vector<std::uint64_t>>
selectEvictions(const std::vector<ClientLoad> &loads, ClientDemand demand,
                std::size_t bytes, const ClientMemoryPolicyOptions &options) {
  using Candidate = std::tuple<int, std::size_t, std::uint64_t>;
  std::vector<Candidate> candidates;
  for (const ClientLoad &load : loads)
    if (const auto position = rank(load, demand, options))
      candidates.emplace_back(*position, SIZE_MAX - load.Bytes, load.Id);
  std::sort(candidates.begin(), candidates.end());
  std::vector<std::uint64_t> evicted;
  std::size_t freed = 0;
  for (const auto &[position, inverse, id] : candidates) {
    if (freed >= bytes)
      break;
    freed += SIZE_MAX - inverse;
    evicted.push_back(id);
  }
  if (freed < bytes)
    return std::nullopt;
  return evicted;
}

} // namespace galenaflow::transport
