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

std::vector<DaemonCapacity> strongDaemons() {
  return {{"a1", "a", 500}, {"a2", "a", 500}, {"b1", "b", 500},
          {"b2", "b", 500}, {"c1", "c", 500}, {"c2", "c", 500}};
}

struct Fixture {
  TimePoint Now{1h};
  std::set<std::string> Unlinked;
  ExecutorSelector Selector;

  explicit Fixture(DaemonCapacity self = {"w", "b", 120})
      : Selector({}, std::move(self), std::mt19937_64(7)) {
    Selector.setExecutors(strongDaemons());
  }
  std::optional<std::string> choose() {
    return Selector.choose(
        [this](const std::string &it) { return !Unlinked.contains(it); }, Now);
  }
};

state::DistinctCount makeCount(std::initializer_list<std::string_view> names) {
  state::DistinctCount counter;
  for (const std::string_view name : names)
    counter.add(name);
  return counter;
}

} // namespace

TEST_CASE(
    "executors are the daemons with a multiple of the CPU of the weakest") {
  protocol::FleetReport fleet{makeCount({}), 120, strongDaemons()};
  fleet.Strongest.push_back({"w", "a", 239});
  CHECK(selectExecutors(fleet) == strongDaemons());
  // A fleet of VMs with the same CPU has no executors.
  CHECK(
      selectExecutors({makeCount({}), 250, {{"x", "a", 250}, {"y", "b", 250}}})
          .empty());
  CHECK(selectExecutors({makeCount({}), 0, strongDaemons()}).empty());
}

TEST_CASE("a daemon links to the executors of its data centre first") {
  Fixture it;
  CHECK(std::set<std::string>{"b1", "b2"} ==
        [targets = it.Selector.linkTargets()] {
          return std::set<std::string>(targets.begin(), targets.end());
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

TEST_CASE("the executor with the fewest open requests is chosen") {
  Fixture it;
  std::map<std::string, int> sent;
  for (int i = 0; i != 40; ++i) {
    const auto executor = it.choose();
    REQUIRE(executor);
    it.Selector.onSent(*executor);
    ++sent[*executor];
  }
  CHECK(sent["b1"] == 20);
  CHECK(sent["b2"] == 20);
}

// Guards against a suspended VM to which one request after another is sent and
// lost.
TEST_CASE("an executor that refuses, does not reply in time or has no link is "
          "not chosen") {
  Fixture it;
  it.Unlinked = {"b1"};
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

TEST_CASE("a new list of executors keeps the cooldown of a known one") {
  Fixture it;
  it.Selector.onTimeout("b1", it.Now);
  it.Selector.setExecutors({{"b1", "b", 500}, {"a1", "a", 500}});
  CHECK(it.choose() == "a1");
}

TEST_CASE("reports on the fleet are aggregated, and expire") {
  const TimePoint start{1h};
  FleetAggregator root({"r", "a", 250});
  CHECK(root.subtreeReport(start) ==
        protocol::FleetReport{makeCount({"r"}), 250, {{"r", "a", 250}}});
  root.onReport("w", {makeCount({"w"}), 120, {{"w", "a", 120}}}, start);
  root.onReport(
      "s", {makeCount({"s", "t"}), 130, {{"s", "b", 500}, {"t", "b", 130}}},
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
// that requests of the other data centres are sent there and back.
TEST_CASE("a report on many equal daemons lists some of each data centre") {
  const TimePoint start{1h};
  FleetAggregator root({"10.1.0.1:80", "a", 120});
  for (const char *zone : {"1", "2", "3"})
    for (int i = 0; i != 50; ++i) {
      const std::string address =
          std::string("10.") + zone + ".0." + std::to_string(i) + ":80";
      root.onReport(address,
                    {makeCount({address}), 500, {{address, zone, 500}}}, start);
    }
  std::map<std::string, int> listed;
  for (const DaemonCapacity &it : root.subtreeReport(start).Strongest)
    ++listed[it.DataCentre];
  for (const char *zone : {"1", "2", "3"}) {
    INFO("data centre " << zone);
    CHECK(listed[zone] >= 3);
  }
}

// Guards against a large fleet in which the strong daemons that are not listed
// as executors connect to every replica, beyond the replicas' limits.
TEST_CASE("a daemon as strong as the executors that is not listed delegates") {
  Fixture unlisted({"b3", "b", 500});
  CHECK_FALSE(unlisted.Selector.isExecutor());
  CHECK(unlisted.choose());
  // A daemon with more than half the CPU of the executors gains too little for
  // the round trip.
  Fixture between({"b4", "b", 300});
  CHECK_FALSE(between.choose());
  Fixture listed({"b2", "b", 500});
  CHECK_FALSE(listed.choose());
}

TEST_CASE("a daemon that has changed its relay is listed once") {
  const TimePoint start{1h};
  FleetAggregator root({"r", "a", 250});
  for (const char *relay : {"x", "y"})
    root.onReport(relay, {makeCount({relay, "s"}), 120, {{"s", "b", 500}}},
                  start);
  CHECK(root.subtreeReport(start).Strongest ==
        std::vector<DaemonCapacity>{{"s", "b", 500}, {"r", "a", 250}});
}

// Guards against a count of up to twice the fleet's size while daemons change
// their relay, which makes every share of a limit too small.
TEST_CASE("a daemon that two relays report counts once") {
  const TimePoint start{1h};
  FleetAggregator root({"r", "a", 250});
  root.onReport("x", {makeCount({"x", "s", "t"}), 120, {}}, start);
  root.onReport("y", {makeCount({"y", "s", "t"}), 120, {}}, start);
  CHECK(root.daemonCount(start) == 5);
  root.onReport("s", {makeCount({"s"}), 120, {}}, start + 100ms);
  CHECK(root.daemonCount(start + 100ms) == 5);
}

TEST_CASE("a daemon that does not state its CPU is counted but not listed") {
  const TimePoint start{1h};
  FleetAggregator root({"r", "a", 0});
  root.onReport("w", {makeCount({"w"}), 120, {{"w", "a", 120}}}, start);
  CHECK(root.subtreeReport(start) ==
        protocol::FleetReport{makeCount({"r", "w"}), 120, {{"w", "a", 120}}});
}

TEST_CASE("a report lists a limited number of daemons") {
  const TimePoint start{1h};
  FleetAggregator root({"r", "a", 100});
  for (std::uint32_t i = 0; i != 1300; ++i) {
    const std::string name = "d" + std::to_string(i);
    root.onReport(name, {makeCount({name}), 100, {{name, "a", 100 + i}}},
                  start);
  }
  const protocol::FleetReport all = root.subtreeReport(start);
  CHECK(all.Daemons.count() == 1301);
  REQUIRE(all.Strongest.size() == FleetAggregator::MaxStrongest);
  CHECK(all.Strongest.front().Millicores == 1399);
}

// Guards against daemons of a large fleet that execute every request locally
// for a second, and connect to all replicas, whenever a relay restarts.
TEST_CASE("executors are kept for a time while a new relay reports none") {
  ExecutorCache cache;
  TimePoint now{1h};
  cache.update(strongDaemons(), now);
  now += 1s;
  cache.update({}, now);
  CHECK(cache.current(now).size() == strongDaemons().size());
  now += 1s;
  cache.update({{"a1", "a", 500}}, now);
  CHECK(cache.current(now).size() == strongDaemons().size());
  now += 1ms;
  CHECK(cache.current(now) == std::vector<DaemonCapacity>{{"a1", "a", 500}});
  now += 2s;
  CHECK(cache.current(now).empty());
}

TEST_CASE("the cache keeps no more executors than a report lists") {
  ExecutorCache cache;
  const TimePoint now{1h};
  for (int i = 0; i != 100; ++i)
    cache.update({{std::to_string(i), "a", 500}}, now);
  CHECK(cache.current(now).size() == FleetAggregator::MaxStrongest);
}
