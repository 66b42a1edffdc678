#include "state/replica_directory.h"

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
  ReplicaRecord heartbeat = record("a");
  heartbeat.ColdRemaining = 5s;
  CHECK_FALSE(directory.apply({update(heartbeat)}, false, now));
  CHECK(directory.apply({update(record("a", 2))}, false, now));
  ReplicaRecord draining = record("a", 2);
  draining.Draining = true;
  CHECK(directory.apply({update(draining)}, false, now));
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
