#ifndef GALENAFLOW_FORWARDING_RELAY_TASK_H
#define GALENAFLOW_FORWARDING_RELAY_TASK_H

#include "coordination/directory_relay.h"
#include "forwarding/directory_task.h"
#include "transport/peer_link.h"

#include <deque>

namespace galenaflow::forwarding {

/// Takes part in the links between daemons beside the directory.
class PeerListener {
public:
  virtual ~PeerListener() = default;
  virtual void onLinkUp(const transport::PeerIdentity &peer) = 0;
  virtual void onLinkLost(const transport::PeerIdentity &peer) = 0;

  /// A message of another type than the directory's. False: malformed.
  virtual bool onMessage(const transport::PeerIdentity &peer,
                         std::uint16_t type, std::string_view payload) = 0;
};

struct RelayTaskOptions {
  transport::PeerNetworkOptions Network;

  /// CPU of this VM in thousandths of a core; zero while not known.
  std::uint32_t Millicores = 0;

  coordination::RelaySelectorOptions Selector;

  /// A relay answers when it has read the source itself, which it does about
  /// once a second. Without an answer in this time, the source is read here.
  state::Duration ReplyTimeout = std::chrono::milliseconds(1500);

  /// A request is answered after this time even by a daemon that has read
  /// nothing yet.
  state::Duration MaxReplyDelay = std::chrono::milliseconds(1200);

  /// A view that is older is not taken over. Together with the timeout and a
  /// read here, the view stays within the operator's bound of 3 s.
  state::Duration MaxAge = std::chrono::milliseconds(1200);

  /// Time after the start in which a missing link is waited for.
  state::Duration LinkSetupGrace = std::chrono::milliseconds(600);

  /// The largest fleet that was counted within this time is believed, because a
  /// count is too small while links are being set up.
  state::Duration CountWindow = std::chrono::seconds(30);
};

/// Reads the directory from another daemon while one gives good answers, and
/// from its source otherwise. Answers the requests of other daemons. The number
/// of reads at the source is thus nearly independent of that of the daemons.
class RelayTask final : public DirectorySource {
public:
  RelayTask(transport::EventLoop &loop, DirectorySource &source,
            RelayTaskOptions options, state::MetricRegistry &metrics);
  ~RelayTask() override;

  /// Accepts other daemons. Error: Unavailable.
  state::Result<transport::SocketAddress>
  listen(transport::SocketAddress address);

  /// Addresses (IP:PORT) of daemons that may be asked.
  void setRelays(const std::vector<std::string> &addresses);

  void readAll(DirectoryCallback callback) override;
  void readChanges(std::uint64_t after, DirectoryCallback callback) override;
  state::RouteTablePtr decodeRoutes(std::string_view document) const override;

  /// This daemon's view has been read, or has changed.
  void onView(const DirectoryView &view);

  /// Daemons of the fleet; zero while not known.
  std::uint32_t daemonCount() const;

  /// The daemons that run requests for others, as heard lately.
  std::vector<state::DaemonCapacity> executors() const {
    return Executors.current(Loop.now());
  }

  /// Addresses to which links are kept besides those to the relays.
  void setExtraLinks(const std::vector<std::string> &addresses);

  /// Sends a message of another type. False without a link.
  bool send(const transport::PeerIdentity &peer, std::uint16_t type,
            std::string_view payload) {
    return Network.send(peer, type, payload);
  }

  /// `listener` must live as long as the links.
  void addListener(PeerListener &listener) { Listeners.push_back(&listener); }

private:
  struct PendingRead {
    std::uint64_t Sequence = 0;
    std::string Relay;
    std::optional<std::uint64_t> After;
    DirectoryCallback Callback;
    transport::TimerId Timer = 0;
  };

  struct WaitingRequest {
    transport::PeerIdentity Peer;
    protocol::DirectoryRequest Request;
    state::TimePoint ArrivedAt;
  };

  void read(std::optional<std::uint64_t> after, DirectoryCallback callback);
  void readSource(std::optional<std::uint64_t> after,
                  DirectoryCallback callback);
  bool sendRequest(const std::string &relay);
  std::optional<transport::PeerIdentity>
  findLink(const std::string &address) const;
  void failPendingRead(const char *reason);
  void onLinkLost(const transport::PeerIdentity &peer,
                  transport::LinkCloseReason reason);
  void onMessage(const transport::PeerIdentity &peer, std::uint16_t type,
                 std::string_view payload);
  void onRequest(const transport::PeerIdentity &peer,
                 const protocol::DirectoryRequest &request);
  void onReply(protocol::DirectoryReply reply);
  void sendReply(const WaitingRequest &waiter);
  void sendAllReplies();
  bool isViewStale() const;
  void tick();
  void recordDaemonCount(std::uint32_t n);
  void updateLinkTargets();
  void logRefusedPeers();

  transport::EventLoop &Loop;
  DirectorySource &Source;
  RelayTaskOptions Options;
  transport::PeerNetwork Network;
  coordination::RelaySelector Selector;
  coordination::DirectoryLog Log;
  coordination::FleetAggregator Fleet;
  std::optional<PendingRead> Pending;
  std::deque<WaitingRequest> WaitingRequests;
  DirectoryView View;
  state::TimePoint ViewReadAt;
  std::uint64_t LoggedListVersion = 0; ///< of the directory that the log shows
  state::TimePoint StartedAt;
  std::uint64_t LastSequence = 0;
  std::uint64_t RelayLogId = 0; ///< position in the relay's log
  std::uint64_t RelayLogIndex = 0;
  bool HasStartedRead = false;
  bool IsReadingFromRelay = false;
  std::uint32_t UpstreamDaemons = 0;
  std::vector<state::DaemonCapacity>
      ReportedExecutors; ///< executors, as last heard
  coordination::ExecutorCache Executors;
  std::vector<std::string> ExtraLinks;
  std::map<transport::LinkCloseReason, std::uint64_t> RefusedPeers; ///< logged
  std::vector<PeerListener *> Listeners;
  std::deque<std::pair<state::TimePoint, std::uint32_t>> DaemonCounts;
  transport::TimerId Timer = 0;
  state::Counter &RelayReads;
  state::Counter &SourceReads;
  state::Counter &PeersRefused;
};

} // namespace galenaflow::forwarding

#endif
