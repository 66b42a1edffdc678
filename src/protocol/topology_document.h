#ifndef GALENAFLOW_PROTOCOL_TOPOLOGY_DOCUMENT_H
#define GALENAFLOW_PROTOCOL_TOPOLOGY_DOCUMENT_H

#include "protocol/parsed.h"
#include "state/topology.h"

namespace galenaflow::protocol {

/// Parses the `services` document. `version` is the version that the platform
/// sends with the document.
Parsed<state::Topology> parseTopology(std::string_view text,
                                      std::uint64_t version);

/// Returns the document that parses to this topology.
std::string renderTopology(const state::Topology &topology);

} // namespace galenaflow::protocol

#endif
