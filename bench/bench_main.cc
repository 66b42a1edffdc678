#include "load_generator.h"
#include "report.h"
#include "transport/http_client.h"

#include <fstream>
#include <iostream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <thread>

// Usage: galenaflow-bench SCENARIO REPORT.json [PLOT.svg]. Worker threads make
// the load. The main thread makes the control calls at the start of each phase
// and reads the backend statistics between phases.

namespace galenaflow::bench {
namespace {

constexpr auto StartDelay = std::chrono::milliseconds(200);
constexpr auto ControlLimit = std::chrono::seconds(5);

std::string control(transport::EventLoop &loop, const std::string &address,
                    const transport::HttpRequest &request) {
  const auto parsed = transport::parseSocketAddress(address);
  if (!parsed)
    return {};
  transport::HttpConnection connection(loop, *parsed);
  std::string body;
  bool done = false;
  connection.send(request, ControlLimit, [&](const auto &result) {
    if (result && result->Status == 200)
      body = result->Body;
    else
      std::cerr << "control call failed: " << address << request.Path << "\n";
    done = true;
  });
  loop.runUntil([&] { return done; }, 2 * ControlLimit);
  return body;
}

BackendReading readBackends(transport::EventLoop &loop,
                            const Scenario &scenario) {
  BackendReading reading;
  for (const std::string &address : scenario.StatsAddresses) {
    const auto stats = nlohmann::json::parse(
        control(loop, address, {"GET", "/control/stats", {}, ""}), nullptr,
        false);
    if (!stats.is_object())
      continue;
    reading.Repeated += stats.at("repeated_sub_requests").get<std::uint64_t>();
    for (const auto &replica : stats.at("replicas"))
      for (const auto &count : replica.at("run"))
        reading.Run += count.get<std::uint64_t>();
  }
  return reading;
}

int run(const Scenario &scenario, const std::string &reportPath,
        const std::string &plotPath) {
  transport::EventLoop loop;
  const state::TimePoint start = loop.now() + StartDelay;
  std::vector<std::vector<Sample>> parts(scenario.Threads);
  std::vector<std::thread> threads;
  for (std::uint32_t i = 0; i != scenario.Threads; ++i)
    threads.emplace_back([&, i] { parts[i] = runLoad(scenario, i, start); });
  std::vector<BackendReading> readings;
  state::TimePoint begin = start;
  for (const Phase &phase : scenario.Phases) {
    std::this_thread::sleep_until(begin);
    readings.push_back(readBackends(loop, scenario));
    for (const ControlCall &call : phase.Controls)
      control(loop, call.Address, {"POST", call.Path, {}, call.Body});
    begin += state::Duration(static_cast<std::int64_t>(phase.Seconds * 1e6));
  }
  for (std::thread &thread : threads)
    thread.join();
  readings.push_back(readBackends(loop, scenario));
  std::vector<Sample> samples;
  for (const auto &part : parts)
    samples.insert(samples.end(), part.begin(), part.end());
  std::ofstream(reportPath) << toJson(scenario, samples, readings) << "\n";
  if (!plotPath.empty())
    std::ofstream(plotPath) << toSvg(scenario, samples);
  return 0;
}

} // namespace
} // namespace galenaflow::bench

int main(int argc, char **argv) {
  using namespace galenaflow;
  if (argc < 3) {
    std::cerr << "usage: galenaflow-bench SCENARIO REPORT.json [PLOT.svg]\n";
    return 2;
  }
  std::ifstream in(argv[1]);
  const std::string text(std::istreambuf_iterator<char>(in), {});
  const auto scenario = bench::parseScenario(text);
  if (!scenario) {
    std::cerr << "galenaflow-bench: " << scenario.error().Text << "\n";
    return 2;
  }
  return bench::run(*scenario, argv[2], argc > 3 ? argv[3] : "");
}
