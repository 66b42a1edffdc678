#ifndef GALENAFLOW_FORWARDING_DELEGATION_TASK_H
#define GALENAFLOW_FORWARDING_DELEGATION_TASK_H

#include "coordination/executor_selector.h"
#include "coordination/gate/region_policy.h"
#include "forwarding/forwarder.h"
#include "forwarding/relay_task.h"
#include "protocol/delegation_messages.h"

#include <unordered_map>

namespace galenaflow::forwarding {

struct DelegationTaskOptions {
  coordination::ExecutorSelectorOptions Selector;
  state::DaemonCapacity Self;

  coordination::gate::RegionPolicy Regions;

  /// Requests with larger bodies are executed locally, so that they do not
  /// delay other messages of the link.
  std::size_t MaxBodyBytes = std::size_t{64} << 10;

  /// Time before the deadline at which a request without a reply fails.
  state::Duration DeadlineMargin = std::chrono::milliseconds(4);

  /// Assumed time for a request to reach the executor and for the reply to
  /// return, until some were measured.
  state::Duration InitialOverhead = std::chrono::milliseconds(5);

  /// A daemon counts as delegating for this long after its last link to an
  /// executor. This covers several changes of its relay, each of which takes a
  /// second or two. A daemon that is not delegating connects to every shard.
  state::Duration DelegatingTimeout = std::chrono::seconds(10);

  std::uint64_t Seed = 1;
};

/// Delegates requests over many shards to a daemon with more CPU, an executor,
/// when the fleet has one, and executes all others locally. A request that an
/// executor refuses has not run and is executed locally. A request whose
/// executor does not reply in time or is disconnected may have run, so it
/// fails.
class DelegationTask final : public Forwarder, public PeerListener {
public:
  /// `links` sends messages to executors; `local` executes requests on this
  /// daemon.
  DelegationTask(transport::EventLoop &loop, RelayTask &links, Forwarder &local,
                 DelegationTaskOptions options, state::MetricRegistry &metrics);
  ~DelegationTask() override;

  /// Sets the executors of the fleet and keeps links to some of them.
  void setExecutors(const std::vector<state::DaemonCapacity> &executors);

  bool isExecutor() const { return Selector.isExecutor(); }

  /// Whether a link to an executor is up or was within DelegatingTimeout. False
  /// on an executor.
  bool isDelegating() const;

  ForwardId forward(ForwardCall call, ForwardCallback callback) override;
  void cancel(ForwardId id) override;
  void startDrain(state::TimePoint exitAt) override;

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
    ForwardId LocalId = 0;       ///< zero while the request is delegated
    std::string Executor;        ///< address; empty when executed locally
    bool IsPending = false;      ///< the executor reported it as in progress
    transport::TimerId Timer = 0;
    /// Counts the copy for the executor, which waits in the link's queue.
    std::shared_ptr<const void> CopyHold;
  };

  bool isLinkedToExecutor() const;
  void recordLinked();
  std::optional<std::string> chooseExecutor(const ForwardCall &call);
  bool mayDelegate(const ForwardCall &call, const std::string &executor) const;
  bool delegate(const std::string &executor, ForwardId id,
                const OpenRequest &open);
  void runLocally(ForwardId id);
  void abandon(ForwardId id, const std::string &executor);
  void onReply(protocol::DelegatedReply reply);
  void onTimeout(ForwardId id);
  state::TimePoint endsAt(const OpenRequest &open) const;
  void fail(ForwardId id, coordination::ForwardFault fault);
  void finish(ForwardId id, ForwardResult result);

  transport::EventLoop &Loop;
  RelayTask &Links;
  Forwarder &Local;
  DelegationTaskOptions Options;
  coordination::ExecutorSelector Selector;
  std::unordered_map<std::string, transport::PeerIdentity> LinkedPeers;

  /// Data centres of the executors, by address.
  std::unordered_map<std::string, std::string> ExecutorDataCentres;
  std::unordered_map<ForwardId, OpenRequest> OpenRequests;
  ForwardId LastId = 0;
  state::TimePoint ExitAt = state::TimePoint::max();

  /// Last recorded time with a link to an executor.
  state::TimePoint LastLinkedAt = state::TimePoint::min();

  /// Mean round trip to an executor without the execution itself.
  state::Duration Overhead;
  state::Counter &Delegated;
  state::Counter &Refused;
  state::Counter &Lost;
};

} // namespace galenaflow::forwarding

#endif
