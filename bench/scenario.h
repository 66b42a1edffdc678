#ifndef GALENAFLOW_BENCH_SCENARIO_H
#define GALENAFLOW_BENCH_SCENARIO_H

#include "state/error.h"
#include "transport/http_message.h"

#include <cstdint>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace galenaflow::bench {

/// One kind of request in the mix.
struct LoadItem {
  std::string Name;      ///< in the report, for example "urgent-suggest"
  std::string Operation; ///< search, suggest, read or write
  std::string Service;
  std::string Key; ///< key of the customer
  std::string Priority;
  double Weight = 1;
  std::uint32_t Limit = 20;
  std::uint32_t DeadlineMs = 1000;
};

/// A POST to a control listener at the start of a phase.
struct ControlCall {
  std::string Address;
  std::string Path;
  std::string Body;
};

struct Phase {
  std::string Name;
  double Seconds = 1;
  double Rate = 100;           ///< requests/s over all targets
  std::vector<double> Weights; ///< of the mix; empty: LoadItem::Weight
  std::vector<ControlCall> Controls;
};

struct Scenario {
  std::uint64_t Seed = 1;
  std::uint32_t Threads = 2;
  std::uint32_t Connections = 64;   ///< per thread and target
  std::vector<std::string> Targets; ///< IP:PORT of the daemons' listeners

  /// Control listeners of the backend stand-ins, for their statistics.
  std::vector<std::string> StatsAddresses;

  /// Operator listeners of the daemons, for their metrics.
  std::vector<std::string> MetricsAddresses;

  std::vector<LoadItem> Mix;
  std::vector<Phase> Phases;
};

/// Parses a scenario. JSON members are named as those above, in snake_case.
/// Error: InvalidArgument.
state::Result<Scenario> parseScenario(std::string_view text);

/// Builds a request whose query is drawn with `rng`.
transport::HttpRequest buildRequest(const LoadItem &item, std::mt19937_64 &rng);

} // namespace galenaflow::bench

#endif
