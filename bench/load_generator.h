#ifndef GALENAFLOW_BENCH_LOAD_GENERATOR_H
#define GALENAFLOW_BENCH_LOAD_GENERATOR_H

#include "scenario.h"
#include "state/clock.h"

#include <cstdint>
#include <vector>

namespace galenaflow::bench {

enum class Outcome { Answered, Refused, Failed };

/// One request after its end.
struct Sample {
  std::uint32_t Phase = 0;
  std::uint32_t Item = 0;
  Outcome Result = Outcome::Failed;
  std::uint32_t LatencyUs = 0; ///< from the scheduled time
  std::uint32_t ServiceUs = 0; ///< from the time it was sent
  std::uint32_t Asked = 0;     ///< shards
  std::uint32_t Covered = 0;
  std::uint64_t DoneUs = 0; ///< from the start of the load
};

/// A request that is to be sent at a time of the schedule.
struct Arrival {
  state::TimePoint At;
  std::uint32_t Phase;
  std::uint32_t Item;
};

/// One thread's arrivals, in order.
std::vector<Arrival> drawSchedule(const Scenario &scenario,
                                  state::TimePoint start, std::mt19937_64 &rng);

/// Runs one thread's part of the load on a loop of its own. Arrivals follow a
/// seeded Poisson schedule that does not wait for answers. A request whose turn
/// comes while all connections are busy waits, and this wait counts.
std::vector<Sample> runLoad(const Scenario &scenario, std::uint32_t thread,
                            state::TimePoint start);

} // namespace galenaflow::bench

#endif
