#include "coordination/share_ledger.h"

#include "coordination/rendezvous.h"

#include <algorithm>

// Shares. A list of N daemons divides a limit into N shares that add up to it:
// floor(limit / N) for each daemon, and one more unit for the first (limit mod
// N) daemons in rendezvous order. Daemons receive new lists at different times.
// Therefore, each daemon keeps a window of the lists that may still be in use,
// and uses the smallest of its shares under them. The oldest list of the window
// is the base. A list becomes the base when every daemon on it has reported
// that it respects the list, that is, that its loans and its units in use fit
// into its share under the list, and when every VM that was removed earlier has
// passed the removal grace period.
//
// Consider the highest base of any running daemon. All daemons on that list
// have it in their windows, because they have reported it and their own bases
// are not higher. So together they use at most the shares of that one list. A
// new daemon has no base and therefore no share.
//
// The proof needs two assumptions. First, an instance that was removed from the
// list does not return to it, and stops within the removal grace period.
// Second, during any such period at least one daemon remains on the list, so
// that the removed instances stay known.
//
// Loans. A lender does not use a lent amount until its record of the lease
// ends. The borrower counts the lease from the time when it sent the request,
// which is before the lender granted it, so the borrower stops first even if
// the grant was delayed. A renewal does not end earlier grants: until the
// borrower promises in a later request to keep less, the lender reserves the
// largest of them.

namespace galenaflow::coordination {

using protocol::ShareExchange;
using protocol::ShareGrant;
using protocol::ShareRequest;

namespace {

/// Most requests without a grant that are kept for one lender.
constexpr std::size_t MaxSentRequests = 32;

bool contains(const std::vector<MemberId> &members, const MemberId &id) {
  return std::ranges::binary_search(members, id);
}

/// The floor of a * part / whole, with the precision of long double.
std::uint64_t scaleDown(std::uint64_t a, std::uint64_t part,
                        std::uint64_t whole) {
  const auto fraction =
      static_cast<long double>(part) / static_cast<long double>(whole);
  const auto result =
      static_cast<std::uint64_t>(static_cast<long double>(a) * fraction);
  return std::min(result, a);
}

std::uint64_t subtractOrZero(std::uint64_t a, std::uint64_t b) {
  return a > b ? a - b : 0;
}

} // namespace

ShareLedger::ShareLedger(ShareLedgerOptions options, MemberId self,
                         TimePoint now)
    : Options(options), Self(std::move(self)), StartedAt(now), NextReports(now),
      NextRequests(now),
      // Above the numbers of an earlier process with the same identity, which a
      // lender may still have in its records.
      LastSequence(static_cast<std::uint64_t>(now.time_since_epoch().count())) {
}

const ShareLedger::Resource *ShareLedger::find(std::string_view name) const {
  const auto it = Resources.find(name);
  return it == Resources.end() ? nullptr : &it->second;
}

void ShareLedger::applyList(std::uint64_t version,
                            std::span<const MemberId> members, TimePoint now) {
  if (!Window.empty() && version <= Window.rbegin()->first)
    return;
  // When the window is full, the list is applied the next time it is passed.
  // Until then this daemon acts like one that has not received it, which is
  // safe.
  if (Window.size() == protocol::MaxListVersions)
    return;
  VmList list{{members.begin(), members.end()}};
  std::ranges::sort(list.Members);
  for (const auto &[older, known] : Window)
    for (const MemberId &id : known.Members)
      if (!contains(list.Members, id))
        Departed.try_emplace(id, now);
  for (const MemberId &id : list.Members)
    if (id != Self)
      Peers.try_emplace(id);
  Window.emplace(version, std::move(list));
  updateEntitlements();
}

void ShareLedger::setLimits(std::span<const ShareResource> resources) {
  std::map<std::string, Resource, std::less<>> kept;
  for (const ShareResource &spec : resources) {
    const auto it = Resources.find(spec.Name);
    Resource resource;
    if (it != Resources.end())
      resource = std::move(it->second);
    resource.Spec = spec;
    kept.emplace(spec.Name, std::move(resource));
  }
  Resources = std::move(kept);
  NamesById.clear();
  for (const auto &[name, resource] : Resources) {
    if (!resource.Spec.IsLendable)
      continue;
    const auto [it, isNew] =
        NamesById.emplace(protocol::shareResourceId(name), name);
    // Names with the same id cannot be distinguished on the wire.
    if (!isNew)
      it->second.clear();
  }
  updateEntitlements();
}

void ShareLedger::setDemand(std::string_view resource, std::uint64_t units) {
  const auto it = Resources.find(resource);
  if (it != Resources.end())
    it->second.Demand = units;
}

std::uint64_t ShareLedger::shareOf(const ShareResource &spec,
                                   const VmList &list) const {
  if (!contains(list.Members, Self))
    return 0;
  const std::uint64_t n = list.Members.size();
  const bool hasExtra =
      spec.Limit % n != 0 &&
      rendezvousRank(spec.Name, Self, list.Members) < spec.Limit % n;
  return spec.Limit / n + (hasExtra ? 1 : 0);
}

void ShareLedger::updateEntitlements() {
  for (auto &[name, resource] : Resources) {
    resource.Entitlement = HasBase ? resource.Spec.Limit : 0;
    for (const auto &[version, list] : Window)
      resource.Entitlement =
          std::min(resource.Entitlement, shareOf(resource.Spec, list));
  }
}

bool ShareLedger::respects(const VmList &list, TimePoint now) const {
  return std::ranges::all_of(Resources, [&](const auto &entry) {
    const Resource &it = entry.second;
    return lentBy(it, now) + it.Held <= shareOf(it.Spec, list);
  });
}

bool ShareLedger::hasPassedRemovalGrace(const MemberId &id,
                                        TimePoint now) const {
  const auto it = Departed.find(id);
  return it != Departed.end() && now - it->second > Options.RemovalGrace;
}

bool ShareLedger::hasPendingRemoval(const VmList &list, TimePoint now) const {
  return std::ranges::any_of(Departed, [&](const auto &entry) {
    return now - entry.second <= Options.RemovalGrace &&
           !contains(list.Members, entry.first);
  });
}

bool ShareLedger::canBecomeBase(std::uint64_t version, const VmList &list,
                                TimePoint now) const {
  if (!list.IsRespected || hasPendingRemoval(list, now))
    return false;
  return std::ranges::all_of(list.Members, [&](const MemberId &id) {
    if (id == Self || hasPassedRemovalGrace(id, now))
      return true;
    const auto it = Peers.find(id);
    if (it == Peers.end() || !it->second.Reported.contains(version))
      return false;
    // A restarted process may have an older list than one that it reported
    // before the restart.
    return HasBase || it->second.NewestList <= version;
  });
}

void ShareLedger::advanceBase(TimePoint now) {
  for (auto &[version, list] : Window)
    list.IsRespected = list.IsRespected || respects(list, now);
  // An earlier process with the same identity may have lent units, whose leases
  // must end first.
  if (now - StartedAt <= Options.LeaseTime + Options.LenderMargin)
    return;
  for (auto it = Window.rbegin(); it != Window.rend(); ++it) {
    const std::uint64_t version = it->first;
    if (HasBase && version == Window.begin()->first)
      return;
    if (!canBecomeBase(version, it->second, now))
      continue;
    Window.erase(Window.begin(), Window.find(version));
    HasBase = true;
    updateEntitlements();
    for (auto &[id, peer] : Peers)
      std::erase_if(peer.Reported,
                    [&](std::uint64_t other) { return other < version; });
    expireDeparted(now);
    return;
  }
}

void ShareLedger::expireDeparted(TimePoint now) {
  const auto isInWindow = [&](const MemberId &id) {
    return std::ranges::any_of(Window, [&](const auto &entry) {
      return contains(entry.second.Members, id);
    });
  };
  std::erase_if(Departed, [&](const auto &entry) {
    return hasPassedRemovalGrace(entry.first, now) && !isInWindow(entry.first);
  });
  std::erase_if(Peers,
                [&](const auto &entry) { return !isInWindow(entry.first); });
}

std::uint64_t ShareLedger::outstanding(const Loan &loan, TimePoint now) {
  std::uint64_t result = 0;
  for (const Grant &grant : loan.Grants)
    if (now < grant.EndsAt)
      result = std::max(result, grant.Amount);
  return result;
}

std::uint64_t ShareLedger::lentBy(const Resource &resource, TimePoint now) {
  std::uint64_t sum = 0;
  for (const auto &[id, loan] : resource.Loans)
    sum += outstanding(loan, now);
  return sum;
}

std::uint64_t ShareLedger::ownAvailable(const Resource &resource,
                                        TimePoint now) {
  return subtractOrZero(resource.Entitlement, lentBy(resource, now));
}

std::uint64_t ShareLedger::borrowed(const Resource &resource, TimePoint now) {
  std::uint64_t sum = 0;
  for (const auto &[id, lease] : resource.Leases)
    sum += now < lease.EndsAt ? lease.Amount : 0;
  return sum;
}

std::uint64_t ShareLedger::allowance(std::string_view resource,
                                     TimePoint now) const {
  const Resource *it = find(resource);
  return it ? ownAvailable(*it, now) + borrowed(*it, now) : 0;
}

std::uint64_t ShareLedger::entitlement(std::string_view resource) const {
  const Resource *it = find(resource);
  return it ? it->Entitlement : 0;
}

std::uint64_t ShareLedger::lent(std::string_view resource,
                                TimePoint now) const {
  const Resource *it = find(resource);
  return it ? lentBy(*it, now) : 0;
}

std::uint64_t ShareLedger::excess(std::string_view resource,
                                  TimePoint now) const {
  const Resource *it = find(resource);
  return it ? subtractOrZero(it->Held, ownAvailable(*it, now)) : 0;
}

std::optional<ShareHold> ShareLedger::acquire(std::string_view resource,
                                              std::uint64_t units,
                                              TimePoint until, TimePoint now) {
  const auto found = Resources.find(resource);
  if (found == Resources.end())
    return std::nullopt;
  Resource &it = found->second;
  if (it.Held + units <= ownAvailable(it, now)) {
    it.Held += units;
    return ShareHold{it.Spec.Name, {}, units, 0};
  }
  for (auto &[id, lease] : it.Leases) {
    if (now >= lease.EndsAt || until >= lease.EndsAt ||
        lease.Held + units > lease.Amount)
      continue;
    lease.Held += units;
    return ShareHold{it.Spec.Name, id, units, lease.Epoch};
  }
  return std::nullopt;
}

void ShareLedger::release(const ShareHold &hold) {
  const auto found = Resources.find(hold.Resource);
  if (found == Resources.end())
    return;
  Resource &it = found->second;
  if (hold.Lender == MemberId{}) {
    it.Held = subtractOrZero(it.Held, hold.Units);
    return;
  }
  const auto lease = it.Leases.find(hold.Lender);
  // The units of an ended lease were already released when it ended.
  if (lease != it.Leases.end() && lease->second.Epoch == hold.LeaseEpoch)
    lease->second.Held = subtractOrZero(lease->second.Held, hold.Units);
}

std::uint64_t ShareLedger::grantFor(Resource &resource, Loan &loan,
                                    TimePoint now) const {
  const std::uint64_t own = std::max(resource.Demand, resource.Held);
  const std::uint64_t lendable = subtractOrZero(resource.Entitlement, own);
  std::uint64_t others = 0;
  std::uint64_t wanted = 0;
  for (const auto &[id, it] : resource.Loans) {
    if (&it != &loan)
      others += outstanding(it, now);
    // Renewals repeat a request within this time, so an older one no longer
    // counts.
    if (now - it.RequestedAt <= Options.LeaseTime - Options.RenewAhead)
      wanted += it.Wanted;
  }
  // If borrowers together request more than is lendable, each gets a
  // proportional part.
  const std::uint64_t fair = wanted > lendable
                                 ? scaleDown(lendable, loan.Wanted, wanted)
                                 : loan.Wanted;
  // A small reduction is not worth the messages that it needs.
  const std::uint64_t granted = outstanding(loan, now);
  const std::uint64_t kept =
      granted <= fair + fair / 4 ? std::min(granted, loan.Wanted) : 0;
  return std::min(std::max(fair, kept), subtractOrZero(lendable, others));
}

ShareLedger::Resource *ShareLedger::findById(std::uint64_t id) {
  const auto name = NamesById.find(id);
  if (name == NamesById.end())
    return nullptr;
  const auto it = Resources.find(name->second);
  return it == Resources.end() ? nullptr : &it->second;
}

std::optional<ShareGrant> ShareLedger::lend(const MemberId &to,
                                            const ShareRequest &request,
                                            TimePoint now) {
  Resource *found = findById(request.Resource);
  if (!found)
    return std::nullopt;
  Resource &resource = *found;
  Loan &loan = resource.Loans[to];
  if (request.Sequence <= loan.LastSequence)
    return std::nullopt;
  loan.LastSequence = request.Sequence;
  loan.Wanted = std::min(request.Wanted, resource.Spec.Limit);
  loan.RequestedAt = now;
  loan.IsNotified = false;
  for (Grant &grant : loan.Grants)
    grant.Amount = std::min(grant.Amount, request.MaxRetained);
  const std::uint64_t amount = grantFor(resource, loan, now);
  if (amount != 0)
    loan.Grants.push_back(
        {amount, now + Options.LeaseTime + Options.LenderMargin});
  return ShareGrant{request.Resource, request.Sequence, amount};
}

void ShareLedger::applyGrant(const MemberId &from, const ShareGrant &grant,
                             TimePoint now) {
  Resource *found = findById(grant.Resource);
  if (!found)
    return;
  const auto leaseIt = found->Leases.find(from);
  if (leaseIt == found->Leases.end())
    return;
  Lease &lease = leaseIt->second;
  const auto sent =
      std::ranges::find(lease.Sent, grant.Sequence, &SentRequest::Sequence);
  if (sent == lease.Sent.end() || grant.Sequence <= lease.Sequence)
    return;
  if (grant.Amount < sent->Wanted) {
    lease.Cooldown = std::clamp(2 * lease.Cooldown, Options.LenderCooldown,
                                Options.MaxLenderCooldown);
    lease.CooldownUntil = now + lease.Cooldown;
    // Cooldowns end at multiples of TimeoutCooldown, so that the next requests
    // share a message.
    lease.CooldownUntil -=
        lease.CooldownUntil.time_since_epoch() % Options.TimeoutCooldown;
  } else {
    lease.Cooldown = Duration{0};
    lease.CooldownUntil = now;
  }
  lease.Amount = std::min(grant.Amount, sent->Wanted);
  lease.MustConfirm = sent->MaxRetained > grant.Amount;
  // Each request that was sent after this one promised to keep at most its
  // MaxRetained.
  for (auto later = sent + 1; later != lease.Sent.end(); ++later)
    lease.Amount = std::min(lease.Amount, later->MaxRetained);
  lease.EndsAt = sent->SentAt + Options.LeaseTime - Options.BorrowerGuard;
  lease.Sequence = grant.Sequence;
  lease.Sent.erase(lease.Sent.begin(), sent + 1);
}

void ShareLedger::expire(TimePoint now) {
  for (auto &[name, resource] : Resources) {
    for (auto &[id, loan] : resource.Loans)
      std::erase_if(loan.Grants,
                    [&](const Grant &it) { return now >= it.EndsAt; });
    // The record is kept longer than its grants, to detect delayed requests.
    std::erase_if(resource.Loans, [&](const auto &entry) {
      return entry.second.Grants.empty() &&
             now - entry.second.RequestedAt > Options.RemovalGrace;
    });
    for (auto &[id, lease] : resource.Leases) {
      if (now < lease.EndsAt || (lease.Amount == 0 && lease.Held == 0))
        continue;
      lease.Amount = 0;
      lease.Held = 0;
      ++lease.Epoch;
    }
  }
}

void ShareLedger::discardBorrowed() {
  for (auto &[name, resource] : Resources)
    for (auto &[id, lease] : resource.Leases) {
      lease.Amount = 0;
      lease.Held = 0;
      lease.Sent.clear();
      ++lease.Epoch;
    }
}

void ShareLedger::addRequest(Resource &resource, Lease &lease,
                             std::uint64_t wanted, TimePoint now,
                             ShareExchange &out) {
  const std::uint64_t maxRetained =
      std::max(lease.Held, std::min(lease.Amount, wanted));
  lease.Amount = std::min(lease.Amount, maxRetained);
  lease.LastRequested = now;
  lease.MustConfirm = false;
  lease.Sent.push_back({LastSequence, wanted, maxRetained, now});
  if (lease.Sent.size() > MaxSentRequests)
    lease.Sent.pop_front();
  out.Requests.push_back({protocol::shareResourceId(resource.Spec.Name),
                          LastSequence, wanted, maxRetained});
}

/// Units that this daemon could use in addition to its own ones.
std::uint64_t ShareLedger::borrowDemand(const Resource &resource,
                                        TimePoint now) const {
  if (IsStopping)
    return 0;
  return subtractOrZero(std::min(resource.Demand, resource.Spec.Limit),
                        ownAvailable(resource, now));
}

// Returns the smallest leases first, so that few remain to be renewed.
void ShareLedger::returnUnits(Resource &resource, TimePoint now,
                              Outgoing &out) {
  const std::uint64_t need = borrowDemand(resource, now);
  std::uint64_t surplus = subtractOrZero(borrowed(resource, now), need);
  if (surplus <= need / 16)
    return;
  std::vector<std::pair<std::uint64_t, MemberId>> leases;
  for (const auto &[id, lease] : resource.Leases)
    if (now < lease.EndsAt && lease.Amount > lease.Held)
      leases.emplace_back(lease.Amount, id);
  std::ranges::sort(leases);
  for (const auto &[amount, id] : leases) {
    Lease &lease = resource.Leases[id];
    const std::uint64_t returned = std::min(surplus, lease.Amount - lease.Held);
    surplus -= returned;
    if (returned != 0)
      addRequest(resource, lease, amount - returned, now, out[id]);
  }
}

/// Renews the leases that end within `ahead`. With an `ahead` other than
/// RenewAhead, only those of lenders that get a message anyway.
void ShareLedger::renew(Resource &resource, Duration ahead, TimePoint now,
                        Outgoing &out) {
  const std::uint64_t need = borrowDemand(resource, now);
  const std::uint64_t shortage = subtractOrZero(need, borrowed(resource, now));
  for (auto &[id, lease] : resource.Leases) {
    const bool isRequested = now == lease.LastRequested;
    if (lease.MustConfirm && lease.Sent.empty()) {
      addRequest(resource, lease, lease.Amount + shortage, now, out[id]);
      continue;
    }
    if (need == 0 || lease.Amount == 0 || isRequested ||
        lease.EndsAt - now > ahead)
      continue;
    if (ahead == Options.RenewAhead || out.contains(id))
      addRequest(resource, lease, lease.Amount + shortage, now, out[id]);
  }
}

/// The lenders that may have units: first those that get a message anyway, then
/// the others in the order of the list, starting after this daemon. So daemons
/// start with different lenders, but each daemon with the same lender for all
/// resources.
std::vector<MemberId> ShareLedger::lendersFor(Resource &resource, TimePoint now,
                                              const Outgoing &out) {
  std::vector<MemberId> lenders = Window.rbegin()->second.Members;
  std::rotate(lenders.begin(), std::ranges::lower_bound(lenders, Self),
              lenders.end());
  std::erase_if(lenders, [&](const MemberId &id) {
    if (id == Self)
      return true;
    const auto it = resource.Leases.find(id);
    return it != resource.Leases.end() &&
           (now < it->second.CooldownUntil || now == it->second.LastRequested);
  });
  std::stable_partition(lenders.begin(), lenders.end(),
                        [&](const MemberId &id) { return out.contains(id); });
  return lenders;
}

// Requests the whole shortage from a few lenders, and from more in each step
// while the shortage remains. Units that are granted beyond the need are
// returned.
void ShareLedger::search(Resource &resource, TimePoint now, Outgoing &out) {
  const std::uint64_t need = borrowDemand(resource, now);
  const std::uint64_t shortage = subtractOrZero(need, borrowed(resource, now));
  if (shortage == 0) {
    resource.SearchSize = 0;
    return;
  }
  const std::vector<MemberId> lenders = lendersFor(resource, now, out);
  if (lenders.empty()) {
    resource.SearchSize = 0;
    return;
  }
  resource.SearchSize =
      std::max(Options.InitialLenders,
               std::min(2 * resource.SearchSize, lenders.size()));
  for (std::size_t i = 0; i != std::min(resource.SearchSize, lenders.size());
       ++i) {
    Lease &lease = resource.Leases[lenders[i]];
    const std::uint64_t current = now < lease.EndsAt ? lease.Amount : 0;
    // If no grant arrives, the lender is unreachable; a grant replaces this
    // cooldown.
    lease.CooldownUntil = now + Options.TimeoutCooldown;
    addRequest(resource, lease, current + shortage, now, out[lenders[i]]);
  }
}

// Notifies borrowers that requested more than they were granted, those with the
// greatest shortage first, that units are unused. Only a few are notified in
// one step, since they may take all of the units.
void ShareLedger::notifyBorrowers(Resource &resource, TimePoint now,
                                  Outgoing &out) {
  std::vector<std::pair<std::uint64_t, Loan *>> borrowers;
  std::map<Loan *, MemberId> ids;
  for (auto &[id, loan] : resource.Loans) {
    if (loan.IsNotified)
      continue;
    const std::uint64_t granted = outstanding(loan, now);
    const std::uint64_t missing = subtractOrZero(loan.Wanted, granted);
    const std::uint64_t possible = grantFor(resource, loan, now);
    const std::uint64_t minNotified =
        std::min(missing, resource.Entitlement / 16 + 1);
    if (missing == 0 || subtractOrZero(possible, granted) < minNotified)
      continue;
    borrowers.emplace_back(missing, &loan);
    ids[&loan] = id;
  }
  std::ranges::sort(borrowers, std::greater<>());
  if (borrowers.size() > Options.NotifiedBorrowers)
    borrowers.resize(Options.NotifiedBorrowers);
  for (const auto &[missing, loan] : borrowers) {
    loan->IsNotified = true;
    out[ids[loan]].SpareResources.push_back(
        protocol::shareResourceId(resource.Spec.Name));
  }
}

ShareExchange ShareLedger::makeReport(TimePoint now) const {
  ShareExchange exchange;
  for (const auto &[version, list] : Window)
    if (list.IsRespected && !hasPendingRemoval(list, now))
      exchange.ListVersions.push_back(version);
  exchange.NewestList = Window.empty() ? 0 : Window.rbegin()->first;
  return exchange;
}

std::set<MemberId> ShareLedger::peersInWindow(TimePoint now) const {
  std::set<MemberId> result;
  for (const auto &[version, list] : Window)
    for (const MemberId &id : list.Members)
      if (id != Self && !hasPassedRemovalGrace(id, now))
        result.insert(id);
  return result;
}

// A changed report is sent to all peers once. After that, a daemon that still
// needs the reports of others requests them, from a few peers per period. This
// covers lost messages and restarted processes, and an idle fleet sends
// nothing.
void ShareLedger::addReports(const ShareExchange &report, TimePoint now,
                             Outgoing &out) {
  const std::set<MemberId> peers = peersInWindow(now);
  if (report != LastReport) {
    LastReport = report;
    for (const MemberId &id : peers)
      out.try_emplace(id);
  }
  const auto &[version, newest] = *Window.rbegin();
  const bool isWaiting =
      (!HasBase || Window.size() > 1) && !hasPendingRemoval(newest, now);
  if (!isWaiting || now < NextReports)
    return;
  NextReports = now + Options.ReportPeriod;
  std::vector<MemberId> missing;
  for (const MemberId &id : newest.Members)
    if (peers.contains(id) && !Peers[id].Reported.contains(version))
      missing.push_back(id);
  std::rotate(missing.begin(),
              std::ranges::upper_bound(missing, LastReportPeer), missing.end());
  if (missing.size() > Options.ReportPeers)
    missing.resize(Options.ReportPeers);
  for (const MemberId &id : missing) {
    out[id].WantsReport = true;
    LastReportPeer = id;
  }
}

void ShareLedger::addRequests(TimePoint now, Outgoing &out) {
  NextRequests = now + Options.RequestPeriod;
  // All requests of a step have the same number, which is compact on the wire.
  ++LastSequence;
  const auto forEachLendable = [&](const auto &action) {
    for (const auto &[id, name] : NamesById)
      if (const auto it = Resources.find(name); it != Resources.end())
        action(it->second);
  };
  forEachLendable([&](Resource &it) {
    returnUnits(it, now, out);
    renew(it, Options.RenewAhead, now, out);
    notifyBorrowers(it, now, out);
  });
  forEachLendable([&](Resource &it) { search(it, now, out); });
  forEachLendable(
      [&](Resource &it) { renew(it, Options.RenewBatchWindow, now, out); });
}

std::vector<SendMessage> ShareLedger::tick(TimePoint now) {
  std::vector<SendMessage> messages;
  if (Window.empty())
    return messages;
  expire(now);
  advanceBase(now);
  Outgoing out;
  if (now >= NextRequests)
    addRequests(now, out);
  const ShareExchange report = makeReport(now);
  addReports(report, now, out);
  for (auto &[id, exchange] : out) {
    exchange.ListVersions = report.ListVersions;
    exchange.NewestList = report.NewestList;
    messages.push_back({id, "", std::move(exchange)});
  }
  return messages;
}

std::vector<SendMessage> ShareLedger::receive(const MemberId &from,
                                              const ShareExchange &exchange,
                                              TimePoint now) {
  Peer &peer = Peers[from];
  for (const std::uint64_t version : exchange.ListVersions)
    if (Window.empty() || version >= Window.begin()->first)
      peer.Reported.insert(version);
  while (peer.Reported.size() > protocol::MaxListVersions)
    peer.Reported.erase(peer.Reported.begin());
  peer.NewestList = std::max(peer.NewestList, exchange.NewestList);
  for (const ShareGrant &grant : exchange.Grants)
    applyGrant(from, grant, now);
  for (const std::uint64_t id : exchange.SpareResources)
    if (Resource *resource = findById(id)) {
      resource->Leases[from].CooldownUntil = now;
      resource->Leases[from].Cooldown = Duration{0};
    }
  ShareExchange reply = makeReport(now);
  for (const ShareRequest &request : exchange.Requests)
    if (auto grant = lend(from, request, now))
      reply.Grants.push_back(*grant);
  if (reply.Grants.empty() && !exchange.WantsReport)
    return {};
  return {{from, "", std::move(reply)}};
}

std::vector<SendMessage> ShareLedger::stopBorrowing(TimePoint now) {
  IsStopping = true;
  NextRequests = now;
  return tick(now);
}

} // namespace galenaflow::coordination
