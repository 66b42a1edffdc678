#include "standin/platform_process.h"

#include "standin/settings_reader.h"

#include <algorithm>
#include <charconv>

// All versions of all values are kept, so that the service can serve an older
// version again, as a stale replica of the real service would. The VM list is
// the entry "vms", and its version is part of its body.

namespace galenaflow::standin {

using nlohmann::json;
using state::ErrorCode;
using state::makeError;
using transport::HttpRequest;
using transport::HttpResponse;
using transport::jsonResponse;

namespace {

constexpr std::size_t MaxValueBytes = std::size_t{1} << 20;
constexpr std::string_view VmsKey = "vms";

state::Duration fromMs(double ms) {
  return state::Duration(static_cast<std::int64_t>(ms * 1000));
}

double queryNumber(std::string_view path, std::string_view name) {
  const std::size_t query = path.find('?');
  if (query == std::string_view::npos)
    return 0;
  path.remove_prefix(query + 1);
  while (!path.empty()) {
    const std::size_t end = std::min(path.find('&'), path.size());
    const std::string_view item = path.substr(0, end);
    const std::size_t equals = item.find('=');
    if (equals != std::string_view::npos && item.substr(0, equals) == name) {
      double value = 0;
      std::from_chars(item.data() + equals + 1, item.data() + item.size(),
                      value);
      return value;
    }
    path.remove_prefix(std::min(end + 1, path.size()));
  }
  return 0;
}

state::Result<transport::SocketAddress> parseAddress(const json &root,
                                                     const char *name) {
  return transport::parseSocketAddress(root.value(name, "127.0.0.1:0"));
}

} // namespace

PlatformProcess::PlatformProcess(transport::EventLoop &loop)
    : Loop(loop), Service(loop, [this](const HttpRequest &request,
                                       const RawConnectionPtr &conn) {
        handle(request, conn);
      }) {}

state::Result<std::string> PlatformProcess::start(std::string_view config) {
  const json root = json::parse(config.empty() ? "{}" : config, nullptr, false);
  if (!root.is_object())
    return makeError(ErrorCode::InvalidArgument, "malformed configuration");
  const json values = root.value("values", json::object());
  for (const auto &[key, value] : values.items())
    setValue(key, value.is_string() ? value.get<std::string>() : value.dump());
  if (root.contains("vms"))
    setVms(root, 0);

  transport::HttpServerOptions options;
  options.MaxBodyBytes = MaxValueBytes;
  Control = std::make_unique<transport::HttpServer>(
      Loop, options, [this](const HttpRequest &request, const auto &responder) {
        responder->send(control(request));
      });
  const auto listenAddress = parseAddress(root, "listen");
  const auto controlAddress = parseAddress(root, "control");
  if (!listenAddress || !controlAddress)
    return makeError(ErrorCode::InvalidArgument, "malformed address");
  const auto bound = Service.listen(*listenAddress);
  const auto controlBound = Control->listen(*controlAddress);
  if (!bound || !controlBound)
    return makeError(ErrorCode::Unavailable, "cannot listen");
  Address = *bound;
  return json{{"listen", bound->toText()}, {"control", controlBound->toText()}}
      .dump();
}

void PlatformProcess::handle(const HttpRequest &request,
                             const RawConnectionPtr &conn) {
  if (Down == "hang") {
    ++HungRequests;
    return;
  }
  constexpr std::string_view valuesPrefix = "/v1/values/";
  const std::string path = request.Path.substr(0, request.Path.find('?'));
  std::string key;
  if (path == "/v1/vms")
    key = VmsKey;
  else if (path.starts_with(valuesPrefix))
    key = path.substr(valuesPrefix.size());
  if (key.empty() || request.Method != "GET") {
    conn->respond(jsonResponse(404, R"({"error":"no such path"})"));
    return;
  }
  const double after = queryNumber(request.Path, "after");
  read(key, static_cast<std::size_t>(after),
       queryNumber(request.Path, "wait_ms"), conn);
}

void PlatformProcess::read(const std::string &key, std::size_t after,
                           double waitMs, const RawConnectionPtr &conn) {
  if (!countRead()) {
    ++RejectedReads;
    sendDelayed(jsonResponse(429, R"({"error":"too many reads"})"), conn);
    return;
  }
  const auto it = Entries.find(key);
  if (it != Entries.end())
    ++it->second.Reads;
  const bool isNewer =
      it != Entries.end() && it->second.servedVersion() > after;
  if (isNewer)
    sendEntry(key, conn);
  else if (waitMs > 0)
    addWatch(key, after, waitMs, conn);
  else if (it == Entries.end())
    sendDelayed(jsonResponse(404, R"({"error":"no such value"})"), conn);
  else
    sendDelayed({304, {}, {}}, conn);
}

bool PlatformProcess::countRead() {
  const state::TimePoint now = Loop.now();
  while (!RecentReads.empty() &&
         RecentReads.front() <= now - std::chrono::seconds(1))
    RecentReads.pop_front();
  if (ReadLimit > 0 && static_cast<double>(RecentReads.size()) >= ReadLimit)
    return false;
  ++Reads;
  RecentReads.push_back(now);
  PeakReadsPerSecond = std::max(PeakReadsPerSecond, RecentReads.size());
  return true;
}

void PlatformProcess::addWatch(const std::string &key, std::size_t after,
                               double waitMs, const RawConnectionPtr &conn) {
  const auto it = Watches.insert(Watches.end(), {key, after, conn, 0});
  it->Timer = Loop.schedule(fromMs(waitMs), [this, it] {
    const RawConnectionPtr waiting = it->Connection;
    Watches.erase(it);
    if (Down != "hang")
      waiting->respond({304, {}, {}});
  });
}

void PlatformProcess::notifyWatches(const std::string &key) {
  const auto entry = Entries.find(key);
  if (entry == Entries.end() || Down != "off")
    return;
  for (auto it = Watches.begin(); it != Watches.end();) {
    if (it->Key != key || entry->second.servedVersion() <= it->After) {
      ++it;
      continue;
    }
    Loop.cancel(it->Timer);
    sendEntry(key, it->Connection);
    it = Watches.erase(it);
  }
}

void PlatformProcess::sendEntry(const std::string &key,
                                const RawConnectionPtr &conn) {
  const Entry &entry = Entries[key];
  const std::size_t version = entry.servedVersion();
  HttpResponse response = jsonResponse(200, entry.Versions[version - 1]);
  response.Headers.add("x-version", std::to_string(version));
  sendDelayed(std::move(response), conn);
}

void PlatformProcess::sendDelayed(HttpResponse response,
                                  const RawConnectionPtr &conn) {
  if (LatencyMs <= 0) {
    conn->respond(response);
    return;
  }
  Loop.schedule(fromMs(LatencyMs), [response = std::move(response), conn] {
    conn->respond(response);
  });
}

std::size_t PlatformProcess::setValue(const std::string &key,
                                      std::string value) {
  Entry &entry = Entries[key];
  if (Stale && entry.Pinned == 0 && !entry.Versions.empty())
    entry.Pinned = entry.Versions.size();
  entry.Versions.push_back(std::move(value));
  const std::size_t version = entry.Versions.size();
  notifyWatches(key);
  return version;
}

bool PlatformProcess::setVms(const json &document, double lagMs) {
  const auto it = document.find("vms");
  if (it == document.end() || !it->is_array())
    return false;
  auto publish = [this, vms = *it] {
    const std::string key(VmsKey);
    const std::size_t version = Entries[key].Versions.size() + 1;
    setValue(key, json{{"version", version}, {"vms", vms}}.dump());
  };
  if (lagMs <= 0)
    publish();
  else
    Loop.schedule(fromMs(lagMs), std::move(publish));
  return true;
}

HttpResponse PlatformProcess::control(const HttpRequest &request) {
  constexpr std::string_view valuesPrefix = "/control/values/";
  if (request.Path == "/control/stats")
    return jsonResponse(200, stats());
  if (request.Method != "POST")
    return jsonResponse(404, R"({"error":"no such path"})");
  if (request.Path.starts_with(valuesPrefix)) {
    const std::size_t version =
        setValue(request.Path.substr(valuesPrefix.size()), request.Body);
    return jsonResponse(200, json{{"version", version}}.dump());
  }
  const json body = json::parse(request.Body, nullptr, false);
  if (request.Path == "/control/vms")
    return body.is_object() && setVms(body, VmLagMs)
               ? jsonResponse(200, "{}")
               : jsonResponse(400, R"({"error":"expected an array vms"})");
  if (request.Path != "/control/mode")
    return jsonResponse(404, R"({"error":"no such path"})");
  const std::string fault = applyMode(body);
  return fault.empty() ? jsonResponse(200, "{}")
                       : jsonResponse(400, json{{"error", fault}}.dump());
}

std::string PlatformProcess::applyMode(const json &changes) {
  if (!changes.is_object())
    return "expected an object";
  SettingsReader in{changes, {}, 0};
  const bool wasStale = Stale;
  in.read("down", Down);
  in.read("stale", Stale);
  in.read("vm_lag_ms", VmLagMs);
  in.read("latency_ms", LatencyMs);
  in.read("read_limit", ReadLimit);
  const json *pins = in.find("pin");
  if (!in.Fault.empty())
    return in.Fault;
  if (in.Used != changes.size())
    return "unknown knob";
  if (pins != nullptr)
    for (const auto &[key, version] : pins->items())
      if (Entries.contains(key))
        Entries[key].Pinned =
            std::min(version.get<std::size_t>(), Entries[key].Versions.size());
  updatePins(wasStale);
  updateListener();
  for (const auto &[key, entry] : Entries)
    notifyWatches(key);
  return {};
}

void PlatformProcess::updatePins(bool wasStale) {
  if (Stale == wasStale)
    return;
  for (auto &[key, entry] : Entries)
    entry.Pinned = Stale ? entry.Versions.size() : 0;
}

void PlatformProcess::updateListener() {
  if (Down == "refuse" && Service.isListening())
    Service.shutDown();
  else if (Down != "refuse" && !Service.isListening())
    static_cast<void>(Service.listen(Address));
}

std::string PlatformProcess::stats() const {
  json keys = json::object();
  for (const auto &[key, entry] : Entries)
    keys[key] = {{"reads", entry.Reads},
                 {"version", entry.Versions.size()},
                 {"served_version", entry.servedVersion()}};
  const auto cut = Loop.now() - std::chrono::seconds(1);
  const auto recent = std::count_if(RecentReads.begin(), RecentReads.end(),
                                    [cut](auto at) { return at > cut; });
  return json{{"keys", std::move(keys)},
              {"reads", Reads},
              {"reads_last_second", recent},
              {"peak_reads_per_second", PeakReadsPerSecond},
              {"rejected", RejectedReads},
              {"hung", HungRequests},
              {"watches", Watches.size()},
              {"connections",
               {{"open", Service.openConnections()},
                {"accepted", Service.stats().Accepted}}}}
      .dump();
}

} // namespace galenaflow::standin
