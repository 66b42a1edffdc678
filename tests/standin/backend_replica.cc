#include "standin/backend_replica.h"

#include "standin/listing_data.h"
#include "standin/settings_reader.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <iterator>
#include <nlohmann/json.hpp>
#include <openssl/sha.h>

// A work request waits in one queue until a slot is free, and then occupies the
// slot for a random service time. It counts as run as soon as it occupies the
// slot, so a write is recorded in the journal at that moment and stays there
// even if the write is cancelled or its connection is closed.

namespace galenaflow::standin {

using nlohmann::json;
using transport::HttpRequest;
using transport::HttpResponse;
using transport::jsonResponse;

namespace {

constexpr double DefaultDeadlineMs = 60'000;

/// Load samples at a shorter distance are merged, which limits their number.
constexpr auto LoadSampleGap = std::chrono::milliseconds(5);

state::Duration fromMs(double ms) {
  return state::Duration(static_cast<std::int64_t>(ms * 1000));
}

std::string header(const HttpRequest &request, std::string_view name) {
  return std::string(request.Headers.find(name).value_or(""));
}

double headerNumber(const HttpRequest &request, std::string_view name,
                    double fallback) {
  const auto text = request.Headers.find(name);
  double value = fallback;
  if (text)
    std::from_chars(text->data(), text->data() + text->size(), value);
  return value;
}

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

/// Returns the trace id of the traceparent header; all sub-requests of a query
/// have the same one. Empty if the header is missing or too short.
std::string traceId(const HttpRequest &request) {
  const std::string parent = header(request, "traceparent");
  return parent.size() >= 35 ? parent.substr(3, 32) : std::string();
}

void readSettings(SettingsReader &in, ReplicaSettings &settings) {
  in.read("slots", settings.Slots);
  in.read("queue_limit", settings.QueueLimit);
  in.read("connection_limit", settings.ConnectionLimit);
  in.read("connection_cost_ms", settings.ConnectionCostMs);
  in.read("search_ms", settings.SearchMs);
  in.read("suggest_ms", settings.SuggestMs);
  in.read("read_ms", settings.ReadMs);
  in.read("write_ms", settings.WriteMs);
  in.read("sigma", settings.Sigma);
  in.read("cold_requests", settings.ColdRequests);
  in.read("cold_factor", settings.ColdFactor);
  in.read("slowness", settings.Slowness);
  in.read("listings", settings.Listings);
  in.read("load_lag_ms", settings.LoadLagMs);
  in.read("state", settings.State);
  in.read("drain", settings.Drain);
  in.read("down", settings.Down);
  in.read("silent", settings.Silent);
  in.read("stall", settings.Stall);
  in.read("wrong_snapshot", settings.WrongSnapshot);
  in.read("truncate", settings.Truncate);
  in.read("duplicate_hit", settings.DuplicateHit);
  in.read("foreign_id", settings.ForeignId);
  in.read("reset", settings.Reset);
  in.read("shed", settings.Shed);
}

bool readSnapshots(const json &items, std::vector<ServedSnapshot> &out) {
  if (!items.is_array())
    return false;
  for (const json &item : items) {
    if (!item.is_object() || !item.contains("id"))
      return false;
    ServedSnapshot served;
    served.Id = item.at("id").get<std::uint64_t>();
    served.Layout = item.value("layout", std::uint64_t{0});
    served.ShardCount = std::max(item.value("shard_count", 1U), 1U);
    served.Shards = item.value("shards", std::vector<std::uint32_t>{});
    out.push_back(std::move(served));
  }
  return true;
}

void removeSnapshot(std::vector<ServedSnapshot> &snapshots, std::uint64_t id) {
  std::erase_if(snapshots,
                [id](const ServedSnapshot &s) { return s.Id == id; });
}

bool applySnapshots(SettingsReader &in,
                    std::vector<ServedSnapshot> &snapshots) {
  if (const json *items = in.find("snapshots")) {
    snapshots.clear();
    if (!readSnapshots(*items, snapshots))
      return false;
  }
  if (const json *items = in.find("remove_snapshots")) {
    if (!items->is_array())
      return false;
    for (const json &id : *items)
      removeSnapshot(snapshots, id.get<std::uint64_t>());
  }
  if (const json *items = in.find("add_snapshots")) {
    std::vector<ServedSnapshot> added;
    if (!readSnapshots(*items, added))
      return false;
    for (ServedSnapshot &served : added) {
      removeSnapshot(snapshots, served.Id);
      snapshots.push_back(std::move(served));
    }
  }
  return true;
}

} // namespace

void BackendLog::recordSubRequest(const std::string &trace,
                                  std::uint32_t shard) {
  if (trace.empty())
    return;
  std::string key = trace + "/" + std::to_string(shard);
  if (++SeenCounts[key] > 1) {
    ++RepeatedSubRequests;
    return;
  }
  EvictionOrder.push_back(std::move(key));
  if (EvictionOrder.size() > MaxTracked) {
    SeenCounts.erase(EvictionOrder.front());
    EvictionOrder.pop_front();
  }
}

struct BackendReplica::Work {
  RawConnectionPtr Connection;
  HttpRequest Request;
  WorkKind Kind = WorkKind::Search;
  std::string SubRequestId;
  std::uint32_t Shard = 0;
  std::uint64_t Snapshot = 0;
  std::size_t Limit = 10;
  std::string Query;
  state::TimePoint Deadline;
  transport::TimerId Timer = 0;
  bool Running = false;
};

struct BackendReplica::LoadSample {
  state::TimePoint At;
  std::uint32_t InFlight = 0;
  std::size_t Queued = 0;
  std::size_t Connections = 0;
  std::string State;
  std::vector<ServedSnapshot> Snapshots;
};

BackendReplica::BackendReplica(transport::EventLoop &loop, BackendLog &log,
                               const json &config, std::uint64_t seed)
    : Loop(loop), Log(log), Id(config.value("id", "")),
      ServiceName(config.value("service", "")), Random(stableHash(Id, seed)) {
  const auto address =
      transport::parseSocketAddress(config.value("listen", "127.0.0.1:0"));
  if (address)
    Address = *address;
  Server = std::make_unique<RawHttpServer>(
      Loop, [this](HttpRequest request, const RawConnectionPtr &conn) {
        handle(std::move(request), conn);
      });
}

BackendReplica::~BackendReplica() = default;

state::Result<bool> BackendReplica::listen() {
  const auto bound = Server->listen(Address);
  if (!bound)
    return tl::unexpected(bound.error());
  Address = *bound;
  WasListening = true;
  return true;
}

std::string BackendReplica::apply(const json &changes) {
  if (!changes.is_object())
    return "expected an object";
  SettingsReader in{changes, {}, 0};
  ReplicaSettings newSettings = Settings;
  std::vector<ServedSnapshot> snapshots = Snapshots;
  for (const char *fixed : {"id", "service", "listen"})
    in.find(fixed);
  readSettings(in, newSettings);
  if (!applySnapshots(in, snapshots))
    return "malformed snapshots";
  if (!in.Fault.empty())
    return in.Fault;
  if (in.Used != changes.size())
    return "unknown knob";
  const std::string drainBefore = Settings.Drain;
  if (newSettings.Listings != Settings.Listings || snapshots != Snapshots)
    ListingCache.clear();
  if (newSettings.ColdRequests != Settings.ColdRequests)
    StartedCount = 0;
  Settings = newSettings;
  Snapshots = std::move(snapshots);
  recordDrainStart(drainBefore);
  applyConnectionSettings();
  recordLoad();
  startNext();
  return {};
}

void BackendReplica::recordDrainStart(const std::string &before) {
  if (before == "off" && Settings.Drain != "off") {
    DrainStart = Loop.now();
    LastWorkAfterDrainMs = -1;
  }
}

void BackendReplica::applyConnectionSettings() {
  Server->options().ConnectionLimit = Settings.ConnectionLimit;
  Server->options().ConnectionCost = fromMs(Settings.ConnectionCostMs);
  if (Settings.Down && Server->isListening())
    Server->shutDown();
  else if (!Settings.Down && !Server->isListening() && WasListening)
    static_cast<void>(listen());
}

void BackendReplica::handle(HttpRequest request, const RawConnectionPtr &conn) {
  if (Settings.Silent) {
    ++Faults["silent"];
    return;
  }
  if (request.Path == "/healthz") {
    conn->respond(
        jsonResponse(200, json{{"state", reportedLoad().State}}.dump()));
    return;
  }
  if (request.Path == "/loadz") {
    const LoadSample load = reportedLoad();
    json snapshots = json::array();
    for (const ServedSnapshot &served : load.Snapshots)
      snapshots.push_back({{"id", served.Id}, {"layout", served.Layout}});
    const json body = {{"in_flight", load.InFlight},
                       {"queued", load.Queued},
                       {"slots", Settings.Slots},
                       {"connections", load.Connections},
                       {"snapshots", snapshots}};
    conn->respond(jsonResponse(200, body.dump()));
    return;
  }
  constexpr std::string_view cancelPrefix = "/sub-requests/";
  if (request.Method == "DELETE" && request.Path.starts_with(cancelPrefix)) {
    handleCancel(request.Path.substr(cancelPrefix.size()), conn);
    return;
  }
  handleWork(std::move(request), conn);
}

void BackendReplica::handleWork(HttpRequest request,
                                const RawConnectionPtr &conn) {
  auto work = std::make_shared<Work>();
  work->Connection = conn;
  work->SubRequestId = header(request, "x-sub-request-id");
  work->Deadline = Loop.now() + fromMs(headerNumber(request, "x-deadline-ms",
                                                    DefaultDeadlineMs));
  if (request.Method == "POST" && request.Path == "/search") {
    const json body = json::parse(request.Body, nullptr, false);
    if (!body.is_object()) {
      conn->respond(jsonResponse(400, R"({"error":"malformed body"})"));
      return;
    }
    work->Kind = body.value("op", "search") == "suggest" ? WorkKind::Suggest
                                                         : WorkKind::Search;
    work->Shard = body.value("shard", 0U);
    work->Snapshot = body.value("snapshot", std::uint64_t{0});
    work->Limit = body.value("limit", std::size_t{10});
    work->Query = body.value("query", "");
    Log.recordSubRequest(traceId(request), work->Shard);
  } else if (request.Method == "GET" && request.Path.starts_with("/records/")) {
    work->Kind = WorkKind::Read;
  } else if (request.Method == "POST" && request.Path == "/writes") {
    work->Kind = WorkKind::Write;
  } else {
    conn->respond(jsonResponse(404, R"({"error":"no such path"})"));
    return;
  }
  work->Request = std::move(request);
  ++Counts["received"];
  if (Settings.Drain != "off") {
    ++Counts["received_while_draining"];
    LastWorkAfterDrainMs =
        std::chrono::duration_cast<std::chrono::milliseconds>(Loop.now() -
                                                              DrainStart)
            .count();
  }
  if (!refuse(*work) && !injectEarlyFault(work))
    enqueue(work);
}

bool BackendReplica::refuse(const Work &work) {
  if (Settings.State == "starting") {
    ++Counts["refused_cold"];
    rejectWork(work, 503, "cold");
    return true;
  }
  if (Settings.Drain == "refuse") {
    ++Counts["refused_draining"];
    rejectWork(work, 503, "draining");
    return true;
  }
  const bool isQuery =
      work.Kind == WorkKind::Search || work.Kind == WorkKind::Suggest;
  if (!isQuery)
    return false;
  const ServedSnapshot *served = findSnapshot(work.Snapshot);
  if (served == nullptr) {
    ++Counts["refused_snapshot_gone"];
    rejectWork(work, 410, "snapshot_gone");
    return true;
  }
  if (std::find(served->Shards.begin(), served->Shards.end(), work.Shard) ==
      served->Shards.end()) {
    ++Counts["misrouted"];
    work.Connection->respond(
        jsonResponse(400, R"({"error":"shard is not held here"})"));
    return true;
  }
  return false;
}

bool BackendReplica::injectEarlyFault(const WorkPtr &work) {
  if (drawFault(Settings.Stall, "stall"))
    return true;
  if (drawFault(Settings.Shed, "shed")) {
    ++Counts["shed"];
    rejectWork(*work, 503, "shed");
    return true;
  }
  return false;
}

void BackendReplica::enqueue(const WorkPtr &work) {
  if (InService >= Settings.Slots && Queue.size() >= Settings.QueueLimit) {
    ++Counts["shed"];
    rejectWork(*work, 503, "shed");
    return;
  }
  Queue.push_back(work);
  if (!work->SubRequestId.empty())
    OpenWork[work->SubRequestId] = work;
  startNext();
  recordLoad();
}

void BackendReplica::startNext() {
  while (InService < Settings.Slots && !Queue.empty()) {
    const WorkPtr work = Queue.front();
    Queue.pop_front();
    if (Loop.now() < work->Deadline) {
      start(work);
      continue;
    }
    ++Counts["shed_deadline"];
    OpenWork.erase(work->SubRequestId);
    rejectWork(*work, 503, "shed");
  }
}

void BackendReplica::start(const WorkPtr &work) {
  ++InService;
  ++RunCounts[static_cast<std::size_t>(work->Kind)];
  work->Running = true;
  if (work->Kind == WorkKind::Write)
    Log.Journal.push_back({Id, header(work->Request, "x-idempotency-key"),
                           sha256Hex(work->Request.Body), work->SubRequestId,
                           Loop.wallNow().count()});
  work->Timer =
      Loop.schedule(serviceTime(*work), [this, work] { finish(work); });
  ++StartedCount;
}

void BackendReplica::finish(const WorkPtr &work) {
  --InService;
  OpenWork.erase(work->SubRequestId);
  respond(*work);
  startNext();
  recordLoad();
}

void BackendReplica::handleCancel(const std::string &id,
                                  const RawConnectionPtr &conn) {
  const auto it = OpenWork.find(id);
  if (it == OpenWork.end()) {
    conn->respond(jsonResponse(404, R"({"cancelled":false})"));
    return;
  }
  const WorkPtr work = it->second;
  OpenWork.erase(it);
  if (work->Running) {
    ++Counts["cancelled_running"];
    Loop.cancel(work->Timer);
    --InService;
    work->Connection->respond(jsonResponse(503, R"({"error":"cancelled"})"));
  } else {
    ++Counts["cancelled_queued"];
    std::erase(Queue, work);
    rejectWork(*work, 503, "shed");
  }
  conn->respond(jsonResponse(200, R"({"cancelled":true})"));
  startNext();
  recordLoad();
}

void BackendReplica::rejectWork(const Work &work, int status,
                                const char *reason) {
  HttpResponse response = jsonResponse(status, json{{"error", reason}}.dump());
  response.Headers.add("x-not-run", reason);
  work.Connection->respond(addDrainHeader(std::move(response)));
}

HttpResponse BackendReplica::addDrainHeader(HttpResponse response) const {
  if (Settings.Drain != "off")
    response.Headers.add("x-draining", "1");
  return response;
}

void BackendReplica::respond(const Work &work) {
  if (drawFault(Settings.Reset, "reset")) {
    work.Connection->reset();
    return;
  }
  HttpResponse response;
  if (work.Kind == WorkKind::Write) {
    const json result = {{"key", header(work.Request, "x-idempotency-key")},
                         {"replica", Id},
                         {"body_sha256", sha256Hex(work.Request.Body)}};
    response = jsonResponse(
        200,
        json{{"sub_request_id", work.SubRequestId}, {"result", result}}.dump());
  } else if (work.Kind == WorkKind::Read) {
    response = makeReadResponse(work);
  } else {
    response = makeSearchResponse(work);
  }
  response = addDrainHeader(std::move(response));
  if (drawFault(Settings.Truncate, "truncate"))
    work.Connection->respondTruncated(response, response.Body.size() / 2);
  else
    work.Connection->respond(response);
}

HttpResponse BackendReplica::makeSearchResponse(const Work &work) {
  const ServedSnapshot *served = findSnapshot(work.Snapshot);
  if (served == nullptr)
    return jsonResponse(500, R"({"error":"snapshot was removed"})");
  const ListingIndex index{ServiceName, served->Id, Settings.Listings,
                           served->ShardCount};
  json hits = json::array();
  for (const ListingHit &hit : index.bestHits(
           work.Query, shardListings(*served, work.Shard), work.Limit))
    hits.push_back({{"id", hit.Id},
                    {"score", hit.Score},
                    {"fields",
                     {{"shard", work.Shard},
                      {"snapshot", served->Id},
                      {"title", "Listing " + hit.Id}}}});
  if (!hits.empty() && drawFault(Settings.DuplicateHit, "duplicate_hit"))
    hits.insert(hits.begin(), json(hits.front()));
  json body = {{"sub_request_id", work.SubRequestId},
               {"shard", work.Shard},
               {"snapshot", served->Id},
               {"hits", std::move(hits)}};
  if (drawFault(Settings.WrongSnapshot, "wrong_snapshot"))
    body["snapshot"] = served->Id + 1000;
  if (drawFault(Settings.ForeignId, "foreign_id"))
    body["sub_request_id"] = "foreign-" + work.SubRequestId;
  return jsonResponse(200, body.dump());
}

HttpResponse BackendReplica::makeReadResponse(const Work &work) const {
  const std::string id =
      work.Request.Path.substr(std::string_view("/records/").size());
  const std::uint64_t snapshot = Snapshots.empty() ? 0 : Snapshots.back().Id;
  if (id.starts_with("absent"))
    return jsonResponse(
        404, json{{"sub_request_id", work.SubRequestId}, {"snapshot", snapshot}}
                 .dump());
  const json record = {{"id", id}, {"service", ServiceName}};
  return jsonResponse(200, json{{"sub_request_id", work.SubRequestId},
                                {"snapshot", snapshot},
                                {"record", record}}
                               .dump());
}

state::Duration BackendReplica::serviceTime(const Work &work) {
  const double means[WorkKindCount] = {Settings.SearchMs, Settings.SuggestMs,
                                       Settings.ReadMs, Settings.WriteMs};
  double mean = means[static_cast<std::size_t>(work.Kind)] * Settings.Slowness;
  if (StartedCount < Settings.ColdRequests)
    mean *= Settings.ColdFactor;
  if (mean <= 0)
    return state::Duration(0);
  // The mean of a log-normal distribution is exp(mu + sigma^2 / 2).
  const double mu = std::log(mean) - Settings.Sigma * Settings.Sigma / 2;
  std::lognormal_distribution<double> distribution(mu, Settings.Sigma);
  return fromMs(distribution(Random));
}

bool BackendReplica::drawFault(double probability, const char *fault) {
  if (probability <= 0)
    return false;
  if (std::uniform_real_distribution<double>(0, 1)(Random) >= probability)
    return false;
  ++Faults[fault];
  return true;
}

const ServedSnapshot *BackendReplica::findSnapshot(std::uint64_t id) const {
  const auto it =
      std::find_if(Snapshots.begin(), Snapshots.end(),
                   [id](const ServedSnapshot &s) { return s.Id == id; });
  return it == Snapshots.end() ? nullptr : &*it;
}

const std::vector<std::uint32_t> &
BackendReplica::shardListings(const ServedSnapshot &served,
                              std::uint32_t shard) {
  auto &listings = ListingCache[{served.Id, shard}];
  if (listings.empty())
    listings = ListingIndex{ServiceName, served.Id, Settings.Listings,
                            served.ShardCount}
                   .listingsInShard(shard);
  return listings;
}

BackendReplica::LoadSample BackendReplica::currentLoad() const {
  return {Loop.now(),
          InService,
          Queue.size(),
          Server->openConnections(),
          Settings.Drain == "off" ? Settings.State : "draining",
          Snapshots};
}

BackendReplica::LoadSample BackendReplica::reportedLoad() {
  if (Settings.LoadLagMs <= 0)
    return currentLoad();
  const state::TimePoint seen = Loop.now() - fromMs(Settings.LoadLagMs);
  while (LoadSamples.size() > 1 && LoadSamples[1].At <= seen)
    LoadSamples.pop_front();
  return LoadSamples.empty() ? currentLoad() : LoadSamples.front();
}

void BackendReplica::recordLoad() {
  if (Settings.LoadLagMs <= 0) {
    LoadSamples.clear();
    LoadSamples.push_back(currentLoad());
    return;
  }
  LoadSample sample = currentLoad();
  const bool merge =
      LoadSamples.size() > 1 &&
      sample.At - LoadSamples[LoadSamples.size() - 2].At < LoadSampleGap;
  if (merge)
    LoadSamples.pop_back();
  LoadSamples.push_back(std::move(sample));
  static_cast<void>(reportedLoad());
}

json BackendReplica::stats() const {
  return {{"service", ServiceName},
          {"address", address()},
          {"run",
           {{"search", RunCounts[0]},
            {"suggest", RunCounts[1]},
            {"read", RunCounts[2]},
            {"write", RunCounts[3]}}},
          {"counts", Counts},
          {"faults", Faults},
          {"in_service", InService},
          {"queued", Queue.size()},
          {"last_work_after_drain_ms", LastWorkAfterDrainMs},
          {"connections",
           {{"open", Server->openConnections()},
            {"peak", Server->stats().Peak},
            {"accepted", Server->stats().Accepted},
            {"refused", Server->stats().Refused}}}};
}

} // namespace galenaflow::standin
