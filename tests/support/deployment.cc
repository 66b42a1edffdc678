#include "support/deployment.h"

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <nlohmann/json.hpp>
#include <openssl/sha.h>
#include <thread>
#include <unistd.h>

// The backend servers start first, since the services document contains their
// addresses. The addresses of the daemons are reserved before the daemons
// start, because the VM list contains them.

namespace galenaflow::support {

using nlohmann::json;
using state::ErrorCode;
using state::makeError;
using std::chrono::milliseconds;

namespace {

/// Long, because this timeout only ends a test that would otherwise hang.
constexpr milliseconds StartTimeout(30'000);
constexpr milliseconds ReadyPollInterval(20);
constexpr auto CallTimeout = std::chrono::seconds(30);

std::string sha256Hex(const std::string &text) {
  unsigned char digest[SHA256_DIGEST_LENGTH];
  SHA256(reinterpret_cast<const unsigned char *>(text.data()), text.size(),
         digest);
  static constexpr char Digits[] = "0123456789abcdef";
  std::string hex;
  for (const unsigned char byte : digest) {
    hex += Digits[byte >> 4];
    hex += Digits[byte & 15];
  }
  return hex;
}

/// Returns "archivio-0-a" for the first replica of shard 0, "commesse-0" for
/// the first replica of a pool.
std::string replicaId(const ServiceSpec &service, std::uint32_t shard,
                      std::uint32_t i) {
  if (service.Shards == 0)
    return service.Name + "-" + std::to_string(i);
  return service.Name + "-" + std::to_string(shard) + "-" +
         static_cast<char>('a' + i);
}

template <typename F> void forEachReplica(const ServiceSpec &service, F f) {
  for (std::uint32_t shard = 0; shard != std::max(service.Shards, 1U); ++shard)
    for (std::uint32_t i = 0; i != service.Replicas; ++i)
      f(shard, i, replicaId(service, shard, i));
}

/// Waits for the line in which a stand-in reports its addresses. Returns a null
/// value if there is none.
json readAddresses(Process &program) {
  const auto line = program.waitForLine(
      [](std::string_view text) { return text.starts_with("{"); },
      StartTimeout);
  return line ? json::parse(*line, nullptr, false) : json();
}

} // namespace

Deployment::Deployment(DeploymentOptions options)
    : Options(std::move(options)) {}

Deployment::~Deployment() {
  if (!PeerKeyFile.empty())
    std::remove(PeerKeyFile.c_str());
}

void Deployment::writePeerKey() {
  std::string path = "/tmp/galenaflow-peer-key-XXXXXX";
  const int fd = mkstemp(path.data());
  if (fd < 0)
    return;
  close(fd);
  PeerKeyFile = path;
  std::ofstream(path) << "a shared key for one deployment of a test";
}

std::string Deployment::instanceOf(const std::string &vmId) const {
  const auto it = Instances.find(vmId);
  const std::uint64_t n = it == Instances.end() ? 1 : it->second;
  return vmId + "-" + std::to_string(n);
}

state::Result<bool> Deployment::startStandIns() {
  writePeerKey();
  Backends = std::make_unique<Process>(
      "standin-backend", std::vector<std::string>{}, backendConfig().dump());
  const json backends = readAddresses(*Backends);
  if (!backends.is_object())
    return makeError(ErrorCode::Unavailable, Backends->output());
  BackendControl = backends.at("control").get<std::string>();

  for (std::uint32_t i = 0; i != Options.Daemons; ++i)
    Daemons.push_back({"vm-" + std::to_string(i + 1),
                       Options.DataCentres[i % Options.DataCentres.size()],
                       reserveAddress(), reserveAddress(), reserveAddress(), "",
                       "", nullptr});
  for (Daemon &daemon : Daemons)
    daemon.PeerAddress = daemon.PeerListen;
  json replicas = backends.at("replicas");
  if (Options.UseProxy)
    if (auto started = startProxy(replicas); !started)
      return started;
  const json plans = plansDocument();
  const json config = {{"values",
                        {{"plans", plans},
                         {"customers", customersDocument(plans)},
                         {"services", servicesDocument(replicas)}}},
                       {"vms", vmsDocument({}).at("vms")}};
  Platform = std::make_unique<Process>(
      "standin-platform", std::vector<std::string>{}, config.dump());
  const json platform = readAddresses(*Platform);
  if (!platform.is_object())
    return makeError(ErrorCode::Unavailable, Platform->output());
  PlatformListen = platform.at("listen").get<std::string>();
  PlatformControl = platform.at("control").get<std::string>();
  for (Daemon &daemon : Daemons) {
    daemon.PlatformAddress = PlatformListen;
    if (Options.UseProxy)
      daemon.PlatformAddress = addRoute({{"id", "platform." + daemon.VmId},
                                         {"target", PlatformListen},
                                         {"from", daemon.VmId},
                                         {"to", "platform"}});
  }
  return true;
}

state::Result<bool> Deployment::startProxy(json &replicas) {
  Proxy = std::make_unique<Process>("fault-proxy", std::vector<std::string>{},
                                    json{{"seed", Options.Seed}}.dump());
  const json proxy = readAddresses(*Proxy);
  if (!proxy.is_object())
    return makeError(ErrorCode::Unavailable, Proxy->output());
  ProxyControl = proxy.at("control").get<std::string>();
  for (const auto &[id, address] : replicas.items())
    address = addRoute({{"id", "backend." + id},
                        {"target", address},
                        {"from", "net"},
                        {"to", "backends"}});
  for (Daemon &daemon : Daemons)
    daemon.PeerAddress = addRoute({{"id", "peer." + daemon.VmId},
                                   {"target", daemon.PeerListen},
                                   {"from", "net"},
                                   {"to", daemon.VmId}});
  return true;
}

std::string Deployment::addRoute(const json &route) {
  const json added = callJson(ProxyControl, "/control/routes", route.dump());
  return added.is_object() ? added.value("address", "") : "";
}

std::uint64_t Deployment::publishPlans(const json &plans) {
  const json set =
      callJson(PlatformControl, "/control/values/plans", plans.dump());
  return set.is_object() ? set.value("version", std::uint64_t{0}) : 0;
}

state::Result<bool> Deployment::startDaemons() {
  for (std::size_t i = 0; i != Daemons.size(); ++i)
    if (const auto started = startDaemon(i); !started)
      return tl::unexpected(started.error());
  for (std::size_t i = 0; i != Daemons.size(); ++i)
    if (!waitUntilReady(i, StartTimeout))
      return makeError(ErrorCode::Unavailable,
                       Daemons[i].VmId + ": " + Daemons[i].Program->output());
  return true;
}

state::Result<bool> Deployment::startDaemon(std::size_t i) {
  Daemon &daemon = Daemons[i];
  if (!KeepInstances)
    ++Instances[daemon.VmId];
  std::vector<std::string> args = {"--listen=" + daemon.Listen,
                                   "--operator_listen=" + daemon.OperatorListen,
                                   "--peer_listen=" + daemon.PeerListen,
                                   "--platform=" + daemon.PlatformAddress,
                                   "--advertise_peer=" + daemon.PeerAddress,
                                   "--vm_id=" + daemon.VmId,
                                   "--vm_instance=" + instanceOf(daemon.VmId),
                                   "--peer_key=" + PeerKeyFile,
                                   "--balancer_lag_ms=200",
                                   "--data_centre=" + daemon.DataCentre};
  args.insert(args.end(), Options.DaemonFlags.begin(),
              Options.DaemonFlags.end());
  daemon.Program = std::make_unique<Process>("galenaflowd", args);
  const auto line = daemon.Program->waitForLine(
      [](std::string_view text) {
        return logField(text, "event") == "started";
      },
      StartTimeout);
  if (!line)
    return makeError(ErrorCode::Unavailable,
                     daemon.VmId + ": " + daemon.Program->output());
  return true;
}

bool Deployment::waitUntilReady(std::size_t i, milliseconds limit) {
  const auto end = Loop.now() + limit;
  while (Loop.now() < end) {
    if (call(Daemons[i].OperatorListen, {"GET", "/healthz", {}, ""}).Status ==
        200)
      return true;
    if (!Daemons[i].Program->isRunning())
      return false;
    std::this_thread::sleep_for(ReadyPollInterval);
  }
  return false;
}

std::string Deployment::callerKey(const std::string &customer) {
  return "key-of-" + customer;
}

transport::HttpResponse
Deployment::call(const std::string &address,
                 const transport::HttpRequest &request) {
  transport::HttpResponse response;
  response.Status = 0;
  const auto parsed = transport::parseSocketAddress(address);
  if (!parsed)
    return response;
  transport::HttpConnection connection(Loop, *parsed);
  bool done = false;
  connection.send(request, CallTimeout, [&](transport::HttpResult result) {
    if (result)
      response = std::move(*result);
    done = true;
  });
  Loop.runUntil([&] { return done; }, 2 * CallTimeout);
  return response;
}

json Deployment::callJson(const std::string &address, const std::string &path,
                          const std::string &body) {
  const auto response =
      call(address, {body.empty() ? "GET" : "POST", path, {}, body});
  return json::parse(response.Body, nullptr, false);
}

void Deployment::publishVms(const std::vector<std::string> &leaving) {
  callJson(PlatformControl, "/control/vms", vmsDocument(leaving).dump());
}

json Deployment::backendConfig() const {
  json replicas = json::array();
  for (const ServiceSpec &service : Options.Services)
    forEachReplica(service, [&](std::uint32_t shard, std::uint32_t,
                                const std::string &id) {
      json snapshot = json::object();
      snapshot["id"] = Options.Snapshot;
      snapshot["layout"] = Options.Layout;
      snapshot["shard_count"] = std::max(service.Shards, 1U);
      snapshot["shards"] = json::array({shard});
      json item = json::object();
      item["id"] = id;
      item["service"] = service.Name;
      item["slots"] = service.Slots;
      item["connection_limit"] = service.ConnectionLimit;
      item["connection_cost_ms"] = service.ConnectionCostMs;
      item["listings"] = service.Listings;
      item["snapshots"] = json::array({snapshot});
      replicas.push_back(std::move(item));
    });
  return {{"seed", Options.Seed},
          {"defaults", json::parse(Options.BackendSettings)},
          {"replicas", replicas}};
}

json Deployment::servicesDocument(const json &addresses) const {
  json services = json::array();
  for (const ServiceSpec &service : Options.Services) {
    json replicas = json::array();
    std::vector<json> shards(service.Shards);
    forEachReplica(service, [&](std::uint32_t shard, std::uint32_t i,
                                const std::string &id) {
      json item = json::object();
      item["id"] = id;
      item["address"] = addresses.at(id);
      item["data_centre"] =
          Options.DataCentres[(shard + i) % Options.DataCentres.size()];
      replicas.push_back(std::move(item));
      if (service.Shards == 0)
        return;
      shards[shard]["shard"] = shard;
      shards[shard]["replicas"].push_back(id);
    });
    json document = json::object();
    document["name"] = service.Name;
    document["kind"] = service.Shards == 0 ? "pool" : "sharded";
    document["slots"] = service.Slots;
    document["connection_limit"] = service.ConnectionLimit;
    document["replicas"] = std::move(replicas);
    document["layouts"] = json::array();
    if (service.Shards != 0) {
      json layout = json::object();
      layout["id"] = Options.Layout;
      layout["shards"] = shards;
      document["layouts"].push_back(std::move(layout));
    }
    services.push_back(std::move(document));
  }
  return {{"services", services}};
}

json Deployment::plansDocument() const {
  if (!Options.Plans.empty())
    return json::parse(Options.Plans);
  json names = json::array();
  for (const ServiceSpec &service : Options.Services)
    names.push_back(service.Name);
  json plan = json::parse(R"({"id":"standard","weight":1,"max_rate":10000,
    "burst":10000,"max_concurrency":10000,"operations":{
    "search":{"priority":"urgent","prefer":"coverage","min_coverage":0,
              "deadline_ms":5000,"max_limit":1000},
    "suggest":{"priority":"urgent","prefer":"latency","min_coverage":0,
               "deadline_ms":5000,"max_limit":20},
    "read":{"priority":"normal","prefer":"coverage","min_coverage":0,
            "deadline_ms":5000,"max_limit":1},
    "write":{"priority":"normal","prefer":"coverage","min_coverage":0,
             "deadline_ms":5000,"max_limit":1}}})");
  plan["services"] = std::move(names);
  json document = json::object();
  document["plans"] = json::array({plan});
  return document;
}

json Deployment::customersDocument(const json &plans) {
  json customers = json::array();
  for (const json &plan : plans.at("plans")) {
    const std::string id = plan.at("id").get<std::string>();
    const std::string customer = "customer-" + id;
    json item = json::object();
    item["id"] = customer;
    item["plan"] = id;
    item["keys_sha256"] = json::array({sha256Hex(callerKey(customer))});
    customers.push_back(std::move(item));
  }
  return {{"customers", customers}};
}

json Deployment::vmsDocument(const std::vector<std::string> &leaving) const {
  json vms = json::array();
  for (const Daemon &daemon : Daemons) {
    const bool isLeaving =
        std::find(leaving.begin(), leaving.end(), daemon.VmId) != leaving.end();
    json item = json::object();
    item["id"] = daemon.VmId;
    item["instance"] = instanceOf(daemon.VmId);
    item["role"] = "entry";
    item["address"] = daemon.PeerAddress;
    item["operator_address"] = daemon.OperatorListen;
    item["data_centre"] = daemon.DataCentre;
    item["state"] = isLeaving ? "leaving" : "live";
    vms.push_back(std::move(item));
  }
  return {{"vms", vms}};
}

} // namespace galenaflow::support
