#ifndef GALENAFLOW_DAEMON_PUBLISHED_LISTS_H
#define GALENAFLOW_DAEMON_PUBLISHED_LISTS_H

#include "protocol/platform_api.h"
#include "state/error.h"
#include "state/plan_catalog.h"
#include "state/topology.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace galenaflow::daemon {

using VmListPtr = std::shared_ptr<const protocol::VmList>;

/// Holds the parsed documents of the platform that this process currently
/// uses. Each document is replaced as a whole and only by a valid newer
/// version.
class PublishedLists {
public:
  PublishedLists();

  /// Returns all findings of a document, without applying it.
  static state::Findings check(std::string_view key, std::string_view text);

  /// Applies a version of `key` ("customers", "plans", "services" or "vms"). If
  /// there are findings, the older version stays in use. A version that is not
  /// newer is ignored and has no findings.
  state::Findings apply(std::string_view key, std::uint64_t version,
                        std::string_view text);

  const state::PlanCatalogPtr &catalog() const { return Catalog; }
  const state::TopologyPtr &topology() const { return Topology; }
  const VmListPtr &vms() const { return Vms; }

  /// Whether every document that admission needs has been applied.
  bool isComplete() const;

  /// Adds a callback that runs after each change, with the key that changed.
  void onChange(std::function<void(std::string_view)> callback);

private:
  state::Findings applyCustomers(std::uint64_t version, std::string_view text);
  state::Findings applyPlans(std::uint64_t version, std::string_view text);
  state::Findings applyServices(std::uint64_t version, std::string_view text);
  state::Findings applyVms(std::string_view text);
  std::uint64_t versionOf(std::string_view key) const;
  void notifyListeners(std::string_view key);

  state::PlanCatalogPtr Catalog;
  state::TopologyPtr Topology;
  VmListPtr Vms;
  std::vector<std::function<void(std::string_view)>> Listeners;
};

} // namespace galenaflow::daemon

#endif
