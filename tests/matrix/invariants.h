#ifndef GALENAFLOW_MATRIX_INVARIANTS_H
#define GALENAFLOW_MATRIX_INVARIANTS_H

#include "support/checks.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace galenaflow::matrix {

enum class Operation { Search, Suggest, Read, Write };

/// One call of a caller and what came back; status 0 stands for no answer.
struct Call {
  Operation Kind = Operation::Search;
  std::string RequestId;
  std::string Text; ///< query, record id or idempotency key
  int Status = 0;
  std::string Body;
};

/// The facts of one cell that the invariants are checked against.
struct Observation {
  support::ServiceSpec Sharded;
  std::vector<Call> Calls;
  nlohmann::json Journal; ///< of the backend stand-in
  std::uint64_t PublishedPlans = 0;
  std::vector<std::vector<std::uint64_t>> PlanVersions; ///< by daemon, in order
};

inline constexpr std::size_t SearchLimit = 50;
inline constexpr std::size_t SuggestLimit = 5;

/// All faults found, each as "INVARIANT: text".
std::vector<std::string> findFaults(const Observation &seen);

} // namespace galenaflow::matrix

#endif
