#ifndef GALENAFLOW_FORWARDING_FORWARD_PROTOCOL_H
#define GALENAFLOW_FORWARDING_FORWARD_PROTOCOL_H

#include "coordination/forward_execution.h"
#include "coordination/replica_placement.h"
#include "state/request_fingerprint.h"
#include "transport/http_client.h"

#include <optional>
#include <string>
#include <variant>

namespace galenaflow::forwarding {

/// A caller's request, which is forwarded unchanged.
struct ForwardedRequest {
  std::string RequestId; ///< identifies this attempt of the caller
  std::string Method;
  std::string Path; ///< including the query
  std::string Host;
  transport::HttpHeaders Headers; ///< end-to-end headers only
  std::string Body;

  /// Counts the request in ClientMemory for as long as it exists.
  std::shared_ptr<const void> Hold{};

  /// Equal for requests with equal method, host, path and body. The callers'
  /// other headers differ between attempts of one caller.
  state::RequestFingerprint fingerprint() const;
};

/// The decoded result of one attempt at a replica.
struct ReplicaResult {
  std::variant<coordination::BackendResponse, coordination::AttemptFailure>
      Outcome;
  std::optional<coordination::ServerLoad> Load; ///< when the replica states it

  /// Whether the result is a response of the replica itself, so that a missing
  /// RequestLimit means that there is none.
  bool IsLimitKnown = false;

  /// Requests a second that the replica accepts from all daemons together.
  std::optional<double> RequestLimit{};

  /// Time for which the replica accepts nothing more from this daemon.
  std::optional<state::Duration> Pause{};

  bool IsLeaving = false; ///< whether the replica states that it leaves

  /// Time for which the replica is still cold, when it states one.
  std::optional<state::Duration> ColdRemaining{};
};

/// Whether another replica has answered at the address.
bool isMisdirected(const ReplicaResult &result);

/// Encodes requests to replicas and decodes their responses.
class ReplicaProtocol {
public:
  virtual ~ReplicaProtocol() = default;

  /// Makes the request to one replica, which shares the body of `message`;
  /// `remaining` is the time until the deadline of its response.
  virtual transport::HttpRequest
  encode(const std::shared_ptr<const ForwardedRequest> &message,
         std::string_view replica, state::Duration remaining) const = 0;

  /// Classifies the response, or the failure of the exchange.
  virtual ReplicaResult decode(const ForwardedRequest &message,
                               transport::HttpResult result) const = 0;
};

} // namespace galenaflow::forwarding

#endif
