#include "forwarding/directory_task.h"

#include "state/log.h"

#include <algorithm>

// The reader decides when to read and the directory what to believe; this task
// only carries messages between them and the source.

namespace galenaflow::forwarding {

using coordination::DirectoryRead;

namespace {

/// Interval at which grace times of lapsed records are looked at.
constexpr state::Duration ExpiryPeriod = std::chrono::milliseconds(250);

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
                            "Version of the routes in force")) {}

DirectoryTask::~DirectoryTask() { Loop.cancel(Timer); }

void DirectoryTask::start() { tick(); }

void DirectoryTask::tick() {
  const state::TimePoint now = Loop.now();
  if (Directory.expire(now))
    Listener.Replicas(Directory.records());
  if (const auto read = Reader.poll(now)) {
    Reads.add();
    if (*read == DirectoryRead::All)
      Source.readAll([this](const DirectoryResult &r) { onAll(r); });
    else
      Source.readChanges(Reader.revision(),
                         [this](const DirectoryResult &r) { onChanges(r); });
  }
  const state::Duration wait = std::clamp(Reader.nextAt() - Loop.now(),
                                          state::Duration(1000), ExpiryPeriod);
  Loop.cancel(Timer);
  Timer = Loop.schedule(wait, [this] { tick(); });
}

void DirectoryTask::onFault(DirectoryFault fault) {
  Failures.add();
  if (fault == DirectoryFault::HistoryLost) {
    state::log::warning("directory_history_lost",
                        {{"revision", Reader.revision()}});
    Reader.onHistoryLost(Loop.now());
  } else {
    if (!LastReadFailed)
      state::log::warning("directory_lost", {{"revision", Reader.revision()},
                                             {"age_ms", age().count() / 1000}});
    LastReadFailed = true;
    Reader.onFailure(Loop.now());
  }
  tick();
}

void DirectoryTask::onAll(const DirectoryResult &result) {
  if (!result) {
    onFault(result.error());
    return;
  }
  const bool afterOutage =
      Reader.onAll(result->Revision.value_or(0), Loop.now());
  take(*result, true, afterOutage);
}

void DirectoryTask::onChanges(const DirectoryResult &result) {
  if (!result) {
    onFault(result.error());
    return;
  }
  const bool afterOutage = Reader.onChanges(result->Revision, Loop.now());
  take(*result, false, afterOutage);
}

void DirectoryTask::take(const DirectoryContent &content, bool isFull,
                         bool afterOutage) {
  if (LastReadFailed)
    state::log::info("directory_regained", {{"revision", Reader.revision()},
                                            {"after_outage", afterOutage}});
  LastReadFailed = false;
  const state::TimePoint now = Loop.now();
  bool changed = false;
  if (isFull) {
    std::vector<state::ReplicaRecord> records;
    for (const state::DirectoryChange &change : content.Changes)
      if (!change.Removed)
        records.push_back(change.Record);
    changed = Directory.replaceAll(records, afterOutage, now);
  } else {
    changed = Directory.apply(content.Changes, afterOutage, now);
  }
  if (content.Table)
    takeTable(content.Table);
  if (changed)
    Listener.Replicas(Directory.records());
  tick();
}

void DirectoryTask::takeTable(const state::RouteTablePtr &table) {
  if (Table && table->version() <= Table->version())
    return;
  state::log::info("routes_in_force",
                   {{"version", table->version()},
                    {"previous", Table ? Table->version() : 0},
                    {"routes", table->routes().size()}});
  Table = table;
  Version.set(static_cast<double>(table->version()));
  Listener.Routes(Table);
}

} // namespace galenaflow::forwarding
