#include "state/route_table.h"

#include <algorithm>

// A path is matched by looking up its own prefixes that end with a slash,
// longest first. The cost depends on the depth of the path and not on the
// number of routes, which a configuration change can increase by hundreds.

namespace galenaflow::state {

namespace {

std::string hostKey(std::string_view host) {
  if (const auto colon = host.rfind(':');
      colon != std::string_view::npos && host.back() != ']')
    host = host.substr(0, colon);
  std::string key(host);
  std::transform(key.begin(), key.end(), key.begin(), [](unsigned char c) {
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c + ('a' - 'A'))
                                : static_cast<char>(c);
  });
  return key;
}

/// Leaves `route` only the regions that `other` allows too.
void restrictRegions(Route &route, const Route &other) {
  if (!other.isRestricted())
    return;
  if (!route.isRestricted())
    route.AllowedRegions = other.AllowedRegions;
  std::erase_if(route.AllowedRegions, [&other](const std::string &region) {
    return std::find(other.AllowedRegions.begin(), other.AllowedRegions.end(),
                     region) == other.AllowedRegions.end();
  });
  route.IsNoRegionAllowed |=
      other.IsNoRegionAllowed || route.AllowedRegions.empty();
}

} // namespace

RouteTable::RouteTable(std::uint64_t version, std::vector<Route> routes,
                       std::vector<RoutedService> services, CallerLimits limits,
                       Findings findings)
    : Version(version), Routes(std::move(routes)), Limits(limits),
      Issues(std::move(findings)) {
  for (RoutedService &service : services) {
    const auto [it, isNew] = Services.try_emplace(service.Name, service);
    if (isNew)
      continue;
    it->second.ConnectionLimit =
        std::min(it->second.ConnectionLimit, service.ConnectionLimit);
    it->second.ColdDuration =
        std::max(it->second.ColdDuration, service.ColdDuration);
    // A rate of zero is no limit.
    if (it->second.ColdRequestRate == 0 ||
        (service.ColdRequestRate != 0 &&
         service.ColdRequestRate < it->second.ColdRequestRate))
      it->second.ColdRequestRate = service.ColdRequestRate;
    Issues.add("/services", "got " + service.Name + " again, expected it once");
  }
  for (Route &route : Routes) {
    auto &routesOfHost = RoutesByHost[hostKey(route.Host)];
    const auto [it, isNew] = routesOfHost.try_emplace(route.Prefix, &route);
    if (isNew)
      continue;
    Route &earlier = *it->second;
    for (Route *one : {&route, &earlier}) {
      one->IsIdempotent = route.IsIdempotent && earlier.IsIdempotent;
      one->MaxAttempts = std::min(route.MaxAttempts, earlier.MaxAttempts);
    }
    restrictRegions(route, earlier);
    restrictRegions(earlier, route);
    if (!earlier.hasServices())
      it->second = &route;
    Issues.add("/routes",
               "got " + route.Host + route.Prefix + " again, expected it once");
  }
}

const Route *RouteTable::match(std::string_view host,
                               std::string_view path) const {
  const auto routes = RoutesByHost.find(hostKey(host));
  if (routes == RoutesByHost.end())
    return nullptr;
  path = path.substr(0, path.find('?'));
  for (auto slash = path.rfind('/'); slash != std::string_view::npos;
       slash = slash == 0 ? std::string_view::npos
                          : path.rfind('/', slash - 1)) {
    const auto it = routes->second.find(path.substr(0, slash + 1));
    if (it != routes->second.end())
      return it->second;
  }
  return nullptr;
}

} // namespace galenaflow::state
