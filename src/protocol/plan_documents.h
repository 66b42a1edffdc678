#ifndef GALENAFLOW_PROTOCOL_PLAN_DOCUMENTS_H
#define GALENAFLOW_PROTOCOL_PLAN_DOCUMENTS_H

#include "protocol/parsed.h"
#include "state/plan_catalog.h"

#include <map>
#include <string>

/// The operator's lists of plans and of customers as JSON documents
/// (docs/lists.md).
namespace galenaflow::protocol {

using PlanMap = std::map<std::string, state::Plan, std::less<>>;
using CustomerMap = std::map<std::string, state::Customer, std::less<>>;

/// Parses the `plans` document. The keys of the result are plan ids.
Parsed<PlanMap> parsePlans(std::string_view text);

/// Parses the `customers` document. The keys of the result are key hashes. When
/// `plans` is given, a customer whose plan is not in it is a finding.
Parsed<CustomerMap> parseCustomers(std::string_view text,
                                   const PlanMap *plans = nullptr);

/// The list that a document holds, detected by its top-level field.
enum class ListKind { Customers, Plans, Services, Unknown };
ListKind detectListKind(std::string_view text);

/// Return the documents that parse to these maps.
std::string renderPlans(const PlanMap &plans);
std::string renderCustomers(const CustomerMap &customers);

/// Renders the catalogue for status output: versions, plans with the number of
/// their customers, and customers with the number of their keys. The output
/// holds no key hashes.
std::string renderCatalog(const state::PlanCatalog &catalog);

} // namespace galenaflow::protocol

#endif
