#include "coordination/config_distribution.h"

#include <algorithm>

// A version is applied only if it is valid and higher than the one in force,
// whatever its source, so neither a stale platform nor a rejoining peer can
// restore an older one. An applied version is pushed to a few random peers,
// which push it to others. Digests on heartbeats reach the peers that missed
// it. A reader keeps one call per key open at the platform. Its watch requests
// versions above the highest seen, including invalid ones, because a watch
// above the version in force would return the same invalid version repeatedly.
//
// All daemons can start at the same time, and their reads share the rate that
// the platform allows. The size of the fleet is known only from the VM list, so
// a starting daemon first reads only that key, and then distributes its other
// reads over a time in proportion to the size. Values that peers deliver before
// the start-up window ends need not be read. docs/CAPACITY.md derives the
// numbers.

namespace galenaflow::coordination {

using protocol::ConfigDigest;
using protocol::ConfigPull;
using protocol::ConfigValue;

namespace {

constexpr std::size_t VersionBytes = 8;

constexpr std::array AllKeys{ConfigKey::Customers, ConfigKey::Plans,
                             ConfigKey::Services, ConfigKey::Vms};

} // namespace

std::optional<ConfigVersionVector> parseDigest(std::string_view digest) {
  ConfigVersionVector versions{};
  if (digest.size() < versions.size() * VersionBytes)
    return std::nullopt;
  for (std::size_t i = 0; i != versions.size() * VersionBytes; ++i)
    versions[i / VersionBytes] |=
        std::uint64_t{static_cast<unsigned char>(digest[i])}
        << (8 * (i % VersionBytes));
  return versions;
}

ConfigDistribution::ConfigDistribution(ConfigDistributionOptions options,
                                       MemberId self, ConfigValidator validator,
                                       std::mt19937_64 random, TimePoint now)
    : Options(options), Self(std::move(self)), Validator(std::move(validator)),
      Random(random), StartedAt(now), NextPullAt(now) {
  for (Entry &it : Entries)
    it.NextRead = now + jittered(Options.StartupJitter);
}

void ConfigDistribution::setPeers(std::vector<ListedVm> peers) {
  std::erase_if(peers, [&](const ListedVm &it) { return it.Id == Self; });
  Peers = std::move(peers);
}

Duration ConfigDistribution::jittered(Duration limit) {
  return Duration(
      std::uniform_int_distribution<Duration::rep>(0, limit.count())(Random));
}

bool ConfigDistribution::mayRead(ConfigKey key) const {
  const bool isNeeded =
      IsReader ||
      (!IsReady && !Entries[static_cast<std::size_t>(key)].HasBeenRead);
  return isNeeded && (StartupReadsScheduled || key == ConfigKey::Vms);
}

void ConfigDistribution::scheduleStartupReads(TimePoint now) {
  if (StartupReadsScheduled || entry(ConfigKey::Vms).Version == 0)
    return;
  StartupReadsScheduled = true;
  const std::size_t reads = (ConfigKeyCount - 1) * (ListedPeers + 1);
  const Duration limit = Duration(std::chrono::seconds(reads)) /
                         static_cast<Duration::rep>(Options.StartupReadRate);
  for (const ConfigKey key : AllKeys)
    if (key != ConfigKey::Vms)
      entry(key).NextRead = now + jittered(limit);
}

ConfigActions ConfigDistribution::tick(TimePoint now) {
  ConfigActions actions;
  scheduleStartupReads(now);
  for (const ConfigKey key : AllKeys) {
    Entry &it = entry(key);
    const Duration wait = Options.WatchWait + Options.ReadGrace;
    if (it.IsReading && now - it.IssuedAt > wait)
      onReadFailure(it, now);
    if (!it.IsReading && mayRead(key) && now >= it.NextRead)
      issueRead(key, now, actions);
  }
  if (!IsReady && now >= NextPullAt)
    pullFromPeers(now, actions);
  retryPull(now, actions);
  checkReady(now);
  return actions;
}

void ConfigDistribution::issueRead(ConfigKey key, TimePoint now,
                                   ConfigActions &actions) {
  Entry &it = entry(key);
  it.IsReading = true;
  it.IssuedAt = now;
  ++ReadsIssued;
  // The first read is not a watch, so that it returns the value immediately at
  // start-up.
  const bool isWatch = it.HasBeenRead && key != ConfigKey::Vms;
  actions.emplace_back(ReadKey{key, std::max(it.Version, it.RejectedVersion),
                               isWatch ? Options.WatchWait : Duration(0)});
}

void ConfigDistribution::onReadFailure(Entry &it, TimePoint now) {
  it.IsReading = false;
  const unsigned doublings = std::min(it.Failures++, 16U);
  const Duration first =
      it.HasBeenRead ? Options.MinBackoff : Options.StartupBackoff;
  const Duration limit =
      std::min(Options.MaxBackoff, first * (1U << doublings));
  it.NextRead = now + limit / 2 + jittered(limit / 2);
}

ConfigActions ConfigDistribution::onRead(ConfigKey key,
                                         const ReadOutcome &outcome,
                                         TimePoint now) {
  ConfigActions actions;
  Entry &it = entry(key);
  if (std::holds_alternative<ReadFailed>(outcome)) {
    onReadFailure(it, now);
    return actions;
  }
  it.IsReading = false;
  it.HasBeenRead = true;
  it.Failures = 0;
  const Duration spacing =
      key == ConfigKey::Vms ? Options.VmPollPeriod : Options.MinReadSpacing;
  it.NextRead = std::max(now, it.IssuedAt + spacing);
  if (const auto *value = std::get_if<ReadValue>(&outcome)) {
    it.IsStale = value->Version < it.Version;
    // A new version ends the watch early, and the next watch is issued
    // immediately.
    if (applyIfNewer(key, value->Version, value->Value, actions) &&
        key != ConfigKey::Vms)
      it.NextRead = now;
  }
  checkReady(now);
  return actions;
}

bool ConfigDistribution::applyIfNewer(ConfigKey key, std::uint64_t version,
                                      const std::string &value,
                                      ConfigActions &actions) {
  Entry &it = entry(key);
  if (version <= it.Version || version == it.RejectedVersion)
    return false;
  state::Findings faults = Validator(key, value);
  if (!faults.empty()) {
    it.RejectedVersion = std::max(it.RejectedVersion, version);
    actions.emplace_back(ReportInvalid{key, version, std::move(faults)});
    return true;
  }
  it.Version = version;
  it.Value = std::make_shared<const std::string>(value);
  actions.emplace_back(ApplyValue{key, version, it.Value});
  pushVersion(key, actions);
  return true;
}

void ConfigDistribution::pushVersion(ConfigKey key, ConfigActions &actions) {
  const Entry &it = entry(key);
  std::vector<ListedVm> targets;
  std::sample(Peers.begin(), Peers.end(), std::back_inserter(targets),
              Options.PushFanOut, Random);
  for (const ListedVm &to : targets) {
    if (it.Value->size() <= Options.MaxPushedBytes)
      actions.emplace_back(SendMessage{
          to.Id, to.Address, ConfigValue{key, it.Version, *it.Value}});
    else
      actions.emplace_back(
          SendMessage{to.Id, to.Address, ConfigDigest{versions()}});
  }
}

void ConfigDistribution::pullFromPeers(TimePoint now, ConfigActions &actions) {
  NextPullAt = now + Options.PullTimeout;
  if (Peers.empty())
    return;
  // A majority must reply, so in a small fleet all peers are sent a pull. In a
  // large one, pulls are sent in rounds; the maximum per round limits the load
  // that one starting daemon causes.
  std::vector<ListedVm> targets;
  constexpr std::size_t maxTargets = 16;
  std::sample(Peers.begin(), Peers.end(), std::back_inserter(targets),
              maxTargets, Random);
  for (const ListedVm &to : targets)
    actions.emplace_back(
        SendMessage{to.Id, to.Address, ConfigPull{versions()}});
}

void ConfigDistribution::checkReady(TimePoint now) {
  if (IsReady)
    return;
  const bool allInForce = std::ranges::all_of(
      Entries, [](const Entry &it) { return it.Version != 0; });
  const bool allRead = std::ranges::all_of(
      Entries, [](const Entry &it) { return it.HasBeenRead; });
  const bool majorityReplied =
      ListedPeers == 0 || RepliedPeers.size() * 2 > ListedPeers;
  const bool windowEnded = now - StartedAt >= Options.StartupWindow;
  IsReady = allInForce && ((allRead && majorityReplied) || windowEnded);
  if (IsReady)
    RepliedPeers.clear();
}

ConfigActions ConfigDistribution::receive(const ListedVm &from,
                                          const protocol::FleetBody &body,
                                          TimePoint now) {
  ConfigActions actions;
  if (const auto *value = std::get_if<ConfigValue>(&body))
    applyIfNewer(value->Key, value->Version, value->Value, actions);
  if (const auto *pull = std::get_if<ConfigPull>(&body))
    replyToPull(from, pull->Versions, actions);
  if (const auto *digest = std::get_if<ConfigDigest>(&body)) {
    PullStartedAt.reset();
    pullIfBehind(from, digest->Versions, now, actions);
    if (!IsReady && !isBehind(digest->Versions))
      RepliedPeers.insert(from.Id);
  }
  checkReady(now);
  return actions;
}

ConfigActions ConfigDistribution::onDigest(const ListedVm &from,
                                           std::string_view digest,
                                           TimePoint now) {
  ConfigActions actions;
  if (const auto peerVersions = parseDigest(digest))
    pullIfBehind(from, *peerVersions, now, actions);
  return actions;
}

bool ConfigDistribution::isBehind(
    const ConfigVersionVector &peerVersions) const {
  for (std::size_t i = 0; i != ConfigKeyCount; ++i)
    if (peerVersions[i] > Entries[i].Version &&
        peerVersions[i] != Entries[i].RejectedVersion)
      return true;
  return false;
}

void ConfigDistribution::pullIfBehind(const ListedVm &from,
                                      const ConfigVersionVector &peerVersions,
                                      TimePoint now, ConfigActions &actions) {
  if (!isBehind(peerVersions))
    return;
  // Only one pull is open at a time, because many peers announce the same
  // version at the same time.
  if (PullStartedAt && now - *PullStartedAt < Options.PullTimeout)
    return;
  PullStartedAt = now;
  PullTarget = peerVersions;
  PullAttempts = 1;
  actions.emplace_back(
      SendMessage{from.Id, from.Address, ConfigPull{versions()}});
}

// Without the retry, a lost pull or reply would be repeated only after the next
// digest, about a second later. A second loss would then exceed the 2 s within
// which a change must be in force.
void ConfigDistribution::retryPull(TimePoint now, ConfigActions &actions) {
  if (!PullStartedAt || now - *PullStartedAt < Options.PullRetryDelay)
    return;
  if (!isBehind(PullTarget) || PullAttempts >= Options.MaxPullAttempts ||
      Peers.empty()) {
    PullStartedAt.reset();
    return;
  }
  PullStartedAt = now;
  ++PullAttempts;
  std::uniform_int_distribution<std::size_t> any(0, Peers.size() - 1);
  const ListedVm &to = Peers[any(Random)];
  actions.emplace_back(SendMessage{to.Id, to.Address, ConfigPull{versions()}});
}

void ConfigDistribution::replyToPull(const ListedVm &to,
                                     const ConfigVersionVector &peerVersions,
                                     ConfigActions &actions) const {
  for (const ConfigKey key : AllKeys) {
    const auto i = static_cast<std::size_t>(key);
    const Entry &it = Entries[i];
    if (it.Value && it.Version > peerVersions[i])
      actions.emplace_back(SendMessage{
          to.Id, to.Address, ConfigValue{key, it.Version, *it.Value}});
  }
  actions.emplace_back(
      SendMessage{to.Id, to.Address, ConfigDigest{versions()}});
}

std::string ConfigDistribution::digest() const {
  std::string result;
  for (const Entry &it : Entries)
    for (std::size_t i = 0; i != VersionBytes; ++i)
      result += static_cast<char>((it.Version >> (8 * i)) & 0xffU);
  return result;
}

ConfigVersionVector ConfigDistribution::versions() const {
  ConfigVersionVector result{};
  for (std::size_t i = 0; i != ConfigKeyCount; ++i)
    result[i] = Entries[i].Version;
  return result;
}

std::uint64_t ConfigDistribution::rejectedVersion(ConfigKey key) const {
  return Entries[static_cast<std::size_t>(key)].RejectedVersion;
}

bool ConfigDistribution::isPlatformStale() const {
  return std::ranges::any_of(Entries,
                             [](const Entry &it) { return it.IsStale; });
}

} // namespace galenaflow::coordination
