#ifndef GALENAFLOW_FORWARDING_RELAY_TASK_H
#define GALENAFLOW_FORWARDING_RELAY_TASK_H

#include "coordination/directory_relay.h"
#include "coordination/limit_registry.h"
#include "forwarding/directory_task.h"
#include "transport/peer_link.h"

#include <deque>

namespace galenaflow::forwarding {

/// Receives the events of the links between daemons, and the messages that are
/// not about the directory.
class PeerListener {
public:
  virtual ~PeerListener() = default;
  virtual void onLinkUp(const transport::PeerIdentity &peer) = 0;
  virtual void onLinkLost(const transport::PeerIdentity &peer) = 0;

  /// Handles a message that is not about the directory. Returns false when its
  /// type is not one of the listener's or its payload is malformed.
  virtual bool onMessage(const transport::PeerIdentity &peer,
                         std::uint16_t type, std::string_view payload) = 0;
};

struct RelayTaskOptions {
  transport::PeerNetworkOptions Network;

  /// CPU of this VM in thousandths of a core; zero while not known.
  std::uint32_t Millicores = 0;

  coordination::RelaySelectorOptions Selector;

  /// A relay replies when it has read the source itself, about once a second.
  /// Without a reply within this time, this daemon reads the source itself.
  state::Duration ReplyTimeout = std::chrono::milliseconds(1500);

  /// The reply to another daemon's request is sent after this time at the
  /// latest, even if this daemon has not read anything yet.
  state::Duration MaxReplyDelay = std::chrono::milliseconds(1200);

  /// An older view of a relay is not used. Together with ReplyTimeout and a
  /// read at the source, this keeps the age of this daemon's view within the
  /// operator's limit of 3 s.
  state::Duration MaxAge = std::chrono::milliseconds(1200);

  /// After a failed read at the source, reads are made at any linked daemon for
  /// this long: the source may refuse this daemon only.
  state::Duration FallbackTime = std::chrono::seconds(2);

  /// Maximum number of these daemons that are asked in one read.
  std::uint32_t MaxFallbacks = 3;

  /// For this time after the start, a read whose relay has no link yet fails
  /// instead of being made at the source: the link is being set up.
  state::Duration LinkSetupGrace = std::chrono::milliseconds(600);

  /// The largest count of daemons within this time is used, because counts are
  /// too small while links are being set up.
  state::Duration CountWindow = std::chrono::seconds(30);
};

/// Reads the directory from another daemon, the relay, while one gives usable
/// replies, and otherwise from its source. Replies to the requests of other
/// daemons. The number of reads at the source is therefore nearly independent
/// of the number of daemons.
///
/// A relay whose routes are older than those of a daemon that reads there, for
/// example because it has read a restored copy of the source, requests them.
class RelayTask final : public DirectorySource {
public:
  RelayTask(transport::EventLoop &loop, DirectorySource &source,
            RelayTaskOptions options, state::MetricRegistry &metrics);
  ~RelayTask() override;

  /// Accepts links of other daemons. Error: Unavailable.
  state::Result<transport::SocketAddress>
  listen(transport::SocketAddress address);

  /// Sets the addresses (IP:PORT) of the daemons that can be relays.
  void setRelays(const std::vector<std::string> &addresses);

  void readAll(DirectoryCallback callback) override;
  void readChanges(const state::DirectoryPosition &after,
                   DirectoryCallback callback) override;
  void readRoutes(DirectoryCallback callback) override;
  state::RouteTablePtr decodeRoutes(std::string_view document) const override;

  /// Calls `callback` when a link to a relay comes up while none is in use, or
  /// an answer arrives after its read has failed, so that the owner reads at
  /// once instead of when the next read is due.
  void onRelayAvailable(std::function<void()> callback) {
    RelayAvailableCallback = std::move(callback);
  }

  /// Calls `callback` with routes that are newer than those of the view, from a
  /// daemon that reads here. The owner passes them on by onView().
  using RoutesCallback =
      std::function<void(state::RouteTablePtr table, std::string document)>;
  void onNewerRoutes(RoutesCallback callback) {
    NewerRoutesCallback = std::move(callback);
  }

  /// Calls `callback` with the version of the routes of each daemon that sends
  /// a request or a reply.
  void onRouteVersion(std::function<void(std::uint64_t)> callback) {
    RouteVersionCallback = std::move(callback);
  }

  /// Call when this daemon's view has been read or has changed. Replies to the
  /// requests that wait for it.
  void onView(const DirectoryView &view);

  /// Number of daemons in the fleet; zero while not known.
  std::uint32_t daemonCount() const;

  /// The recently reported daemons that execute requests for others.
  std::vector<state::DaemonCapacity> executors() const {
    return Executors.current(Loop.now());
  }

  /// Records what a replica has stated about its request limit to this daemon
  /// and reports it to the others. Zero: it has none.
  void reportLimit(std::string_view replica, double perSecond) {
    Limits.record(replica, perSecond, Loop.now());
  }

  /// Calls `callback` when the request limit of a replica changes, as stated to
  /// any daemon.
  void onLimitChange(coordination::LimitRegistry::ChangeCallback callback) {
    Limits.onChange(std::move(callback));
  }

  /// Sets the addresses to which links are kept in addition to the relays.
  void setExtraLinks(const std::vector<std::string> &addresses);

  /// Sends a message that is not about the directory. Returns false when there
  /// is no link to the peer.
  bool send(const transport::PeerIdentity &peer, std::uint16_t type,
            std::string_view payload) {
    return Network.send(peer, type, payload);
  }

  /// The daemons to which links are up.
  std::vector<transport::PeerIdentity> peers() const {
    return Network.connected();
  }

  /// `listener` must live as long as the links.
  void addListener(PeerListener &listener) { Listeners.push_back(&listener); }

private:
  struct PendingRead {
    std::uint64_t Sequence = 0;
    std::string Relay;
    std::optional<state::DirectoryPosition> After;
    DirectoryCallback Callback;
    transport::TimerId Timer = 0;
    std::uint32_t FailedRelays = 0;
    state::TimePoint SentAt = state::TimePoint::min();
  };

  /// The open read at the source.
  struct SourceRead {
    std::uint64_t Number = 0;
    std::optional<state::DirectoryPosition> After;
    DirectoryCallback Callback;
  };

  /// A request to a relay that had no reply in time. The reply is used if it
  /// arrives before any read has succeeded.
  struct LateRequest {
    std::uint64_t Sequence = 0;
    std::string Relay;
    std::optional<state::DirectoryPosition> After;
    state::TimePoint SentAt;
  };

  struct LateReply {
    LateRequest Request;
    protocol::DirectoryReply Reply;
  };

  /// Maximum number of requests whose late replies are used.
  static constexpr std::size_t MaxLateRequests = 4;

  struct WaitingRequest {
    transport::PeerIdentity Peer;
    protocol::DirectoryRequest Request;
    state::TimePoint ArrivedAt;
  };

  void read(const std::optional<state::DirectoryPosition> &after,
            DirectoryCallback callback);
  void readSource(const std::optional<state::DirectoryPosition> &after,
                  DirectoryCallback callback);
  bool sendRequest(const std::string &relay);
  std::optional<transport::PeerIdentity>
  findLink(const std::string &address) const;
  bool sendPendingRead();
  std::optional<std::string> chooseRelay() const;
  std::optional<std::string> chooseFallback() const;
  void failPendingRead(const char *reason);
  void onReplyMissing();
  const char *
  findFault(const protocol::DirectoryReply &reply,
            const std::optional<state::DirectoryPosition> &after) const;
  std::vector<state::EvacuationChange>
  evacuationChanges(const protocol::DirectoryReply &reply) const;
  bool decodeReplyRoutes(const protocol::DirectoryReply &reply,
                         state::RouteTablePtr &table) const;
  void useLateReply(const LateRequest &request, protocol::DirectoryReply reply);
  void useReply(const std::string &relay, protocol::DirectoryReply reply,
                state::RouteTablePtr table, const DirectoryCallback &callback);
  void onSourceResult(std::uint64_t number, DirectoryResult result);
  void forgetLateReplies();
  void useLateAnswer();
  void onLinkUp(const transport::PeerIdentity &peer);
  void onLinkLost(const transport::PeerIdentity &peer,
                  transport::LinkCloseReason reason);
  void onMessage(const transport::PeerIdentity &peer, std::uint16_t type,
                 std::string_view payload);
  void onRequest(const transport::PeerIdentity &peer,
                 const protocol::DirectoryRequest &request);
  void onReply(const transport::PeerIdentity &peer,
               protocol::DirectoryReply reply);
  void sendReply(const WaitingRequest &waiting, bool wantsRoutes = false);
  void onRoutes(const protocol::DirectoryRoutes &routes);
  void sendAllReplies();
  bool isViewStale() const;
  bool isUsableFor(const std::string &address) const;
  void tick();
  void logOlderRoutes(const std::string &relay,
                      const protocol::DirectoryReply &reply);
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
  coordination::LimitRegistry Limits;
  std::optional<PendingRead> Pending;
  std::optional<SourceRead> OpenSourceRead;
  std::uint64_t LastSourceRead = 0;
  std::vector<LateRequest> LateRequests;
  std::optional<LateReply> HeldReply; ///< arrived between two reads
  transport::TimerId HeldReplyTimer = 0;
  std::deque<WaitingRequest> WaitingRequests;
  DirectoryView View;
  state::TimePoint ViewReadAt;

  /// Addresses of the daemons through which the view came; empty: it was read
  /// at the source.
  std::vector<std::string> ViewPath;
  std::uint64_t LoggedListVersion = 0; ///< version of the list in Log
  state::TimePoint StartedAt;

  /// When the last read at the source failed; min(): it did not.
  state::TimePoint SourceFailedAt = state::TimePoint::min();
  std::uint64_t LastSequence = 0;
  std::uint64_t RelayLogId = 0;         ///< zero requests the whole view
  std::uint64_t RelayLogIndex = 0;      ///< position in the relay's log
  std::uint64_t RelayLimitsVersion = 0; ///< of the log RelayLogId
  bool HasStartedRead = false;
  bool IsReadingFromRelay = false;
  bool IsLossLogged = false;  ///< since a relay was last in use
  bool IsOlderLogged = false; ///< since a reply with current routes
  std::function<void()> RelayAvailableCallback;
  RoutesCallback NewerRoutesCallback;
  std::function<void(std::uint64_t)> RouteVersionCallback;

  /// When routes were last requested from a daemon that reads here.
  state::TimePoint RoutesRequestedAt = state::TimePoint::min();
  std::uint32_t UpstreamDaemons = 0; ///< count of the relay; zero without one

  /// Executors of the last report; Executors keeps those of earlier ones too.
  std::vector<state::DaemonCapacity> ReportedExecutors;
  coordination::ExecutorCache Executors;
  std::vector<std::string> ExtraLinks;

  /// Refused peers by reason that have been logged.
  std::map<transport::LinkCloseReason, std::uint64_t> RefusedPeers;
  std::vector<PeerListener *> Listeners;

  /// Counts within CountWindow that no later count has reached, largest first.
  std::deque<std::pair<state::TimePoint, std::uint32_t>> DaemonCounts;
  transport::TimerId Timer = 0;
  state::Counter &RelayReads;
  state::Counter &SourceReads;
  state::Counter &PeersRefused;
};

} // namespace galenaflow::forwarding

#endif
