#include "forwarding/forward_protocol.h"

#include <array>

namespace galenaflow::forwarding {

state::RequestFingerprint ForwardedRequest::fingerprint() const {
  const std::array<std::string_view, 4> parts{Method, Host, Path, Body};
  return state::fingerprintOf(parts);
}

bool isMisdirected(const ReplicaResult &result) {
  const auto *failure =
      std::get_if<coordination::AttemptFailure>(&result.Outcome);
  return failure != nullptr &&
         failure->End == coordination::AttemptEnd::Misdirected;
}

} // namespace galenaflow::forwarding
