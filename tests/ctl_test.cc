#include "ctl/check.h"
#include "ctl/commands.h"
#include "ctl/render.h"
#include "transport/http_server.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <cstdio>
#include <fstream>
#include <thread>
#include <unistd.h>

using namespace galenaflow;
using namespace galenaflow::ctl;
using namespace std::chrono_literals;

namespace {

/// An operator listener on its own thread, because runCommand() blocks.
class OperatorStandIn {
public:
  OperatorStandIn()
      : Server(Loop, {}, [](const auto &request, const auto &responder) {
          handleRequest(request, responder);
        }) {
    Address = *transport::parseSocketAddress("127.0.0.1:0");
    Address = *Server.listen(Address);
    Runner = std::thread([this] {
      while (!Stopped)
        Loop.runUntil([this] { return Stopped.load(); }, 10ms);
    });
  }
  ~OperatorStandIn() {
    Stopped = true;
    Runner.join();
  }
  std::string address() const { return Address.toText(); }

private:
  template <typename Responder>
  static void handleRequest(const transport::HttpRequest &request,
                            const Responder &responder) {
    int status = 200;
    if (request.Path == "/v1/requests/none")
      status = 404;
    if (request.Path == "/v1/plans")
      status = 503;
    responder->send(
        transport::jsonResponse(status, R"({"path":")" + request.Path + "\"}"));
  }

  transport::EventLoop Loop;
  transport::HttpServer Server;
  transport::SocketAddress Address;
  std::atomic<bool> Stopped{false};
  std::thread Runner;
};

CommandResult run(const std::string &daemon, std::vector<std::string> arguments,
                  bool asJson = false) {
  Invocation invocation;
  invocation.Arguments = std::move(arguments);
  invocation.Daemon = daemon;
  invocation.AsJson = asJson;
  invocation.Timeout = 20s;
  return runCommand(invocation);
}

/// A file that exists for the duration of a test.
struct ListFile {
  std::string Path;
  ListFile(const char *name, const std::string &text)
      : Path("/tmp/galenaflow-ctl-test-" + std::to_string(getpid()) + name) {
    std::ofstream(Path) << text;
  }
  ~ListFile() { std::remove(Path.c_str()); }
};

const std::string Plans = R"({"plans":[{"id":"p","max_rate":1,"burst":1,
  "max_concurrency":1,"services":[],"operations":{}}]})";

std::string customersOn(const std::string &plan) {
  return R"({"customers":[{"id":"c","plan":")" + plan +
         R"(","keys_sha256":[")" + std::string(64, 'a') + "\"]}]}";
}

} // namespace

// Guards against scripts that mistake a failure for a success.
TEST_CASE("each result of a query has its own exit code") {
  const OperatorStandIn standIn;
  const std::string daemon = standIn.address();
  const CommandResult status = run(daemon, {"status"});
  CHECK(status.Code == ExitCode::Ok);
  CHECK(status.Output == "path: /v1/status\n");
  CHECK(run(daemon, {"peers"}, true).Output == "{\"path\":\"/v1/peers\"}\n");
  CHECK(run(daemon, {"request", "r-1"}).Output == "path: /v1/requests/r-1\n");
  CHECK(run(daemon, {"request", "none"}).Code == ExitCode::NotFound);
  const CommandResult failed = run(daemon, {"plans"});
  CHECK(failed.Code == ExitCode::DaemonError);
  CHECK(failed.Output.empty());
  CHECK_FALSE(failed.Errors.empty());
}

// Guards against arguments that are sent to the daemon as another path.
TEST_CASE("an invalid command line sends no request") {
  for (const std::vector<std::string> &arguments : {std::vector<std::string>{},
                                                    {"reboot"},
                                                    {"status", "x"},
                                                    {"request"},
                                                    {"request", "../status"},
                                                    {"check"},
                                                    {"check", "/no/such/file"}})
    CHECK(run("127.0.0.1:1", arguments).Code == ExitCode::Usage);
  CHECK(run("localhost", {"status"}).Code == ExitCode::Usage);
  // A port that was just released refuses connections.
  const std::string closed = OperatorStandIn().address();
  CHECK(run(closed, {"status"}).Code == ExitCode::Unreachable);
}

// Guards against a list that passes the check but is rejected by a daemon.
TEST_CASE("check prints every finding of a list") {
  const ListFile plans("plans", Plans);
  const ListFile good("good", customersOn("p"));
  const ListFile bad("bad", customersOn("q"));
  CHECK(run("", {"check", plans.Path}).Output ==
        plans.Path + ": valid plans list, 1 entries\n");
  CHECK(run("", {"check", bad.Path}).Code == ExitCode::Ok);
  Invocation invocation;
  invocation.PlansFile = plans.Path;
  invocation.Arguments = {"check", good.Path};
  CHECK(runCommand(invocation).Code == ExitCode::Ok);
  invocation.Arguments = {"check", bad.Path};
  const CommandResult result = runCommand(invocation);
  CHECK(result.Code == ExitCode::Findings);
  CHECK(result.Output ==
        bad.Path + ": /customers/0/plan: no plan \"q\" is listed\n");
  invocation.AsJson = true;
  CHECK(runCommand(invocation).Output.find("\"valid\":false") !=
        std::string::npos);
  for (const char *text : {"", "{", "[]", "{\"other\":[]}"})
    CHECK_FALSE(checkList(text, std::nullopt).Findings.empty());
  CHECK_FALSE(checkList(customersOn("p"), "{}").Findings.empty());
}

// Guards against misaligned columns, and against output with control characters
// for the terminal.
TEST_CASE("objects are rendered as fields and tables") {
  CHECK(renderText(R"({"rows":[{"id":"a","n":1,"ok":true},
      {"id":"bcd","x":null,"list":["u","v"]}],"none":[],"v":2,"s":"a\u001bb",
      "o":{"k":"w"}})") == "none: -\n"
                           "v: 2\n"
                           "s: a?b\n"
                           "rows:\n"
                           "  id   n  ok   x  list\n"
                           "  a    1  yes  -  -\n"
                           "  bcd  -  -    -  u,v\n"
                           "o:\n"
                           "  k: w\n");
  CHECK(renderText("plain") == "plain\n");
  CHECK(renderText(R"({"r":[{"id":1,"e":[{"t":2}]}]})") ==
        "r:\n  id: 1\n  e:\n    t\n    2\n");
}
