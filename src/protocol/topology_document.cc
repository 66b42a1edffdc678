// The replicas of a service are read before its layouts, so that the layouts
// can be checked against them. Replica ids must be unique over all services,
// because statistics and connections are kept by replica id.
#include "protocol/topology_document.h"

#include "protocol/json_reader.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace galenaflow::protocol {

using nlohmann::json;
using state::Findings;

namespace {

constexpr std::uint64_t MaxSlots = 100'000;
constexpr std::uint64_t MaxShards = 100'000;

class TopologyParser {
public:
  explicit TopologyParser(Findings &findings) : Errors(findings) {}

  state::Service readService(const json &value, const std::string &place) {
    ObjectReader reader(value, place, Errors);
    state::Service service;
    service.Name = reader.name("name", Presence::Required).value_or("");
    service.Kind = readKind(reader);
    service.Slots = readCount(reader, "slots");
    service.ConnectionLimit = readCount(reader, "connection_limit");
    readReplicas(reader, service);
    readLayouts(reader, service);
    reader.rejectUnknownFields();
    return service;
  }

private:
  static std::uint32_t readCount(ObjectReader &reader, const char *name) {
    const auto count = reader.integer(name, 1, MaxSlots, Presence::Required);
    return static_cast<std::uint32_t>(count.value_or(1));
  }

  static state::ServiceKind readKind(ObjectReader &reader) {
    const auto text = reader.text("kind", Presence::Required);
    if (text && *text != "sharded" && *text != "pool")
      reader.report("kind", R"(must be "sharded" or "pool")");
    return text == "sharded" ? state::ServiceKind::Sharded
                             : state::ServiceKind::Pool;
  }

  void readReplicas(ObjectReader &reader, state::Service &service) {
    const json *items = reader.array("replicas", Presence::Required);
    if (items && items->empty())
      reader.report("replicas", "must hold at least one replica");
    for (std::size_t i = 0; items && i != items->size(); ++i)
      readReplica((*items)[i], pointerTo(reader.placeOf("replicas"), i),
                  service);
  }

  void readReplica(const json &value, const std::string &place,
                   state::Service &service) {
    ObjectReader reader(value, place, Errors);
    state::Replica replica;
    replica.Id = reader.name("id", Presence::Required).value_or("");
    replica.Address = reader.text("address", Presence::Required).value_or("");
    replica.DataCentre =
        reader.name("data_centre", Presence::Required).value_or("");
    if (!replica.Address.empty() && !isIpPort(replica.Address))
      reader.report("address", "must be IP:PORT");
    if (!replica.Id.empty() && !ReplicaIds.insert(replica.Id).second)
      reader.report("id", "another replica has this id");
    reader.rejectUnknownFields();
    service.Replicas.push_back(std::move(replica));
  }

  void readLayouts(ObjectReader &reader, state::Service &service) {
    const bool isSharded = service.Kind == state::ServiceKind::Sharded;
    const json *items = reader.array("layouts", isSharded ? Presence::Required
                                                          : Presence::Optional);
    if (!items)
      return;
    if (isSharded && items->empty())
      reader.report("layouts", "a sharded service needs at least one layout");
    if (!isSharded && !items->empty())
      reader.report("layouts", "a pool has no layouts");
    for (std::size_t i = 0; i != items->size(); ++i)
      readLayout((*items)[i], pointerTo(reader.placeOf("layouts"), i), service);
  }

  void readLayout(const json &value, const std::string &place,
                  state::Service &service) {
    ObjectReader reader(value, place, Errors);
    state::Layout layout;
    const auto id = reader.integer("id", 0, UINT64_MAX, Presence::Required);
    layout.Id = id.value_or(0);
    if (id && service.findLayout(layout.Id))
      reader.report("id", "another layout of this service has this id");
    readShards(reader, service, layout);
    reader.rejectUnknownFields();
    service.Layouts.push_back(std::move(layout));
  }

  void readShards(ObjectReader &reader, const state::Service &service,
                  state::Layout &layout) {
    const json *items = reader.array("shards", Presence::Required);
    if (!items)
      return;
    if (items->empty())
      reader.report("shards", "must hold at least one shard");
    std::set<state::ShardNumber> numbers;
    for (std::size_t i = 0; i != items->size(); ++i) {
      const std::string place = pointerTo(reader.placeOf("shards"), i);
      layout.Shards.push_back(readShard((*items)[i], place, service, numbers));
    }
    std::sort(layout.Shards.begin(), layout.Shards.end(),
              [](const auto &a, const auto &b) { return a.Number < b.Number; });
  }

  state::Shard readShard(const json &value, const std::string &place,
                         const state::Service &service,
                         std::set<state::ShardNumber> &numbers) {
    ObjectReader reader(value, place, Errors);
    state::Shard shard;
    const auto number =
        reader.integer("shard", 0, MaxShards, Presence::Required);
    shard.Number = static_cast<state::ShardNumber>(number.value_or(0));
    if (number && !numbers.insert(shard.Number).second)
      reader.report("shard", "is listed twice in this layout");
    const json *items = reader.array("replicas", Presence::Required);
    if (items && items->empty())
      reader.report("replicas", "a shard needs at least one replica");
    for (std::size_t i = 0; items && i != items->size(); ++i)
      readShardReplica((*items)[i], pointerTo(reader.placeOf("replicas"), i),
                       service, shard);
    reader.rejectUnknownFields();
    return shard;
  }

  void readShardReplica(const json &item, const std::string &place,
                        const state::Service &service, state::Shard &shard) {
    if (!item.is_string()) {
      Errors.add(place, "must be the id of a replica");
      return;
    }
    auto id = item.get<std::string>();
    if (!service.findReplica(id))
      Errors.add(place, "the service lists no replica \"" + id + "\"");
    else if (std::find(shard.Replicas.begin(), shard.Replicas.end(), id) !=
             shard.Replicas.end())
      Errors.add(place, "is listed twice in this shard");
    shard.Replicas.push_back(std::move(id));
  }

  Findings &Errors;
  std::set<std::string> ReplicaIds;
};

json layoutToJson(const state::Layout &layout) {
  json shards = json::array();
  for (const state::Shard &shard : layout.Shards)
    shards.push_back({{"shard", shard.Number}, {"replicas", shard.Replicas}});
  return {{"id", layout.Id}, {"shards", std::move(shards)}};
}

json serviceToJson(const state::Service &service) {
  json layouts = json::array();
  for (const state::Layout &layout : service.Layouts)
    layouts.push_back(layoutToJson(layout));
  json replicas = json::array();
  for (const state::Replica &replica : service.Replicas)
    replicas.push_back({{"id", replica.Id},
                        {"address", replica.Address},
                        {"data_centre", replica.DataCentre}});
  const bool isSharded = service.Kind == state::ServiceKind::Sharded;
  return {{"name", service.Name},
          {"kind", isSharded ? "sharded" : "pool"},
          {"slots", service.Slots},
          {"connection_limit", service.ConnectionLimit},
          {"layouts", std::move(layouts)},
          {"replicas", std::move(replicas)}};
}

} // namespace

Parsed<state::Topology> parseTopology(std::string_view text,
                                      std::uint64_t version) {
  Findings findings;
  const json document = parseJson(text, findings);
  ObjectReader reader(document, "", findings);
  const json *items = reader.array("services", Presence::Required);
  TopologyParser parser(findings);
  state::Topology topology;
  topology.Version = version;
  for (std::size_t i = 0; items && i != items->size(); ++i) {
    const std::string place = pointerTo("/services", i);
    state::Service service = parser.readService((*items)[i], place);
    std::string name = service.Name;
    if (!name.empty() &&
        !topology.Services.try_emplace(name, std::move(service)).second)
      findings.add(pointerTo(place, "name"), "another service has this name");
  }
  reader.rejectUnknownFields();
  if (!findings.empty())
    return tl::unexpected(std::move(findings));
  return topology;
}

std::string renderTopology(const state::Topology &topology) {
  json services = json::array();
  for (const auto &[name, service] : topology.Services)
    services.push_back(serviceToJson(service));
  return dumpJson({{"services", std::move(services)}});
}

} // namespace galenaflow::protocol
