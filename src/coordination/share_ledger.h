#ifndef GALENAFLOW_COORDINATION_SHARE_LEDGER_H
#define GALENAFLOW_COORDINATION_SHARE_LEDGER_H

#include "coordination/membership.h"

#include <set>

namespace galenaflow::coordination {

struct ShareLedgerOptions {
  Duration LeaseTime = std::chrono::seconds(2);
  /// The lender keeps a lent amount this much longer than the lease. Together
  /// with BorrowerGuard it covers clocks that run up to 5 % fast or slow.
  Duration LenderMargin = std::chrono::milliseconds(200);
  /// The borrower stops this much before the lease ends.
  Duration BorrowerGuard = std::chrono::milliseconds(50);
  /// A VM that left the list has stopped after this time.
  Duration RemovalGrace = std::chrono::seconds(30);
  /// Requests are sent in steps of this period, so that those for different
  /// resources share messages. Also the period of the steps of a search.
  Duration RequestPeriod = std::chrono::milliseconds(250);
  /// A lease in use is renewed this much before it ends, in the step before
  /// that at the latest, so a lost renewal is repeated in time.
  Duration RenewAhead = std::chrono::milliseconds(550);
  /// A message to a lender takes along the renewals that are due so soon.
  Duration RenewBatchWindow = std::chrono::milliseconds(1000);
  /// A search asks so many lenders, in the next step twice as many, and so on.
  std::size_t InitialLenders = 2;
  /// A lender that does not answer is not asked again for this time; one that
  /// has no unused units, for the other time, which doubles up to the maximum,
  /// unless it says before that it has some.
  Duration TimeoutCooldown = std::chrono::seconds(1);
  Duration LenderCooldown = std::chrono::seconds(4);
  Duration MaxLenderCooldown = std::chrono::seconds(8);
  /// Borrowers in need that a lender tells in one step of its unused units.
  std::size_t NotifiedBorrowers = 2;
  /// Period and size of the groups of peers that are asked for their reports
  /// while they are missing.
  Duration ReportPeriod = std::chrono::milliseconds(500);
  std::size_t ReportPeers = 4;
};

/// A limit of the whole fleet in integer units. A rate is best stated in small
/// units, for example 1/1000 request per second.
struct ShareResource {
  std::string Name; ///< at most protocol::MaxIdBytes
  std::uint64_t Limit = 0;
  bool IsLendable = true; ///< false for connections, which outlast a lease
};

/// Units in use until release(). An empty lender means an own unit.
struct ShareHold {
  std::string Resource;
  MemberId Lender;
  std::uint64_t Units = 0;
  std::uint64_t LeaseEpoch = 0;
};

/// This daemon's part of the limits of the fleet.
class ShareLedger {
public:
  ShareLedger(ShareLedgerOptions options, MemberId self, TimePoint now);

  /// The listed entry VMs, with leaving ones. Versions not above the newest
  /// are ignored.
  void applyList(std::uint64_t version, std::span<const MemberId> members,
                 TimePoint now);
  /// Replaces all limits. Units of a removed resource are forgotten.
  void setLimits(std::span<const ShareResource> resources);
  /// Units that this daemon could use now, held ones included.
  void setDemand(std::string_view resource, std::uint64_t units);

  /// Units that may be in use at `now`: own ones that are not lent, and
  /// borrowed ones. For a rate: units per second. Check before each use.
  std::uint64_t allowance(std::string_view resource, TimePoint now) const;

  /// Takes units that stay in use until release(), at the latest at `until`.
  /// A borrowed unit is given only to a use that ends before its lease; a use
  /// without end takes TimePoint::max().
  std::optional<ShareHold> acquire(std::string_view resource,
                                   std::uint64_t units, TimePoint until,
                                   TimePoint now);
  void release(const ShareHold &hold);

  /// Call at least each RequestPeriod.
  std::vector<SendMessage> tick(TimePoint now);
  std::vector<SendMessage> receive(const MemberId &from,
                                   const protocol::ShareExchange &exchange,
                                   TimePoint now);

  /// After a LocalPause: borrowed units are treated as ended.
  void discardBorrowed();
  /// Returns all borrowed units and borrows no more.
  std::vector<SendMessage> stopBorrowing(TimePoint now);

  /// Whether every listed daemon has acknowledged this one's share.
  bool isEntitled() const { return HasBase; }
  /// Own units, lent ones included.
  std::uint64_t entitlement(std::string_view resource) const;
  std::uint64_t lent(std::string_view resource, TimePoint now) const;
  /// Own units in use beyond the allowance, after the share was lowered. The
  /// driver ends that many uses, for example closes connections.
  std::uint64_t excess(std::string_view resource, TimePoint now) const;

private:
  struct Grant {
    std::uint64_t Amount;
    TimePoint EndsAt;
  };
  /// The lender's record of one borrower.
  struct Loan {
    std::uint64_t LastSequence = 0;
    std::uint64_t Wanted = 0;
    TimePoint RequestedAt{};
    bool IsNotified = false; ///< of unused units, since it asked
    std::vector<Grant> Grants;
  };
  struct SentRequest {
    std::uint64_t Sequence;
    std::uint64_t Wanted;
    std::uint64_t MaxRetained;
    TimePoint SentAt;
  };
  /// The borrower's record of one lender.
  struct Lease {
    std::uint64_t Amount = 0;
    TimePoint EndsAt{};
    std::uint64_t Sequence = 0;
    std::uint64_t Epoch = 0;
    std::uint64_t Held = 0;
    TimePoint LastRequested{};
    /// The lender still reserves more than was granted last.
    bool MustConfirm = false;
    TimePoint CooldownUntil{}; ///< the lender had too little
    Duration Cooldown{};
    std::deque<SentRequest> Sent;
  };
  struct Resource {
    ShareResource Spec;
    std::uint64_t Entitlement = 0;
    std::uint64_t Demand = 0;
    std::uint64_t Held = 0; // own units
    std::map<MemberId, Loan> Loans;
    std::map<MemberId, Lease> Leases;
    std::size_t SearchSize = 0; // lenders asked in the last step
  };
  using Outgoing = std::map<MemberId, protocol::ShareExchange>;
  struct VmList {
    std::vector<MemberId> Members;
    bool IsRespected = false;
  };
  struct Peer {
    std::set<std::uint64_t> Reported;
    std::uint64_t NewestList = 0;
  };

  const Resource *find(std::string_view name) const;
  std::uint64_t shareOf(const ShareResource &spec, const VmList &list) const;
  void updateEntitlements();
  bool respects(const VmList &list, TimePoint now) const;
  bool hasPendingOutside(const VmList &list, TimePoint now) const;
  bool hasPassedRemovalGrace(const MemberId &id, TimePoint now) const;
  bool canBecomeBase(std::uint64_t version, const VmList &list,
                     TimePoint now) const;
  void advanceBase(TimePoint now);
  void expireDeparted(TimePoint now);
  static std::uint64_t outstanding(const Loan &loan, TimePoint now);
  static std::uint64_t lentBy(const Resource &resource, TimePoint now);
  static std::uint64_t ownAvailable(const Resource &resource, TimePoint now);
  static std::uint64_t borrowed(const Resource &resource, TimePoint now);
  std::uint64_t grantFor(Resource &resource, Loan &loan, TimePoint now) const;
  Resource *findById(std::uint64_t id);
  std::optional<protocol::ShareGrant>
  lend(const MemberId &to, const protocol::ShareRequest &it, TimePoint now);
  void applyGrant(const MemberId &from, const protocol::ShareGrant &grant,
                  TimePoint now);
  void expire(TimePoint now);
  void addRequests(TimePoint now, Outgoing &out);
  std::uint64_t borrowDemand(const Resource &resource, TimePoint now) const;
  void returnUnits(Resource &resource, TimePoint now, Outgoing &out);
  void renew(Resource &resource, Duration ahead, TimePoint now, Outgoing &out);
  void search(Resource &resource, TimePoint now, Outgoing &out);
  std::vector<MemberId> lendersFor(Resource &resource, TimePoint now,
                                   const Outgoing &out);
  void notifyBorrowers(Resource &resource, TimePoint now, Outgoing &out);
  void addReports(const protocol::ShareExchange &report, TimePoint now,
                  Outgoing &out);
  std::set<MemberId> peersInWindow(TimePoint now) const;
  void addRequest(Resource &resource, Lease &lease, std::uint64_t wanted,
                  TimePoint now, protocol::ShareExchange &out);
  protocol::ShareExchange makeReport(TimePoint now) const;

  ShareLedgerOptions Options;
  MemberId Self;
  TimePoint StartedAt;
  std::map<std::string, Resource, std::less<>> Resources;
  std::map<std::uint64_t, std::string> NamesById; // of lendable resources
  std::map<std::uint64_t, VmList> Window;
  std::map<MemberId, TimePoint> Departed; // since when, by this daemon's lists
  std::map<MemberId, Peer> Peers;
  bool HasBase = false;
  bool IsStopping = false;
  protocol::ShareExchange LastReport;
  TimePoint NextReports;
  TimePoint NextRequests;
  MemberId LastReportPeer; // of the peers asked in turn for their reports
  std::uint64_t LastSequence;
};

} // namespace galenaflow::coordination

#endif
