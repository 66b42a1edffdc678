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

/// A service to start. `Replicas` is the number of replicas of each shard, or
/// of the whole pool if the service has no shards.
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

  /// JSON object of settings for all replicas (standin::ReplicaSettings).
  std::string BackendSettings = "{}";

  /// The plans document; empty for one plan "standard" that allows all
  /// operations on all services. Each plan gets one customer, whose id is
  /// "customer-" and the id of the plan.
  std::string Plans;

  /// Flags for every daemon, in addition to those with addresses and ids.
  std::vector<std::string> DaemonFlags;

  /// Puts a fault-proxy route in front of each replica ("backend.ID", from
  /// "net" to "backends"), of the peer listener of each daemon ("peer.VM", from
  /// "net" to "VM") and, once for each daemon, of the platform ("platform.VM",
  /// from "VM" to "platform").
  bool UseProxy = false;
};

/// One daemon of a deployment.
struct Daemon {
  std::string VmId;
  std::string DataCentre;
  std::string Listen;
  std::string OperatorListen;
  std::string PeerListen;
  std::string PeerAddress;     ///< peer address in the VM list
  std::string PlatformAddress; ///< from which the daemon reads lists
  std::unique_ptr<Process> Program;
};

/// Runs the stand-ins of the platform and of the backend servers, and the
/// daemons, as processes on free local ports. Order of calls:
/// startStandIns, startDaemons, then any other. All calls block; they run an
/// event loop of the deployment.
class Deployment {
public:
  explicit Deployment(DeploymentOptions options);
  ~Deployment();

  /// Starts the stand-ins, and the fault proxy if UseProxy is set. Error:
  /// Unavailable, with the output of the process that did not start.
  state::Result<bool> startStandIns();

  /// Starts the daemons and waits until /healthz of each returns 200. Error:
  /// Unavailable, with the output of the daemon that did not start.
  state::Result<bool> startDaemons();

  /// Starts one daemon at its addresses, as a replacement of its VM with a new
  /// instance unless keepInstances was called.
  state::Result<bool> startDaemon(std::size_t i);

  /// Adds a flag for daemons that are started from now on.
  void addDaemonFlag(std::string flag) {
    Options.DaemonFlags.push_back(std::move(flag));
  }

  /// Keeps the instance of a VM when its daemon is started from now on, as in
  /// a restart of the process on the same VM.
  void keepInstances() { KeepInstances = true; }

  /// Waits up to `limit` until /healthz of a daemon returns 200. Returns false
  /// after the limit or if the daemon has ended.
  bool waitUntilReady(std::size_t i, std::chrono::milliseconds limit);

  /// Returns the key with which a customer's requests are authenticated.
  static std::string callerKey(const std::string &customer);

  /// Sends a request to a listener. Status 0 means that the exchange failed.
  transport::HttpResponse call(const std::string &address,
                               const transport::HttpRequest &request);

  /// Sends POST with a body, GET without one. Returns the parsed response, a
  /// discarded value if it is not JSON.
  nlohmann::json callJson(const std::string &address, const std::string &path,
                          const std::string &body = {});

  const std::string &platformControl() const { return PlatformControl; }
  const std::string &backendControl() const { return BackendControl; }
  const std::string &proxyControl() const { return ProxyControl; }
  Process &platform() { return *Platform; }
  Process &backends() { return *Backends; }
  std::vector<Daemon> &daemons() { return Daemons; }
  const DeploymentOptions &options() const { return Options; }

  /// Publishes the VM list on the platform. The VMs in `leaving` have that
  /// state; all others are live.
  void publishVms(const std::vector<std::string> &leaving = {});

  /// Returns the plans document with which the deployment starts.
  nlohmann::json plansDocument() const;

  /// Returns the instance of a VM in the VM list. It changes with each start of
  /// its daemon unless keepInstances was called.
  std::string instanceOf(const std::string &vmId) const;

  /// Publishes a new version of the plans document. Returns the version, 0 if
  /// the platform rejected it.
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
  std::map<std::string, std::uint64_t> Instances; ///< number of starts by VM id
  bool KeepInstances = false;
};

} // namespace galenaflow::support

#endif
