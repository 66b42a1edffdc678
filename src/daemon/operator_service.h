#ifndef GALENAFLOW_DAEMON_OPERATOR_SERVICE_H
#define GALENAFLOW_DAEMON_OPERATOR_SERVICE_H

#include "daemon/backend_task.h"
#include "daemon/fleet_task.h"
#include "daemon/published_lists.h"
#include "daemon/record_task.h"
#include "daemon/share_task.h"
#include "state/metrics.h"
#include "transport/http_server.h"

#include <functional>
#include <memory>
#include <string>

namespace galenaflow::daemon {

/// The phase of the daemon's life cycle.
enum class DaemonPhase { Starting, Serving, Draining };
std::string_view daemonPhaseName(DaemonPhase phase);

/// The tasks and values from which the operator listener reports.
struct OperatorSources {
  std::string DaemonId;
  std::string DataCentre;
  std::function<DaemonPhase()> Phase;
  std::function<std::size_t()> OpenRequests;
  PublishedLists &Lists;
  BackendTask &Backends;
  FleetTask &Fleet;
  ShareTask &Shares;
  RecordTask &Records;
  state::MetricRegistry &Metrics;
};

/// Serves the HTTP API for operators and the balancer: health, metrics, status
/// and request records. The API has no authentication.
class OperatorService {
public:
  OperatorService(transport::EventLoop &loop, OperatorSources sources);

  void handle(const transport::HttpRequest &request,
              const std::shared_ptr<transport::HttpResponder> &responder);

private:
  transport::HttpResponse health() const;
  transport::HttpResponse metrics() const;
  transport::HttpResponse status() const;
  transport::HttpResponse plans() const;
  transport::HttpResponse backends() const;
  transport::HttpResponse peers() const;

  transport::EventLoop &Loop;
  OperatorSources Sources;
  state::TimePoint Started;
};

} // namespace galenaflow::daemon

#endif
