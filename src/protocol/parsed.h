#ifndef GALENAFLOW_PROTOCOL_PARSED_H
#define GALENAFLOW_PROTOCOL_PARSED_H

#include "state/error.h"

#include <string_view>

namespace galenaflow::protocol {

/// A parsed input, or all faults found in it.
template <typename T> using Parsed = tl::expected<T, state::Findings>;

/// Whether `text` is 1 to 64 characters of `[A-Za-z0-9._-]`: the form of
/// request ids and of the names of plans, customers, services and replicas.
bool isName(std::string_view text);

/// Whether `text` has the form IP:PORT or [IPV6]:PORT.
bool isIpPort(std::string_view text);

} // namespace galenaflow::protocol

#endif
