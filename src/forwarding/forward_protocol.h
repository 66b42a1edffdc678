#ifndef GALENAFLOW_FORWARDING_FORWARD_PROTOCOL_H
#define GALENAFLOW_FORWARDING_FORWARD_PROTOCOL_H

#include "coordination/forward_execution.h"
#include "coordination/replica_placement.h"
#include "transport/http_client.h"

#include <optional>
#include <string>
#include <variant>

namespace galenaflow::forwarding {

/// A caller's request, to be forwarded unchanged.
struct ForwardedRequest {
  std::string RequestId; ///< of this attempt of the caller
  std::string Method;
  std::string Path; ///< with the query
  std::string Host;
  transport::HttpHeaders Headers; ///< end to end only
  std::string Body;
};

/// What a replica's response says.
struct ReplicaResult {
  std::variant<coordination::BackendResponse, coordination::AttemptFailure>
      Outcome;
  std::optional<coordination::ServerLoad> Load;
};

/// How replicas are spoken to.
class ReplicaProtocol {
public:
  virtual ~ReplicaProtocol() = default;

  /// The request to one replica, which may work on it for `left`.
  virtual transport::HttpRequest encode(const ForwardedRequest &message,
                                        std::string_view replica,
                                        state::Duration left) const = 0;

  /// Classifies what came back.
  virtual ReplicaResult decode(const ForwardedRequest &message,
                               transport::HttpResult result) const = 0;
};

} // namespace galenaflow::forwarding

#endif
