#ifndef GALENAFLOW_PLATFORM_TESTS_SOAK_H
#define GALENAFLOW_PLATFORM_TESTS_SOAK_H

#include "platform/metadata_store.h"
#include "platform/replica_standin.h"
#include "standin/proxy_route.h"
#include "support/process.h"
#include "transport/http_client.h"

#include <deque>
#include <filesystem>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <unistd.h>
#include <vector>

namespace galenaflow::standin {

struct SoakOptions {
  std::uint64_t Seed = 1;
  std::size_t Daemons = 4;
  state::Duration FaultTime = std::chrono::seconds(12);
  state::Duration RecoveryTime = std::chrono::seconds(8);
};

/// Runs real daemons as processes against stand-ins in this process, injects
/// random faults from outside (signals, a loopback proxy, the stand-ins), and
/// checks the daemons' guarantees from what callers receive and what replicas
/// run.
class Soak {
public:
  explicit Soak(SoakOptions options);
  ~Soak();

  /// Returns the violated guarantees; empty if there are none.
  std::vector<std::string> run();

private:
  struct Daemon {
    std::string Ip;
    std::string Listen;
    std::string SettingsPath;
    std::unique_ptr<support::Process> Process;
    bool IsStopping = false;
    bool IsFaulty = false; ///< killed, paused or stopping at present
    state::TimePoint HealthySince;
    std::vector<std::unique_ptr<transport::HttpConnection>> Callers;
  };

  /// A period in which a fault of a daemon or of the store was in effect.
  struct FaultPeriod {
    std::size_t Daemon = 0; ///< index of the daemon, or StoreTarget
    state::TimePoint From;
    state::TimePoint To;
  };
  /// Of the service "pool".
  static constexpr int ColdSeconds = 2;
  static constexpr double ColdRate = 6;
  static constexpr std::size_t StoreTarget = ~std::size_t{0};

  /// From the acknowledgement of an evacuation until its item was removed.
  struct EvacuationPeriod {
    std::string DataCentre;
    state::TimePoint From;
    state::TimePoint To = state::TimePoint::max();
  };

  struct Call {
    std::string Id;
    std::string Path;
    std::size_t Daemon = 0;
    state::TimePoint SentAt;
    bool IsRecovery = false;
    bool IsDone = false;
    int Status = 0;      ///< 0: no response
    std::string Replica; ///< that gave the answer; empty for several
  };

  std::unique_ptr<ProxyRoute> openRoute(const std::string &id,
                                        const transport::SocketAddress &target);
  void startReplicas();
  void startDaemon(Daemon &daemon);
  void publish();
  void sendCalls();
  void send(const std::string &path, std::size_t daemon, bool isRecovery,
            const std::string &suffix = "");
  void onResult(Call &call, const transport::HttpResult &result);
  void checkSingle(Call &call, const transport::HttpResponse &response);
  void checkMerged(const Call &call, const transport::HttpResponse &response);
  void checkRuns();
  void checkDelegation();
  void checkLimits();
  void checkLeaving();
  void checkPauses();
  void checkDeadly();
  void checkEvacuations();
  state::TimePoint inForceAt(const EvacuationPeriod &period) const;
  bool isAfterRestore(state::TimePoint at) const;
  void checkCold();
  bool hadFault(std::size_t daemon, state::TimePoint from,
                state::TimePoint to) const;
  bool wasHealthy(const std::string &id, state::TimePoint at) const;
  bool wereSendersHealthy(const std::string &id, state::TimePoint at) const;
  bool wasWithoutFault(std::size_t target, state::TimePoint at) const;
  void recordFaultPeriod(std::size_t daemon, state::Duration lasting);
  void injectFault();
  void injectDaemonFault(Daemon &daemon);
  void injectStoreFault();
  void restoreStore();
  void rewriteEntries();
  void changeRoutes();
  void keepCopies();
  void checkRoutes();
  void injectReplicaFault();
  void injectLimit();
  void injectLeaving();
  void injectPause();
  void startEvacuation();
  void injectEvacuation();
  void evacuate(const std::string &name, state::Duration lasting);
  void endEvacuation(const std::string &dataCentre);
  void rewriteEvacuations();
  void injectColdReturn();
  void sendBurst(state::TimePoint until);
  void startDeadly();
  void sendDeadly();
  void injectNetworkFault();
  void injectDirectoryChange();
  void superviseDaemons();
  void clearFaults();
  std::uint64_t randomBelow(std::uint64_t n) { return Random() % n; }
  void schedule(state::Duration d, std::function<void()> task);
  void reportViolation(const std::string &text);

  SoakOptions Options;
  std::string KeyPath =
      (std::filesystem::temp_directory_path() /
       ("galenaflow-soak-" + std::to_string(getpid()) + ".key"))
          .string();
  std::mt19937_64 Random;
  transport::EventLoop Loop;
  MetadataStore Store{Loop};
  std::vector<std::unique_ptr<ReplicaStandin>> Replicas;
  std::vector<std::unique_ptr<ProxyRoute>> ReplicaRoutes;
  std::vector<std::unique_ptr<ProxyRoute>> StoreRoutes;
  std::vector<Daemon> Daemons;
  std::vector<std::unique_ptr<Call>> Calls;
  std::vector<FaultPeriod> FaultPeriods;
  /// The replica that is draining, if any, and the time of that change.
  std::map<std::string, state::TimePoint> DrainingSince;
  int RouteVersion = 1;
  /// Services of the route "one" and the times from which they were published.
  std::vector<std::pair<state::TimePoint, std::string>> PublishedPools;
  std::deque<std::shared_ptr<const MetadataStore::Copy>> StoreCopies;
  std::uint16_t PeerPort = 0;
  std::string Pool = "pool";
  bool IsSendingCalls = true;
  std::uint64_t AnswerCount = 0;
  /// Number of runs that were checked not to be at the draining replica.
  std::uint64_t DrainChecks = 0;
  /// Number of requests that were checked against the limits of replicas.
  std::uint64_t LimitChecks = 0;
  /// Path of the requests that end replicas; empty in half of the runs.
  std::string DeadlyPath;
  std::set<std::string> DeadlyCalls; ///< ids
  /// Replicas on whose routes responses may have been lost.
  std::set<std::string> NetworkFaults;
  /// Number of requests that were checked not to reach a leaving replica.
  std::uint64_t LeavingChecks = 0;
  std::uint64_t PauseChecks = 0;
  std::uint64_t DeadlyChecks = 0;
  std::vector<EvacuationPeriod> Evacuations;
  /// From the begin of an outage until the store has all items again.
  std::vector<FaultPeriod> StoreRestores;
  /// Number of requests that were checked not to be in an evacuated data
  /// centre.
  std::uint64_t EvacuationChecks = 0;
  /// Number of requests that were received by cold replicas.
  std::uint64_t ColdChecks = 0;
  /// Number of runs that were checked to follow the published routes.
  std::uint64_t RouteChecks = 0;
  std::vector<std::string> Violations;
};

} // namespace galenaflow::standin

#endif
