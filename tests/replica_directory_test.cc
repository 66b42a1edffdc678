#include "state/replica_directory.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace galenaflow::state;
using namespace std::chrono_literals;

namespace {

ReplicaRecord record(std::string id, std::uint64_t incarnation = 1) {
  ReplicaRecord it;
  it.Id = std::move(id);
  it.Service = "s";
  it.Address = "10.0.0.1:80";
  it.Incarnation = incarnation;
  return it;
}

DirectoryChange removal(std::string id) { return {std::move(id), true, {}}; }
DirectoryChange update(const ReplicaRecord &it) { return {it.Id, false, it}; }

} // namespace

// Guards against updates of all users of the directory after each heartbeat,
// and against a restart that is treated as a heartbeat.
TEST_CASE("a heartbeat is no change, and a restart under the same id is one") {
  const TimePoint now{1h};
  ReplicaDirectory directory;
  CHECK(directory.replaceAll({record("a")}, false, now));
  CHECK_FALSE(directory.apply({update(record("a"))}, false, now));
  CHECK(directory.apply({update(record("a", 2))}, false, now));
  ReplicaRecord draining = record("a", 2);
  draining.Draining = true;
  CHECK(directory.apply({update(draining)}, false, now));
}

// Guards against full use of a replica that has become cold again, and against
// an update of all users of the directory in each second of a cold period.
TEST_CASE("the begin of a cold period is a change, and its countdown is none") {
  TimePoint now{1h};
  ReplicaDirectory directory;
  ReplicaRecord cold = record("a");
  directory.replaceAll({cold}, false, now);
  for (int period = 0; period != 3; ++period) {
    cold.ColdRemaining = 8s;
    const auto version = directory.listedVersion();
    CHECK(directory.apply({update(cold)}, false, now));
    CHECK(directory.listedVersion() != version);
    const TimePoint until = now + 8s;
    CHECK(directory.records().at("a").ColdUntil == until);
    while (cold.ColdRemaining > 0s) {
      now += 1200ms;
      cold.ColdRemaining = std::max(Duration(0), cold.ColdRemaining - 1200ms);
      // Some registrations are read later than others.
      CHECK_FALSE(directory.apply({update(cold)}, false, now + 300ms));
    }
    CHECK(directory.records().at("a").ColdUntil >= until);
    CHECK(directory.records().at("a").ColdUntil <= until + 300ms);
    now += 3s;
  }
  // A longer time while the period goes on is another one.
  cold.ColdRemaining = 8s;
  CHECK(directory.apply({update(cold)}, false, now));
  now += 4s;
  CHECK(directory.apply({update(cold)}, false, now));
  // An earlier period says nothing about a process that has started since.
  ReplicaRecord restarted = record("a", 2);
  CHECK(directory.apply({update(restarted)}, false, now));
  CHECK(directory.records().at("a").ColdUntil == TimePoint::min());
}

// Guards against work for a replica that has been removed from the directory.
TEST_CASE("a removal while the source is available takes effect immediately") {
  const TimePoint now{1h};
  ReplicaDirectory directory;
  directory.replaceAll({record("a"), record("b")}, false, now);
  CHECK(directory.apply({removal("a")}, false, now));
  CHECK(directory.records().size() == 1);
  CHECK(directory.replaceAll({}, false, now));
  CHECK(directory.records().empty());
}

// Guards against a query tier without replicas after an outage of the source in
// which all records expired there.
TEST_CASE("records that expired in an outage are kept for the grace period") {
  TimePoint now{1h};
  ReplicaDirectory directory;
  directory.replaceAll({record("a"), record("b")}, false, now);
  SECTION("by a full read") {
    CHECK_FALSE(directory.replaceAll({}, true, now));
  }
  SECTION("by changes that come in parts") {
    CHECK_FALSE(directory.apply({removal("a")}, true, now));
    now += 500ms;
    CHECK_FALSE(directory.apply({removal("b")}, false, now));
  }
  CHECK(directory.records().size() == 2);
  CHECK_FALSE(directory.apply({update(record("a"))}, false, now + 1s));
  CHECK_FALSE(directory.expire(now + 1s));
  CHECK(directory.expire(now + 3s));
  CHECK(directory.records().size() == 1);
  CHECK(directory.records().contains("a"));
}

// Guards against a daemon whose own outage delays the removal of replicas in
// all daemons that read the directory from it.
TEST_CASE("records in their grace period are used but not listed for others") {
  const TimePoint now{1h};
  ReplicaDirectory directory;
  directory.replaceAll({record("a"), record("b")}, false, now);
  const std::uint64_t before = directory.listedVersion();
  directory.apply({removal("a")}, true, now);
  CHECK(directory.records().contains("a"));
  CHECK_FALSE(directory.listed().contains("a"));
  CHECK(directory.listed().contains("b"));
  CHECK(directory.listedVersion() != before);
  directory.apply({update(record("a"))}, false, now);
  CHECK(directory.listed().contains("a"));
}
