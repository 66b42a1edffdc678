#include "forwarding/directory_task.h"

#include "state/log.h"

#include <algorithm>

// DirectoryReader decides when to read, ReplicaDirectory which removals take
// effect. This task passes results between them, the source and the listener.

namespace galenaflow::forwarding {

using coordination::DirectoryRead;

namespace {

/// Interval of the check for records whose grace period has ended.
constexpr state::Duration ExpiryInterval = std::chrono::milliseconds(250);

/// Findings of one version of the routes that are written to the log.
constexpr std::size_t MaxLoggedFindings = 10;

void logFindings(const state::RouteTable &table) {
  const auto &all = table.findings().items();
  if (all.empty())
    return;
  state::Findings first;
  for (std::size_t i = 0; i != std::min(all.size(), MaxLoggedFindings); ++i)
    first.add(all[i].Place, all[i].Message);
  state::log::warning("routes_findings", {{"version", table.version()},
                                          {"count", all.size()},
                                          {"findings", first.toText()}});
}

} // namespace

DirectoryTask::DirectoryTask(transport::EventLoop &loop,
                             DirectorySource &source,
                             coordination::DirectoryReaderOptions options,
                             std::mt19937_64 random, DirectoryListener listener,
                             state::MetricRegistry &metrics)
    : Loop(loop), Source(source), Reader(options, random, loop.now()),
      Listener(std::move(listener)),
      Reads(metrics.counter("galenaflow_directory_reads_total",
                            "Reads of the operator's directory")),
      Failures(metrics.counter("galenaflow_directory_failures_total",
                               "Reads without a usable answer")),
      Version(metrics.gauge("galenaflow_route_version",
                            "Version of the routes in force")),
      Known(metrics.gauge("galenaflow_route_version_known",
                          "Newest version of the routes that this daemon or "
                          "one that it exchanges messages with has")),
      Findings(metrics.gauge("galenaflow_route_findings",
                             "Parts of the routes in force that cannot be read "
                             "and were replaced or left out")),
      Unreadable(metrics.gauge("galenaflow_route_unreadable",
                               "1 while routes are published that cannot be "
                               "read")) {}

DirectoryTask::~DirectoryTask() { Loop.cancel(Timer); }

void DirectoryTask::start() { tick(); }

void DirectoryTask::requestRead() {
  Reader.requestRead(Loop.now());
  tick();
}

void DirectoryTask::tick() {
  const state::TimePoint now = Loop.now();
  if (Directory.expire(now)) {
    Listener.Replicas(Directory.records());
    reportView();
  }
  logPendingRoutes();
  if (const auto read = Reader.poll(now)) {
    Reads.add();
    const auto callback = [this, what = *read](const DirectoryResult &result) {
      onRead(what, result);
    };
    if (*read == DirectoryRead::Full)
      Source.readAll(callback);
    else
      Source.readChanges(Reader.position(), callback);
  }
  if (Reader.pollRoutes(now)) {
    Reads.add();
    Source.readRoutes(
        [this](const DirectoryResult &result) { onRoutesRead(result); });
  }
  // An open read calls tick() again when it ends.
  const state::Duration wait =
      Reader.isReading()
          ? ExpiryInterval
          : std::clamp(Reader.nextAt() - Loop.now(),
                       state::Duration(std::chrono::milliseconds(1)),
                       ExpiryInterval);
  Loop.cancel(Timer);
  Timer = Loop.schedule(wait, [this] { tick(); });
}

void DirectoryTask::onReadFailed(const DirectoryFault &fault) {
  Failures.add();
  if (fault.Kind == DirectoryFaultKind::HistoryLost) {
    state::log::warning(
        "directory_history_lost",
        {{"revision", Reader.position().Revision}, {"reason", fault.Reason}});
    Reader.onHistoryLost(Loop.now());
  } else {
    if (!LastReadFailed || LastFault != fault.Reason)
      state::log::warning("directory_lost",
                          {{"revision", Reader.position().Revision},
                           {"age_ms", age().count() / 1000},
                           {"reason", fault.Reason}});
    LastReadFailed = true;
    LastFault = fault.Reason;
    Reader.onFailure(Loop.now());
  }
  tick();
}

void DirectoryTask::onRead(DirectoryRead read, const DirectoryResult &result) {
  if (!result) {
    onReadFailed(result.error());
    return;
  }
  const state::TimePoint readAt = Loop.now() - result->Age;
  const bool afterOutage =
      read == DirectoryRead::Full
          ? Reader.onFullRead(
                result->Position.value_or(state::DirectoryPosition()), readAt,
                Loop.now())
          : Reader.onChanges(result->Position, readAt, Loop.now());
  if (result->IsLongPoll || result->IsLate)
    Reader.requestRead(Loop.now());
  apply(*result, afterOutage);
}

// A failed one is repeated later. It does not show that the source is
// unavailable, since the other reads go on.
void DirectoryTask::onRoutesRead(const DirectoryResult &result) {
  Reader.onRoutesReadEnd();
  if (!result) {
    Failures.add();
    return;
  }
  recordPublished(*result);
  if (!result->Table)
    return;
  applyRoutes(result->Table, result->Document, result->Age);
  reportView();
}

void DirectoryTask::recordPublished(const DirectoryContent &content) {
  if (!content.Published)
    return;
  const std::string &fault = content.Published->Fault;
  Reader.onPublishedRoutes(content.Published->Position, fault.empty(),
                           Loop.now());
  const bool isUnreadable = Reader.areRoutesUnreadable();
  Unreadable.set(isUnreadable ? 1 : 0);
  if (!isUnreadable)
    RoutesFault.clear();
  else if (!fault.empty() && std::exchange(RoutesFault, fault) != fault)
    warnPending("published, but cannot be read: " + fault);
}

void DirectoryTask::apply(const DirectoryContent &content, bool afterOutage) {
  if (LastReadFailed)
    state::log::info("directory_regained",
                     {{"revision", Reader.position().Revision},
                      {"after_outage", afterOutage}});
  LastReadFailed = false;
  const state::TimePoint now = Loop.now();
  applyEvacuations(content);
  bool changed = false;
  if (content.IsFull) {
    std::vector<state::ReplicaRecord> records;
    for (const state::DirectoryChange &change : content.Changes)
      if (!change.Removed)
        records.push_back(change.Record);
    changed = Directory.replaceAll(records, afterOutage, now);
  } else {
    changed = Directory.apply(content.Changes, afterOutage, now);
  }
  recordPublished(content);
  if (content.Table)
    applyRoutes(content.Table, content.Document, content.Age);
  if (changed)
    Listener.Replicas(Directory.records());
  reportView();
  tick();
}

// What an item that was set and removed in one batch leaves is compared, so
// that it changes nothing.
void DirectoryTask::applyEvacuations(const DirectoryContent &content) {
  state::EvacuatedDataCentres next;
  if (!content.IsFull)
    next = Evacuations;
  bool isIgnored = false;
  for (const state::EvacuationChange &change : content.Evacuations) {
    if (!change.IsEvacuated)
      next.erase(change.DataCentre);
    else if (next.size() < state::MaxEvacuatedDataCentres)
      next.insert(change.DataCentre);
    else
      isIgnored = isIgnored || !next.contains(change.DataCentre);
  }
  if (content.IsFull || isIgnored) {
    if (isIgnored && !AreEvacuationsIgnored)
      state::log::warning("evacuations_ignored",
                          {{"limit", state::MaxEvacuatedDataCentres}});
    AreEvacuationsIgnored = isIgnored;
  }
  AreEvacuationsRead = AreEvacuationsRead || content.IsFull;
  if (next == Evacuations)
    return;
  Evacuations = std::move(next);
  if (Listener.Evacuations)
    Listener.Evacuations(Evacuations);
}

void DirectoryTask::reportView() const {
  Listener.Read({Table, Document, &Directory, Reader.position(),
                 Reader.age(Loop.now()),
                 AreEvacuationsRead ? &Evacuations : nullptr});
}

void DirectoryTask::adoptRoutes(const state::RouteTablePtr &table,
                                std::string document) {
  applyRoutes(table, std::move(document), age());
  reportView();
}

void DirectoryTask::recordKnownVersion(std::uint64_t version) {
  if (version <= KnownVersion)
    return;
  KnownVersion = version;
  KnownAt = Loop.now();
  Known.set(static_cast<double>(version));
}

void DirectoryTask::logPendingRoutes() {
  if (KnownVersion <= std::max(version(), LoggedVersion) ||
      Loop.now() - KnownAt < PendingRoutesDelay)
    return;
  LoggedVersion = KnownVersion;
  if (!RoutesFault.empty())
    warnPending("published, but cannot be read: " + RoutesFault);
  else
    warnPending(LastReadFailed ? LastFault : "not in what was read");
}

void DirectoryTask::warnPending(const std::string &reason) const {
  state::log::warning("routes_pending", {{"version", version()},
                                         {"known", KnownVersion},
                                         {"age_ms", age().count() / 1000},
                                         {"reason", reason}});
}

void DirectoryTask::applyRoutes(const state::RouteTablePtr &table,
                                std::string document, state::Duration age) {
  if (Table && table->version() <= Table->version())
    return;
  state::log::info("routes_in_force", {{"version", table->version()},
                                       {"previous", version()},
                                       {"routes", table->routes().size()},
                                       {"age_ms", age.count() / 1000}});
  Table = table;
  Document = std::move(document);
  Version.set(static_cast<double>(table->version()));
  Findings.set(static_cast<double>(table->findings().items().size()));
  logFindings(*table);
  recordKnownVersion(table->version());
  Listener.Routes(Table);
}

} // namespace galenaflow::forwarding
