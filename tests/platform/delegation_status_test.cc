#include "forwarding/delegation_task.h"
#include "forwarding/executor_task.h"
#include "forwarding/forward_task.h"
#include "platform/caller_codec.h"
#include "platform/replica_codec.h"
#include "platform/replica_standin.h"
#include "support/process.h"

#include <catch2/catch.hpp>

using namespace galenaflow;
using namespace galenaflow::forwarding;
using namespace std::chrono_literals;

// A daemon that delegates a request over many shards to another one, whose
// replicas answer with status lines that are none. Both are real, and so are
// the links and the connections to the replicas.

namespace {

constexpr auto TestLimit = 5s;
constexpr int Shards = 16;

/// A directory whose reads never end.
struct UnresponsiveSource final : DirectorySource {
  void readAll(DirectoryCallback) override {}
  void readChanges(const state::DirectoryPosition &,
                   DirectoryCallback) override {}
  void readRoutes(DirectoryCallback) override {}
  state::RouteTablePtr decodeRoutes(std::string_view) const override {
    return nullptr;
  }
};

struct Daemon {
  Daemon(transport::EventLoop &loop, const std::string &address,
         std::uint32_t millicores)
      : Relay(loop, Source, relayOptions(address, millicores), Metrics),
        Forwarding(loop, Codec, {}, Metrics),
        Executor(loop, Relay, Forwarding, {12, millicores, 0.7}, Metrics),
        Delegation(loop, Relay, Forwarding,
                   delegationOptions(address, millicores), Metrics) {
    Relay.addListener(Executor);
    Relay.addListener(Delegation);
    REQUIRE(Relay.listen(*transport::parseSocketAddress(address)));
  }
  static RelayTaskOptions relayOptions(const std::string &address,
                                       std::uint32_t millicores) {
    RelayTaskOptions options;
    options.Network.Session.Self = {"vm" + address, "1", "z1", address};
    options.Network.Session.Keys = {"a key of the deployment, long enough"};
    options.Millicores = millicores;
    return options;
  }
  static DelegationTaskOptions delegationOptions(const std::string &address,
                                                 std::uint32_t millicores) {
    DelegationTaskOptions options;
    options.Self = {address, "z1", millicores};
    return options;
  }

  state::MetricRegistry Metrics;
  UnresponsiveSource Source;
  platform::ReplicaCodec Codec;
  RelayTask Relay;
  ForwardTask Forwarding;
  ExecutorTask Executor;
  DelegationTask Delegation;
};

struct Site {
  transport::EventLoop Loop;
  std::vector<std::unique_ptr<standin::ReplicaStandin>> Replicas;
  state::RouteTablePtr Table;
  std::string StrongAddress = support::reserveAddress();
  std::unique_ptr<Daemon> Weak =
      std::make_unique<Daemon>(Loop, support::reserveAddress(), 120);
  std::unique_ptr<Daemon> Strong =
      std::make_unique<Daemon>(Loop, StrongAddress, 500);

  Site() {
    state::Route route;
    route.Name = "all";
    route.IsIdempotent = true;
    route.Timeout = 400ms;
    route.LatencyObjective = 80ms;
    route.MaxAttempts = 2;
    route.Shards.TopK = 3;
    route.Shards.MinShardRatio = 0.7;
    std::map<std::string, state::ReplicaRecord, std::less<>> records;
    std::vector<state::RoutedService> services;
    for (int i = 0; i != Shards; ++i) {
      const std::string service = "s" + std::to_string(i);
      route.Shards.Services.push_back(service);
      services.push_back({service, 26});
      for (const char *copy : {"a", "b"}) {
        Replicas.push_back(std::make_unique<standin::ReplicaStandin>(
            Loop, service + copy, service));
        state::ReplicaRecord record;
        record.Id = service + copy;
        record.Service = service;
        record.Address = Replicas.back()->address().toText();
        record.DataCentre = "z1";
        records.emplace(record.Id, record);
      }
    }
    Table = std::make_shared<const state::RouteTable>(
        5, std::vector{route}, services, state::CallerLimits());
    for (Daemon *it : {Weak.get(), Strong.get()}) {
      it->Forwarding.setRoutes(Table);
      it->Executor.setRoutes(Table);
      it->Forwarding.setReplicas(records);
    }
    Weak->Delegation.setExecutors({{StrongAddress, "z1", 500}});
    REQUIRE(Loop.runUntil([this] { return Weak->Delegation.isDelegating(); },
                          TestLimit));
  }

  /// Sends a request to the weak daemon and encodes the result for its caller.
  transport::HttpResponse call() {
    ForwardedRequest message;
    message.RequestId = "id-1";
    message.Method = "GET";
    message.Path = "/x";
    message.Host = "h";
    const state::Route &route = Table->routes().front();
    std::optional<ForwardResult> result;
    Weak->Delegation.forward(
        {std::make_shared<const ForwardedRequest>(std::move(message)), Table,
         &route, route.Shards.Services, 300ms},
        [&](ForwardResult r) { result = std::move(r); });
    REQUIRE(Loop.runUntil([&] { return result.has_value(); }, TestLimit));
    CHECK(result->Executor == StrongAddress);
    const platform::CallerCodec codec;
    if (const auto *merged =
            std::get_if<coordination::MergedAnswer>(&result->Outcome))
      return codec.encode(*merged);
    const auto &failure =
        std::get<coordination::ForwardFailure>(result->Outcome);
    CHECK(failure.Ran != coordination::ExecutionState::NotRun);
    CHECK_FALSE(failure.Response);
    return codec.refuse(Refusal::Failed, failure, {});
  }
};

} // namespace

// Guards against an invalid status line that the executor takes as a part, or
// after which the caller is told that its request has not run.
TEST_CASE("a delegated request whose replicas answer without a valid status "
          "may have run, and such a part is missing") {
  const std::string status =
      GENERATE("000", "099", "600", "999", "20", "2000", "-1", "", "OK", "101");
  const auto [seal, before] = GENERATE(table<std::string, std::string>(
      {{"", ""},
       {"X-Response-Seal: seal\r\n", ""},
       {"X-Response-Seal: seal\r\n", "HTTP/1.1 103 x\r\nLink: a\r\n\r\n"}}));
  Site site;
  REQUIRE(site.call().Headers.find("X-Missing-Parts") == "0");
  const std::string answer = before + "HTTP/1.1 " + status + " x\r\n" + seal +
                             "Content-Length: 16\r\n\r\n1...............";
  INFO(answer);
  for (std::size_t i = 0; i != 2; ++i) // both replicas of the first shard
    site.Replicas[i]->behaviour().Answer = answer;
  const auto partial = site.call();
  CHECK(partial.Status == 200);
  CHECK(partial.Headers.find("X-Missing-Parts") == "1");
  CHECK(partial.Headers.find("X-Part-Seals").value_or("").find("seal") ==
        std::string_view::npos);
  for (const auto &it : site.Replicas)
    it->behaviour().Answer = answer;
  const auto failed = site.call();
  CHECK(failed.Status == 502);
  CHECK_FALSE(failed.Headers.find("X-Response-Seal"));
  CHECK_FALSE(failed.Headers.find("X-Part-Seals"));
  CHECK_FALSE(failed.Headers.find("Retry-After"));
}
