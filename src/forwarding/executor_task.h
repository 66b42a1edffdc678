#ifndef GALENAFLOW_FORWARDING_EXECUTOR_TASK_H
#define GALENAFLOW_FORWARDING_EXECUTOR_TASK_H

#include "forwarding/forwarder.h"
#include "forwarding/relay_task.h"
#include "protocol/delegation_messages.h"

#include <map>

namespace galenaflow::forwarding {

struct ExecutorTaskOptions {
  /// Requests of other daemons that are executed at a time, per core. A request
  /// over 90 shards takes about 2.5 ms of a core. With six at a time on half a
  /// core, the last one waits as long as it would take on a VM with an eighth
  /// of a core.
  double MaxOpenPerCore = 12;

  std::uint32_t Millicores = 0; ///< of this VM; zero: all requests are refused

  /// Fraction of the latency objective after which the delegating daemon is
  /// notified that the request is in progress. Without this notice it would
  /// treat the executor as unresponsive.
  double PendingNoticeFraction = 0.7;
};

/// Executes requests over many shards for other daemons.
class ExecutorTask final : public PeerListener {
public:
  ExecutorTask(transport::EventLoop &loop, RelayTask &links,
               Forwarder &forwarding, ExecutorTaskOptions options,
               state::MetricRegistry &metrics);
  ~ExecutorTask() override;

  void setRoutes(const state::RouteTablePtr &table) { Table = table; }

  /// Refuses further requests; open ones are finished.
  void startDrain() { IsDraining = true; }

  std::size_t openRequests() const { return OpenRequests.size(); }

  void onLinkUp(const transport::PeerIdentity &) override {}
  void onLinkLost(const transport::PeerIdentity &peer) override;
  bool onMessage(const transport::PeerIdentity &peer, std::uint16_t type,
                 std::string_view payload) override;

private:
  /// The delegating daemon and its sequence number of the request.
  using Key = std::pair<transport::PeerIdentity, std::uint64_t>;

  void onRequest(const transport::PeerIdentity &peer,
                 protocol::DelegatedRequest request);
  const state::Route *
  findRoute(const protocol::DelegatedRequest &request) const;
  std::size_t maxOpenRequests() const;
  void onResult(const Key &key, ForwardResult result);
  void sendPendingNotice(const Key &key);
  void reply(const transport::PeerIdentity &peer,
             const protocol::DelegatedReply &reply);

  struct OpenRequest {
    ForwardId Id = 0;
    transport::TimerId PendingTimer = 0;
  };

  transport::EventLoop &Loop;
  RelayTask &Links;
  Forwarder &Forwarding;
  ExecutorTaskOptions Options;
  state::RouteTablePtr Table;
  bool IsDraining = false;
  std::map<Key, OpenRequest> OpenRequests;
  state::Counter &Executed;
  state::Counter &Refused;
};

} // namespace galenaflow::forwarding

#endif
