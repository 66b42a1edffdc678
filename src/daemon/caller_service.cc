#include "daemon/caller_service.h"

#include "daemon/query_task.h"
#include "state/hash.h"
#include "state/log.h"
#include "state/uuid.h"

#include <algorithm>

// A request passes through fixed steps: authenticate the customer, parse,
// authorize against the plan, admit, run, answer. Each step either calls the
// next one or answers with an error, and every answer goes through
// finishRequest(), which writes the record and the metrics. The request holds
// the catalog and the topology of its arrival, so that an update of the lists
// while it runs does not affect it.

namespace galenaflow::daemon {

using protocol::CallerEndpoint;
using protocol::CallerErrorCode;
using state::ExecutionState;

struct CallerService::Request {
  std::shared_ptr<transport::HttpResponder> Responder;
  state::RequestRecord Record;
  state::TimePoint Started;
  state::TimePoint DeadlineAt;
  state::TimePoint AdmittedAt;
  state::Priority Priority = state::Priority::Normal;
  OpenSpan Span;
  state::PlanCatalogPtr Catalog; ///< keeps Plan valid
  const state::Plan *Plan = nullptr;
  const state::OperationLimits *Limits = nullptr;
  state::TopologyPtr Topology; ///< keeps the service valid
  AdmissionId Admission = 0;   ///< zero if not admitted
};

namespace {

protocol::CallerHeaders viewHeaders(const transport::HttpHeaders &headers) {
  return {headers.find("authorization"), headers.find("x-request-id"),
          headers.find("x-deadline-ms"), headers.find("traceparent"),
          headers.find("idempotency-key")};
}

std::string_view stripQuery(std::string_view path) {
  return path.substr(0, path.find('?'));
}

/// The number of sub-requests of a query without hedges and retries, for the
/// layout with the most shards.
double primarySubRequests(const state::Service &service) {
  std::size_t shards = 1;
  for (const state::Layout &layout : service.Layouts)
    shards = std::max(shards, layout.Shards.size());
  return static_cast<double>(shards);
}

CallerErrorCode toErrorCode(AdmissionVerdict verdict) {
  switch (verdict) {
  case AdmissionVerdict::OverRate:
  case AdmissionVerdict::OverConcurrency:
    return CallerErrorCode::OverLimit;
  case AdmissionVerdict::UnknownPlan:
    return CallerErrorCode::Unavailable;
  default:
    return CallerErrorCode::Overloaded;
  }
}

std::string_view refusalMessage(AdmissionVerdict verdict) {
  switch (verdict) {
  case AdmissionVerdict::OverRate:
    return "the plan's request rate limit is exceeded";
  case AdmissionVerdict::OverConcurrency:
    return "the plan's concurrency limit is reached";
  case AdmissionVerdict::WouldMissDeadline:
    return "the request would wait past its deadline";
  case AdmissionVerdict::QueueFull:
    return "too many requests are queued";
  default:
    return "this daemon does not know the plan or service";
  }
}

} // namespace

CallerService::CallerService(transport::EventLoop &loop,
                             CallerServiceOptions options,
                             PublishedLists &lists, BackendTask &backends,
                             AdmissionTask &admission, WriteService &writes,
                             Tracer &tracer, state::MetricRegistry &metrics,
                             RecordSink records)
    : Loop(loop), Options(std::move(options)), Lists(lists), Backends(backends),
      Admission(admission), Writes(writes), RequestTracer(tracer),
      Metrics(metrics), Records(std::move(records)), Random(Options.Seed) {
  IdPrefix = state::makeUuidV7(Loop.wallNow(), Random).Text;
}

void CallerService::handle(
    const transport::HttpRequest &http,
    std::shared_ptr<transport::HttpResponder> responder) {
  auto request = std::make_shared<Request>();
  ++OpenRequests;
  request->Responder = std::move(responder);
  request->Started = Loop.now();
  request->Record.Started = Loop.wallNow();
  request->Record.DaemonId = Options.DaemonId;
  request->Record.RequestId = state::makeUuidV7(Loop.wallNow(), Random).Text;
  // Every answer carries the caller's request id, refusals included. A
  // malformed id is reported with the other findings once the request is
  // parsed.
  state::Findings ignored;
  const std::string givenId =
      protocol::parseOptions(viewHeaders(http.Headers), ignored).RequestId;
  if (!givenId.empty())
    request->Record.RequestId = givenId;
  const auto endpoint =
      protocol::findEndpoint(http.Method, stripQuery(http.Path));
  if (!endpoint) {
    answerError(request, CallerErrorCode::NotFound, ExecutionState::NotRun,
                "no such endpoint");
    return;
  }
  dispatch(request, http, *endpoint);
}

void CallerService::dispatch(const RequestPtr &request,
                             const transport::HttpRequest &http,
                             CallerEndpoint endpoint) {
  const protocol::CallerHeaders headers = viewHeaders(http.Headers);
  if (!IsReady) {
    answerError(request, CallerErrorCode::Unavailable, ExecutionState::NotRun,
                "the daemon has no valid lists yet");
    return;
  }
  if (!authenticate(request, headers))
    return;
  switch (endpoint) {
  case CallerEndpoint::Search:
    return onSearch(request, headers, http.Body, state::Operation::Search);
  case CallerEndpoint::Suggest:
    return onSearch(request, headers, http.Body, state::Operation::Suggest);
  case CallerEndpoint::Read:
    return onRead(request, headers, stripQuery(http.Path));
  case CallerEndpoint::Write:
    return onWrite(request, headers, stripQuery(http.Path), http.Body);
  case CallerEndpoint::RequestIds:
    return onRequestIds(request);
  }
}

bool CallerService::authenticate(const RequestPtr &request,
                                 const protocol::CallerHeaders &headers) {
  request->Catalog = Lists.catalog();
  request->Topology = Lists.topology();
  const auto key = protocol::bearerKey(headers.Authorization);
  const state::Customer *customer =
      key ? request->Catalog->findCustomerByKeyHash(state::sha256Hex(*key))
          : nullptr;
  if (customer == nullptr) {
    answerError(request, CallerErrorCode::Unauthenticated,
                ExecutionState::NotRun,
                "the Authorization header holds no known key");
    return false;
  }
  request->Record.CustomerId = customer->Id;
  request->Record.PlanId = customer->PlanId;
  request->Plan = request->Catalog->findPlan(customer->PlanId);
  if (request->Plan == nullptr) {
    answerError(request, CallerErrorCode::Forbidden, ExecutionState::NotRun,
                "the customer's plan is not listed");
    return false;
  }
  return true;
}

const state::Service *
CallerService::authorize(const RequestPtr &request, state::Operation operation,
                         const std::string &service,
                         const protocol::RequestOptions &options) {
  request->Record.Operation = operation;
  request->Record.Service = service;
  request->Span = RequestTracer.startRequest(options.Trace);
  request->Span.Name = state::operationName(operation);
  request->Limits = request->Plan->limitsOf(operation);
  if (request->Limits == nullptr ||
      !request->Plan->Services.contains(service)) {
    answerError(request, CallerErrorCode::Forbidden, ExecutionState::NotRun,
                "the plan does not allow this operation on this service");
    return nullptr;
  }
  const state::Service *found = request->Topology->findService(service);
  if (found == nullptr) {
    answerError(request, CallerErrorCode::NotFound, ExecutionState::NotRun,
                "no such service");
    return nullptr;
  }
  const bool needsShards = operation == state::Operation::Search ||
                           operation == state::Operation::Suggest;
  if (needsShards != (found->Kind == state::ServiceKind::Sharded)) {
    answerError(request, CallerErrorCode::InvalidRequest,
                ExecutionState::NotRun,
                "the service does not support this operation");
    return nullptr;
  }
  request->Priority = request->Limits->Priority;
  const state::Duration deadline =
      std::min(options.Deadline.value_or(request->Limits->Deadline),
               request->Limits->Deadline);
  request->DeadlineAt = request->Started + deadline;
  return found;
}

void CallerService::onSearch(const RequestPtr &request,
                             const protocol::CallerHeaders &headers,
                             std::string_view body,
                             state::Operation operation) {
  const auto search = protocol::parseSearchRequest(operation, headers, body);
  if (!search) {
    answerFindings(request, search.error());
    return;
  }
  const state::Service *service =
      authorize(request, operation, search->Service, search->Options);
  if (service == nullptr)
    return;
  if (search->Priority == state::Priority::Normal)
    request->Priority = state::Priority::Normal;
  admit(request, primarySubRequests(*service),
        [this, request, search = *search] { runQuery(request, search); });
}

void CallerService::onRead(const RequestPtr &request,
                           const protocol::CallerHeaders &headers,
                           std::string_view path) {
  const auto read = protocol::parseReadRequest(path, headers);
  if (!read) {
    answerFindings(request, read.error());
    return;
  }
  const state::Service *service =
      authorize(request, state::Operation::Read, read->Service, read->Options);
  if (service == nullptr)
    return;
  admit(request, 1, [this, request, service, id = read->RecordId] {
    runRead(request, *service, id);
  });
}

void CallerService::onWrite(const RequestPtr &request,
                            const protocol::CallerHeaders &headers,
                            std::string_view path, std::string body) {
  if (body.size() > protocol::MaxWriteBytes) {
    answerError(request, CallerErrorCode::PayloadTooLarge,
                ExecutionState::NotRun,
                "the body of a write must be at most 64 KB");
    return;
  }
  const auto write = protocol::parseWriteRequest(path, headers);
  if (!write) {
    answerFindings(request, write.error());
    return;
  }
  request->Record.IdempotencyKey = write->IdempotencyKey;
  const state::Service *service = authorize(request, state::Operation::Write,
                                            write->Service, write->Options);
  if (service == nullptr)
    return;
  admit(
      request, 1,
      [this, request, name = service->Name, body = std::move(body)]() mutable {
        runWrite(request, name, std::move(body));
      });
}

void CallerService::onRequestIds(const RequestPtr &request) {
  const std::string id = state::makeUuidV7(Loop.wallNow(), Random).Text;
  answer(request, protocol::encodeRequestIdAnswer(id));
}

void CallerService::admit(const RequestPtr &request, double cost,
                          std::function<void()> run) {
  const std::string service = request->Record.Service;
  Admission.request(
      {request->Plan->Id, service, request->Priority, cost,
       request->DeadlineAt},
      [this, request, run = std::move(run)](
          AdmissionId id, AdmissionVerdict verdict, state::Duration) {
        if (verdict != AdmissionVerdict::Admitted) {
          refuse(request, verdict);
          return;
        }
        request->Admission = id;
        request->AdmittedAt = Loop.now();
        request->Record.addEvent(Loop.now() - request->Started, "admitted");
        run();
      });
  Backends.setSaturated(service, Admission.isSaturated(service));
}

void CallerService::refuse(const RequestPtr &request,
                           AdmissionVerdict verdict) {
  request->Record.addEvent(Loop.now() - request->Started,
                           admissionVerdictName(verdict));
  answerError(request, toErrorCode(verdict), ExecutionState::NotRun,
              std::string(refusalMessage(verdict)));
}

void CallerService::runQuery(const RequestPtr &request,
                             const protocol::SearchRequest &search) {
  coordination::QueryOptions options;
  options.Service = search.Service;
  options.Prefer = request->Limits->Prefer;
  options.MinCoverage =
      std::max(request->Limits->MinCoverage, search.MinCoverage.value_or(0));
  options.Limit = std::min(search.Limit, request->Limits->MaxLimit);
  options.Deadline = remainingTime(request);
  const auto task = std::make_shared<QueryTask>(
      Loop, Backends, makeContext(request), search.Operation, search.Query,
      options,
      [this, request](std::unique_ptr<coordination::QueryOutcome> outcome) {
        finishQuery(request, *outcome);
      });
  request->Responder->onDisconnect([weak = std::weak_ptr(task)] {
    if (const auto open = weak.lock())
      open->cancelQuery();
  });
  task->start();
}

void CallerService::finishQuery(const RequestPtr &request,
                                const coordination::QueryOutcome &outcome) {
  state::RequestRecord &record = request->Record;
  const coordination::AttemptCounts &counts = outcome.Counts;
  record.Snapshot = outcome.Snapshot;
  record.ShardsAsked = outcome.Coverage.Asked;
  record.ShardsAnswered = outcome.Coverage.Answered;
  record.SubRequests =
      counts.Primaries + counts.Hedges + counts.Retries + counts.Redirects;
  record.Hedges = counts.Hedges;
  record.Retries = counts.Retries;
  for (const protocol::MissingShard &missing : outcome.Coverage.Missing)
    record.addEvent(Loop.now() - request->Started,
                    "shard " + std::to_string(missing.Shard) + " missing: " +
                        std::string(missingReasonName(missing.Reason)));
  Metrics
      .counter("galenaflow_sub_requests_total", "Sub-requests by kind",
               {{"kind", "primary"}})
      .add(counts.Primaries);
  Metrics
      .counter("galenaflow_sub_requests_total", "Sub-requests by kind",
               {{"kind", "hedge"}})
      .add(counts.Hedges);
  Metrics
      .counter("galenaflow_sub_requests_total", "Sub-requests by kind",
               {{"kind", "retry"}})
      .add(counts.Retries);
  Metrics
      .counter("galenaflow_responses_discarded_total",
               "Late, repeated or foreign responses")
      .add(counts.Discarded);
  endAdmission(request, true);
  if (outcome.Error) {
    answerError(request,
                protocol::callerErrorOf(outcome.Error->Code, outcome.Ran),
                outcome.Ran, outcome.Error->Text);
    return;
  }
  std::vector<std::string_view> hits;
  hits.reserve(outcome.Hits.size());
  for (const coordination::Hit &hit : outcome.Hits)
    hits.push_back(hit.Json);
  answer(request,
         protocol::encodeSearchAnswer(
             {record.RequestId, outcome.Snapshot, outcome.Coverage.Asked,
              outcome.Coverage.Answered, outcome.Coverage.Missing, hits}));
}

void CallerService::runRead(const RequestPtr &request,
                            const state::Service &service,
                            const std::string &recordId) {
  auto replicas = std::make_shared<std::vector<state::ReplicaId>>();
  for (const state::Replica &replica : service.Replicas)
    replicas->push_back(replica.Id);
  const auto task = std::make_shared<ReadTask>(
      Loop, Backends, makeContext(request), recordId, service.Name,
      coordination::ReadOptions{std::move(replicas), request->Limits->Prefer,
                                remainingTime(request)},
      [this, request](std::unique_ptr<coordination::ReadOutcome> outcome) {
        const auto &counts = outcome->Counts;
        request->Record.SubRequests =
            counts.Primaries + counts.Hedges + counts.Retries;
        request->Record.Hedges = counts.Hedges;
        request->Record.Retries = counts.Retries;
        request->Record.Snapshot = outcome->Response.Snapshot;
        endAdmission(request, true);
        if (outcome->Error)
          answerError(
              request,
              protocol::callerErrorOf(outcome->Error->Code, outcome->Ran),
              outcome->Ran, outcome->Error->Text);
        else if (!outcome->Response.Found)
          answerError(request, CallerErrorCode::NotFound, ExecutionState::Ran,
                      "no such record");
        else
          answer(request, protocol::encodeReadAnswer(request->Record.RequestId,
                                                     outcome->Response.Snapshot,
                                                     outcome->Response.Json));
      });
  request->Responder->onDisconnect([weak = std::weak_ptr(task)] {
    if (const auto open = weak.lock())
      open->cancelRead();
  });
  task->start();
}

void CallerService::runWrite(const RequestPtr &request,
                             const std::string &service, std::string body) {
  WriteCommand command;
  command.IdempotencyKey = request->Record.IdempotencyKey;
  command.Body = std::move(body);
  command.Service = *request->Topology->findService(service);
  command.Deadline = remainingTime(request);
  command.Context = makeContext(request);
  Writes.submit(std::move(command), [this, request](const WriteResult &result) {
    request->Record.SubRequests = result.SubRequests;
    endAdmission(request, result.Ran == ExecutionState::Ran);
    if (result.Error)
      answerError(request,
                  protocol::callerErrorOf(result.Error->Code, result.Ran),
                  result.Ran, result.Error->Text);
    else
      answer(request, protocol::encodeWriteAnswer(request->Record.RequestId,
                                                  result.Result));
  });
}

void CallerService::endAdmission(const RequestPtr &request, bool isSample) {
  if (request->Admission == 0)
    return;
  const AdmissionId id = request->Admission;
  request->Admission = 0;
  Admission.end(id, Loop.now() - request->AdmittedAt, isSample);
  Backends.setSaturated(request->Record.Service,
                        Admission.isSaturated(request->Record.Service));
}

void CallerService::answer(const RequestPtr &request, std::string body) {
  if (body.size() > Options.MaxAnswerBytes) {
    answerError(request, CallerErrorCode::PayloadTooLarge, ExecutionState::Ran,
                "the answer is larger than this daemon allows");
    return;
  }
  auto response = transport::jsonResponse(200, std::move(body));
  response.Headers.add("x-request-id", request->Record.RequestId);
  finishRequest(request, "ok", ExecutionState::Ran);
  request->Responder->send(std::move(response));
}

void CallerService::answerError(const RequestPtr &request,
                                protocol::ErrorAnswer error) {
  error.RequestId = request->Record.RequestId;
  auto response = transport::jsonResponse(protocol::httpStatus(error.Code),
                                          protocol::encodeErrorAnswer(error));
  response.Headers.add("x-request-id", request->Record.RequestId);
  finishRequest(request, protocol::callerErrorName(error.Code), error.Ran);
  request->Responder->send(std::move(response));
}

void CallerService::answerError(const RequestPtr &request,
                                protocol::CallerErrorCode code,
                                ExecutionState ran, std::string message) {
  protocol::ErrorAnswer error;
  error.Code = code;
  error.Message = std::move(message);
  error.Ran = ran;
  answerError(request, std::move(error));
}

void CallerService::answerFindings(const RequestPtr &request,
                                   const state::Findings &findings) {
  protocol::ErrorAnswer error;
  error.Code = CallerErrorCode::InvalidRequest;
  error.Message = "the request is invalid";
  error.Ran = ExecutionState::NotRun;
  error.Findings = findings;
  answerError(request, std::move(error));
}

void CallerService::finishRequest(const RequestPtr &request,
                                  std::string_view outcome,
                                  ExecutionState ran) {
  endAdmission(request, false);
  --OpenRequests;
  state::RequestRecord &record = request->Record;
  record.Elapsed = Loop.now() - request->Started;
  record.Outcome = outcome;
  record.Ran = ran;
  const std::string operation(state::operationName(record.Operation));
  Metrics
      .counter("galenaflow_requests_total", "Requests by outcome",
               {{"operation", operation}, {"outcome", record.Outcome}})
      .add();
  Metrics
      .histogram("galenaflow_request_seconds", "Time to answer a request",
                 {{"operation", operation}})
      .record(record.Elapsed);
  if (request->Span.Context.IsSampled)
    RequestTracer.finish(
        std::move(request->Span), outcome == "ok" ? "" : record.Outcome,
        {{"request_id", record.RequestId},
         {"service", record.Service},
         {"plan", record.PlanId},
         {"shards_answered", std::to_string(record.ShardsAnswered)},
         {"shards_asked", std::to_string(record.ShardsAsked)}});
  Records(std::move(record));
}

SubRequestContext CallerService::makeContext(const RequestPtr &request) {
  return {IdPrefix + "-" + std::to_string(++LastRequestNumber),
          request->Priority, request->Span.Context, &RequestTracer};
}

state::Duration CallerService::remainingTime(const RequestPtr &request) const {
  return std::max(request->DeadlineAt - Loop.now(), state::Duration(0));
}

} // namespace galenaflow::daemon
