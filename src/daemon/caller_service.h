#ifndef GALENAFLOW_DAEMON_CALLER_SERVICE_H
#define GALENAFLOW_DAEMON_CALLER_SERVICE_H

#include "coordination/query_execution.h"
#include "daemon/admission_task.h"
#include "daemon/backend_task.h"
#include "daemon/published_lists.h"
#include "daemon/sub_request_task.h"
#include "daemon/write_service.h"
#include "protocol/caller_api.h"
#include "state/metrics.h"
#include "state/request_records.h"
#include "transport/http_server.h"

#include <functional>
#include <memory>
#include <random>
#include <string>

namespace galenaflow::daemon {

struct CallerServiceOptions {
  std::string DaemonId; ///< VM id and instance, for request records
  std::size_t MaxAnswerBytes = std::size_t{16} << 20;
  std::uint64_t Seed = 1;
};

/// Receives the record of each answered request.
using RecordSink = std::function<void(state::RequestRecord)>;

/// Serves the HTTP API for callers: authenticates the customer, checks the
/// request against the plan, requests admission, runs the request and answers.
class CallerService {
public:
  CallerService(transport::EventLoop &loop, CallerServiceOptions options,
                PublishedLists &lists, BackendTask &backends,
                AdmissionTask &admission, WriteService &writes, Tracer &tracer,
                state::MetricRegistry &metrics, RecordSink records);

  /// Handles a request from the callers' listener.
  void handle(const transport::HttpRequest &http,
              std::shared_ptr<transport::HttpResponder> responder);

  /// Until setReady(true) is called, requests are refused as unavailable.
  void setReady(bool ready) { IsReady = ready; }

  /// Requests that have not been answered.
  std::size_t openRequests() const { return OpenRequests; }

private:
  struct Request;
  using RequestPtr = std::shared_ptr<Request>;

  void dispatch(const RequestPtr &request, const transport::HttpRequest &http,
                protocol::CallerEndpoint endpoint);
  bool authenticate(const RequestPtr &request,
                    const protocol::CallerHeaders &headers);
  void onSearch(const RequestPtr &request,
                const protocol::CallerHeaders &headers, std::string_view body,
                state::Operation operation);
  void onRead(const RequestPtr &request, const protocol::CallerHeaders &headers,
              std::string_view path);
  void onWrite(const RequestPtr &request,
               const protocol::CallerHeaders &headers, std::string_view path,
               std::string body);
  void onRequestIds(const RequestPtr &request);

  /// Checks the request against the plan and sets its priority and deadline.
  /// Answers with an error and returns null when the request is not allowed.
  const state::Service *authorize(const RequestPtr &request,
                                  state::Operation operation,
                                  const std::string &service,
                                  const protocol::RequestOptions &options);
  void admit(const RequestPtr &request, double cost, std::function<void()> run);
  void refuse(const RequestPtr &request, AdmissionVerdict verdict);

  void runQuery(const RequestPtr &request,
                const protocol::SearchRequest &search);
  void finishQuery(const RequestPtr &request,
                   const coordination::QueryOutcome &outcome);
  void runRead(const RequestPtr &request, const state::Service &service,
               const std::string &recordId);
  void runWrite(const RequestPtr &request, const std::string &service,
                std::string body);

  void endAdmission(const RequestPtr &request, bool isSample);
  void answer(const RequestPtr &request, std::string body);
  void answerError(const RequestPtr &request, protocol::ErrorAnswer error);
  void answerError(const RequestPtr &request, protocol::CallerErrorCode code,
                   state::ExecutionState ran, std::string message);
  void answerFindings(const RequestPtr &request,
                      const state::Findings &findings);
  void finishRequest(const RequestPtr &request, std::string_view outcome,
                     state::ExecutionState ran);
  SubRequestContext makeContext(const RequestPtr &request);
  state::Duration remainingTime(const RequestPtr &request) const;

  transport::EventLoop &Loop;
  CallerServiceOptions Options;
  PublishedLists &Lists;
  BackendTask &Backends;
  AdmissionTask &Admission;
  WriteService &Writes;
  Tracer &RequestTracer;
  state::MetricRegistry &Metrics;
  RecordSink Records;
  std::mt19937_64 Random;
  std::string IdPrefix;
  std::uint64_t LastRequestNumber = 0;
  std::size_t OpenRequests = 0;
  bool IsReady = false;
};

} // namespace galenaflow::daemon

#endif
