#ifndef GALENAFLOW_DAEMON_SHARE_TASK_H
#define GALENAFLOW_DAEMON_SHARE_TASK_H

#include "coordination/share_ledger.h"
#include "daemon/admission_task.h"
#include "daemon/backend_task.h"
#include "daemon/fleet_task.h"
#include "daemon/published_lists.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace galenaflow::daemon {

/// This daemon's share of one plan's limits.
struct PlanShareStatus {
  std::string Plan;
  double RateLimit = 0;     ///< whole fleet, requests per second
  double RateAllowance = 0; ///< this daemon now, requests per second
  std::uint64_t ConcurrencyLimit = 0;
  std::uint64_t ConcurrencyAllowance = 0;
  std::uint64_t ConcurrencyLent = 0;
};

/// Shares the limits of plans and services with the other daemons. Owns the
/// share ledger, passes it the lists and the demand, and passes its allowances
/// to admission and to the connection pools.
class ShareTask final : public ConcurrencyShares {
public:
  ShareTask(transport::EventLoop &loop, FleetTask &fleet, PublishedLists &lists,
            AdmissionTask &admission, BackendTask &backends,
            const coordination::MemberId &self,
            coordination::ShareLedgerOptions options);

  /// Drives the ledger. Call on each tick of the fleet task.
  void tick(state::TimePoint now);

  /// Call after a pause of the process. Discards the borrowed units, whose
  /// leases have ended.
  void onPause();

  /// Returns borrowed units before the process stops.
  void stopBorrowing();

  /// Whether every listed daemon respects this daemon's share.
  bool isEntitled() const { return Ledger.isEntitled(); }

  std::vector<PlanShareStatus> status() const;

  std::uint64_t acquire(std::string_view plan, state::TimePoint until) override;
  void release(std::uint64_t holdId) override;

private:
  struct PlanState {
    double Rate = 0; ///< smoothed arrivals per second
    state::TimePoint SampledAt;
  };

  void onListChange(std::string_view key);
  void setLimits();
  void applyVmList();
  void updateDemand(const state::Plan &plan, state::TimePoint now);
  void updateAllowance(const state::Plan &plan, state::TimePoint now);
  void updateConnections(const state::Service &service, state::TimePoint now);
  void send(const std::vector<coordination::SendMessage> &messages);

  transport::EventLoop &Loop;
  FleetTask &Fleet;
  PublishedLists &Lists;
  AdmissionTask &Admission;
  BackendTask &Backends;
  coordination::ShareLedger Ledger;
  std::map<std::string, PlanState, std::less<>> Plans;
  std::map<std::string, std::vector<coordination::ShareHold>, std::less<>>
      ConnectionHolds; ///< by service; each hold has one unit
  std::unordered_map<std::uint64_t, coordination::ShareHold> Holds;
  std::uint64_t LastHoldId = 0;
};

} // namespace galenaflow::daemon

#endif
