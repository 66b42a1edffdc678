#ifndef GALENAFLOW_DAEMON_WRITE_TASK_H
#define GALENAFLOW_DAEMON_WRITE_TASK_H

#include "coordination/write_execution.h"
#include "coordination/write_registry.h"
#include "daemon/fleet_task.h"
#include "daemon/published_lists.h"
#include "daemon/write_service.h"

#include <map>
#include <memory>
#include <random>
#include <unordered_map>

namespace galenaflow::daemon {

/// Runs writes at most once. Owns the write registry, which collects grants
/// from the other daemons, runs the writes that are granted, and answers all
/// submissions.
class WriteTask final : public WriteService {
public:
  WriteTask(transport::EventLoop &loop, FleetTask &fleet, PublishedLists &lists,
            BackendTask &backends, const coordination::MemberId &self,
            const coordination::WriteRegistryOptions &options,
            std::uint64_t seed);

  void submit(WriteCommand command, WriteCallback callback) override;

  /// Call on each tick of the fleet task.
  void tick();

  /// Hands all grants to the other daemons before the process stops.
  void retire();
  bool isHandedOver() const { return Registry.isHandedOver(); }

  /// Whether writes can be granted here.
  bool isReady() const { return Registry.isReady(); }
  std::size_t grantCount() const { return Registry.grantCount(); }

private:
  struct Submission {
    WriteCommand Command;
    WriteCallback Callback;
    state::TimePoint DeadlineAt;
    std::uint32_t SubRequests = 0;
  };

  void executePendingActions();
  void run(const coordination::RunWrite &action);
  void finishRun(const coordination::RunWrite &action,
                 coordination::SubmissionId submission,
                 const coordination::WriteOutcome &outcome);
  void answer(const coordination::AnswerWrite &action);
  void onListChange(std::string_view key);

  transport::EventLoop &Loop;
  FleetTask &Fleet;
  PublishedLists &Lists;
  BackendTask &Backends;
  std::mt19937_64 Random;
  coordination::WriteRegistry Registry;
  std::unordered_map<coordination::SubmissionId, Submission> Submissions;
  std::multimap<protocol::WriteKey, coordination::SubmissionId> ByKey;
  coordination::SubmissionId LastSubmission = 0;
  bool IsExecutingActions = false;
};

} // namespace galenaflow::daemon

#endif
