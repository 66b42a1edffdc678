#ifndef GALENAFLOW_COORDINATION_EXECUTOR_SELECTOR_H
#define GALENAFLOW_COORDINATION_EXECUTOR_SELECTOR_H

#include "protocol/directory_messages.h"
#include "state/clock.h"

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace galenaflow::coordination {

using state::Duration;
using state::TimePoint;

/// A daemon runs requests for others when it has at least this many times the
/// CPU of the weakest. Passing a request on costs about 5 ms and the CPU of two
/// frames, so a smaller difference brings nothing.
constexpr std::uint32_t MinExecutorCpuRatio = 2;

/// The daemons of a fleet that run requests over many shards for the others,
/// from the strongest on. Empty while all are alike.
std::vector<state::DaemonCapacity>
selectExecutors(const protocol::FleetReport &fleet);

struct ExecutorSelectorOptions {
  /// An executor that was busy or stopping is not asked for this long.
  Duration RefusalCooldown = std::chrono::milliseconds(200);

  /// An executor that gave no answer within the objective may be suspended or
  /// cut off. A link without any message is closed after 2 s.
  Duration TimeoutCooldown = std::chrono::seconds(2);

  /// Executors to which a daemon keeps a link: those of its data centre, and
  /// others when there are fewer.
  std::size_t LinkCount = 2;
};

/// Chooses the daemon that runs a request over many shards for this one. On a
/// VM with an eighth of a core, writing and reading 90 sub-requests takes most
/// of an objective of 40 ms; a VM with half a core does it four times as fast,
/// and few executors keep their connections to all replicas in use.
class ExecutorSelector {
public:
  ExecutorSelector(ExecutorSelectorOptions options, state::DaemonCapacity self,
                   std::mt19937_64 random)
      : Options(options), Self(std::move(self)), Random(random) {}

  /// The executors of the fleet.
  void setExecutors(const std::vector<state::DaemonCapacity> &executors);

  /// Addresses of the executors to which a link is wanted.
  std::vector<std::string> linkTargets() const;

  /// Whether this daemon is itself an executor.
  bool isExecutor() const { return IsExecutor; }

  /// Number of executors in the fleet.
  std::size_t executorCount() const { return ExecutorCount; }

  /// Whom to ask now: of the linked ones, that with the fewest open requests of
  /// this daemon. Nothing: this daemon runs the request itself.
  std::optional<std::string>
  choose(const std::function<bool(const std::string &)> &isLinked,
         TimePoint now);

  void onSent(const std::string &executor);
  void onAnswered(const std::string &executor);
  void onRefused(const std::string &executor, TimePoint now);
  void onTimeout(const std::string &executor, TimePoint now);

private:
  struct Executor {
    std::string Address;
    std::uint32_t OpenRequests = 0;
    TimePoint CooldownUntil = TimePoint::min();
  };
  Executor *find(const std::string &address);
  void endRequest(const std::string &address);

  ExecutorSelectorOptions Options;
  state::DaemonCapacity Self;
  std::mt19937_64 Random;
  std::vector<Executor> LinkTargets; ///< to which links are wanted
  std::size_t ExecutorCount = 0;
  bool IsExecutor = false;
};

} // namespace galenaflow::coordination

#endif
