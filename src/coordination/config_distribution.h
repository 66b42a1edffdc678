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
  std::size_t PushFanOut = 4;
  /// Larger values are announced by a digest, and peers pull them.
  std::size_t MaxPushedBytes = 16U << 10U;
  /// How long the platform holds a watch open.
  Duration WatchWait = std::chrono::seconds(30);
  /// The VM list cannot be watched; readers poll it.
  Duration VmPollPeriod = std::chrono::seconds(1);
  /// Least time between two watches of a key, should a watch return at once.
  Duration MinReadSpacing = std::chrono::seconds(1);
  Duration MinBackoff = std::chrono::milliseconds(500);
  Duration MaxBackoff = std::chrono::seconds(30);
  Duration StartupWindow = std::chrono::seconds(3);
  /// A starting daemon first reads the VM list, after a random part of this.
  Duration StartupJitter = std::chrono::seconds(1);
  /// Reads/s of the other keys, over all daemons should all start at once.
  std::size_t StartupReadRate = 400;
  /// First backoff of a key that the platform has not answered yet.
  Duration StartupBackoff = std::chrono::seconds(2);
  Duration PullTimeout = std::chrono::seconds(1);
  /// A pull without an answer is repeated at another peer after this time.
  Duration PullRetryDelay = std::chrono::milliseconds(300);
  unsigned MaxPullAttempts = 4; ///< for one announcement
  /// A read without outcome for this long beyond its wait counts as failed.
  Duration ReadGrace = std::chrono::seconds(5);
};

/// Checks a value; a value with findings is not applied.
using ConfigValidator =
    std::function<state::Findings(ConfigKey, const std::string &)>;

/// Action: read `Key` from the platform and report with onRead(). Wait is zero
/// for a plain read; otherwise the call waits for a version above After.
struct ReadKey {
  ConfigKey Key;
  std::uint64_t After;
  Duration Wait;
};

/// Action: a newer valid version is in force.
struct ApplyValue {
  ConfigKey Key;
  std::uint64_t Version;
  std::shared_ptr<const std::string> Value;
};

/// Action: an invalid version was not applied.
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

/// Reads a digest as ConfigDistribution::digest() writes it.
std::optional<ConfigVersionVector> parseDigest(std::string_view digest);

/// Spreads versions of the configuration from the platform to all daemons.
class ConfigDistribution {
public:
  ConfigDistribution(ConfigDistributionOptions options, MemberId self,
                     ConfigValidator validator, std::mt19937_64 random,
                     TimePoint now);

  /// Other live daemons. Seed peers have an address and an empty id; messages
  /// to an empty id are accepted by any receiver.
  void setPeers(std::vector<ListedVm> peers);
  /// The number of other daemons in the VM list, for the start-up majority.
  void setListedPeers(std::size_t n) { ListedPeers = n; }
  void setReader(bool isReader) { IsReader = isReader; }

  ConfigActions tick(TimePoint now);
  ConfigActions onRead(ConfigKey key, const ReadOutcome &outcome,
                       TimePoint now);
  ConfigActions receive(const ListedVm &from, const protocol::FleetBody &body,
                        TimePoint now);
  /// A digest that came with a heartbeat.
  ConfigActions onDigest(const ListedVm &from, std::string_view digest,
                         TimePoint now);

  /// For Membership::setDigest().
  std::string digest() const;

  /// Whether the start-up window has ended with a valid version of every key.
  bool isReady() const { return IsReady; }
  ConfigVersionVector versions() const;
  /// The highest invalid version seen, zero if none; by key.
  std::uint64_t rejectedVersion(ConfigKey key) const;
  /// Whether the last answer for any key was older than what is in force.
  bool isPlatformStale() const;
  std::uint64_t readsIssued() const { return ReadsIssued; }

private:
  struct Entry {
    std::uint64_t Version = 0;         // in force
    std::uint64_t RejectedVersion = 0; // highest invalid
    std::shared_ptr<const std::string> Value;
    bool IsReading = false;
    bool HasBeenRead = false; // the platform, since start
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
  bool StartupReadsScheduled = false; // the start-up reads have been scheduled
  TimePoint StartedAt;
  TimePoint NextPullAt;
  std::optional<TimePoint> PullStartedAt;
  ConfigVersionVector PullTarget{}; ///< announced by peers
  unsigned PullAttempts = 0;
  std::uint64_t ReadsIssued = 0;
};

} // namespace galenaflow::coordination

#endif
