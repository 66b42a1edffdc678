#include "coordination/outlier_detector.h"
#include "coordination/replica_selector.h"
#include "coordination/write_registry.h"
#include "protocol/backend_api.h"
#include "protocol/fleet_messages.h"
#include "protocol/otlp_json.h"
#include "protocol/platform_api.h"
#include "protocol/topology_document.h"
#include "state/request_records.h"

#include <cstdio>
#include <cstdlib>
#include <malloc.h>

// Measures the cost of one unit of a daemon's state and of one call of its
// codecs: heap bytes, message bytes and, under `valgrind --tool=callgrind`,
// instructions.
//
//   state_cost WHAT COUNT
//
// The instructions per unit are the difference between two runs with different
// counts, divided by the number of added units. This excludes the set-up.

using namespace galenaflow;
using namespace std::chrono_literals;

namespace {

constexpr std::string_view SubRequestId =
    "0190d5e4-7c1a-7abc-8def-0123456789ab-1187";

/// Returns the bytes of heap in use, including the allocator's overhead.
std::size_t liveBytes() {
  const auto info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

struct Cost {
  std::size_t HeapBytes = 0;    ///< held by all units together
  std::size_t MessageBytes = 0; ///< size of one message or document
};

std::string makeId(const char *prefix, std::size_t i) {
  return prefix + std::to_string(i);
}

protocol::ShardQuery shardQuery() {
  return {state::Operation::Search, 187, 41, "cradle white wood", 50};
}

/// Returns a response with hits of about 100 bytes each.
std::string shardResponse(std::size_t hits) {
  std::string text = R"({"sub_request_id":")" + std::string(SubRequestId) +
                     R"(","shard":187,"snapshot":41,"hits":[)";
  for (std::size_t i = 0; i != hits; ++i) {
    text += i == 0 ? "" : ",";
    text += R"({"id":")" + makeId("listing-", 100000 + i) + R"(","score":)" +
            std::to_string(900 - i) +
            R"(,"fields":{"title":"white wooden cradle","price":12900}})";
  }
  return text + "]}";
}

Cost decode(std::size_t n, std::size_t hits) {
  const std::string text = shardResponse(hits);
  for (std::size_t i = 0; i != n; ++i)
    if (!protocol::decodeShardResponse(text, SubRequestId, shardQuery()))
      std::abort();
  return {0, text.size()};
}

Cost encode(std::size_t n) {
  Cost cost;
  for (std::size_t i = 0; i != n; ++i)
    cost.MessageBytes = protocol::encodeShardQuery(shardQuery()).size();
  return cost;
}

/// Decodes a replica's load report, as each poll does.
Cost decodeLoad(std::size_t n) {
  const std::string text = R"({"in_flight":1,"queued":0,"slots":2,)"
                           R"("connections":12,)"
                           R"("snapshots":[{"id":41,"layout":3}]})";
  for (std::size_t i = 0; i != n; ++i)
    if (!protocol::decodeLoad(text))
      std::abort();
  return {0, text.size()};
}

/// Measures the statistics of replicas, each with one completed sub-request and
/// one load report.
Cost replicas(std::size_t n) {
  const std::size_t before = liveBytes();
  coordination::OutlierDetector outliers;
  coordination::AdaptiveReplicaSelector selector(outliers, std::mt19937_64(1));
  const state::TimePoint now{1h};
  for (std::size_t i = 0; i != n; ++i) {
    const std::string id = makeId("archivio-", i) + "-a";
    selector.onSent(id, now);
    selector.onEnded(id, coordination::AttemptOutcome::Succeeded, 5ms, now);
    selector.onLoadReport(id, {1, 0, 2, {{41, 3}}}, now);
  }
  return {liveBytes() - before, 0};
}

Cost records(std::size_t n) {
  const std::size_t before = liveBytes();
  state::RequestRecordRing ring(std::size_t{1} << 30U);
  for (std::size_t i = 0; i != n; ++i) {
    state::RequestRecord it;
    it.RequestId = makeId("0190d5e4-7c1a-7abc-8def-", 100000000000 + i);
    it.CustomerId = "bottega-rossi";
    it.PlanId = "standard";
    it.Service = "archivio";
    it.Outcome = "ok";
    it.DaemonId = "vm-1234";
    it.addEvent(1ms, "admitted");
    it.addEvent(140ms, "answered 1200 of 1200 shards");
    ring.add(std::move(it));
  }
  return {liveBytes() - before, 0};
}

/// Measures the grants that one member of a group of seven has given.
Cost grants(std::size_t n) {
  state::ManualClock clock;
  clock.advance(24h);
  std::mt19937_64 random(1);
  protocol::WriteMemberList list{1, {}};
  for (std::size_t i = 0; i != 7; ++i)
    list.Members.push_back({makeId("vm-", i), "i-0123456789abcdef"});
  coordination::WriteRegistry registry(list.Members[0], clock, random, {});
  registry.updateList(list);
  // The registry abstains for keys that were issued before its start.
  clock.advance(180s);
  registry.tick();
  registry.takeActions();
  Cost cost;
  const std::size_t before = liveBytes();
  for (std::size_t i = 0; i != n; ++i) {
    protocol::WriteMessage request;
    request.Type = protocol::WriteMessageType::GrantRequest;
    request.Key = protocol::makeWriteKey(clock.wallNow(), random(), random());
    request.Attempt = i;
    request.BodyHash = std::string(32, 'h');
    request.Knowledge = {true, {list}};
    cost.MessageBytes = protocol::encodeWriteMessage(request).size();
    registry.receive(list.Members[1], request);
    for (const auto &action : registry.takeActions())
      if (const auto *reply =
              std::get_if<coordination::SendWriteMessage>(&action))
        protocol::encodeWriteMessage(reply->Message);
  }
  cost.HeapBytes = liveBytes() - before;
  if (registry.grantCount() != n)
    std::fprintf(stderr, "only %zu grants\n", registry.grantCount());
  return cost;
}

/// Returns distinct ids, because FlatBuffers stores equal strings only once.
std::string makeInstanceId(std::size_t i) {
  return makeId("i-01234567", 100000000 + i);
}

/// Measures a grant request with one list of N members.
Cost grantList(std::size_t n) {
  protocol::WriteMessage request;
  request.Type = protocol::WriteMessageType::GrantRequest;
  protocol::WriteMemberList list{1, {}};
  for (std::size_t i = 0; i != n; ++i)
    list.Members.push_back({makeId("vm-", i), makeInstanceId(i)});
  request.Knowledge = {true, {list}};
  return {0, protocol::encodeWriteMessage(request).size()};
}

/// Measures the services document with N replicas, two for each shard.
Cost topology(std::size_t n) {
  state::Topology all;
  state::Service service;
  service.Name = "archivio";
  service.Kind = state::ServiceKind::Sharded;
  state::Layout layout;
  layout.Id = 3;
  for (std::size_t i = 0; i != n; ++i) {
    const std::string id = makeId("archivio-", i);
    service.Replicas.push_back({id, "10.20.30.40:9001", "catania-a"});
    if (i % 2 == 0)
      layout.Shards.push_back({static_cast<state::ShardNumber>(i / 2), {}});
    layout.Shards.back().Replicas.push_back(id);
  }
  service.Layouts.push_back(layout);
  all.Services.emplace(service.Name, service);
  const std::string text = protocol::renderTopology(all);
  const std::size_t before = liveBytes();
  const auto parsed = protocol::parseTopology(text, 1);
  return {liveBytes() - before, text.size()};
}

/// Measures the platform's list of N VMs.
Cost vmList(std::size_t n) {
  protocol::VmList list;
  for (std::size_t i = 0; i != n; ++i)
    list.Vms.push_back({makeId("vm-", i), "i-0123456789abcdef",
                        protocol::VmRole::Entry, "10.20.30.40:9001",
                        "10.20.30.40:9002", "catania-a",
                        protocol::VmState::Live});
  const std::string text = protocol::renderVmList(list);
  const std::size_t before = liveBytes();
  const auto parsed = protocol::parseVmList(text);
  return {liveBytes() - before, text.size()};
}

/// Measures a membership probe with N member updates.
Cost memberUpdates(std::size_t n) {
  protocol::Ping ping;
  ping.Subject = {"vm-1234", "i-0123456789abcdef"};
  ping.Digest = std::string(32, 'd');
  for (std::size_t i = 0; i != n; ++i)
    ping.Updates.push_back({{makeId("vm-", 1000 + i), makeInstanceId(i)},
                            makeId("10.20.30.", 100 + i) + ":9000",
                            "catania-a",
                            protocol::MemberState::Alive,
                            1});
  return {
      0,
      protocol::encodeFleetMessage({ping.Subject, ping.Subject, ping}).size()};
}

Cost spans(std::size_t n) {
  std::vector<protocol::Span> all(n);
  const std::size_t before = liveBytes();
  for (protocol::Span &it : all) {
    it.Name = "sub_request";
    it.Attributes = {{"shard", "187"}, {"replica", "archivio-187-a"}};
  }
  const std::size_t heap = liveBytes() - before + n * sizeof(protocol::Span);
  return {heap, protocol::encodeSpans(all, {"vm-1234", "catania-a"}).size()};
}

Cost measure(std::string_view what, std::size_t n) {
  if (what == "decode-10-hits")
    return decode(n, 10);
  if (what == "decode-50-hits")
    return decode(n, 50);
  if (what == "encode")
    return encode(n);
  if (what == "load")
    return decodeLoad(n);
  if (what == "replicas")
    return replicas(n);
  if (what == "records")
    return records(n);
  if (what == "grants")
    return grants(n);
  if (what == "grant-list")
    return grantList(n);
  if (what == "topology")
    return topology(n);
  if (what == "vms")
    return vmList(n);
  if (what == "member-updates")
    return memberUpdates(n);
  if (what == "spans")
    return spans(n);
  std::fprintf(stderr, "unknown cost: %.*s\n", static_cast<int>(what.size()),
               what.data());
  std::exit(2);
}

} // namespace

int main(int argc, char **argv) {
  if (argc != 3) {
    std::fprintf(stderr, "usage: state_cost WHAT COUNT\n");
    return 2;
  }
  const std::size_t n = std::strtoul(argv[2], nullptr, 10);
  const Cost cost = measure(argv[1], n);
  std::printf("what=%s count=%zu heap_bytes=%zu message_bytes=%zu\n", argv[1],
              n, cost.HeapBytes, cost.MessageBytes);
  return 0;
}
