#include "load_generator.h"

#include "transport/http_client.h"

#include <algorithm>
#include <charconv>
#include <deque>
#include <memory>

// The schedule of all phases is drawn before the first request is sent. Each
// arrival uses the connection that has been free the longest, so that targets
// alternate, or waits in a queue. Latency counts from the scheduled time, so
// that a slow answer also raises the latency of the requests that had to wait
// for its connection.

namespace galenaflow::bench {

namespace {

using state::Duration;
using state::TimePoint;

constexpr auto DrainTimeout = std::chrono::seconds(30);
constexpr auto RequestTimeout = std::chrono::seconds(20);

/// Returns the distribution of items, by the weights of the phase or, without
/// those, of the mix.
std::discrete_distribution<std::uint32_t>
itemDistribution(const Scenario &scenario, const Phase &phase) {
  std::vector<double> weights = phase.Weights;
  if (weights.empty())
    for (const LoadItem &item : scenario.Mix)
      weights.push_back(item.Weight);
  return {weights.begin(), weights.end()};
}

/// Returns a number member of the coverage object, 0 when there is none. The
/// body is searched for its name, because parsing the whole body would cost
/// more than sending the request.
std::uint32_t coverageNumber(std::string_view body, std::string_view name) {
  const std::string key = "\"" + std::string(name) + "\":";
  const auto at =
      body.find(key, std::min(body.find("\"coverage\""), body.size()));
  std::uint32_t n = 0;
  if (at != std::string_view::npos)
    std::from_chars(body.data() + at + key.size(), body.data() + body.size(),
                    n);
  return n;
}

std::uint32_t elapsedMicros(TimePoint from, TimePoint now) {
  return static_cast<std::uint32_t>(
      std::max<std::int64_t>(0, (now - from).count()));
}

} // namespace

std::vector<Arrival> drawSchedule(const Scenario &scenario, TimePoint start,
                                  std::mt19937_64 &rng) {
  std::vector<Arrival> schedule;
  double begin = 0;
  for (std::uint32_t i = 0; i != scenario.Phases.size(); ++i) {
    const Phase &phase = scenario.Phases[i];
    const double end = begin + phase.Seconds;
    auto pick = itemDistribution(scenario, phase);
    if (phase.Rate > 0) {
      std::exponential_distribution<double> gap(phase.Rate / scenario.Threads);
      for (double at = begin + gap(rng); at < end; at += gap(rng))
        schedule.push_back(
            {start + Duration(static_cast<std::int64_t>(at * 1e6)), i,
             pick(rng)});
    }
    begin = end;
  }
  return schedule;
}

namespace {

class Generator {
public:
  Generator(const Scenario &scenario, std::uint32_t thread, TimePoint start)
      : Config(scenario), Random(scenario.Seed * 1000 + thread),
        Schedule(drawSchedule(scenario, start, Random)), Start(start) {
    for (std::uint32_t i = 0; i != scenario.Connections; ++i)
      for (const std::string &target : scenario.Targets)
        if (const auto address = transport::parseSocketAddress(target)) {
          Connections.push_back(
              std::make_unique<transport::HttpConnection>(Loop, *address));
          Free.push_back(Connections.back().get());
        }
  }

  std::vector<Sample> run() {
    Samples.reserve(Schedule.size());
    scheduleNext();
    const Duration length =
        Schedule.empty() ? Duration(0) : Schedule.back().At - Loop.now();
    Loop.runUntil([this] { return Samples.size() == Schedule.size(); },
                  length + DrainTimeout);
    // Requests in flight have ended by now, because RequestTimeout is shorter.
    // Those that still wait were never sent.
    for (const Arrival &arrival : Waiting)
      Samples.push_back(
          {arrival.Phase, arrival.Item, Outcome::Failed, 0, 0, 0, 0, 0});
    return std::move(Samples);
  }

private:
  void scheduleNext() {
    while (Next != Schedule.size() && Schedule[Next].At <= Loop.now())
      Waiting.push_back(Schedule[Next++]);
    sendWaiting();
    if (Next != Schedule.size())
      Loop.schedule(Schedule[Next].At - Loop.now(), [this] { scheduleNext(); });
  }

  void sendWaiting() {
    while (!Waiting.empty() && !Free.empty()) {
      const Arrival arrival = Waiting.front();
      Waiting.pop_front();
      transport::HttpConnection *connection = Free.front();
      Free.pop_front();
      const TimePoint sent = Loop.now();
      connection->send(buildRequest(Config.Mix[arrival.Item], Random),
                       RequestTimeout,
                       [this, arrival, sent,
                        connection](const transport::HttpResult &result) {
                         record(arrival, sent, result);
                         Free.push_back(connection);
                         sendWaiting();
                       });
    }
  }

  void record(const Arrival &arrival, TimePoint sent,
              const transport::HttpResult &result) {
    const TimePoint now = Loop.now();
    Sample sample{arrival.Phase,
                  arrival.Item,
                  Outcome::Failed,
                  elapsedMicros(arrival.At, now),
                  elapsedMicros(sent, now),
                  0,
                  0,
                  elapsedMicros(Start, now)};
    const bool isRead = Config.Mix[arrival.Item].Operation == "read";
    if (result &&
        (result->Status == 200 || (isRead && result->Status == 404))) {
      sample.Result = Outcome::Answered;
      sample.Asked = coverageNumber(result->Body, "asked");
      sample.Covered = coverageNumber(result->Body, "answered");
    } else if (result && (result->Status == 429 || result->Status == 503)) {
      sample.Result = Outcome::Refused;
    }
    Samples.push_back(sample);
  }

  const Scenario &Config;
  transport::EventLoop Loop;
  std::mt19937_64 Random;
  std::vector<Arrival> Schedule;
  TimePoint Start;
  std::size_t Next = 0;
  std::deque<Arrival> Waiting;
  std::vector<std::unique_ptr<transport::HttpConnection>> Connections;
  std::deque<transport::HttpConnection *> Free;
  std::vector<Sample> Samples;
};

} // namespace

std::vector<Sample> runLoad(const Scenario &scenario, std::uint32_t thread,
                            TimePoint start) {
  // The h2o objects of the loop outlive the generator (see EventLoop).
  Generator generator(scenario, thread, start);
  return generator.run();
}

} // namespace galenaflow::bench
