#ifndef GALENAFLOW_PROTOCOL_PLAN_DOCUMENTS_H
#define GALENAFLOW_PROTOCOL_PLAN_DOCUMENTS_H

#include "protocol/parsed.h"
#include "state/plan_catalog.h"

#include <map>
#include <string>

/// The operator's two lists as JSON documents (docs/lists.md).
namespace galenaflow::protocol {

using PlanMap = std::map<std::string, state::Plan, std::less<>>;
using CustomerMap = std::map<std::string, state::Customer, std::less<>>;

/// Parses the `plans` document. Keys of the result are plan ids.
Parsed<PlanMap> parsePlans(std::string_view text);

/// Parses the `customers` document. Keys of the result are key hashes. With
/// `plans`, a customer on a plan that is not listed is a finding.
Parsed<CustomerMap> parseCustomers(std::string_view text,
                                   const PlanMap *plans = nullptr);

/// Which list a document holds, by its top-level field.
enum class ListKind { Customers, Plans, Services, Unknown };
ListKind detectListKind(std::string_view text);

/// The documents that parse to these maps.
std::string renderPlans(const PlanMap &plans);
std::string renderCustomers(const CustomerMap &customers);

/// The catalogue for status output: versions, plans with their customers'
/// count, and customers with the number of their keys. Holds no key hashes.
std::string renderCatalog(const state::PlanCatalog &catalog);

} // namespace galenaflow::protocol

#endif
