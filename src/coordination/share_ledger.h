#ifndef GALENAFLOW_COORDINATION_SHARE_LEDGER_H
#define GALENAFLOW_COORDINATION_SHARE_LEDGER_H

#include "coordination/membership.h"

#include <set>

namespace galenaflow::coordination {

struct ShareLedgerOptions {
  Duration LeaseTime = std::chrono::seconds(2);
  /// The lender reserves a lent amount for this much longer than the lease.
  /// Together with BorrowerGuard, this covers clocks that run up to 5 % fast or
  /// slow.
  Duration LenderMargin = std::chrono::milliseconds(200);
  /// The borrower stops using a lease this much before it ends.
  Duration BorrowerGuard = std::chrono::milliseconds(50);
  /// A VM that was removed from the list has stopped after this time.
  Duration RemovalGrace = std::chrono::seconds(30);
  /// Requests are sent in steps with this period, so that those for different
  /// resources share messages. A search for lenders also takes one step per
  /// period.
  Duration RequestPeriod = std::chrono::milliseconds(250);
  /// A lease that is needed is renewed in the first step that is at most this
  /// much before its end, so that a lost renewal can be repeated in time.
  Duration RenewAhead = std::chrono::milliseconds(550);
  /// A message to a lender includes the renewals that are due within this time.
  Duration RenewBatchWindow = std::chrono::milliseconds(1000);
  /// Number of lenders in the first step of a search; it doubles in each
  /// further step.
  std::size_t InitialLenders = 2;
  /// How long a search skips a lender: TimeoutCooldown if it has not responded,
  /// and LenderCooldown, which doubles up to MaxLenderCooldown, if it granted
  /// less than was requested. A report of unused units ends the cooldown.
  Duration TimeoutCooldown = std::chrono::seconds(1);
  Duration LenderCooldown = std::chrono::seconds(4);
  Duration MaxLenderCooldown = std::chrono::seconds(8);
  /// Most borrowers that a lender notifies of its unused units in one step.
  std::size_t NotifiedBorrowers = 2;
  /// While reports of peers are missing, they are requested from up to
  /// ReportPeers of these peers in each ReportPeriod.
  Duration ReportPeriod = std::chrono::milliseconds(500);
  std::size_t ReportPeers = 4;
};

/// A limit for the whole fleet, in integer units. A rate should use small
/// units, for example 1/1000 request per second.
struct ShareResource {
  std::string Name; ///< at most protocol::MaxIdBytes
  std::uint64_t Limit = 0;
  bool IsLendable = true; ///< false for connections, which may outlast a lease
};

/// Units that are in use until release(). They are own units if the lender is
/// empty.
struct ShareHold {
  std::string Resource;
  MemberId Lender;
  std::uint64_t Units = 0;
  std::uint64_t LeaseEpoch = 0;
};

/// Divides limits of the whole fleet among its daemons without shared state:
/// tracks this daemon's share of each limit, lends its unused units to other
/// daemons, and borrows units from them. The daemons together never use more
/// than a limit; the source states the assumptions.
///
/// Call applyList() and setLimits() when the VM list or the limits change, and
/// tick() periodically. The owner sends the returned messages.
class ShareLedger {
public:
  ShareLedger(ShareLedgerOptions options, MemberId self, TimePoint now);

  /// Sets the listed entry VMs, including leaving ones. Versions that are not
  /// above the newest one are ignored.
  void applyList(std::uint64_t version, std::span<const MemberId> members,
                 TimePoint now);
  /// Replaces all limits. The records of a removed resource are discarded.
  void setLimits(std::span<const ShareResource> resources);
  /// Sets the units that this daemon could use now, including held ones.
  void setDemand(std::string_view resource, std::uint64_t units);

  /// Units that may be in use at `now`: own ones that are not lent, and
  /// borrowed ones. For a rate, units per second. Check before each use.
  std::uint64_t allowance(std::string_view resource, TimePoint now) const;

  /// Takes units that are in use until release(), which must follow by `until`.
  /// Borrowed units are taken only if `until` is before the end of their lease.
  /// For a use without a known end, pass TimePoint::max().
  std::optional<ShareHold> acquire(std::string_view resource,
                                   std::uint64_t units, TimePoint until,
                                   TimePoint now);
  void release(const ShareHold &hold);

  /// Call at least once per RequestPeriod.
  std::vector<SendMessage> tick(TimePoint now);
  std::vector<SendMessage> receive(const MemberId &from,
                                   const protocol::ShareExchange &exchange,
                                   TimePoint now);

  /// Ends all borrowed leases. Call after a LocalPause.
  void discardBorrowed();
  /// Returns all borrowed units, and stops borrowing permanently.
  std::vector<SendMessage> stopBorrowing(TimePoint now);

  /// Whether every listed daemon has acknowledged this one's share.
  bool isEntitled() const { return HasBase; }
  /// Own units, including lent ones.
  std::uint64_t entitlement(std::string_view resource) const;
  std::uint64_t lent(std::string_view resource, TimePoint now) const;
  /// Own units in use beyond the allowance, after the share has decreased. The
  /// owner ends that many uses, for example by closing connections.
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
    bool IsNotified = false; ///< of unused units since its last request
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
    /// The lender still reserves more than it granted last, until the next
    /// request confirms the lower amount.
    bool MustConfirm = false;
    TimePoint CooldownUntil{}; ///< a search skips the lender
    Duration Cooldown{};
    std::deque<SentRequest> Sent;
  };
  struct Resource {
    ShareResource Spec;
    std::uint64_t Entitlement = 0;
    std::uint64_t Demand = 0;
    std::uint64_t Held = 0; // own units in use
    std::map<MemberId, Loan> Loans;
    std::map<MemberId, Lease> Leases;
    std::size_t SearchSize = 0; // lenders in the last step of a search
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
  /// Whether a daemon that is not on the list was removed at most RemovalGrace
  /// ago.
  bool hasPendingRemoval(const VmList &list, TimePoint now) const;
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
  lend(const MemberId &to, const protocol::ShareRequest &request,
       TimePoint now);
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
  // When this daemon first received a list without the member.
  std::map<MemberId, TimePoint> Departed;
  std::map<MemberId, Peer> Peers;
  bool HasBase = false;
  bool IsStopping = false;
  protocol::ShareExchange LastReport;
  TimePoint NextReports;
  TimePoint NextRequests;
  MemberId LastReportPeer; // the last peer from which a report was requested
  std::uint64_t LastSequence;
};

} // namespace galenaflow::coordination

#endif
