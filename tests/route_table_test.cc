#include "state/route_table.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace galenaflow::state;

namespace {

Route route(std::string host, std::string prefix) {
  Route it;
  it.Name = prefix;
  it.Host = std::move(host);
  it.Prefix = std::move(prefix);
  it.Targets = {{"service", 1}};
  return it;
}

/// Slow reference that compares every route.
const Route *matchByScan(const RouteTable &table, std::string_view host,
                         std::string_view path) {
  const Route *best = nullptr;
  for (const Route &it : table.routes())
    if (it.Host == host && path.starts_with(it.Prefix) &&
        (best == nullptr || it.Prefix.size() > best->Prefix.size()))
      best = &it;
  return best;
}

} // namespace

// Guards against matches of another host's routes, of a shorter prefix, or of a
// part of a path segment or of the query string.
TEST_CASE("the route of the host with the longest prefix matches") {
  const RouteTable table(7,
                         {route("a.example", "/"), route("a.example", "/x/"),
                          route("a.example", "/x/y/"),
                          route("b.example", "/x/y/z/")},
                         {}, {});
  CHECK(table.match("a.example", "/x/y/z/1")->Prefix == "/x/y/");
  CHECK(table.match("a.example", "/x/1?q=/y/")->Prefix == "/x/");
  CHECK(table.match("a.example", "/xy/1")->Prefix == "/");
  CHECK(table.match("A.Example:8080", "/x/1")->Prefix == "/x/");
  CHECK(table.match("b.example", "/x/y/") == nullptr);
  CHECK(table.match("c.example", "/") == nullptr);
  CHECK(table.match("a.example", "x") == nullptr);
}

// Guards against a request that runs more often than one of the published
// routes allows.
TEST_CASE(
    "of two routes for the same requests the first with services is used, "
    "with the stricter limits") {
  Route first = route("A.example", "/x/");
  first.IsIdempotent = true;
  first.MaxAttempts = 2;
  Route second = route("a.example", "/x/");
  second.Targets = {{"other", 1}};
  second.MaxAttempts = 3;
  const RouteTable table(1, {first, second}, {{"s", 9}, {"s", 4}}, {});
  REQUIRE(table.match("a.example", "/x/"));
  CHECK(table.match("a.example", "/x/")->Targets[0].Service == "service");
  CHECK_FALSE(table.match("a.example", "/x/")->IsIdempotent);
  CHECK(table.match("a.example", "/x/")->MaxAttempts == 2);
  CHECK(table.services().at("s").ConnectionLimit == 4);
  CHECK(table.findings().items().size() == 2);
  first.Targets.clear();
  CHECK(RouteTable(1, {first, second}, {}, {})
            .match("a.example", "/x/")
            ->Targets[0]
            .Service == "other");
}

// Guards against routes that the index does not find.
TEST_CASE("a match gives the same route as a scan over all routes") {
  rc::check([] {
    const auto segment = rc::gen::element<std::string>("a", "b", "ab");
    const auto path =
        rc::gen::map(rc::gen::container<std::vector<std::string>>(segment),
                     [](const std::vector<std::string> &parts) {
                       std::string text = "/";
                       for (std::size_t i = 0;
                            i != std::min<std::size_t>(4, parts.size()); ++i)
                         text += parts[i] + "/";
                       return text;
                     });
    std::vector<Route> routes;
    for (const std::string &prefix :
         *rc::gen::container<std::set<std::string>>(path))
      routes.push_back(route("h", prefix));
    const RouteTable table(1, routes, {}, {});
    const std::string requestPath =
        *path + *rc::gen::element<std::string>("", "a");
    RC_ASSERT(table.match("h", requestPath) ==
              matchByScan(table, "h", requestPath));
  });
}

// Guards against requests that leave the regions of one of two routes for them.
TEST_CASE("of two routes for the same requests, both lists of regions apply") {
  using Regions = std::vector<std::string>;
  const auto merged = [](const Regions &a, const Regions &b) {
    Route first = route("h", "/x/");
    Route second = route("h", "/x/");
    first.AllowedRegions = a;
    second.AllowedRegions = b;
    return *RouteTable(1, {first, second}, {}, {}).match("h", "/x/");
  };
  CHECK_FALSE(merged({}, {}).isRestricted());
  CHECK(merged({"eu"}, {}).AllowedRegions == Regions{"eu"});
  CHECK(merged({}, {"eu"}).AllowedRegions == Regions{"eu"});
  CHECK(merged({"eu", "us"}, {"us", "asia"}).AllowedRegions == Regions{"us"});
  CHECK_FALSE(merged({"eu", "us"}, {"us"}).IsNoRegionAllowed);
  CHECK(merged({"eu"}, {"us"}).IsNoRegionAllowed);
}
