#include "platform/settings.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace galenaflow;
using namespace galenaflow::platform;

namespace {

constexpr const char *CompleteSettings = R"(
node_name: "front-1"
zone: "z1"
unknown_field: [1, 2]
listen:
  front: "10.1.0.9:8104"
  ready: "10.1.0.9:8108"
bounds:
  grace_s: 6
  retry_ratio: 0.2
  retry_slack: 56
  budget_window_s: 10
ip: "10.1.0.9"
internal_ports: [7380, 7395]
seeds: ["10.1.0.9:8106", "10.2.0.21:8106"]
platform:
  address: "10.200.1.7:8102"
)";

} // namespace

TEST_CASE("settings are read, and unknown fields are ignored") {
  const auto settings = parseSettings(CompleteSettings);
  REQUIRE(settings);
  CHECK(settings->NodeName == "front-1");
  CHECK(settings->DataCentre == "z1");
  CHECK(settings->CallerListener.toText() == "10.1.0.9:8104");
  CHECK(settings->ReadinessListener.toText() == "10.1.0.9:8108");
  CHECK(settings->Store.toText() == "10.200.1.7:8102");
  CHECK(settings->StopGrace == std::chrono::seconds(6));
  CHECK(settings->ExtraAttemptRatio == Approx(0.2));
  CHECK(settings->FleetExtraAttempts == Approx(56));
  CHECK(settings->ExtraAttemptWindow == std::chrono::seconds(10));
  CHECK(settings->PeerListener.toText() == "10.1.0.9:7380");
  CHECK(settings->Peers ==
        std::vector<std::string>{"10.1.0.9:7380", "10.2.0.21:7380"});
}

TEST_CASE("the memory limit is read, and is unknown when it is not stated") {
  const auto unknown = parseSettings(CompleteSettings);
  REQUIRE(unknown);
  CHECK(unknown->MemoryBytes == 0);
  const auto known = parseSettings(std::string(CompleteSettings) +
                                   "limits:\n  memory_mb: 160\n");
  REQUIRE(known);
  CHECK(known->MemoryBytes == std::uint64_t{160} << 20);
  const auto malformed = parseSettings(std::string(CompleteSettings) +
                                       "limits:\n  memory_mb: much\n");
  REQUIRE_FALSE(malformed);
  CHECK(malformed.error().items().front().Place == "limits.memory_mb");
}

TEST_CASE("the bounds of cold replicas are read, and have defaults") {
  const auto unknown = parseSettings(CompleteSettings);
  REQUIRE(unknown);
  CHECK(unknown->ColdOverage == Approx(1.5));
  CHECK(unknown->ColdSlack == Approx(5));
  std::string text(CompleteSettings);
  text.insert(text.find("  retry_ratio"),
              "  cold_overage: 2\n  cold_slack: 3\n");
  const auto known = parseSettings(text);
  REQUIRE(known);
  CHECK(known->ColdOverage == Approx(2));
  CHECK(known->ColdSlack == Approx(3));
}

TEST_CASE("regions are read, and are unknown when they are not stated") {
  const auto none = parseSettings(CompleteSettings);
  REQUIRE(none);
  CHECK(none->Region.empty());
  CHECK(none->Regions.empty());
  const auto some =
      parseSettings(std::string(CompleteSettings) +
                    "region: eu\nzones: {z1: eu, z2: eu, z3: us}\n");
  REQUIRE(some);
  CHECK(some->Region == "eu");
  CHECK(some->Regions.size() == 3);
  CHECK(some->Regions.find("z3")->second == "us");
  for (const char *text : {"zones: [z1]\n", "zones: eu\n",
                           "zones: {z1: [eu]}\n", "region: [eu]\n"})
    CHECK_FALSE(parseSettings(std::string(CompleteSettings) + text));
}

TEST_CASE("every missing or malformed field is reported with its place") {
  const auto settings = parseSettings(R"(
node_name: [1]
listen:
  front: "10.1.0.9"
bounds:
  grace_s: soon
)");
  REQUIRE_FALSE(settings);
  std::vector<std::string> places;
  for (const state::Finding &finding : settings.error().items())
    places.push_back(finding.Place);
  CHECK(places == std::vector<std::string>{
                      "node_name", "zone", "listen.front", "listen.ready",
                      "platform.address", "bounds.grace_s",
                      "bounds.retry_ratio", "bounds.retry_slack",
                      "bounds.budget_window_s"});
}

TEST_CASE("a file that is not a map or cannot be read is rejected") {
  CHECK_FALSE(parseSettings("- 1"));
  CHECK_FALSE(parseSettings("a: [1"));
  CHECK_FALSE(readSettings("/nonexistent/node.yaml"));
}

TEST_CASE("no settings file makes the parser throw") {
  rc::check([](std::uint16_t at, char byte, std::uint8_t cut) {
    std::string text(CompleteSettings);
    text[at % text.size()] = byte;
    text.resize(text.size() - cut % text.size());
    static_cast<void>(parseSettings(text));
  });
}

// Guards against connections of clients that use up the descriptors because the
// number that the settings state is not read.
TEST_CASE("the number of descriptors is read, and is unknown when it is not "
          "stated") {
  const auto unknown = parseSettings(CompleteSettings);
  REQUIRE(unknown);
  CHECK(unknown->MaxDescriptors == 0);
  const auto known = parseSettings(std::string(CompleteSettings) +
                                   "limits:\n  max_fds: 4100\n");
  REQUIRE(known);
  CHECK(known->MaxDescriptors == 4100);
}
