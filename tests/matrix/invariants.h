#ifndef GALENAFLOW_MATRIX_INVARIANTS_H
#define GALENAFLOW_MATRIX_INVARIANTS_H

#include "support/checks.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace galenaflow::matrix {

enum class Operation { Search, Suggest, Read, Write };

/// One request of a caller and its answer; status 0 means that there was none.
struct Call {
  Operation Kind = Operation::Search;
  std::string RequestId;
  std::string Text; ///< query, record id or idempotency key
  int Status = 0;
  std::string Body;
};

/// The observations of one cell, against which the invariants are checked.
struct Observation {
  support::ServiceSpec Sharded;
  std::vector<Call> Calls;
  nlohmann::json Journal; ///< of the backend stand-in
  std::uint64_t PublishedPlans = 0;
  /// The versions of the plans that each daemon reported, in order of time.
  std::vector<std::vector<std::uint64_t>> PlanVersions;
};

inline constexpr std::size_t SearchLimit = 50;
inline constexpr std::size_t SuggestLimit = 5;

/// Returns all violations of the invariants, each as "INVARIANT: text".
std::vector<std::string> findFaults(const Observation &observed);

} // namespace galenaflow::matrix

#endif
