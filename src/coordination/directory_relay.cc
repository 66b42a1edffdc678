#include "coordination/directory_relay.h"

#include "state/hash.h"

#include <algorithm>
#include <tuple>

// A log position is valid only in the log that issued it, so a daemon that
// changes its relay, or whose relay has restarted, gets the whole view once.
// The view changes far less often than the source, where every replica writes
// its heartbeat, so most replies contain no changes.

namespace galenaflow::coordination {

namespace {

/// Keeps the daemons with the most CPU, each once: a daemon that has just
/// changed its relay is still reported by the old one as well. Daemons with
/// equal CPU are ordered by a hash of their addresses: addresses in a data
/// centre share a prefix, so in plain order the first ones would all be in one
/// data centre.
void keepStrongest(std::vector<state::DaemonCapacity> &daemons) {
  const auto isStronger = [](const auto &a, const auto &b) {
    const auto hashA = state::hash64(a.Address);
    const auto hashB = state::hash64(b.Address);
    return std::tie(b.Millicores, hashA, a.Address) <
           std::tie(a.Millicores, hashB, b.Address);
  };
  std::sort(daemons.begin(), daemons.end(), isStronger);
  const auto last = std::unique(
      daemons.begin(), daemons.end(),
      [](const auto &a, const auto &b) { return a.Address == b.Address; });
  daemons.erase(last, daemons.end());
  if (daemons.size() > FleetAggregator::MaxStrongest)
    daemons.resize(FleetAggregator::MaxStrongest);
}

} // namespace

void DirectoryLog::update(
    const std::map<std::string, state::ReplicaRecord, std::less<>> &records) {
  const auto add = [this](state::DirectoryChange change) {
    Entries.push_back(std::move(change));
    ++Last;
    if (Entries.size() > MaxEntries)
      Entries.pop_front();
  };
  for (const auto &[id, record] : records) {
    const auto it = View.find(id);
    if (it == View.end() || !it->second.isEquivalentTo(record))
      add({id, false, record});
  }
  for (const auto &[id, record] : View)
    if (!records.contains(id))
      add({id, true, {}});
  View = records;
}

void DirectoryLog::setRoutes(std::uint64_t version, std::string document) {
  RouteVersion = version;
  Routes = std::move(document);
}

protocol::DirectoryReply
DirectoryLog::makeReply(const protocol::DirectoryRequest &request,
                        TimePoint now) const {
  protocol::DirectoryReply reply;
  reply.Sequence = request.Sequence;
  reply.Log = Id;
  reply.Index = Last;
  reply.Evacuations = Evacuations;
  if (RouteVersion > request.RouteVersion)
    reply.Routes = Routes;
  const bool isKnown = request.Log == Id && request.Index <= Last &&
                       Last - request.Index <= Entries.size();
  if (isKnown) {
    const auto missing = static_cast<std::ptrdiff_t>(Last - request.Index);
    reply.Changes.assign(Entries.end() - missing, Entries.end());
  } else {
    reply.IsFull = true;
    for (const auto &[id, record] : View)
      reply.Changes.push_back({id, false, record});
  }
  // The records can be much older than the reply.
  for (state::DirectoryChange &change : reply.Changes)
    if (change.Record.ColdUntil != TimePoint::min())
      change.Record.ColdRemaining =
          std::max(Duration(0), change.Record.ColdUntil - now);
  return reply;
}

void RelaySelector::setRelays(std::vector<std::string> addresses) {
  std::sort(addresses.begin(), addresses.end());
  addresses.erase(std::unique(addresses.begin(), addresses.end()),
                  addresses.end());
  const auto self = std::find(addresses.begin(), addresses.end(), Self);
  if (self != addresses.end()) {
    addresses.erase(self, addresses.end());
  } else {
    sortByHash(addresses);
  }
  Preferred = std::move(addresses);
}

void RelaySelector::sortByHash(std::vector<std::string> &addresses) const {
  std::sort(addresses.begin(), addresses.end(),
            [this](const std::string &a, const std::string &b) {
              return state::hash64(a + Self) < state::hash64(b + Self);
            });
}

bool RelaySelector::isCoolingDown(const std::string &address,
                                  TimePoint now) const {
  const auto it = CooldownUntil.find(address);
  return it != CooldownUntil.end() && it->second > now;
}

// After a start, a link can take seconds to come up, because the first packet
// to a machine that is still down is retransmitted only after a second. A relay
// with a link is therefore preferred meanwhile.
std::optional<std::string>
RelaySelector::choose(const std::function<bool(const std::string &)> &isLinked,
                      TimePoint now) const {
  std::optional<std::string> best;
  for (const std::string &address : Preferred) {
    if (isCoolingDown(address, now))
      continue;
    if (isLinked(address))
      return address;
    if (!best)
      best = address;
  }
  return best;
}

std::optional<std::string>
RelaySelector::chooseFallback(std::vector<std::string> linked,
                              TimePoint now) const {
  sortByHash(linked);
  const auto it = std::find_if(
      linked.begin(), linked.end(), [this, now](const std::string &address) {
        return !address.empty() && !isCoolingDown(address, now);
      });
  return it == linked.end() ? std::nullopt : std::optional(*it);
}

void RelaySelector::onFailure(const std::string &address, TimePoint now) {
  CooldownUntil[address] = now + Options.FailureCooldown;
}

void FleetAggregator::onReport(const std::string &id,
                               protocol::FleetReport report, TimePoint now) {
  Reports[id] = {std::move(report), now};
}

void FleetAggregator::expireReports(TimePoint now) {
  std::erase_if(Reports, [now](const auto &entry) {
    return entry.second.ReceivedAt + ReportTtl < now;
  });
}

state::DistinctCount FleetAggregator::mergeDaemons(TimePoint now) {
  expireReports(now);
  state::DistinctCount self;
  self.add(Self.Address);
  std::vector<std::uint32_t> values(self.values().begin(), self.values().end());
  for (const auto &[id, entry] : Reports) {
    const auto reported = entry.Report.Daemons.values();
    values.insert(values.end(), reported.begin(), reported.end());
  }
  auto all = state::DistinctCount::fromValues(std::move(values));
  CachedCount = all.count();
  CachedAt = now;
  return all;
}

std::uint32_t FleetAggregator::daemonCount(TimePoint now) {
  if (CachedAt + CountCacheTtl <= now)
    mergeDaemons(now);
  return CachedCount;
}

protocol::FleetReport FleetAggregator::subtreeReport(TimePoint now) {
  protocol::FleetReport total{mergeDaemons(now), Self.Millicores, {}};
  if (Self.Millicores != 0 && !Self.Address.empty())
    total.Strongest.push_back(Self);
  for (const auto &[id, entry] : Reports) {
    const protocol::FleetReport &report = entry.Report;
    if (report.WeakestMillicores != 0)
      total.WeakestMillicores =
          total.WeakestMillicores == 0
              ? report.WeakestMillicores
              : std::min(total.WeakestMillicores, report.WeakestMillicores);
    total.Strongest.insert(total.Strongest.end(), report.Strongest.begin(),
                           report.Strongest.end());
  }
  keepStrongest(total.Strongest);
  return total;
}

void ExecutorCache::update(const std::vector<state::DaemonCapacity> &executors,
                           TimePoint now) {
  for (const state::DaemonCapacity &it : executors)
    ByAddress[it.Address] = {it, now};
  std::erase_if(ByAddress, [now](const auto &it) {
    return it.second.ReportedAt + EntryTtl < now;
  });
}

std::vector<state::DaemonCapacity> ExecutorCache::current(TimePoint now) const {
  std::vector<state::DaemonCapacity> executors;
  for (const auto &[address, entry] : ByAddress)
    if (entry.ReportedAt + EntryTtl >= now)
      executors.push_back(entry.Daemon);
  keepStrongest(executors);
  std::sort(executors.begin(), executors.end(),
            [](const auto &a, const auto &b) { return a.Address < b.Address; });
  return executors;
}

} // namespace galenaflow::coordination
