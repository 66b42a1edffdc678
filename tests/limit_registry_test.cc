#include "coordination/limit_registry.h"

#include <catch2/catch.hpp>
#include <map>

using namespace galenaflow;
using namespace galenaflow::coordination;
using namespace std::chrono_literals;

namespace {

struct Fixture {
  TimePoint Now{1h};
  LimitRegistry Registry;
  std::map<std::string, double> Known;

  Fixture() {
    Registry.onChange([this](std::string_view replica, double perSecond) {
      Known[std::string(replica)] = perSecond;
    });
  }
};

} // namespace

// Guards against a limit that is taken up again after its end, because an older
// statement of it arrives later.
TEST_CASE("the last statement of a replica counts, whoever received it") {
  Fixture it;
  it.Registry.record("a", 4, it.Now);
  it.Now += 1s;
  it.Registry.record("a", 0, it.Now);
  const std::vector<state::RequestLimit> older{{"a", 4, 500ms}};
  it.Now += 100ms;
  it.Registry.merge(older, it.Now);
  CHECK(it.Known.at("a") == 0);
  const std::vector<state::RequestLimit> newer{{"a", 5, 50ms}};
  it.Registry.merge(newer, it.Now);
  CHECK(it.Known.at("a") == 5);
}

TEST_CASE("only what the relay does not know is reported, and only while it is "
          "recent") {
  Fixture it;
  it.Registry.record("a", 4, it.Now);
  it.Registry.record("b", 2, it.Now);
  CHECK(it.Registry.unreported(it.Now).size() == 2);
  const std::vector<state::RequestLimit> known{{"a", 4, 0ms}};
  it.Registry.mergeUpstream(known, it.Now);
  REQUIRE(it.Registry.unreported(it.Now).size() == 1);
  CHECK(it.Registry.unreported(it.Now).front().Replica == "b");
  it.Registry.record("a", 0, it.Now);
  CHECK(it.Registry.unreported(it.Now).size() == 2);
  it.Now += 10s;
  CHECK(it.Registry.unreported(it.Now).empty());
}

TEST_CASE("the version changes with each limit and not with a repeated one") {
  Fixture it;
  it.Registry.record("a", 4, it.Now);
  const std::uint64_t version = it.Registry.version();
  it.Registry.record("a", 4, it.Now + 1s);
  CHECK(it.Registry.version() == version);
  it.Registry.record("a", 3, it.Now + 2s);
  CHECK(it.Registry.version() != version);
}

// Guards against a registry that grows with every replica that has left while
// it limited its requests.
TEST_CASE("a limit that is not stated again is dropped, and its end is still "
          "passed on") {
  Fixture it;
  it.Registry.record("a", 4, it.Now);
  it.Now += 4min;
  CHECK(it.Registry.all(it.Now).size() == 1);
  it.Now += 2min;
  CHECK(it.Registry.all(it.Now).empty());
  it.Known.clear();
  const std::vector<state::RequestLimit> ended{{"a", 0, 0ms}};
  it.Registry.mergeUpstream(ended, it.Now);
  CHECK(it.Known.at("a") == 0);
}
