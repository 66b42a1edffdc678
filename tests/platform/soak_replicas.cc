#include "platform/soak.h"

#include <algorithm>
#include <array>

// Faults of replicas that the daemons learn of from responses or broken
// connections, and the checks of what they may send afterwards.

namespace galenaflow::standin {

using state::Duration;
using namespace std::chrono_literals;

namespace {

/// The operator's limit for requests to a replica after a daemon has passed on
/// an answer in which it says that it leaves.
constexpr Duration MaxLeavingDelay = 3s;

/// After a rejection with a pause, requests may arrive for this long, and then
/// this many until the pause ends.
constexpr Duration PauseDelay = 500ms;
constexpr std::size_t PauseExtra = 2;

/// A request that has ended this many replicas may reach replicas in as many
/// further attempts of callers that are sent later than DeadlyDelay.
constexpr std::size_t DeadlyLimit = 3;
constexpr Duration DeadlyDelay = 4s;
constexpr Duration DeadlyPeriod = 300ms;

/// A burst of requests begins this long before a replica returns cold.
constexpr Duration BurstLead = 500ms;
constexpr Duration BurstPeriod = 8ms;

} // namespace

/// Whether the daemon had a fault between these times.
bool Soak::hadFault(std::size_t daemon, state::TimePoint from,
                    state::TimePoint to) const {
  return std::any_of(
      FaultPeriods.begin(), FaultPeriods.end(), [&](const FaultPeriod &it) {
        return it.Daemon == daemon && it.From <= to && it.To >= from;
      });
}

/// A replica without shards says that it leaves, and starts again later. Its
/// registration says nothing of it.
void Soak::injectLeaving() {
  constexpr std::array<const char *, 2> leaving = {"p2", "o1"};
  const std::string id = leaving[randomBelow(leaving.size())];
  const auto it =
      std::find_if(Replicas.begin(), Replicas.end(),
                   [&id](const auto &replica) { return replica->id() == id; });
  ReplicaStandin &replica = **it;
  replica.leave();
  schedule(Duration(4'000'000 + randomBelow(3'000'000)), [this, &replica] {
    replica.restart();
    Store.put(replica.key(), replica.entry());
  });
}

void Soak::injectPause() {
  ReplicaStandin &replica = *Replicas[randomBelow(Replicas.size())];
  replica.askForPause(Duration(100'000 + randomBelow(400'000)),
                      Duration(1'000'000 + randomBelow(4'000'000)));
}

/// In half of the runs, a request that ends the replicas that run it comes
/// again and again, at any daemon.
void Soak::startDeadly() {
  constexpr std::array<const char *, 4> paths = {"", "", "/one/", "/all/"};
  DeadlyPath = paths[randomBelow(paths.size())];
  if (DeadlyPath.empty())
    return;
  for (const auto &replica : Replicas)
    replica->addDeadlyPath(DeadlyPath + "deadly");
  sendDeadly();
}

void Soak::sendDeadly() {
  if (!IsSendingCalls)
    return;
  DeadlyCalls.insert("r" + std::to_string(Calls.size()));
  send(DeadlyPath, randomBelow(Daemons.size()), false, "deadly");
  schedule(DeadlyPeriod, [this] { sendDeadly(); });
}

void Soak::checkLeaving() {
  for (const auto &replica : Replicas) {
    // By daemon, when it first passed on an answer that says so, and the start
    // of the replica to which that applies.
    std::map<std::size_t, std::pair<state::TimePoint, std::size_t>> toldAt;
    for (const ReceivedRequest &it : replica->received()) {
      const Call &call = *Calls[std::stoul(it.Id.substr(1))];
      const auto told = toldAt.find(call.Daemon);
      if (told != toldAt.end() && told->second.second == it.Start &&
          call.SentAt > told->second.first + MaxLeavingDelay &&
          !hadFault(call.Daemon, told->second.first, it.At)) {
        reportViolation(it.Id + " reached " + replica->id() +
                        " after it had said that it leaves");
        return;
      }
      if (!it.SaidLeaving || call.Replica != replica->id())
        continue;
      ++LeavingChecks;
      if (told == toldAt.end() || told->second.second != it.Start)
        toldAt[call.Daemon] = {it.At, it.Start};
    }
  }
}

/// A replica of the service with a cold rate starts again and is cold. Its
/// registration follows 1 to 3 s after it listens.
void Soak::injectColdReturn() {
  constexpr std::array<const char *, 3> cold = {"p0", "p1", "p2"};
  const std::string id = cold[randomBelow(cold.size())];
  const auto it =
      std::find_if(Replicas.begin(), Replicas.end(),
                   [&id](const auto &replica) { return replica->id() == id; });
  ReplicaStandin &replica = **it;
  if (!replica.server().isListening())
    return;
  const Duration away = replica.behaviour().RestartTime;
  replica.crash();
  schedule(away, [&replica] {
    replica.becomeCold(std::chrono::seconds(ColdSeconds));
  });
  schedule(away - BurstLead, [this] {
    sendBurst(Loop.now() + BurstLead + std::chrono::seconds(ColdSeconds));
  });
  schedule(away + Duration(1'000'000 + randomBelow(2'000'000)),
           [this, &replica] {
             replica.restart();
             if (!DrainingSince.contains(replica.id()))
               Store.put(replica.key(), replica.entry());
           });
}

/// Sends requests for the service with a cold rate to all daemons, more than
/// its cold replicas may get.
void Soak::sendBurst(state::TimePoint until) {
  if (!IsSendingCalls || Loop.now() >= until)
    return;
  send("/once/", randomBelow(Daemons.size()), false);
  schedule(BurstPeriod, [this, until] { sendBurst(until); });
}

/// Checks the bound of requests to cold replicas over all daemons, whatever
/// faults they have.
void Soak::checkCold() {
  for (const auto &replica : Replicas) {
    ColdChecks += static_cast<std::uint64_t>(
        std::count_if(replica->received().begin(), replica->received().end(),
                      [](const ReceivedRequest &it) { return it.WhileCold; }));
    const std::size_t most = replica->mostWhileCold();
    if (static_cast<double>(most) > ColdRate * 1.5 + 5)
      reportViolation(replica->id() + " got " + std::to_string(most) +
                      " requests in a second while it was cold");
  }
}

void Soak::checkPauses() {
  for (const auto &replica : Replicas) {
    const auto &received = replica->received();
    for (std::size_t i = 0; i != received.size(); ++i) {
      const ReceivedRequest &rejected = received[i];
      const Call &call = *Calls[std::stoul(rejected.Id.substr(1))];
      const state::TimePoint end = rejected.At + rejected.Pause;
      // A request over all shards may come from the executor.
      if (rejected.Pause == Duration(0) || call.Path == "/all/" ||
          hadFault(call.Daemon, rejected.At, end) ||
          NetworkFaults.contains(replica->id()))
        continue;
      ++PauseChecks;
      std::size_t n = 0;
      for (std::size_t j = i + 1; j != received.size(); ++j)
        if (received[j].At > rejected.At + PauseDelay && received[j].At < end &&
            received[j].Start == rejected.Start &&
            Calls[std::stoul(received[j].Id.substr(1))]->Daemon == call.Daemon)
          ++n;
      if (n > PauseExtra) {
        reportViolation(replica->id() + " got " + std::to_string(n) +
                        " requests from a daemon that it had asked for a "
                        "pause");
        return;
      }
    }
  }
}

void Soak::checkDeadly() {
  std::vector<state::TimePoint> crashes;
  for (const auto &replica : Replicas)
    crashes.insert(crashes.end(), replica->crashedAt().begin(),
                   replica->crashedAt().end());
  if (crashes.size() < DeadlyLimit)
    return;
  std::sort(crashes.begin(), crashes.end());
  const state::TimePoint from = crashes[DeadlyLimit - 1] + DeadlyDelay;
  std::set<std::string> reached;
  for (const auto &replica : Replicas)
    for (const ReceivedRequest &it : replica->received()) {
      const Call &call = *Calls[std::stoul(it.Id.substr(1))];
      if (DeadlyCalls.contains(it.Id) && call.SentAt > from &&
          wereSendersHealthy(it.Id, call.SentAt))
        reached.insert(it.Id);
    }
  DeadlyChecks += DeadlyCalls.size();
  if (reached.size() > DeadlyLimit)
    reportViolation("a request that had ended three replicas reached replicas "
                    "in " +
                    std::to_string(reached.size()) + " further attempts");
}

} // namespace galenaflow::standin
