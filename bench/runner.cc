#include "runner.h"

#include "transport/http_client.h"

#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <thread>

// Worker threads generate the load. The calling thread sends the control calls
// at the start of each phase and reads the backend statistics between phases.

namespace galenaflow::bench {
namespace {

constexpr auto StartDelay = std::chrono::milliseconds(200);
constexpr auto ControlTimeout = std::chrono::seconds(5);

/// Returns the body of the response; empty when the call failed, which is
/// reported on standard error.
std::string callControl(transport::EventLoop &loop, const std::string &address,
                        const transport::HttpRequest &request) {
  const auto parsed = transport::parseSocketAddress(address);
  if (!parsed)
    return {};
  transport::HttpConnection connection(loop, *parsed);
  std::string body;
  bool done = false;
  connection.send(request, ControlTimeout, [&](const auto &result) {
    if (result && result->Status == 200)
      body = result->Body;
    else
      std::cerr << "control call failed: " << address << request.Path << "\n";
    done = true;
  });
  loop.runUntil([&] { return done; }, 2 * ControlTimeout);
  return body;
}

/// Adds the counters of a daemon, in the Prometheus text format.
void addMetrics(const std::string &text, BackendReading &reading) {
  std::istringstream in(text);
  for (std::string line; std::getline(in, line);) {
    if (!line.starts_with("galenaflow_sub_requests_total"))
      continue;
    const auto n =
        static_cast<std::uint64_t>(std::stod(line.substr(line.rfind(' ') + 1)));
    if (line.find("\"primary\"") != std::string::npos)
      reading.Primaries += n;
    else if (line.find("\"hedge\"") != std::string::npos)
      reading.Hedges += n;
    else if (line.find("\"retry\"") != std::string::npos)
      reading.Retries += n;
  }
}

BackendReading readBackends(transport::EventLoop &loop,
                            const Scenario &scenario) {
  BackendReading reading;
  for (const std::string &address : scenario.StatsAddresses) {
    const auto stats = nlohmann::json::parse(
        callControl(loop, address, {"GET", "/control/stats", {}, ""}), nullptr,
        false);
    if (!stats.is_object())
      continue;
    reading.Repeated += stats.at("repeated_sub_requests").get<std::uint64_t>();
    for (const auto &replica : stats.at("replicas"))
      for (const auto &count : replica.at("run"))
        reading.Run += count.get<std::uint64_t>();
  }
  for (const std::string &address : scenario.MetricsAddresses)
    addMetrics(callControl(loop, address, {"GET", "/metrics", {}, ""}),
               reading);
  return reading;
}

} // namespace

RunResult runScenario(const Scenario &scenario) {
  RunResult result;
  transport::EventLoop loop;
  const state::TimePoint start = loop.now() + StartDelay;
  std::vector<std::vector<Sample>> parts(scenario.Threads);
  std::vector<std::thread> threads;
  for (std::uint32_t i = 0; i != scenario.Threads; ++i)
    threads.emplace_back([&, i] { parts[i] = runLoad(scenario, i, start); });
  state::TimePoint begin = start;
  for (const Phase &phase : scenario.Phases) {
    std::this_thread::sleep_until(begin);
    result.Readings.push_back(readBackends(loop, scenario));
    for (const ControlCall &call : phase.Controls)
      callControl(loop, call.Address, {"POST", call.Path, {}, call.Body});
    begin += state::Duration(static_cast<std::int64_t>(phase.Seconds * 1e6));
  }
  for (std::thread &thread : threads)
    thread.join();
  result.Readings.push_back(readBackends(loop, scenario));
  for (const auto &part : parts)
    result.Samples.insert(result.Samples.end(), part.begin(), part.end());
  return result;
}

} // namespace galenaflow::bench
