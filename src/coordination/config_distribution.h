#ifndef GALENAFLOW_COORDINATION_CONFIG_DISTRIBUTION_H
#define GALENAFLOW_COORDINATION_CONFIG_DISTRIBUTION_H

#include "coordination/membership.h"

#include <functional>
#include <memory>
#include <set>

namespace galenaflow::coordination {

using protocol::ConfigKey;
using protocol::ConfigKeyCount;
using protocol::ConfigVersionVector;

struct ConfigDistributionOptions {
  std::size_t PushFanOut = 4; ///< peers to which a version is pushed
  /// Larger values are announced by a digest, and peers pull them.
  std::size_t MaxPushedBytes = 16U << 10U;
  /// How long the platform holds a watch open.
  Duration WatchWait = std::chrono::seconds(30);
  /// The VM list cannot be watched; readers poll it with this period.
  Duration VmPollPeriod = std::chrono::seconds(1);
  /// Minimum time between two watches of a key, in case a watch returns
  /// immediately.
  Duration MinReadSpacing = std::chrono::seconds(1);
  Duration MinBackoff = std::chrono::milliseconds(500);
  Duration MaxBackoff = std::chrono::seconds(30);
  Duration StartupWindow = std::chrono::seconds(3);
  /// A starting daemon first reads the VM list, after a random delay of at most
  /// this.
  Duration StartupJitter = std::chrono::seconds(1);
  /// Reads/s of the other keys by all daemons together, if all start at the
  /// same time.
  std::size_t StartupReadRate = 400;
  /// First backoff of a key that has not been read successfully yet.
  Duration StartupBackoff = std::chrono::seconds(2);
  Duration PullTimeout = std::chrono::seconds(1);
  /// A pull without a reply is sent to another peer after this time.
  Duration PullRetryDelay = std::chrono::milliseconds(300);
  unsigned MaxPullAttempts = 4; ///< per announcement
  /// A read that has no outcome after WatchWait and this time counts as failed.
  Duration ReadGrace = std::chrono::seconds(5);
};

/// Validates a value. A value with findings is not applied.
using ConfigValidator =
    std::function<state::Findings(ConfigKey, const std::string &)>;

/// Action: read `Key` from the platform and report the outcome with onRead().
/// Wait is zero for a plain read. Otherwise it is a watch, which waits up to
/// this long for a version above After.
struct ReadKey {
  ConfigKey Key;
  std::uint64_t After;
  Duration Wait;
};

/// Action: apply a newer valid version, which is now in force.
struct ApplyValue {
  ConfigKey Key;
  std::uint64_t Version;
  std::shared_ptr<const std::string> Value;
};

/// Action: report an invalid version, which was not applied.
struct ReportInvalid {
  ConfigKey Key;
  std::uint64_t Version;
  state::Findings Faults;
};

using ConfigAction =
    std::variant<SendMessage, ReadKey, ApplyValue, ReportInvalid>;
using ConfigActions = std::vector<ConfigAction>;

/// Outcome of a ReadKey.
struct ReadNotModified {};
struct ReadFailed {};
struct ReadValue {
  std::uint64_t Version;
  std::string Value;
};
using ReadOutcome = std::variant<ReadNotModified, ReadFailed, ReadValue>;

/// Parses a digest in the format of ConfigDistribution::digest().
std::optional<ConfigVersionVector> parseDigest(std::string_view digest);

/// Distributes versions of the configuration from the platform to all daemons,
/// by reads at the platform and by gossip between daemons. The owner executes
/// the returned actions in order.
class ConfigDistribution {
public:
  ConfigDistribution(ConfigDistributionOptions options, MemberId self,
                     ConfigValidator validator, std::mt19937_64 random,
                     TimePoint now);

  /// Sets the other live daemons. Seed peers have an address and an empty id;
  /// messages to an empty id are accepted by any receiver.
  void setPeers(std::vector<ListedVm> peers);
  /// Sets the number of other daemons in the VM list, which determines the
  /// majority at start-up.
  void setListedPeers(std::size_t n) { ListedPeers = n; }
  /// Sets whether this daemon is a reader, which continues to read the platform
  /// when it is ready. ReaderElection decides it.
  void setReader(bool isReader) { IsReader = isReader; }

  ConfigActions tick(TimePoint now);
  ConfigActions onRead(ConfigKey key, const ReadOutcome &outcome,
                       TimePoint now);
  ConfigActions receive(const ListedVm &from, const protocol::FleetBody &body,
                        TimePoint now);
  /// Processes a digest that was received with a heartbeat.
  ConfigActions onDigest(const ListedVm &from, std::string_view digest,
                         TimePoint now);

  /// The versions in force, for Membership::setDigest().
  std::string digest() const;

  /// Whether the start-up window has ended with a valid version of every key.
  bool isReady() const { return IsReady; }
  ConfigVersionVector versions() const;
  /// The highest invalid version seen of a key, or zero.
  std::uint64_t rejectedVersion(ConfigKey key) const;
  /// Whether the last read of any key returned an older version than the one in
  /// force.
  bool isPlatformStale() const;
  std::uint64_t readsIssued() const { return ReadsIssued; }

private:
  struct Entry {
    std::uint64_t Version = 0;         // in force
    std::uint64_t RejectedVersion = 0; // highest invalid
    std::shared_ptr<const std::string> Value;
    bool IsReading = false;
    bool HasBeenRead = false; // at the platform, since the start
    bool IsStale = false;
    unsigned Failures = 0;
    TimePoint IssuedAt{};
    TimePoint NextRead{};
  };

  Entry &entry(ConfigKey key) { return Entries[static_cast<std::size_t>(key)]; }
  bool applyIfNewer(ConfigKey key, std::uint64_t version,
                    const std::string &value, ConfigActions &actions);
  void pushVersion(ConfigKey key, ConfigActions &actions);
  void issueRead(ConfigKey key, TimePoint now, ConfigActions &actions);
  void onReadFailure(Entry &it, TimePoint now);
  bool mayRead(ConfigKey key) const;
  void scheduleStartupReads(TimePoint now);
  void pullFromPeers(TimePoint now, ConfigActions &actions);
  void checkReady(TimePoint now);
  void retryPull(TimePoint now, ConfigActions &actions);
  void pullIfBehind(const ListedVm &from,
                    const ConfigVersionVector &peerVersions, TimePoint now,
                    ConfigActions &actions);
  void replyToPull(const ListedVm &to, const ConfigVersionVector &peerVersions,
                   ConfigActions &actions) const;
  bool isBehind(const ConfigVersionVector &peerVersions) const;
  Duration jittered(Duration limit);

  ConfigDistributionOptions Options;
  MemberId Self;
  ConfigValidator Validator;
  std::mt19937_64 Random;
  std::array<Entry, ConfigKeyCount> Entries;
  std::vector<ListedVm> Peers;
  std::size_t ListedPeers = 0;
  std::set<MemberId> RepliedPeers; // empty once ready
  bool IsReader = false;
  bool IsReady = false;
  bool StartupReadsScheduled = false;
  TimePoint StartedAt;
  TimePoint NextPullAt;
  std::optional<TimePoint> PullStartedAt;
  ConfigVersionVector PullTarget{}; ///< announced by peers
  unsigned PullAttempts = 0;
  std::uint64_t ReadsIssued = 0;
};

} // namespace galenaflow::coordination

#endif
