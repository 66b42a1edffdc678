#include "daemon/published_lists.h"

#include "protocol/plan_documents.h"
#include "protocol/topology_document.h"

// The customers list and the plans list change one at a time, so that for a
// short time a customer can have a plan that is not listed yet. The document
// is valid all the same; requests of such a customer are refused until the
// other list arrives.

namespace galenaflow::daemon {

PublishedLists::PublishedLists()
    : Catalog(std::make_shared<state::PlanCatalog>()),
      Topology(std::make_shared<state::Topology>()),
      Vms(std::make_shared<protocol::VmList>()) {}

state::Findings PublishedLists::apply(std::string_view key,
                                      std::uint64_t version,
                                      std::string_view text) {
  if (version <= versionOf(key))
    return {};
  if (key == protocol::CustomersKey)
    return applyCustomers(version, text);
  if (key == protocol::PlansKey)
    return applyPlans(version, text);
  if (key == protocol::ServicesKey)
    return applyServices(version, text);
  return applyVms(text);
}

state::Findings PublishedLists::check(std::string_view key,
                                      std::string_view text) {
  PublishedLists scratch;
  return scratch.apply(key, 1, text);
}

bool PublishedLists::isComplete() const {
  return Catalog->CustomersVersion != 0 && Catalog->PlansVersion != 0 &&
         Topology->Version != 0;
}

void PublishedLists::onChange(std::function<void(std::string_view)> callback) {
  Listeners.push_back(std::move(callback));
}

state::Findings PublishedLists::applyCustomers(std::uint64_t version,
                                               std::string_view text) {
  auto customers = protocol::parseCustomers(text);
  if (!customers)
    return customers.error();
  auto catalog = std::make_shared<state::PlanCatalog>(*Catalog);
  catalog->CustomersVersion = version;
  catalog->CustomersByKeyHash = std::move(*customers);
  Catalog = std::move(catalog);
  notifyListeners(protocol::CustomersKey);
  return {};
}

state::Findings PublishedLists::applyPlans(std::uint64_t version,
                                           std::string_view text) {
  auto plans = protocol::parsePlans(text);
  if (!plans)
    return plans.error();
  auto catalog = std::make_shared<state::PlanCatalog>(*Catalog);
  catalog->PlansVersion = version;
  catalog->Plans = std::move(*plans);
  Catalog = std::move(catalog);
  notifyListeners(protocol::PlansKey);
  return {};
}

state::Findings PublishedLists::applyServices(std::uint64_t version,
                                              std::string_view text) {
  auto topology = protocol::parseTopology(text, version);
  if (!topology)
    return topology.error();
  Topology = std::make_shared<state::Topology>(std::move(*topology));
  notifyListeners(protocol::ServicesKey);
  return {};
}

state::Findings PublishedLists::applyVms(std::string_view text) {
  auto vms = protocol::parseVmList(text);
  if (!vms)
    return vms.error();
  if (vms->Version <= Vms->Version)
    return {};
  Vms = std::make_shared<protocol::VmList>(std::move(*vms));
  notifyListeners("vms");
  return {};
}

std::uint64_t PublishedLists::versionOf(std::string_view key) const {
  if (key == protocol::CustomersKey)
    return Catalog->CustomersVersion;
  if (key == protocol::PlansKey)
    return Catalog->PlansVersion;
  if (key == protocol::ServicesKey)
    return Topology->Version;
  return Vms->Version;
}

void PublishedLists::notifyListeners(std::string_view key) {
  for (const auto &callback : Listeners)
    callback(key);
}

} // namespace galenaflow::daemon
