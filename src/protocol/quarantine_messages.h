#ifndef GALENAFLOW_PROTOCOL_QUARANTINE_MESSAGES_H
#define GALENAFLOW_PROTOCOL_QUARANTINE_MESSAGES_H

#include "state/error.h"
#include "state/request_evidence.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

/// Messages by which daemons tell each other of requests that end replicas.
namespace galenaflow::protocol {

/// Frame types of a peer link.
enum class QuarantineMessageType : std::uint16_t {
  Evidence = 112,
};

/// Limit on what a peer may send in one message.
constexpr std::size_t MaxListedEvidence = 20'000;

/// Encodes at most MaxListedEvidence entries.
std::string encodeEvidence(std::span<const state::RequestEvidence> evidence);

/// Error: InvalidArgument for bytes that are not a valid message.
state::Result<std::vector<state::RequestEvidence>>
decodeEvidence(std::string_view bytes);

} // namespace galenaflow::protocol

#endif
