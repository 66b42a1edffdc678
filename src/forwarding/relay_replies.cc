#include "forwarding/relay_task.h"

#include "coordination/executor_selector.h"
#include "state/log.h"

#include <algorithm>
#include <utility>

// The replies to the requests of other daemons, which are made from this
// daemon's view. Its own reads are in relay_task.cc.

namespace galenaflow::forwarding {

using protocol::DirectoryMessageType;
using protocol::DirectoryReply;
using protocol::DirectoryRequest;
using transport::PeerIdentity;

void RelayTask::onView(const DirectoryView &view) {
  if (view.Table && (!View.Table || view.Table != View.Table))
    Log.setRoutes(view.Table->version(), std::string(view.Document));
  View = view;
  ViewReadAt = Loop.now() - view.Age;
  if (view.Replicas->listedVersion() != LoggedListVersion) {
    LoggedListVersion = view.Replicas->listedVersion();
    Log.update(view.Replicas->listed());
  }
  if (view.Evacuations != nullptr)
    Log.setEvacuations(*view.Evacuations);
  if (!IsReadingFromRelay) {
    const protocol::FleetReport fleet = Fleet.subtreeReport(Loop.now());
    recordDaemonCount(fleet.Daemons.count());
    ReportedExecutors = coordination::selectExecutors(fleet);
    Executors.update(ReportedExecutors, Loop.now());
  }
  // A reply without routes would make the requesting daemons read everything at
  // the source. They wait for the routes, up to MaxReplyDelay.
  if (View.Table != nullptr)
    sendAllReplies();
}

void RelayTask::onRequest(const PeerIdentity &peer,
                          const DirectoryRequest &request) {
  Fleet.onReport(peer.VmId, request.Fleet, Loop.now());
  Limits.merge(request.Limits, Loop.now());
  if (RouteVersionCallback)
    RouteVersionCallback(request.RouteVersion);
  const WaitingRequest waiting{peer, request, Loop.now()};
  const bool isUnusable = View.Table != nullptr && !isUsableFor(peer.Address);
  const bool isFullRequest = request.Log == 0 && View.Table != nullptr;
  // Requested from one daemon at a time: the document can be large, and all
  // daemons that read here may have it.
  const bool wantsRoutes =
      View.Table != nullptr && request.RouteVersion > View.Table->version() &&
      RoutesRequestedAt + Options.ReplyTimeout <= Loop.now();
  if (wantsRoutes)
    RoutesRequestedAt = Loop.now();
  if (isUnusable || isFullRequest || wantsRoutes)
    sendReply(waiting, wantsRoutes);
  else
    WaitingRequests.push_back(waiting);
}

void RelayTask::onRoutes(const protocol::DirectoryRoutes &routes) {
  auto table = Source.decodeRoutes(routes.Routes);
  const std::uint64_t version = View.Table ? View.Table->version() : 0;
  if (!table || table->version() <= version || !NewerRoutesCallback)
    return;
  state::log::info("routes_from_reader",
                   {{"version", table->version()}, {"previous", version}});
  NewerRoutesCallback(std::move(table), routes.Routes);
}

bool RelayTask::isViewStale() const {
  return Loop.now() - ViewReadAt >= Options.MaxAge;
}

// Daemons that read from each other would keep an old view alive: the time of
// the messages on their way is not counted in its age.
bool RelayTask::isUsableFor(const std::string &address) const {
  return !isViewStale() && ViewPath.size() < protocol::MaxDirectoryPath &&
         std::find(ViewPath.begin(), ViewPath.end(), address) == ViewPath.end();
}

void RelayTask::sendReply(const WaitingRequest &waiting, bool wantsRoutes) {
  // A view that the daemon cannot use is not sent, since it can be large.
  const bool hasContent =
      View.Table != nullptr && isUsableFor(waiting.Peer.Address);
  DirectoryReply reply;
  if (hasContent)
    reply = Log.makeReply(waiting.Request, Loop.now());
  reply.Sequence = waiting.Request.Sequence;
  reply.HasContent = hasContent;
  reply.Position = View.Position;
  reply.RouteVersion = View.Table ? View.Table->version() : 0;
  reply.WantsRoutes = wantsRoutes;
  reply.Age = Loop.now() - ViewReadAt;
  reply.Path = ViewPath;
  reply.Path.push_back(Options.Network.Session.Self.Address);
  reply.Daemons =
      UpstreamDaemons != 0 ? UpstreamDaemons : Fleet.daemonCount(Loop.now());
  reply.Executors = ReportedExecutors;
  reply.LimitsVersion = Limits.version();
  if (reply.LimitsVersion != waiting.Request.LimitsVersion ||
      reply.Log != waiting.Request.Log)
    reply.Limits = Limits.all(Loop.now());
  Network.send(waiting.Peer,
               static_cast<std::uint16_t>(DirectoryMessageType::Reply),
               protocol::encodeDirectoryReply(reply));
}

void RelayTask::sendAllReplies() {
  const std::deque<WaitingRequest> requests = std::move(WaitingRequests);
  WaitingRequests.clear();
  for (const WaitingRequest &waiting : requests)
    sendReply(waiting);
}

} // namespace galenaflow::forwarding
