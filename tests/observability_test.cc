#include "protocol/record_json.h"
#include "state/hash.h"
#include "state/log.h"
#include "state/metrics.h"
#include "state/request_records.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <nlohmann/json.hpp>
#include <random>
#include <rapidcheck.h>
#include <unistd.h>

using namespace galenaflow;
using namespace galenaflow::state;
using namespace std::chrono_literals;

namespace {

RequestRecord randomRecord(std::mt19937_64 &random) {
  RequestRecord record;
  record.RequestId = "r" + std::to_string(random() % 50);
  if (random() % 2 == 0)
    record.IdempotencyKey = "k" + std::to_string(random() % 50);
  record.Started = WallMillis(random() % 100'000);
  for (std::uint64_t n = random() % 4; n != 0; --n)
    record.addEvent(1ms, std::string(random() % 100, 'e'));
  return record;
}

/// Reference for the ring: a plain list that is searched from its end.
struct ReferenceRing {
  std::size_t MaxBytes;
  std::vector<RequestRecord> Records;

  void add(const RequestRecord &record) {
    Records.push_back(record);
    while (bytes() > MaxBytes)
      Records.erase(Records.begin());
  }
  std::size_t bytes() const {
    std::size_t n = 0;
    for (const RequestRecord &record : Records)
      n += record.bytes();
    return n;
  }
  std::vector<RequestRecord> find(const std::string &name) const {
    std::vector<RequestRecord> found;
    for (auto it = Records.rbegin(); it != Records.rend(); ++it)
      if (it->RequestId == name || it->IdempotencyKey == name)
        found.push_back(*it);
    return found;
  }
};

} // namespace

// Guards against values that a log parser reads as a second event or key.
TEST_CASE("a log line quotes values that would be ambiguous") {
  CHECK(log::formatLine(log::Level::Info, "replica_ejected",
                        {{"replica", "archivio-0-a"},
                         {"address", "[::1]:80"},
                         {"failures", 5},
                         {"share", 0.5},
                         {"again", true}}) ==
        "level=info event=replica_ejected replica=archivio-0-a "
        "address=[::1]:80 failures=5 share=0.5 again=true");
  CHECK(log::formatLine(log::Level::Error, "e",
                        {{"text", "a \"b\"\nlevel=info"},
                         {"empty", ""},
                         {"binary", std::string_view("\x01=\\", 3)}}) ==
        "level=error event=e text=\"a \\\"b\\\"\\nlevel=info\" empty=\"\" "
        "binary=\"\\x01=\\\\\"");
  CHECK(log::parseLevel("warning") == log::Level::Warning);
  CHECK_FALSE(log::parseLevel("loud"));
}

// Guards against hashes that differ from those in the customers list.
TEST_CASE("hashes match the published test vectors") {
  CHECK(sha256Hex("abc") == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb4"
                            "10ff61f20015ad");
  CHECK(hash64("") == 0x2d06800538d394c2); // XXH3 test vector
  CHECK(hash64("a", 1) != hash64("a", 2));
}

// Guards against quantiles whose error exceeds the documented bound.
TEST_CASE("quantiles are at most 12 % above the true value") {
  std::mt19937_64 random(7);
  std::lognormal_distribution<double> distribution(9, 1.5);
  LatencyHistogram histogram;
  std::vector<Duration> samples;
  for (int i = 0; i != 20'000; ++i) {
    const auto us = std::clamp(distribution(random), 100.0, 9e7);
    samples.emplace_back(static_cast<std::int64_t>(us));
    histogram.record(samples.back());
  }
  std::sort(samples.begin(), samples.end());
  for (const double q : {0.01, 0.5, 0.95, 0.99, 1.0}) {
    const auto rank = static_cast<std::size_t>(
        std::ceil(q * static_cast<double>(samples.size())));
    const double exact = static_cast<double>(samples[rank - 1].count());
    const auto estimate = static_cast<double>(histogram.quantile(q).count());
    CHECK(estimate >= exact);
    CHECK(estimate <= 1.121 * exact + 1);
  }
  CHECK(LatencyHistogram().quantile(0.5) == Duration(0));
  LatencyHistogram extremes;
  extremes.record(Duration(0));
  extremes.record(1h);
  CHECK(extremes.quantile(0.1) <= 200us);
  CHECK(extremes.quantile(1) >= 99s);
}

// Guards against a metrics exposition that a scraper rejects.
TEST_CASE("metrics are rendered in the text exposition format") {
  MetricRegistry registry;
  registry.counter("requests_total", "Requests.", {{"plan", "a\"b\\\n"}})
      .add(3);
  registry.counter("requests_total", "", {{"plan", "c"}}).add();
  registry.gauge("open", "Open.").set(2.5);
  registry.histogram("took_seconds", "Time.", {{"op", "read"}}).record(3ms);
  registry.histogram("took_seconds", "", {{"op", "read"}}).record(70s);
  const std::string text = registry.exposition();
  for (const char *line :
       {"# HELP requests_total Requests.\n# TYPE requests_total counter\n",
        "requests_total{plan=\"a\\\"b\\\\\\n\"} 3\n",
        "requests_total{plan=\"c\"} 1\n", "# TYPE open gauge\nopen 2.5\n",
        "took_seconds_bucket{op=\"read\",le=\"0.002\"} 0\n",
        "took_seconds_bucket{op=\"read\",le=\"0.005\"} 1\n",
        "took_seconds_bucket{op=\"read\",le=\"60\"} 1\n",
        "took_seconds_bucket{op=\"read\",le=\"+Inf\"} 2\n",
        "took_seconds_sum{op=\"read\"} 70.003\n",
        "took_seconds_count{op=\"read\"} 2\n"}) {
    INFO(line);
    CHECK(text.find(line) != std::string::npos);
  }
  CHECK(text.find("# HELP requests_total") ==
        text.rfind("# HELP requests_total"));
}

// Guards against records that are evicted too early, kept beyond the limit in
// bytes, or found under another id.
TEST_CASE("the ring of records behaves as a plain list") {
  CHECK(rc::check([](std::uint64_t seed) {
    std::mt19937_64 random(seed);
    RequestRecordRing ring(8'000);
    ReferenceRing reference{8'000, {}};
    for (int i = 0; i != 100; ++i) {
      const RequestRecord record = randomRecord(random);
      ring.add(record);
      reference.add(record);
      RC_ASSERT(ring.bytes() == reference.bytes());
      RC_ASSERT(ring.bytes() <= std::size_t{8'000});
      const std::string name =
          (random() % 2 ? "k" : "r") + std::to_string(random() % 50);
      std::vector<RequestRecord> found;
      for (const RequestRecord *it : ring.find(name))
        found.push_back(*it);
      RC_ASSERT(found == reference.find(name));
    }
  }));
}

// Guards against "no such request" as the result for a request whose record was
// evicted.
TEST_CASE("the ring reports how far back its records reach") {
  RequestRecord record;
  record.RequestId = "a";
  record.Started = WallMillis(1000);
  RequestRecordRing ring(2 * record.bytes());
  ring.add(record);
  record.Started = WallMillis(2000);
  ring.add(record);
  CHECK_FALSE(ring.reachesBackTo());
  ring.add(record);
  CHECK(ring.reachesBackTo() == WallMillis(1000));
  CHECK(ring.find("a").size() == 2);
  record.Started = WallMillis(5000);
  record.Service = std::string(10'000, 's');
  ring.add(record);
  CHECK(ring.reachesBackTo() == WallMillis(5000));
  CHECK(ring.find("").empty());
}

// Guards against rendered records that differ from what was stored.
TEST_CASE("a record is rendered with its times and events") {
  RequestRecord record;
  record.RequestId = "r-1";
  record.Started = WallMillis(1'767'607'200'007);
  record.Elapsed = 1500us;
  record.Outcome = "over_limit";
  record.Ran = ExecutionState::NotRun;
  for (int i = 0; i != 20; ++i)
    record.addEvent(250us, "admitted");
  const auto json = nlohmann::json::parse(
      protocol::renderRecordLookup({"vm-1", WallMillis(0), {record}}));
  CHECK(json["reaches_back_to"] == "1970-01-01T00:00:00.000Z");
  const auto &item = json["records"][0];
  CHECK(item["started"] == "2026-01-05T10:00:00.007Z");
  CHECK(item["took_ms"] == 1.5);
  CHECK(item["ran"] == "not_run");
  CHECK(item["events"].size() == RequestRecord::MaxEvents);
  CHECK(item["events"][0]["after_ms"] == 0.25);
}

// Guards against a flood of one event that fills the log or hides the others.
TEST_CASE("the lines of each event are limited, and suppressed ones counted") {
  state::TimePoint now{std::chrono::hours(1)};
  state::LogRateLimiter limiter({10, 5});
  int admitted = 0;
  // The lines come at ten times the allowed rate for ten seconds.
  for (int i = 0; i != 1000; ++i) {
    now += std::chrono::milliseconds(10);
    admitted += limiter.admit("flood", now) ? 1 : 0;
  }
  CHECK(admitted <= 105);
  CHECK(admitted >= 95);
  CHECK(limiter.admit("other", now) == 0U);
  now += std::chrono::seconds(1);
  CHECK(limiter.admit("flood", now).value_or(0) > 0);
}

// Guards against a daemon that blocks because the reader of its log is slow.
TEST_CASE("logging to a full pipe drops lines and does not block") {
  int pipeFds[2] = {-1, -1};
  REQUIRE(pipe(pipeFds) == 0);
  const int savedStdout = dup(STDOUT_FILENO);
  REQUIRE(dup2(pipeFds[1], STDOUT_FILENO) >= 0);
  static const state::SystemClock Clock;
  state::log::useNonBlockingOutput(Clock, {1e9, 1e9});
  // 1,000 lines of 1 kB exceed the capacity of a pipe by far.
  const std::string text(1000, 'x');
  const auto start = std::chrono::steady_clock::now();
  for (int i = 0; i != 1000; ++i)
    state::log::info("flood", {{"text", text}});
  const auto elapsed = std::chrono::steady_clock::now() - start;
  REQUIRE(dup2(savedStdout, STDOUT_FILENO) >= 0);
  close(savedStdout);
  close(pipeFds[0]);
  close(pipeFds[1]);
  CHECK(elapsed < std::chrono::seconds(5));
  CHECK(state::log::droppedLines() > 100);
}
