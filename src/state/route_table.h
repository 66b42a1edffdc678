#ifndef GALENAFLOW_STATE_ROUTE_TABLE_H
#define GALENAFLOW_STATE_ROUTE_TABLE_H

#include "state/clock.h"
#include "state/error.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

/// The routes of a published configuration.
namespace galenaflow::state {

/// A service and its relative share of a route's requests.
struct WeightedTarget {
  std::string Service;
  double Weight = 1;
};

/// The services of a sharded route. A request is sent to one replica of each,
/// and the parts are merged.
struct ShardSet {
  std::vector<std::string> Services;
  std::uint32_t TopK = 0;   ///< records in the answer
  double MinShardRatio = 1; ///< the request fails with a lower ratio of parts
};

struct Route {
  std::string Name; ///< differs from those of the other routes
  std::string Host;
  std::string Prefix; ///< begins and ends with a slash

  /// Whether a request may run more than once.
  bool IsIdempotent = false;

  /// Number of replicas that may run one request; for a shard set, per shard.
  std::uint32_t MaxAttempts = 1;

  Duration Timeout{0};          ///< longest time until the final answer
  Duration LatencyObjective{0}; ///< zero: none
  int Priority = 0;             ///< 0 is the most urgent

  /// One of Targets and Shards is empty. Both are empty when the published
  /// services cannot be read; such a route matches requests, so that no route
  /// with a shorter prefix does, and they are refused.
  std::vector<WeightedTarget> Targets;
  ShardSet Shards;

  /// Regions (groups of data centres) in which requests may be handled. Empty:
  /// in all of them.
  std::vector<std::string> AllowedRegions;

  /// Whether no region is allowed: the published list cannot be read, or the
  /// lists of several routes for the same requests have no region in common.
  bool IsNoRegionAllowed = false;

  bool isRestricted() const {
    return IsNoRegionAllowed || !AllowedRegions.empty();
  }
  bool isSharded() const { return !Shards.Services.empty(); }
  bool hasServices() const { return isSharded() || !Targets.empty(); }
};

struct RoutedService {
  std::string Name;
  std::uint32_t ConnectionLimit = 1; ///< per replica, over all callers

  /// Time for which a replica is cold after its start.
  Duration ColdDuration{0};

  /// Requests a second that a cold replica tolerates from all daemons together;
  /// zero: no limit.
  double ColdRequestRate = 0;
};

/// Limits on requests and connections of callers.
struct CallerLimits {
  std::size_t MaxHeaderBytes = std::size_t{16} << 10;
  std::size_t MaxBodyBytes = std::size_t{256} << 10;
  Duration HeaderTimeout = std::chrono::seconds(3);
  Duration IdleTimeout = std::chrono::seconds(15);
};

/// All routes of one version. Immutable once published.
class RouteTable {
public:
  /// Of several routes with the same host and prefix, the first that has
  /// services is used, with the strictest of their types and limits on
  /// attempts, and with the regions that both allow. Of several services with
  /// the same name, the smallest limit is used. Both are added to `findings`.
  RouteTable(std::uint64_t version, std::vector<Route> routes,
             std::vector<RoutedService> services, CallerLimits limits,
             Findings findings = {});

  std::uint64_t version() const { return Version; }
  const CallerLimits &limits() const { return Limits; }
  const std::vector<Route> &routes() const { return Routes; }
  const std::map<std::string, RoutedService, std::less<>> &services() const {
    return Services;
  }

  /// What was published and is not used, or is used in another form.
  const Findings &findings() const { return Issues; }

  /// The route of `host` with the longest prefix of `path`; a port in `host`
  /// and a query in `path` are ignored. Null when there is none.
  const Route *match(std::string_view host, std::string_view path) const;

private:
  std::uint64_t Version;
  std::vector<Route> Routes;
  std::map<std::string, RoutedService, std::less<>> Services;
  CallerLimits Limits;
  Findings Issues;

  /// Routes by host in lower case, then by prefix.
  std::map<std::string, std::map<std::string, Route *, std::less<>>,
           std::less<>>
      RoutesByHost;
};

using RouteTablePtr = std::shared_ptr<const RouteTable>;

} // namespace galenaflow::state

#endif
