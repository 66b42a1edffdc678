#include "coordination/share_ledger.h"

#include "coordination/rendezvous.h"

#include <algorithm>

// Shares. A list of N daemons divides a limit into N shares that add up to it:
// the floor of limit / N, and one unit more for the first (limit mod N)
// daemons in rendezvous order. Daemons learn lists at different times, so each
// keeps a window of the lists that may still be in force and uses the least of
// its shares under them. The oldest list of the window is the base. A list
// becomes the base once every daemon on it has reported that it respects that
// list, and every VM that left earlier has been gone for the hold time. Take
// the highest base of any running daemon: all daemons on that list have it in
// their windows, because they reported it and their own bases are not higher,
// so together they use at most the shares of that one list. A new daemon has
// no base and therefore no share.
//
// The proof needs two assumptions: an instance that left the list does not
// return to it and stops within the hold time, and within any hold time at
// least one daemon stays on the list, to remember those that left.
//
// Loans. A lender gives up an amount until its record of the lease ends. The
// borrower counts the lease from the moment it sent the request, which is
// before the lender granted it, so it stops first even when the grant was
// delayed. A renewal does not end earlier grants: until the borrower promises
// in a later request to keep less, the lender reserves the largest of them.

namespace galenaflow::coordination {

using protocol::ShareExchange;
using protocol::ShareGrant;
using protocol::ShareRequest;

namespace {

/// Requests without an answer that are remembered for one lender.
constexpr std::size_t MaxSentRequests = 32;

bool contains(const std::vector<MemberId> &members, const MemberId &id) {
  return std::ranges::binary_search(members, id);
}

/// The floor of a * part / whole, with the precision of long double.
std::uint64_t scaled(std::uint64_t a, std::uint64_t part, std::uint64_t whole) {
  const auto fraction =
      static_cast<long double>(part) / static_cast<long double>(whole);
  const auto result =
      static_cast<std::uint64_t>(static_cast<long double>(a) * fraction);
  return std::min(result, a);
}

std::uint64_t minus(std::uint64_t a, std::uint64_t b) {
  return a > b ? a - b : 0;
}

} // namespace

ShareLedger::ShareLedger(ShareLedgerOptions options, MemberId self,
                         TimePoint now)
    : Options(options), Self(std::move(self)), StartedAt(now), NextStatus(now),
      // Above the numbers of an earlier process with the same identity, whose
      // requests a lender may remember.
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
  // Without room the list is taken when it is offered again. Until then this
  // daemon acts as one that has not heard of it, which is safe.
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
  IsStatusDue = true;
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

bool ShareLedger::hasPassedHold(const MemberId &id, TimePoint now) const {
  const auto it = Departed.find(id);
  return it != Departed.end() && now - it->second > Options.HoldTime;
}

bool ShareLedger::hasPendingOutside(const VmList &list, TimePoint now) const {
  return std::ranges::any_of(Departed, [&](const auto &entry) {
    return now - entry.second <= Options.HoldTime &&
           !contains(list.Members, entry.first);
  });
}

bool ShareLedger::canBecomeBase(std::uint64_t version, const VmList &list,
                                TimePoint now) const {
  if (!list.IsRespected || hasPendingOutside(list, now))
    return false;
  return std::ranges::all_of(list.Members, [&](const MemberId &id) {
    if (id == Self || hasPassedHold(id, now))
      return true;
    const auto it = Peers.find(id);
    if (it == Peers.end() || !it->second.Reported.contains(version))
      return false;
    // A restarted process may have an older list than it reported before.
    return HasBase || it->second.NewestList <= version;
  });
}

void ShareLedger::advanceBase(TimePoint now) {
  for (auto &[version, list] : Window)
    list.IsRespected = list.IsRespected || respects(list, now);
  // A process that restarts with the same identity may have lent units.
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
    forgetDeparted(now);
    return;
  }
}

void ShareLedger::forgetDeparted(TimePoint now) {
  const auto isInWindow = [&](const MemberId &id) {
    return std::ranges::any_of(Window, [&](const auto &entry) {
      return contains(entry.second.Members, id);
    });
  };
  std::erase_if(Departed, [&](const auto &entry) {
    return hasPassedHold(entry.first, now) && !isInWindow(entry.first);
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
  return minus(resource.Entitlement, lentBy(resource, now));
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
  return it ? minus(it->Held, ownAvailable(*it, now)) : 0;
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
    it.Held = minus(it.Held, hold.Units);
    return;
  }
  const auto lease = it.Leases.find(hold.Lender);
  // The units of an ended lease were already taken back.
  if (lease != it.Leases.end() && lease->second.Epoch == hold.LeaseEpoch)
    lease->second.Held = minus(lease->second.Held, hold.Units);
}

std::uint64_t ShareLedger::grantFor(Resource &resource, Loan &loan,
                                    TimePoint now) const {
  const std::uint64_t own = std::max(resource.Demand, resource.Held);
  const std::uint64_t lendable = minus(resource.Entitlement, own);
  std::uint64_t others = 0;
  std::uint64_t wanted = 0;
  for (const auto &[id, it] : resource.Loans) {
    if (&it != &loan)
      others += outstanding(it, now);
    if (now - it.AskedAt <= 2 * Options.RenewPeriod)
      wanted += it.Wanted;
  }
  // Borrowers that together want more than there is get it in proportion.
  const std::uint64_t fair =
      wanted > lendable ? scaled(lendable, loan.Wanted, wanted) : loan.Wanted;
  return std::min(fair, minus(lendable, others));
}

std::optional<ShareGrant> ShareLedger::lend(const MemberId &to,
                                            const ShareRequest &request,
                                            TimePoint now) {
  const auto found = Resources.find(request.Resource);
  if (found == Resources.end() || !found->second.Spec.IsLendable)
    return std::nullopt;
  Resource &resource = found->second;
  Loan &loan = resource.Loans[to];
  if (request.Sequence <= loan.LastSequence)
    return std::nullopt;
  loan.LastSequence = request.Sequence;
  loan.Wanted = std::min(request.Wanted, resource.Spec.Limit);
  loan.AskedAt = now;
  for (Grant &grant : loan.Grants)
    grant.Amount = std::min(grant.Amount, request.Keep);
  const std::uint64_t amount = grantFor(resource, loan, now);
  if (amount != 0)
    loan.Grants.push_back(
        {amount, now + Options.LeaseTime + Options.LenderMargin});
  return ShareGrant{request.Resource, request.Sequence, amount};
}

void ShareLedger::takeGrant(const MemberId &from, const ShareGrant &grant) {
  const auto found = Resources.find(grant.Resource);
  if (found == Resources.end())
    return;
  const auto leaseIt = found->second.Leases.find(from);
  if (leaseIt == found->second.Leases.end())
    return;
  Lease &lease = leaseIt->second;
  const auto sent =
      std::ranges::find(lease.Sent, grant.Sequence, &SentRequest::Sequence);
  if (sent == lease.Sent.end() || grant.Sequence <= lease.Sequence)
    return;
  lease.Amount = grant.Amount;
  // Requests sent after this one promised to keep at most so much of it.
  for (auto later = sent + 1; later != lease.Sent.end(); ++later)
    lease.Amount = std::min(lease.Amount, later->Keep);
  lease.EndsAt = sent->SentAt + Options.LeaseTime - Options.BorrowerGuard;
  lease.Sequence = grant.Sequence;
  lease.Sent.erase(lease.Sent.begin(), sent + 1);
}

void ShareLedger::expire(TimePoint now) {
  for (auto &[name, resource] : Resources) {
    for (auto &[id, loan] : resource.Loans)
      std::erase_if(loan.Grants,
                    [&](const Grant &it) { return now >= it.EndsAt; });
    // The record outlives its grants, to recognise delayed requests.
    std::erase_if(resource.Loans, [&](const auto &entry) {
      return entry.second.Grants.empty() &&
             now - entry.second.AskedAt > Options.HoldTime;
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

void ShareLedger::dropBorrowed() {
  for (auto &[name, resource] : Resources)
    for (auto &[id, lease] : resource.Leases) {
      lease.Amount = 0;
      lease.Held = 0;
      lease.Sent.clear();
      ++lease.Epoch;
    }
}

void ShareLedger::ask(Resource &resource, Lease &lease, std::uint64_t wanted,
                      TimePoint now, ShareExchange &out) {
  const std::uint64_t keep =
      std::max(lease.Held, std::min(lease.Amount, wanted));
  lease.Amount = std::min(lease.Amount, keep);
  lease.LastWanted = wanted;
  lease.LastKeep = keep;
  lease.LastAsked = now;
  lease.Sent.push_back({++LastSequence, keep, now});
  if (lease.Sent.size() > MaxSentRequests)
    lease.Sent.pop_front();
  out.Requests.push_back({resource.Spec.Name, LastSequence, wanted, keep});
}

// Asks every peer for the whole shortage at first. What arrives beyond the
// need is returned with the next request, a spacing later. This finds spare
// units wherever they are in one round trip.
void ShareLedger::borrow(Resource &resource, TimePoint now,
                         std::map<MemberId, ShareExchange> &out) {
  const std::uint64_t own = ownAvailable(resource, now);
  const std::uint64_t held = borrowed(resource, now);
  const std::uint64_t demand =
      IsStopping ? 0 : std::min(resource.Demand, resource.Spec.Limit);
  const std::uint64_t need = minus(demand, own);
  const std::uint64_t shortage = minus(need, held);
  for (const MemberId &id : Window.rbegin()->second.Members) {
    if (id == Self)
      continue;
    const auto known = resource.Leases.find(id);
    if (known == resource.Leases.end() && need == 0)
      continue;
    Lease &lease = resource.Leases[id];
    const std::uint64_t mine = now < lease.EndsAt ? lease.Amount : 0;
    std::uint64_t wanted = mine + shortage;
    if (held > need)
      wanted = scaled(mine, need, held);
    const Duration age = now - lease.LastAsked;
    const std::uint64_t change = std::max(minus(wanted, lease.LastWanted),
                                          minus(lease.LastWanted, wanted));
    const bool hasChanged =
        change > wanted / 16 || (mine < lease.LastKeep && lease.Sent.empty());
    const bool mustRenew =
        (wanted != 0 || mine != 0) && age >= Options.RenewPeriod;
    if ((hasChanged && age >= Options.RequestSpacing) || mustRenew)
      ask(resource, lease, wanted, now, out[id]);
  }
}

ShareExchange ShareLedger::status(TimePoint now) const {
  ShareExchange exchange;
  for (const auto &[version, list] : Window)
    if (list.IsRespected && !hasPendingOutside(list, now))
      exchange.ListVersions.push_back(version);
  exchange.NewestList = Window.empty() ? 0 : Window.rbegin()->first;
  return exchange;
}

std::vector<SendMessage> ShareLedger::tick(TimePoint now) {
  std::vector<SendMessage> messages;
  if (Window.empty())
    return messages;
  expire(now);
  advanceBase(now);
  std::map<MemberId, ShareExchange> out;
  for (auto &[name, resource] : Resources)
    if (resource.Spec.IsLendable)
      borrow(resource, now, out);
  if (IsStatusDue || now >= NextStatus) {
    const bool isChanging = !HasBase || Window.size() > 1;
    NextStatus = now + (isChanging ? Options.ChangingStatusPeriod
                                   : Options.StableStatusPeriod);
    IsStatusDue = false;
    for (const auto &[version, list] : Window)
      for (const MemberId &id : list.Members)
        if (id != Self && !hasPassedHold(id, now))
          out.try_emplace(id);
  }
  const ShareExchange report = status(now);
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
    takeGrant(from, grant);
  ShareExchange answer = status(now);
  for (const ShareRequest &request : exchange.Requests)
    if (auto grant = lend(from, request, now))
      answer.Grants.push_back(std::move(*grant));
  if (answer.Grants.empty())
    return {};
  return {{from, "", std::move(answer)}};
}

std::vector<SendMessage> ShareLedger::stopBorrowing(TimePoint now) {
  IsStopping = true;
  for (auto &[name, resource] : Resources)
    for (auto &[id, lease] : resource.Leases)
      lease.LastAsked = TimePoint{};
  return tick(now);
}

} // namespace galenaflow::coordination
