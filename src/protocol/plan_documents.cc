// Both parsers read the whole document and collect every fault, so that the
// operator sees all faults of an edit at once. A result is returned only when
// there is no fault: a list is applied completely or not at all.
#include "protocol/plan_documents.h"

#include "protocol/json_reader.h"

#include <nlohmann/json.hpp>
#include <vector>

namespace galenaflow::protocol {

using nlohmann::json;
using state::Findings;

namespace {

constexpr double MinWeight = 0.001;
constexpr double MaxWeight = 1000;
constexpr double MinRate = 0.001;
constexpr double MaxRate = 1e7;
constexpr std::uint64_t MaxConcurrencyBound = 1'000'000;
constexpr std::uint64_t MaxDeadlineMs = 60'000;
constexpr std::uint64_t MaxSearchLimit = 1000;
constexpr std::uint64_t MaxSuggestLimit = 20;

constexpr std::array<state::Operation, state::OperationCount> AllOperations{
    state::Operation::Search, state::Operation::Suggest, state::Operation::Read,
    state::Operation::Write};

bool isKeyHash(std::string_view text) {
  return text.size() == 64 &&
         text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

state::Priority readPriority(ObjectReader &reader) {
  const auto text = reader.text("priority", Presence::Optional);
  if (text && *text != "urgent" && *text != "normal")
    reader.report("priority", R"(must be "urgent" or "normal")");
  return text == "urgent" ? state::Priority::Urgent : state::Priority::Normal;
}

state::Preference readPreference(ObjectReader &reader) {
  const auto text = reader.text("prefer", Presence::Optional);
  if (text && *text != "latency" && *text != "coverage")
    reader.report("prefer", R"(must be "latency" or "coverage")");
  return text == "coverage" ? state::Preference::Coverage
                            : state::Preference::Latency;
}

std::uint64_t maxLimitOf(state::Operation operation) {
  return operation == state::Operation::Suggest ? MaxSuggestLimit
                                                : MaxSearchLimit;
}

state::OperationLimits readLimits(const json &value, const std::string &place,
                                  state::Operation operation,
                                  Findings &findings) {
  ObjectReader reader(value, place, findings);
  state::OperationLimits limits;
  limits.Priority = readPriority(reader);
  limits.Prefer = readPreference(reader);
  limits.MinCoverage =
      reader.number("min_coverage", 0, 1, Presence::Optional).value_or(0);
  const auto deadline =
      reader.integer("deadline_ms", 1, MaxDeadlineMs, Presence::Required);
  limits.Deadline = std::chrono::milliseconds(deadline.value_or(1));
  const auto limit =
      reader.integer("max_limit", 1, maxLimitOf(operation), Presence::Optional);
  limits.MaxLimit = static_cast<std::uint32_t>(limit.value_or(10));
  reader.rejectUnknownFields();
  return limits;
}

void readOperations(ObjectReader &planReader, state::Plan &plan,
                    Findings &findings) {
  const json *value = planReader.object("operations", Presence::Required);
  if (!value)
    return;
  const std::string place = planReader.placeOf("operations");
  ObjectReader reader(*value, place, findings);
  for (const state::Operation operation : AllOperations) {
    const std::string name(state::operationName(operation));
    const json *limits = reader.object(name.c_str(), Presence::Optional);
    if (limits)
      plan.Operations[static_cast<std::size_t>(operation)] =
          readLimits(*limits, pointerTo(place, name), operation, findings);
  }
  reader.rejectUnknownFields();
}

void readServices(ObjectReader &reader, state::Plan &plan, Findings &findings) {
  const json *value = reader.array("services", Presence::Required);
  if (!value)
    return;
  const std::string place = reader.placeOf("services");
  for (std::size_t i = 0; i != value->size(); ++i) {
    const json &item = (*value)[i];
    const std::string itemPlace = pointerTo(place, i);
    if (!item.is_string() || !isName(item.get_ref<const std::string &>()))
      findings.add(itemPlace, "must be the name of a service");
    else if (!plan.Services.insert(item.get<std::string>()).second)
      findings.add(itemPlace, "is listed twice in this plan");
  }
}

state::Plan readPlan(const json &value, const std::string &place,
                     Findings &findings) {
  ObjectReader reader(value, place, findings);
  state::Plan plan;
  plan.Id = reader.name("id", Presence::Required).value_or("");
  plan.Weight =
      reader.number("weight", MinWeight, MaxWeight, Presence::Optional)
          .value_or(1);
  plan.MaxRate = reader.number("max_rate", MinRate, MaxRate, Presence::Required)
                     .value_or(1);
  plan.Burst =
      reader.number("burst", 1, MaxRate, Presence::Required).value_or(1);
  const auto open = reader.integer("max_concurrency", 1, MaxConcurrencyBound,
                                   Presence::Required);
  plan.MaxConcurrency = static_cast<std::uint32_t>(open.value_or(1));
  readServices(reader, plan, findings);
  readOperations(reader, plan, findings);
  reader.rejectUnknownFields();
  return plan;
}

/// Adds one key hash of a customer to `customers`.
void readKeyHash(const json &item, const std::string &place,
                 const state::Customer &customer, CustomerMap &customers,
                 Findings &findings) {
  if (!item.is_string() || !isKeyHash(item.get_ref<const std::string &>())) {
    findings.add(place, "must be 64 lower-case hexadecimal digits");
    return;
  }
  const auto [it, isNew] =
      customers.try_emplace(item.get<std::string>(), customer);
  if (!isNew)
    findings.add(place, "this key hash already belongs to customer \"" +
                            it->second.Id + "\"");
}

void readKeyHashes(ObjectReader &reader, const state::Customer &customer,
                   CustomerMap &customers, Findings &findings) {
  const json *value = reader.array("keys_sha256", Presence::Required);
  if (!value)
    return;
  if (value->empty())
    reader.report("keys_sha256", "must hold at least one key hash");
  const std::string place = reader.placeOf("keys_sha256");
  for (std::size_t i = 0; i != value->size(); ++i)
    readKeyHash((*value)[i], pointerTo(place, i), customer, customers,
                findings);
}

std::string readCustomer(const json &value, const std::string &place,
                         const PlanMap *plans, CustomerMap &customers,
                         Findings &findings) {
  ObjectReader reader(value, place, findings);
  state::Customer customer;
  customer.Id = reader.name("id", Presence::Required).value_or("");
  customer.PlanId = reader.name("plan", Presence::Required).value_or("");
  if (plans && !customer.PlanId.empty() && !plans->contains(customer.PlanId))
    reader.report("plan", "no plan \"" + customer.PlanId + "\" is listed");
  readKeyHashes(reader, customer, customers, findings);
  reader.rejectUnknownFields();
  return customer.Id;
}

const char *preferenceName(state::Preference prefer) {
  return prefer == state::Preference::Coverage ? "coverage" : "latency";
}

json limitsToJson(const state::OperationLimits &limits) {
  const auto ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(limits.Deadline);
  return {{"priority", state::priorityName(limits.Priority)},
          {"prefer", preferenceName(limits.Prefer)},
          {"min_coverage", limits.MinCoverage},
          {"deadline_ms", ms.count()},
          {"max_limit", limits.MaxLimit}};
}

json planToJson(const state::Plan &plan) {
  json operations = json::object();
  for (const state::Operation operation : AllOperations)
    if (const state::OperationLimits *limits = plan.limitsOf(operation))
      operations[std::string(state::operationName(operation))] =
          limitsToJson(*limits);
  return {{"id", plan.Id},
          {"weight", plan.Weight},
          {"max_rate", plan.MaxRate},
          {"burst", plan.Burst},
          {"max_concurrency", plan.MaxConcurrency},
          {"services", plan.Services},
          {"operations", std::move(operations)}};
}

} // namespace

Parsed<PlanMap> parsePlans(std::string_view text) {
  Findings findings;
  const json document = parseJson(text, findings);
  ObjectReader reader(document, "", findings);
  const json *items = reader.array("plans", Presence::Required);
  PlanMap plans;
  for (std::size_t i = 0; items && i != items->size(); ++i) {
    const std::string place = pointerTo("/plans", i);
    state::Plan plan = readPlan((*items)[i], place, findings);
    std::string id = plan.Id;
    if (!id.empty() && !plans.try_emplace(id, std::move(plan)).second)
      findings.add(pointerTo(place, "id"), "another plan has this id");
  }
  reader.rejectUnknownFields();
  if (!findings.empty())
    return tl::unexpected(std::move(findings));
  return plans;
}

Parsed<CustomerMap> parseCustomers(std::string_view text,
                                   const PlanMap *plans) {
  Findings findings;
  const json document = parseJson(text, findings);
  ObjectReader reader(document, "", findings);
  const json *items = reader.array("customers", Presence::Required);
  CustomerMap customers;
  std::set<std::string> ids;
  for (std::size_t i = 0; items && i != items->size(); ++i) {
    const std::string place = pointerTo("/customers", i);
    std::string id =
        readCustomer((*items)[i], place, plans, customers, findings);
    if (!id.empty() && !ids.insert(std::move(id)).second)
      findings.add(pointerTo(place, "id"), "another customer has this id");
  }
  reader.rejectUnknownFields();
  if (!findings.empty())
    return tl::unexpected(std::move(findings));
  return customers;
}

ListKind detectListKind(std::string_view text) {
  const json document = json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (!document.is_object())
    return ListKind::Unknown;
  if (document.contains("customers"))
    return ListKind::Customers;
  if (document.contains("plans"))
    return ListKind::Plans;
  return document.contains("services") ? ListKind::Services : ListKind::Unknown;
}

std::string renderPlans(const PlanMap &plans) {
  json items = json::array();
  for (const auto &[id, plan] : plans)
    items.push_back(planToJson(plan));
  return dumpJson({{"plans", std::move(items)}});
}

std::string renderCustomers(const CustomerMap &customers) {
  std::map<std::string, json> byId;
  for (const auto &[hash, customer] : customers) {
    json &item = byId[customer.Id];
    item["id"] = customer.Id;
    item["plan"] = customer.PlanId;
    item["keys_sha256"].push_back(hash);
  }
  json items = json::array();
  for (auto &[id, item] : byId)
    items.push_back(std::move(item));
  return dumpJson({{"customers", std::move(items)}});
}

std::string renderCatalog(const state::PlanCatalog &catalog) {
  std::map<std::string, json> byId;
  std::map<std::string, std::uint64_t> customersOfPlan;
  for (const auto &[hash, customer] : catalog.CustomersByKeyHash) {
    json &item = byId[customer.Id];
    if (item.is_null()) {
      item = {{"id", customer.Id}, {"plan", customer.PlanId}, {"keys", 0}};
      ++customersOfPlan[customer.PlanId];
    }
    item["keys"] = item["keys"].get<std::uint64_t>() + 1;
  }
  json plans = json::array();
  for (const auto &[id, plan] : catalog.Plans) {
    plans.push_back(planToJson(plan));
    plans.back()["customers"] = customersOfPlan[id];
  }
  json customers = json::array();
  for (auto &[id, item] : byId)
    customers.push_back(std::move(item));
  return dumpJson({{"customers_version", catalog.CustomersVersion},
                   {"plans_version", catalog.PlansVersion},
                   {"plans", std::move(plans)},
                   {"customers", std::move(customers)}});
}

} // namespace galenaflow::protocol
