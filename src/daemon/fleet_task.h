#ifndef GALENAFLOW_DAEMON_FLEET_TASK_H
#define GALENAFLOW_DAEMON_FLEET_TASK_H

#include "coordination/config_distribution.h"
#include "coordination/membership.h"
#include "coordination/reader_election.h"
#include "daemon/platform_client.h"
#include "daemon/published_lists.h"
#include "state/metrics.h"
#include "transport/peer_link.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace galenaflow::daemon {

struct FleetTaskOptions {
  coordination::ListedVm Self;
  std::vector<std::string> SeedPeers; ///< IP:PORT
  std::optional<transport::SocketAddress> Platform;
  std::vector<std::string> PeerKeys; ///< one or two
  coordination::MembershipOptions Membership;
  coordination::ConfigDistributionOptions Config;
  state::Duration Heartbeat = std::chrono::milliseconds(500);
  state::Duration LinkReceiveTimeout = std::chrono::seconds(2);
  std::uint64_t Seed = 1;
};

/// The state of one peer as this daemon knows it.
struct PeerStatus {
  coordination::Member Member;
  bool IsLinked = false;
  coordination::ConfigVersionVector Versions{}; ///< last digest received
};

/// Drives membership and the distribution of the lists. Owns the links to other
/// daemons and the client of the platform.
class FleetTask {
public:
  /// Receives a message for another task of the daemon, from an authenticated
  /// peer.
  using MessageHandler =
      std::function<void(const coordination::MemberId &from, std::uint16_t type,
                         std::string_view payload)>;

  FleetTask(transport::EventLoop &loop, FleetTaskOptions options,
            PublishedLists &lists, state::MetricRegistry &metrics);
  ~FleetTask();
  FleetTask(const FleetTask &) = delete;
  FleetTask &operator=(const FleetTask &) = delete;

  /// Listens for peers, then starts to read the lists and to gossip. Returns
  /// the bound address. Error: Unavailable.
  state::Result<transport::SocketAddress>
  start(const transport::SocketAddress &listenAddress);

  /// Sets a callback that runs once, when valid lists have been applied and the
  /// start-up window is over.
  void onReady(std::function<void()> callback) {
    OnReadyCallback = std::move(callback);
  }

  /// Sets a callback that runs after a pause of this process was detected.
  void onPause(std::function<void()> callback) {
    OnPauseCallback = std::move(callback);
  }

  /// Sets a callback that runs on each tick of the task, every 100 ms.
  void onTick(std::function<void(state::TimePoint)> callback) {
    OnTickCallback = std::move(callback);
  }

  /// Adds a callback that runs when a link to a daemon comes up or goes down.
  void onLink(std::function<void(const transport::PeerIdentity &, bool isUp)>
                  callback) {
    OnLinkCallbacks.push_back(std::move(callback));
  }

  /// Sets a callback that receives each ShareExchange message.
  void onShares(std::function<void(const coordination::MemberId &,
                                   const protocol::ShareExchange &)>
                    callback) {
    OnSharesCallback = std::move(callback);
  }

  /// Passes messages of the types `first` to `last`, inclusive, to `handler`.
  void addMessageHandler(std::uint16_t first, std::uint16_t last,
                         MessageHandler handler);

  /// Sends a message to a daemon. Returns false when there is no link to it.
  bool send(const coordination::MemberId &to, std::uint16_t type,
            std::string_view payload);

  /// Sends a message of the fleet protocol, addressed by id or by address.
  void send(const coordination::SendMessage &message);

  /// Notifies the peers of a graceful departure.
  void leave();

  bool isReady() const { return Config.isReady(); }
  bool isReader() const { return Election.isReader(); }
  const coordination::ConfigDistribution &config() const { return Config; }
  const coordination::Membership &membership() const { return Members; }
  std::vector<PeerStatus> peers() const;

  /// The entry VMs of the newest VM list, in its order.
  std::vector<coordination::ListedVm> listedVms() const;
  std::uint64_t platformReads() const;
  const transport::PeerNetwork &network() const { return Network; }

  /// Period of the tick.
  static constexpr state::Duration TickPeriod = std::chrono::milliseconds(100);

private:
  struct HandlerRange {
    std::uint16_t First;
    std::uint16_t Last;
    MessageHandler Handler;
  };

  void tick();
  void onLinkUp(const transport::PeerIdentity &peer);
  void onLinkDown(const transport::PeerIdentity &peer,
                  transport::LinkCloseReason reason);
  void onMessage(const transport::PeerIdentity &peer, std::uint16_t type,
                 std::string_view payload);
  void onFleetMessage(const transport::PeerIdentity &peer, std::uint16_t type,
                      std::string_view payload);
  void executeActions(const coordination::MembershipActions &actions);
  void executeActions(coordination::ConfigActions actions);
  void readPlatform(const coordination::ReadKey &read);
  void onListChange(std::string_view key);
  void updatePeers();

  transport::EventLoop &Loop;
  FleetTaskOptions Options;
  PublishedLists &Lists;
  state::MetricRegistry &Metrics;
  coordination::Membership Members;
  coordination::ReaderElection Election;
  coordination::ConfigDistribution Config;
  std::unique_ptr<PlatformClient> Platform;
  transport::PeerNetwork Network;
  std::map<coordination::MemberId, transport::PeerIdentity> LinkedPeers;
  std::map<coordination::MemberId, coordination::ConfigVersionVector> Digests;
  std::vector<HandlerRange> Handlers;
  transport::TimerId Timer = 0;
  bool IsReadyReported = false;
  std::vector<std::function<void(const transport::PeerIdentity &, bool)>>
      OnLinkCallbacks;
  std::function<void()> OnReadyCallback;
  std::function<void()> OnPauseCallback;
  std::function<void(state::TimePoint)> OnTickCallback;
  std::function<void(const coordination::MemberId &,
                     const protocol::ShareExchange &)>
      OnSharesCallback;
};

} // namespace galenaflow::daemon

#endif
