#include "daemon/backend_task.h"
#include "daemon/sub_request_task.h"
#include "standin/raw_http_server.h"

#include <catch2/catch.hpp>

using namespace galenaflow;
using namespace galenaflow::daemon;
using namespace std::chrono_literals;

namespace {

constexpr auto TestLimit = 5s;

/// A replica "r" that can change its address. Requests to "/hold" get no
/// response.
struct Deployment {
  transport::EventLoop Loop;
  std::string Answer; ///< sent instead of a response, if not empty
  std::vector<std::unique_ptr<standin::RawHttpServer>> Servers;
  std::unique_ptr<BackendTask> Task;

  Deployment() {
    BackendTaskOptions options;
    options.PollInterval = 1h; // the polls would use the same connection
    options.WarmConnections = 0;
    Task = std::make_unique<BackendTask>(Loop, options);
    moveReplica();
    Task->setConnectionShare("listing", 1);
  }

  /// Lists the replica at a new address.
  void moveReplica() {
    Servers.push_back(std::make_unique<standin::RawHttpServer>(
        Loop, [this](const transport::HttpRequest &request,
                     const standin::RawConnectionPtr &connection) {
          if (!Answer.empty())
            connection->respondRaw(Answer);
          else if (request.Path != "/hold")
            connection->respond(transport::jsonResponse(200, "{}"));
        }));
    const auto address =
        Servers.back()->listen(*transport::parseSocketAddress("127.0.0.1:0"));
    state::Service service;
    service.Name = "listing";
    service.Replicas.push_back({"r", address->toText(), "dc"});
    state::Topology topology;
    topology.Version = Servers.size();
    topology.Services.emplace(service.Name, service);
    Task->setTopology(
        std::make_shared<const state::Topology>(std::move(topology)));
  }

  CallId call(const std::string &path, transport::HttpCallback callback) {
    BackendCall call;
    call.Replica = "r";
    call.Request = {"GET", path, {}, ""};
    call.DeadlineAt = Loop.now() + 1s;
    return Task->call(std::move(call), std::move(callback));
  }

  /// Returns the status of the response; zero: none.
  int serve() {
    int status = -1;
    call("/", [&](const transport::HttpResult &result) {
      status = result ? result->Status : 0;
    });
    REQUIRE(Loop.runUntil([&] { return status != -1; }, TestLimit));
    return status;
  }
};

} // namespace

// Guards against a slot that stays in use for good, after which no call and no
// poll reaches the replica.
TEST_CASE("the slots of open calls are free again when a replica moves") {
  Deployment site;
  int failed = 0;
  const auto countFailure = [&](const transport::HttpResult &result) {
    failed += result ? 0 : 1;
  };
  const bool isCancelled = GENERATE(false, true);
  CAPTURE(isCancelled);
  const CallId sent = site.call("/hold", countFailure);
  site.call("/hold", countFailure); // queued
  if (isCancelled)
    site.Task->cancel(sent);
  site.moveReplica();
  CHECK(failed == (isCancelled ? 1 : 2));
  CHECK(site.Task->status()[0].InFlight == 0);
  CHECK(site.serve() == 200);
}

// Guards against an access to a call that an earlier callback has cancelled.
TEST_CASE("a callback may cancel another call of a replica that is removed") {
  Deployment site;
  int failed = 0;
  std::vector<CallId> ids;
  for (int i = 0; i != 3; ++i)
    ids.push_back(site.call("/hold", [&](const transport::HttpResult &) {
      ++failed;
      for (const CallId id : ids)
        site.Task->cancel(id);
    }));
  site.moveReplica();
  CHECK(failed >= 1);
  CHECK(site.serve() == 200);
}

// Guards against a response of a replica in trouble that counts as an answer,
// or as a proof that a write has not run.
TEST_CASE("a call that gets an invalid status line may have run") {
  const std::string status =
      GENERATE("000", "099", "600", "999", "20", "2000", "-1", "", "OK", "101");
  const std::string before =
      GENERATE("", "HTTP/1.1 100 Continue\r\n\r\n",
               "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n");
  Deployment site;
  REQUIRE(site.serve() == 200); // the connection is kept
  site.Answer = before + "HTTP/1.1 " + status +
                " x\r\nx-not-run: shed\r\nX-Signature: seal\r\n"
                "Content-Length: 2\r\n\r\n{}";
  INFO(site.Answer);
  std::optional<transport::HttpResult> result;
  site.call("/", [&](transport::HttpResult r) { result = std::move(r); });
  REQUIRE(site.Loop.runUntil([&] { return result.has_value(); }, TestLimit));
  REQUIRE_FALSE(result->has_value());
  CHECK(result->error().MaybeSent);
  CHECK(classifyFailure(1, *result).MayHaveRun);
  site.Answer.clear();
  CHECK(site.serve() == 200);
}
