#ifndef GALENAFLOW_TRANSPORT_CLIENT_MEMORY_POLICY_H
#define GALENAFLOW_TRANSPORT_CLIENT_MEMORY_POLICY_H

#include "state/clock.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace galenaflow::transport {

/// What a connection of a client holds memory for.
enum class ClientPhase {
  Idle,      ///< no byte of a request has arrived
  Head,      ///< a part of a head has arrived
  Body,      ///< a head and a part of its body have arrived
  Request,   ///< a complete request that is being handled
  Answer,    ///< an answer that is being written
  Lingering, ///< refused; input is discarded until the client has the answer
};

/// The state of one connection as the policy sees it.
struct ClientLoad {
  std::uint64_t Id = 0;
  ClientPhase Phase = ClientPhase::Idle;
  std::size_t Bytes = 0;           ///< that are freed when it gives way
  state::Duration SinceProgress{}; ///< since the client last sent or took bytes
};

struct ClientMemoryPolicyOptions {
  /// A client without progress for this time counts as slow.
  state::Duration SlowTime = std::chrono::seconds(1);
};

/// What a connection asks for memory for.
enum class ClientDemand {
  Small,     ///< a head, an answer, or a request that may use the reserve
  NewBody,   ///< a body of which nothing was accepted yet
  BodyGrows, ///< more bytes of a body that was begun
};

/// Decides which connections give way to a demand of `bytes`, in this order:
/// slow incomplete bodies, other incomplete bodies, incomplete heads, answers
/// that slow clients don't take; in each group the largest first. A new body
/// takes the place of slow clients only. Complete requests without an answer
/// never give way, because they were passed on. Returns nothing if all that may
/// give way is not enough.
std::optional<std::vector<std::uint64_t>>
selectEvictions(const std::vector<ClientLoad> &loads, ClientDemand demand,
                std::size_t bytes, const ClientMemoryPolicyOptions &options);

} // namespace galenaflow::transport

#endif
