#include "platform/replica_standin.h"

#include <algorithm>
#include <cstdlib>

namespace galenaflow::standin {

using transport::HttpRequest;
using transport::HttpResponse;

ReplicaStandin::ReplicaStandin(transport::EventLoop &loop, std::string id,
                               std::string service, std::string dataCentre)
    : Loop(loop), Id(std::move(id)), Service(std::move(service)),
      DataCentre(std::move(dataCentre)),
      Server(loop, [this](const HttpRequest &request,
                          const RawConnectionPtr &connection) {
        onRequest(request, connection);
      }) {
  Address = *Server.listen(*transport::parseSocketAddress("127.0.0.1:0"));
  AdvertisedAddress = Address;
}

std::string ReplicaStandin::entry(const std::string &state) const {
  return R"({"service":")" + Service + R"(","address":")" +
         AdvertisedAddress.toText() + R"(","zone":")" + DataCentre +
         R"(","version":"v1","slots":2,"state":")" + state +
         R"(","cold_left_ms":)" +
         std::to_string(coldRemaining().count() / 1000) +
         R"(,"seq":1,"born":)" + std::to_string(1'700'000'000'000 + Starts) +
         "}";
}

void ReplicaStandin::startLimit(double perSecond) {
  endLimit();
  Limits.push_back({perSecond, Loop.now()});
}

void ReplicaStandin::endLimit() {
  if (!Limits.empty())
    Limits.back().To = std::min(Limits.back().To, Loop.now());
}

void ReplicaStandin::crash() {
  if (!Server.isListening())
    return;
  CrashedAt.push_back(Loop.now());
  Server.shutDown();
  Loop.schedule(Behaviour.RestartTime, [this] {
    if (Behaviour.ColdTime > state::Duration(0))
      becomeCold(Behaviour.ColdTime);
    static_cast<void>(Server.listen(Address));
  });
}

state::Duration ReplicaStandin::coldRemaining() const {
  return ColdUntil > Loop.now() ? ColdUntil - Loop.now() : state::Duration(0);
}

std::size_t ReplicaStandin::mostWhileCold() const {
  std::size_t most = 0;
  std::vector<state::TimePoint> times;
  for (const ReceivedRequest &it : Received)
    if (it.WhileCold && !it.IsForOther)
      times.push_back(it.At);
  std::size_t first = 0;
  for (std::size_t i = 0; i != times.size(); ++i) {
    while (times[i] - times[first] >= std::chrono::seconds(1))
      ++first;
    most = std::max(most, i - first + 1);
  }
  return most;
}

void ReplicaStandin::askForPause(state::Duration lasting,
                                 state::Duration pause) {
  RejectsUntil = Loop.now() + lasting;
  RequestedPause = pause;
}

void ReplicaStandin::restart() {
  IsLeaving = false;
  RejectsUntil = state::TimePoint::min();
  ++Starts;
}

void ReplicaStandin::onRequest(const HttpRequest &request,
                               const RawConnectionPtr &connection) {
  const auto header = [&request](std::string_view name) {
    return std::string(request.Headers.find(name).value_or(""));
  };
  const bool saysLeaving = Behaviour.SaysLeaving || IsLeaving;
  const bool asksForPause = RejectsUntil > Loop.now();
  Received.push_back({header("X-Request-Id"), Loop.now(), Starts, saysLeaving,
                      asksForPause ? RequestedPause : state::Duration(0),
                      header("X-Target-Instance") != Id,
                      coldRemaining() > state::Duration(0)});
  HttpResponse response;
  response.Headers.add("X-Request-Id", header("X-Request-Id"));
  response.Headers.add("X-Server-Load", "0,0,2,100");
  if (!Limits.empty() && Limits.back().To == state::TimePoint::max())
    response.Headers.add("Server-Limit",
                         std::to_string(Limits.back().PerSecond));
  if (coldRemaining() > state::Duration(0))
    response.Headers.add("X-Cold-Remaining-Ms",
                         std::to_string(coldRemaining().count() / 1000));
  if (saysLeaving)
    response.Headers.add("Server-Leaving", "1");
  if (!Behaviour.KeepAlive.empty())
    response.Headers.add("Keep-Alive", Behaviour.KeepAlive);
  if (header("X-Target-Instance") != Id) {
    response.Status = 421;
    connection->respond(response);
    return;
  }
  if (Behaviour.Reject || asksForPause) {
    response.Status = 503;
    response.Headers.add("X-Not-Executed", "1");
    if (asksForPause)
      response.Headers.add(
          "Retry-After",
          std::to_string(
              std::chrono::duration<double>(RequestedPause).count()));
    else if (!Behaviour.RejectRetryAfter.empty())
      response.Headers.add("Retry-After", Behaviour.RejectRetryAfter);
    connection->respond(response);
    return;
  }
  Runs.push_back(
      {header("X-Request-Id"), request.Path, header("Host"), request.Body,
       std::strtoll(header("X-Deadline-Ms").c_str(), nullptr, 10), Loop.now()});
  if (request.Path == Behaviour.DeadlyPath ||
      DeadlyPaths.contains(request.Path)) {
    Loop.schedule(Behaviour.ServiceTime, [this] { crash(); });
    return;
  }
  if (Behaviour.Silent || request.Path == Behaviour.SilentPath)
    return;
  if (!Behaviour.EndlessRepeated.empty()) {
    connection->respondEndlessly(Behaviour.EndlessStart,
                                 Behaviour.EndlessRepeated);
    return;
  }
  if (Behaviour.IsAnswerCut) {
    connection->respondCut(Behaviour.Answer);
    return;
  }
  if (!Behaviour.Answer.empty()) {
    connection->respondRaw(Behaviour.Answer);
    return;
  }
  if (Behaviour.ResetConnection) {
    connection->reset();
    return;
  }
  response.Status = Behaviour.FailStatus != 0 ? Behaviour.FailStatus : 200;
  response.Headers.add("X-Response-Seal", Id + "." + header("X-Request-Id"));
  // Two records of 16 bytes: a rank and the id of the replica, padded.
  for (const char rank : {'1', '2'}) {
    std::string record = std::string(1, rank) + Id;
    record.resize(16, '.');
    response.Body += record;
  }
  const bool truncate = Behaviour.Truncate;
  Loop.schedule(Behaviour.ServiceTime, [connection, response, truncate] {
    if (truncate)
      connection->respondTruncated(response, response.Body.size() / 2);
    else
      connection->respond(response);
  });
}

} // namespace galenaflow::standin
