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

/// A daemon is an executor when it has at least this many times the CPU of the
/// weakest daemon. Delegating a request costs about 5 ms and the CPU of two
/// frames, so a smaller ratio brings no gain.
constexpr std::uint32_t MinExecutorCpuRatio = 2;

/// Returns the executors of a fleet, the daemons that run requests over many
/// shards for the others, in descending order of CPU. Empty while all daemons
/// have similar CPU.
std::vector<state::DaemonCapacity>
selectExecutors(const protocol::FleetReport &fleet);

struct ExecutorSelectorOptions {
  /// An executor that refused a request because it was overloaded or stopping
  /// is not used for this long.
  Duration RefusalCooldown = std::chrono::milliseconds(200);

  /// An executor that did not reply within the latency objective is not used
  /// for this long: its VM may be suspended or partitioned. A link without any
  /// message is closed after 2 s.
  Duration TimeoutCooldown = std::chrono::seconds(2);

  /// Number of executors to which a daemon keeps a link: those of its data
  /// centre, and others when there are fewer.
  std::size_t LinkCount = 2;
};

/// Selects the executor that runs a request over many shards for this daemon.
/// On a VM with an eighth of a core, writing and reading 90 sub-requests takes
/// most of a latency objective of 40 ms. A VM with half a core is four times as
/// fast, and a small number of executors keeps its connections to all replicas
/// in use.
class ExecutorSelector {
public:
  ExecutorSelector(ExecutorSelectorOptions options, state::DaemonCapacity self,
                   std::mt19937_64 random)
      : Options(options), Self(std::move(self)), Random(random) {}

  /// Sets the executors of the fleet. The state of those already known is kept.
  void setExecutors(const std::vector<state::DaemonCapacity> &executors);

  /// Addresses of the executors to which this daemon should keep a link.
  std::vector<std::string> linkTargets() const;

  /// Whether this daemon is itself an executor.
  bool isExecutor() const { return IsExecutor; }

  /// Number of executors in the fleet.
  std::size_t executorCount() const { return ExecutorCount; }

  /// Returns the address of the executor with the fewest open requests of this
  /// daemon, among those to which a link is up according to `isLinked`. Returns
  /// nothing if this daemon must run the request itself.
  std::optional<std::string>
  choose(const std::function<bool(const std::string &)> &isLinked,
         TimePoint now);

  /// Call onSent() for each delegated request, and either onCompleted() or
  /// onRefused() at its end. onTimeout() does not end the request.
  void onSent(const std::string &executor);
  void onCompleted(const std::string &executor);
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
  std::vector<Executor> LinkTargets;
  std::size_t ExecutorCount = 0;
  bool IsExecutor = false;
};

} // namespace galenaflow::coordination

#endif
