#include "coordination/directory_relay.h"
#include "coordination/executor_selector.h"

#include <catch2/catch.hpp>
#include <map>
#include <set>

using namespace galenaflow;
using namespace galenaflow::coordination;
using namespace std::chrono_literals;

namespace {

using state::DaemonCapacity;

std::vector<DaemonCapacity> strong() {
  return {{"a1", "a", 500}, {"a2", "a", 500}, {"b1", "b", 500},
          {"b2", "b", 500}, {"c1", "c", 500}, {"c2", "c", 500}};
}

struct Fixture {
  TimePoint Now{1h};
  std::set<std::string> Down;
  ExecutorSelector Selector;

  explicit Fixture(DaemonCapacity self = {"w", "b", 120})
      : Selector({}, std::move(self), std::mt19937_64(7)) {
    Selector.setExecutors(strong());
  }
  std::optional<std::string> choose() {
    return Selector.choose(
        [this](const std::string &it) { return !Down.contains(it); }, Now);
  }
};

state::DistinctCount counted(std::initializer_list<std::string_view> names) {
  state::DistinctCount counter;
  for (const std::string_view name : names)
    counter.add(name);
  return counter;
}

} // namespace

TEST_CASE("executors are the daemons with a multiple of the weakest CPU") {
  protocol::FleetReport fleet{counted({}), 120, strong()};
  fleet.Strongest.push_back({"w", "a", 239});
  CHECK(selectExecutors(fleet) == strong());
  // In a fleet of equal VMs nobody works for another.
  CHECK(selectExecutors({counted({}), 250, {{"x", "a", 250}, {"y", "b", 250}}})
            .empty());
  CHECK(selectExecutors({counted({}), 0, strong()}).empty());
}

TEST_CASE("links go to the executors of the own data centre first") {
  Fixture it;
  CHECK(std::set<std::string>{"b1", "b2"} ==
        [wanted = it.Selector.linkTargets()] {
          return std::set<std::string>(wanted.begin(), wanted.end());
        }());
  Fixture elsewhere({"w", "d", 120});
  CHECK(elsewhere.Selector.linkTargets().size() == 2);
  Fixture equal({"w", "b", 300});
  CHECK(equal.Selector.linkTargets().empty());
  CHECK_FALSE(equal.choose());
  Fixture executor({"b1", "b", 500});
  CHECK(executor.Selector.isExecutor());
  CHECK(executor.Selector.linkTargets().empty());
}

TEST_CASE("the executor with the fewest open requests is asked") {
  Fixture it;
  std::map<std::string, int> asked;
  for (int i = 0; i != 40; ++i) {
    const auto executor = it.choose();
    REQUIRE(executor);
    it.Selector.onSent(*executor);
    ++asked[*executor];
  }
  CHECK(asked["b1"] == 20);
  CHECK(asked["b2"] == 20);
}

// Guards against losing one request after another to a suspended VM.
TEST_CASE("an executor that refuses, is silent or has no link is avoided") {
  Fixture it;
  it.Down = {"b1"};
  CHECK(it.choose() == "b2");
  it.Selector.onSent("b2");
  it.Selector.onRefused("b2", it.Now);
  CHECK_FALSE(it.choose());
  it.Now += 200ms;
  CHECK(it.choose() == "b2");
  it.Selector.onTimeout("b2", it.Now);
  it.Now += 1900ms;
  CHECK_FALSE(it.choose());
  it.Now += 100ms;
  CHECK(it.choose() == "b2");
}

TEST_CASE("a new list keeps what is known of an executor") {
  Fixture it;
  it.Selector.onTimeout("b1", it.Now);
  it.Selector.setExecutors({{"b1", "b", 500}, {"a1", "a", 500}});
  CHECK(it.choose() == "a1");
}

TEST_CASE("reports of a fleet add up, and forget daemons that have gone") {
  const TimePoint start{1h};
  FleetAggregator root({"r", "a", 250});
  CHECK(root.subtreeReport(start) ==
        protocol::FleetReport{counted({"r"}), 250, {{"r", "a", 250}}});
  root.onReport("w", {counted({"w"}), 120, {{"w", "a", 120}}}, start);
  root.onReport("s",
                {counted({"s", "t"}), 130, {{"s", "b", 500}, {"t", "b", 130}}},
                start);
  const protocol::FleetReport all = root.subtreeReport(start + 1s);
  CHECK(all.Daemons.count() == 4);
  CHECK(all.WeakestMillicores == 120);
  REQUIRE(all.Strongest.size() == 4);
  CHECK(all.Strongest[0].Address == "s");
  CHECK(all.Strongest[1].Address == "r");
  CHECK(root.subtreeReport(start + 5s).Daemons.count() == 1);
}

// Guards against a large fleet in which one data centre has all executors, so
// that the requests of the others cross to it and back.
TEST_CASE("the named ones of many equal daemons are of all data centres") {
  const TimePoint start{1h};
  FleetAggregator root({"10.1.0.1:80", "a", 120});
  for (const char *zone : {"1", "2", "3"})
    for (int i = 0; i != 50; ++i) {
      const std::string address =
          std::string("10.") + zone + ".0." + std::to_string(i) + ":80";
      root.onReport(address, {counted({address}), 500, {{address, zone, 500}}},
                    start);
    }
  std::map<std::string, int> listed;
  for (const DaemonCapacity &it : root.subtreeReport(start).Strongest)
    ++listed[it.DataCentre];
  for (const char *zone : {"1", "2", "3"}) {
    INFO("data centre " << zone);
    CHECK(listed[zone] >= 3);
  }
}

// Guards against a large fleet in which the strong daemons that are not named
// as executors connect to every replica, beyond what the replicas accept.
TEST_CASE("a daemon as strong as the executors that is none passes requests "
          "on") {
  Fixture unlisted({"b3", "b", 500});
  CHECK_FALSE(unlisted.Selector.isExecutor());
  CHECK(unlisted.choose());
  // One of a strength between gains too little from the way there and back.
  Fixture between({"b4", "b", 300});
  CHECK_FALSE(between.choose());
  Fixture listed({"b2", "b", 500});
  CHECK_FALSE(listed.choose());
}

TEST_CASE("a daemon that has changed its relay is named once") {
  const TimePoint start{1h};
  FleetAggregator root({"r", "a", 250});
  for (const char *relay : {"x", "y"})
    root.onReport(relay, {counted({relay, "s"}), 120, {{"s", "b", 500}}},
                  start);
  CHECK(root.subtreeReport(start).Strongest ==
        std::vector<DaemonCapacity>{{"s", "b", 500}, {"r", "a", 250}});
}

// Guards against a fleet that is counted up to twice too large while its relays
// change, which makes every share of a limit too small.
TEST_CASE("a daemon that two relays report counts once") {
  const TimePoint start{1h};
  FleetAggregator root({"r", "a", 250});
  root.onReport("x", {counted({"x", "s", "t"}), 120, {}}, start);
  root.onReport("y", {counted({"y", "s", "t"}), 120, {}}, start);
  CHECK(root.daemonCount(start) == 5);
  root.onReport("s", {counted({"s"}), 120, {}}, start + 100ms);
  CHECK(root.daemonCount(start + 100ms) == 5);
}

TEST_CASE("a daemon that does not state its CPU changes no report") {
  const TimePoint start{1h};
  FleetAggregator root({"r", "a", 0});
  root.onReport("w", {counted({"w"}), 120, {{"w", "a", 120}}}, start);
  CHECK(root.subtreeReport(start) ==
        protocol::FleetReport{counted({"r", "w"}), 120, {{"w", "a", 120}}});
}

TEST_CASE("a report names a bounded number of daemons") {
  const TimePoint start{1h};
  FleetAggregator root({"r", "a", 100});
  for (std::uint32_t i = 0; i != 1300; ++i) {
    const std::string name = "d" + std::to_string(i);
    root.onReport(name, {counted({name}), 100, {{name, "a", 100 + i}}}, start);
  }
  const protocol::FleetReport all = root.subtreeReport(start);
  CHECK(all.Daemons.count() == 1301);
  REQUIRE(all.Strongest.size() == FleetAggregator::MaxStrongest);
  CHECK(all.Strongest.front().Millicores == 1399);
}

// Guards against a large fleet that runs every request itself for a second, and
// connects to all replicas, whenever a relay restarts.
TEST_CASE("executors stay known while a new relay has not heard of them") {
  ExecutorCache cache;
  TimePoint now{1h};
  cache.update(strong(), now);
  now += 1s;
  cache.update({}, now);
  CHECK(cache.current(now).size() == strong().size());
  now += 1s;
  cache.update({{"a1", "a", 500}}, now);
  CHECK(cache.current(now).size() == strong().size());
  now += 1ms;
  CHECK(cache.current(now) == std::vector<DaemonCapacity>{{"a1", "a", 500}});
  now += 2s;
  CHECK(cache.current(now).empty());
}

TEST_CASE("no more executors are kept than a report names") {
  ExecutorCache cache;
  const TimePoint now{1h};
  for (int i = 0; i != 100; ++i)
    cache.update({{std::to_string(i), "a", 500}}, now);
  CHECK(cache.current(now).size() == FleetAggregator::MaxStrongest);
}
