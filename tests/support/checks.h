#ifndef GALENAFLOW_SUPPORT_CHECKS_H
#define GALENAFLOW_SUPPORT_CHECKS_H

#include "support/deployment.h"

#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace galenaflow::support {

/// Checks that an answer to a search holds exactly the best `limit` listings of
/// the shards that it claims to cover, at the snapshot that it names, in order,
/// none lost and none doubled. Returns the first fault found. `shardCount` is
/// that of the snapshot's layout.
std::optional<std::string> findAnswerFault(const nlohmann::json &answer,
                                           const ServiceSpec &service,
                                           std::uint32_t shardCount,
                                           std::string_view query,
                                           std::size_t limit);

/// Checks a journal of the backend stand-in: no idempotency key ran twice.
/// Returns the first fault found.
std::optional<std::string> findJournalFault(const nlohmann::json &journal);

/// How often a key ran.
std::size_t countRuns(const nlohmann::json &journal, std::string_view key);

/// Calls as a caller would make them, to one daemon.
class CallerClient {
public:
  CallerClient(Deployment &deployment, std::string address,
               const std::string &customer)
      : Target(deployment), Address(std::move(address)),
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

  /// A key from POST /v1/request-ids; empty on failure.
  std::string issueKey();

private:
  transport::HttpResponse send(transport::HttpRequest request);

  Deployment &Target;
  std::string Address;
  std::string Key;
};

} // namespace galenaflow::support

#endif
