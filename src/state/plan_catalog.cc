#include "state/plan_catalog.h"

namespace galenaflow::state {

std::string_view operationName(Operation operation) {
  switch (operation) {
  case Operation::Search:
    return "search";
  case Operation::Suggest:
    return "suggest";
  case Operation::Read:
    return "read";
  case Operation::Write:
    return "write";
  }
  return "search";
}

std::string_view priorityName(Priority priority) {
  return priority == Priority::Urgent ? "urgent" : "normal";
}

const OperationLimits *Plan::limitsOf(Operation operation) const {
  const auto &limits = Operations[static_cast<std::size_t>(operation)];
  return limits ? &*limits : nullptr;
}

const Plan *PlanCatalog::findPlan(std::string_view id) const {
  const auto it = Plans.find(id);
  return it == Plans.end() ? nullptr : &it->second;
}

const Customer *
PlanCatalog::findCustomerByKeyHash(std::string_view keyHash) const {
  const auto it = CustomersByKeyHash.find(keyHash);
  return it == CustomersByKeyHash.end() ? nullptr : &it->second;
}

} // namespace galenaflow::state
