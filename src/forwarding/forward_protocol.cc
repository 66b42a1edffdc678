#include "forwarding/forward_protocol.h"

#include <array>

namespace galenaflow::forwarding {

state::RequestFingerprint ForwardedRequest::fingerprint() const {
  const std::array<std::string_view, 4> parts{Method, Host, Path, Body};
  return state::fingerprintOf(parts);
}

} // namespace galenaflow::forwarding
