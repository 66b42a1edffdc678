#ifndef GALENAFLOW_FORWARDING_DELEGATION_TASK_H
#define GALENAFLOW_FORWARDING_DELEGATION_TASK_H

#include "coordination/executor_selector.h"
#include "forwarding/forwarder.h"
#include "forwarding/relay_task.h"
#include "protocol/delegation_messages.h"

#include <unordered_map>

namespace galenaflow::forwarding {

struct DelegationTaskOptions {
  coordination::ExecutorSelectorOptions Selector;
  state::DaemonCapacity Self;

  /// Requests over fewer shards are run here: passing one on costs as much as a
  /// few sub-requests.
  std::size_t MinParts = 16;

  /// Larger requests are run here, so that they do not delay other messages.
  std::size_t MaxBodyBytes = std::size_t{64} << 10;

  /// Time before the deadline at which an answer that has not come is given up.
  state::Duration DeadlineMargin = std::chrono::milliseconds(4);

  /// Assumed time of a request to the executor and of its answer back, until
  /// some were measured.
  state::Duration InitialOverhead = std::chrono::milliseconds(5);

  /// A daemon counts as one that passes requests on for this long after it had
  /// a link to an executor: several changes of its relay, each of which takes a
  /// second or two. A daemon that counts as none connects to every shard.
  state::Duration DelegatingTimeout = std::chrono::seconds(10);

  std::uint64_t Seed = 1;
};

/// Passes requests over many shards on to a daemon with more CPU, when the
/// fleet has one, and forwards all others itself. A request that an executor
/// refuses has not run and is forwarded here. One whose executor falls silent
/// or is lost may have run, so it fails.
class DelegationTask final : public Forwarder, public PeerListener {
public:
  /// `local` forwards requests of this daemon to replicas.
  DelegationTask(transport::EventLoop &loop, RelayTask &links, Forwarder &local,
                 DelegationTaskOptions options, state::MetricRegistry &metrics);
  ~DelegationTask() override;

  /// The executors of the fleet. Keeps links to some of them.
  void setExecutors(const std::vector<state::DaemonCapacity> &executors);

  bool isExecutor() const { return Selector.isExecutor(); }

  /// Whether a link to an executor is up, or was lately.
  bool isDelegating() const;

  ForwardId forward(ForwardCall call, ForwardCallback callback) override;
  void cancel(ForwardId id) override;

  void onLinkUp(const transport::PeerIdentity &peer) override;
  void onLinkLost(const transport::PeerIdentity &peer) override;
  bool onMessage(const transport::PeerIdentity &peer, std::uint16_t type,
                 std::string_view payload) override;

private:
  struct OpenRequest {
    ForwardCall Call;
    ForwardCallback Callback;
    state::TimePoint ArrivedAt;
    state::TimePoint DeadlineAt; ///< of the caller
    ForwardId Local = 0;         ///< zero while an executor has it
    std::string Executor;        ///< its address
    bool IsPending = false;      ///< the executor has said that it works on it
    transport::TimerId Timer = 0;
  };

  bool isLinkedToExecutor() const;
  void recordLinked();
  std::optional<std::string> chooseExecutor(const ForwardCall &call);
  bool delegate(const std::string &executor, ForwardId id,
                const OpenRequest &open);
  void runLocally(ForwardId id);
  void abandon(ForwardId id, const std::string &executor);
  void onReply(protocol::DelegatedReply reply);
  void onTimeout(ForwardId id);
  void fail(ForwardId id, coordination::ForwardFault fault);
  void finish(ForwardId id, ForwardResult result);

  transport::EventLoop &Loop;
  RelayTask &Links;
  Forwarder &Local;
  DelegationTaskOptions Options;
  coordination::ExecutorSelector Selector;
  std::unordered_map<std::string, transport::PeerIdentity> LinkedPeers;
  std::unordered_map<ForwardId, OpenRequest> OpenRequests;
  ForwardId LastId = 0;
  state::TimePoint LastLinkedAt =
      state::TimePoint::min(); ///< the last time noted
  state::Duration Overhead;    ///< mean of the time beside the executor's work
  state::Counter &Delegated;
  state::Counter &Refused;
  state::Counter &Lost;
};

} // namespace galenaflow::forwarding

#endif
