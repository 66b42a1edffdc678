#ifndef GALENAFLOW_STATE_PLAN_CATALOG_H
#define GALENAFLOW_STATE_PLAN_CATALOG_H

#include "state/clock.h"

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

/// The operator's two lists: the plan of each customer and the limits of each
/// plan.
namespace galenaflow::state {

enum class Operation { Search, Suggest, Read, Write };
inline constexpr std::size_t OperationCount = 4;

/// "search", "suggest", "read" or "write".
std::string_view operationName(Operation operation);

enum class Priority { Urgent, Normal };
std::string_view priorityName(Priority priority);

/// Whether an operation trades coverage for latency, or latency for coverage,
/// when shards are late.
enum class Preference {
  Latency,  ///< answer at the straggler cut-off with the parts that arrived
  Coverage, ///< wait for missing shards until the deadline
};

struct OperationLimits {
  state::Priority Priority = state::Priority::Normal;
  Preference Prefer = Preference::Latency;
  double MinCoverage = 0;      ///< 0 to 1; the query fails below it
  Duration Deadline{0};        ///< default and upper bound
  std::uint32_t MaxLimit = 10; ///< largest number of hits
};

struct Plan {
  std::string Id;
  double Weight = 1;                ///< share of capacity under contention
  double MaxRate = 1;               ///< requests per second, over all daemons
  double Burst = 1;                 ///< requests above the rate at once
  std::uint32_t MaxConcurrency = 1; ///< open requests, over all daemons
  std::set<std::string, std::less<>> Services;
  std::array<std::optional<OperationLimits>, OperationCount> Operations;

  /// Null when the plan does not allow the operation.
  const OperationLimits *limitsOf(Operation operation) const;
};

struct Customer {
  std::string Id;
  std::string PlanId;
};

/// Both lists, each with the version that the platform assigned. Immutable once
/// published.
struct PlanCatalog {
  std::uint64_t CustomersVersion = 0;
  std::uint64_t PlansVersion = 0;
  std::map<std::string, Plan, std::less<>> Plans;
  std::map<std::string, Customer, std::less<>> CustomersByKeyHash;

  const Plan *findPlan(std::string_view id) const;

  /// Finds a customer by the SHA-256 of its key in lower-case hexadecimal, as
  /// the list has it. Null when there is none.
  const Customer *findCustomerByKeyHash(std::string_view keyHash) const;
};

using PlanCatalogPtr = std::shared_ptr<const PlanCatalog>;

} // namespace galenaflow::state

#endif
