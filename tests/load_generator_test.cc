#include "load_generator.h"
#include "report.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace galenaflow;
using namespace galenaflow::bench;
using nlohmann::json;

namespace {

Scenario twoPhaseScenario() {
  Scenario scenario;
  scenario.Threads = 2;
  scenario.Mix.resize(2);
  scenario.Mix[0].Name = "first";
  scenario.Mix[1].Name = "second";
  scenario.Phases.resize(2);
  scenario.Phases[0] = {"quiet", 20, 100, {1, 0}, {}};
  scenario.Phases[1] = {"tenfold", 20, 1000, {1, 3}, {}};
  return scenario;
}

} // namespace

// Guards against a load that differs between runs with the same seed, or whose
// rates and mix differ from those of the scenario.
TEST_CASE("a schedule is reproducible from its seed and has the rates of its "
          "phases") {
  const Scenario scenario = twoPhaseScenario();
  const state::TimePoint start{};
  std::mt19937_64 rng(7);
  std::mt19937_64 sameRng(7);
  const auto schedule = drawSchedule(scenario, start, rng);
  const auto repeated = drawSchedule(scenario, start, sameRng);
  REQUIRE(schedule.size() == repeated.size());
  std::size_t counts[2][2] = {};
  for (std::size_t i = 0; i != schedule.size(); ++i) {
    REQUIRE(schedule[i].At == repeated[i].At);
    REQUIRE(schedule[i].Item == repeated[i].Item);
    if (i != 0)
      REQUIRE(schedule[i - 1].At <= schedule[i].At);
    const bool second = schedule[i].At - start >= std::chrono::seconds(20);
    REQUIRE(schedule[i].Phase == (second ? 1 : 0));
    ++counts[schedule[i].Phase][schedule[i].Item];
  }
  // This is one of two threads: 1,000 and 10,000 arrivals are expected. The
  // tolerances are six standard deviations.
  CHECK(counts[0][1] == 0);
  CHECK(std::abs(static_cast<double>(counts[0][0]) - 1000) < 190);
  CHECK(std::abs(static_cast<double>(counts[1][0]) - 2500) < 300);
  CHECK(std::abs(static_cast<double>(counts[1][1]) - 7500) < 520);
}

// Guards against percentiles that are off by one rank, and against goodput that
// counts answers that arrived in another phase.
TEST_CASE("the report holds exact percentiles and the goodput of each phase") {
  std::vector<std::uint32_t> sorted;
  for (std::uint32_t i = 1; i <= 1000; ++i)
    sorted.push_back(i * 1000);
  CHECK(percentileMs(sorted, 0.5) == 500);
  CHECK(percentileMs(sorted, 0.99) == 990);
  CHECK(percentileMs(sorted, 0.999) == 999);
  CHECK(percentileMs({}, 0.5) == 0);

  const Scenario scenario = twoPhaseScenario();
  std::vector<Sample> samples;
  for (std::uint32_t i = 0; i != 100; ++i)
    samples.push_back(
        {0, 0, Outcome::Answered, i, i, 20, 19, std::uint64_t{i} * 1000});
  samples.push_back({0, 0, Outcome::Answered, 1, 1, 20, 20, 20'500'000});
  samples.push_back({1, 1, Outcome::Refused, 1, 1, 0, 0, 21'000'000});
  CHECK(goodput(scenario, samples, 0) == 5);
  CHECK(goodput(scenario, samples, 1, 0) == 0.05);
  CHECK(goodput(scenario, samples, 1, 1) == 0);
  const json report = json::parse(
      toJson(scenario, samples, {{}, {100, 5, 95, 3, 2}, {100, 5, 95, 3, 2}}));
  CHECK(report["phases"][0]["backend"]["hedges"] == 3);
  CHECK(report["phases"][0]["items"][0]["coverage"] == 1920.0 / 2020.0);
  CHECK(report["phases"][1]["items"][1]["refused"]["count"] == 1);
}
