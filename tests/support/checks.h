#ifndef GALENAFLOW_SUPPORT_CHECKS_H
#define GALENAFLOW_SUPPORT_CHECKS_H

#include "support/deployment.h"

#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace galenaflow::support {

/// Checks that the hits of an answer to a search are exactly the best `limit`
/// listings of the shards in its coverage, at the snapshot that it states, in
/// order and without a missing or duplicate hit. Returns the first fault found.
/// `shardCount` is the number of shards in the layout of the snapshot.
std::optional<std::string> findAnswerFault(const nlohmann::json &answer,
                                           const ServiceSpec &service,
                                           std::uint32_t shardCount,
                                           std::string_view query,
                                           std::size_t limit);

/// Checks that no idempotency key ran twice, by the journal of the backend
/// stand-in. Returns the first fault found.
std::optional<std::string> findJournalFault(const nlohmann::json &journal);

/// Returns how many times an idempotency key ran.
std::size_t countRuns(const nlohmann::json &journal, std::string_view key);

/// Sends requests to one daemon with the key of one customer.
class CallerClient {
public:
  CallerClient(Deployment &deployment, std::string address,
               const std::string &customer)
      : System(deployment), Address(std::move(address)),
        Key(Deployment::callerKey(customer)) {}

  transport::HttpResponse search(const std::string &service,
                                 const std::string &query, std::size_t limit);
  transport::HttpResponse suggest(const std::string &service,
                                  const std::string &prefix, std::size_t limit);
  transport::HttpResponse read(const std::string &service,
                               const std::string &id);
  transport::HttpResponse write(const std::string &service,
                                const std::string &idempotencyKey,
                                const std::string &body);

  /// Requests an idempotency key with POST /v1/request-ids. Returns an empty
  /// text on failure.
  std::string requestKey();

private:
  transport::HttpResponse send(transport::HttpRequest request);

  Deployment &System;
  std::string Address;
  std::string Key;
};

} // namespace galenaflow::support

#endif
