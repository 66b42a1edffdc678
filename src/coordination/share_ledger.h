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
  Duration HoldTime = std::chrono::seconds(30);
  /// Least time between two requests for a resource to one peer.
  Duration RequestSpacing = std::chrono::milliseconds(100);
  Duration RenewPeriod = std::chrono::milliseconds(700);
  /// Period of status messages, while the shares change and otherwise.
  Duration ChangingStatusPeriod = std::chrono::milliseconds(500);
  Duration StableStatusPeriod = std::chrono::seconds(2);
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

  /// Call at least each RequestSpacing.
  std::vector<SendMessage> tick(TimePoint now);
  std::vector<SendMessage> receive(const MemberId &from,
                                   const protocol::ShareExchange &exchange,
                                   TimePoint now);

  /// After a LocalPause: borrowed units are treated as ended.
  void dropBorrowed();
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
    TimePoint AskedAt{};
    std::vector<Grant> Grants;
  };
  struct SentRequest {
    std::uint64_t Sequence;
    std::uint64_t Keep;
    TimePoint SentAt;
  };
  /// The borrower's record of one lender.
  struct Lease {
    std::uint64_t Amount = 0;
    TimePoint EndsAt{};
    std::uint64_t Sequence = 0;
    std::uint64_t Epoch = 0;
    std::uint64_t Held = 0;
    std::uint64_t LastWanted = 0;
    std::uint64_t LastKeep = 0;
    TimePoint LastAsked{};
    std::deque<SentRequest> Sent;
  };
  struct Resource {
    ShareResource Spec;
    std::uint64_t Entitlement = 0;
    std::uint64_t Demand = 0;
    std::uint64_t Held = 0; // own units
    std::map<MemberId, Loan> Loans;
    std::map<MemberId, Lease> Leases;
  };
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
  bool hasPassedHold(const MemberId &id, TimePoint now) const;
  bool canBecomeBase(std::uint64_t version, const VmList &list,
                     TimePoint now) const;
  void advanceBase(TimePoint now);
  void forgetDeparted(TimePoint now);
  static std::uint64_t outstanding(const Loan &loan, TimePoint now);
  static std::uint64_t lentBy(const Resource &resource, TimePoint now);
  static std::uint64_t ownAvailable(const Resource &resource, TimePoint now);
  static std::uint64_t borrowed(const Resource &resource, TimePoint now);
  std::uint64_t grantFor(Resource &resource, Loan &loan, TimePoint now) const;
  std::optional<protocol::ShareGrant>
  lend(const MemberId &to, const protocol::ShareRequest &it, TimePoint now);
  void takeGrant(const MemberId &from, const protocol::ShareGrant &grant);
  void expire(TimePoint now);
  void borrow(Resource &resource, TimePoint now,
              std::map<MemberId, protocol::ShareExchange> &out);
  void ask(Resource &resource, Lease &lease, std::uint64_t wanted,
           TimePoint now, protocol::ShareExchange &out);
  protocol::ShareExchange status(TimePoint now) const;

  ShareLedgerOptions Options;
  MemberId Self;
  TimePoint StartedAt;
  std::map<std::string, Resource, std::less<>> Resources;
  std::map<std::uint64_t, VmList> Window;
  std::map<MemberId, TimePoint> Departed; // since when, by this daemon's lists
  std::map<MemberId, Peer> Peers;
  bool HasBase = false;
  bool IsStopping = false;
  bool IsStatusDue = false;
  TimePoint NextStatus;
  std::uint64_t LastSequence;
};

} // namespace galenaflow::coordination

#endif
