#ifndef GALENAFLOW_SUPPORT_DEPLOYMENT_H
#define GALENAFLOW_SUPPORT_DEPLOYMENT_H

#include "support/process.h"
#include "transport/event_loop.h"
#include "transport/http_client.h"

#include <cstdint>
#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace galenaflow::support {

/// A service to start. Without shards it is a pool of `Replicas`, otherwise
/// each shard has that many.
struct ServiceSpec {
  std::string Name;
  std::uint32_t Shards = 0;
  std::uint32_t Replicas = 2;
  std::uint32_t Slots = 2;
  std::uint32_t ConnectionLimit = 25;
  double ConnectionCostMs = 0;
  std::uint32_t Listings = 1000; ///< see standin::ListingIndex
};

struct DeploymentOptions {
  std::vector<ServiceSpec> Services;
  std::vector<std::string> DataCentres = {"catania-a", "catania-b", "acireale"};
  std::uint32_t Daemons = 1;
  std::uint64_t Seed = 1;
  std::uint64_t Snapshot = 41;
  std::uint64_t Layout = 3;

  /// JSON object of knobs for all replicas (standin::ReplicaKnobs).
  std::string BackendKnobs = "{}";

  /// The plans document; empty for one plan "standard" that allows everything
  /// on all services. Each plan gets one customer, "customer-" + its id.
  std::string Plans;

  /// Flags for every daemon, in addition to the addresses and names.
  std::vector<std::string> DaemonFlags;

  /// Puts a fault-proxy route in front of each replica ("backend.ID"), of each
  /// daemon's peer listener ("peer.VM") and of the platform as each daemon sees
  /// it ("platform.VM"). Routes lead from "net" to "VM", "backends" and
  /// "platform"; a platform route leads from "VM".
  bool UseProxy = false;
};

/// One daemon of a deployment.
struct Daemon {
  std::string VmId;
  std::string DataCentre;
  std::string Listen;
  std::string OperatorListen;
  std::string PeerListen;
  std::string PeerAddress;     ///< at which the other daemons reach it
  std::string PlatformAddress; ///< at which it reaches the platform
  std::unique_ptr<Process> Program;
};

/// The platform, the backend servers and the daemons, as processes on ports
/// that the kernel picked. All calls block on an event loop of their own.
class Deployment {
public:
  explicit Deployment(DeploymentOptions options);
  ~Deployment();

  /// Starts platform and backends. Error: Unavailable.
  state::Result<bool> startOutside();

  /// Starts the daemons and waits until /healthz of each answers 200.
  state::Result<bool> startDaemons();

  /// Starts one daemon again under its addresses, as a replaced VM.
  state::Result<bool> startDaemon(std::size_t i);

  /// A further flag for daemons that are started from now on.
  void addDaemonFlag(std::string flag) {
    Options.DaemonFlags.push_back(std::move(flag));
  }

  /// Daemons that are started from now on are restarts on the same VM.
  void keepInstances() { KeepInstances = true; }

  bool waitUntilReady(std::size_t i, std::chrono::milliseconds limit);

  /// The key of a customer, derived from its id.
  static std::string callerKey(const std::string &customer);

  /// A call to a listener; status 0 stands for a failed exchange.
  transport::HttpResponse call(const std::string &address,
                               const transport::HttpRequest &request);

  /// POST with a body, GET without one.
  nlohmann::json callJson(const std::string &address, const std::string &path,
                          const std::string &body = {});

  const std::string &platformControl() const { return PlatformControl; }
  const std::string &backendControl() const { return BackendControl; }
  const std::string &proxyControl() const { return ProxyControl; }
  Process &platform() { return *Platform; }
  Process &backends() { return *Backends; }
  std::vector<Daemon> &daemons() { return Daemons; }
  const DeploymentOptions &options() const { return Options; }

  /// Sends the VM list to the platform; all daemons are live unless named.
  void publishVms(const std::vector<std::string> &leaving = {});

  /// The plans document that the deployment starts with.
  nlohmann::json plansDocument() const;

  /// The instance of a VM in the list; changes with each start of its daemon.
  std::string instanceOf(const std::string &vmId) const;

  /// Publishes a new version of the plans document. Returns its version; 0 when
  /// the platform refused it.
  std::uint64_t publishPlans(const nlohmann::json &plans);

private:
  void writePeerKey();
  state::Result<bool> startProxy(nlohmann::json &replicas);
  std::string addRoute(const nlohmann::json &route);
  nlohmann::json backendConfig() const;
  nlohmann::json servicesDocument(const nlohmann::json &addresses) const;
  static nlohmann::json customersDocument(const nlohmann::json &plans);
  nlohmann::json vmsDocument(const std::vector<std::string> &leaving) const;

  DeploymentOptions Options;
  transport::EventLoop Loop;
  std::unique_ptr<Process> Platform;
  std::unique_ptr<Process> Backends;
  std::unique_ptr<Process> Proxy;
  std::string ProxyControl;
  std::string PeerKeyFile;
  std::string PlatformListen;
  std::string PlatformControl;
  std::string BackendControl;
  std::vector<Daemon> Daemons;
  std::map<std::string, std::uint64_t> Instances; ///< starts of each VM
  bool KeepInstances = false;
};

} // namespace galenaflow::support

#endif
