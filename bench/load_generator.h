#ifndef GALENAFLOW_BENCH_LOAD_GENERATOR_H
#define GALENAFLOW_BENCH_LOAD_GENERATOR_H

#include "scenario.h"
#include "state/clock.h"

#include <cstdint>
#include <vector>

namespace galenaflow::bench {

enum class Outcome {
  Answered, ///< status 200, or 404 for a read
  Refused,  ///< status 429 or 503
  Failed,   ///< any other status, an error, or never sent
};

/// The result of one request.
struct Sample {
  std::uint32_t Phase = 0;
  std::uint32_t Item = 0;
  Outcome Result = Outcome::Failed;
  std::uint32_t LatencyUs = 0; ///< from the scheduled time
  std::uint32_t ServiceUs = 0; ///< from the time it was sent
  std::uint32_t Asked = 0;     ///< shards that the answer should cover
  std::uint32_t Covered = 0;   ///< shards that the answer covers
  std::uint64_t DoneUs = 0;    ///< from the start of the load
};

/// A request of the schedule, which is to be sent at its time.
struct Arrival {
  state::TimePoint At;
  std::uint32_t Phase;
  std::uint32_t Item;
};

/// Draws the arrivals of one thread, ordered by time.
std::vector<Arrival> drawSchedule(const Scenario &scenario,
                                  state::TimePoint start, std::mt19937_64 &rng);

/// Runs one thread's part of the load on an event loop of its own. Arrivals
/// follow a seeded Poisson schedule that does not depend on answers. A request
/// that is due while all connections are busy waits, and its latency includes
/// this wait.
std::vector<Sample> runLoad(const Scenario &scenario, std::uint32_t thread,
                            state::TimePoint start);

} // namespace galenaflow::bench

#endif
