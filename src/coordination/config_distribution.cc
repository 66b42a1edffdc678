#include "coordination/config_distribution.h"

#include <algorithm>

// A version is applied only when it is higher than the one in force and valid,
// from whatever source, so neither a stale platform nor a rejoining peer can
// bring an older one back. An applied version is pushed to a few random peers,
// which push it on; digests on heartbeats find whoever was missed. A reader
// keeps one call per key at the platform. Its watch asks for versions above
// the highest seen, including invalid ones, because a watch above the version
// in force would return the same invalid version again and again.
//
// All daemons can start at once, and their reads share the rate that the
// platform allows. The size of the fleet is known only from the VM list, so a
// starting daemon reads that key alone, and then spreads its other reads over
// a time in proportion to the size. What peers deliver before the start-up
// window ends need not be read. docs/CAPACITY.md derives the numbers.

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
      Random(random), StartedAt(now), NextAsk(now) {
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
      (!IsReady && !Entries[static_cast<std::size_t>(key)].HasAnswered);
  return isNeeded && (IsSpread || key == ConfigKey::Vms);
}

void ConfigDistribution::spreadStartupReads(TimePoint now) {
  if (IsSpread || entry(ConfigKey::Vms).Version == 0)
    return;
  IsSpread = true;
  const std::size_t reads = (ConfigKeyCount - 1) * (ListedPeers + 1);
  const Duration limit = Duration(std::chrono::seconds(reads)) /
                         static_cast<Duration::rep>(Options.StartupReadRate);
  for (const ConfigKey key : AllKeys)
    if (key != ConfigKey::Vms)
      entry(key).NextRead = now + jittered(limit);
}

ConfigActions ConfigDistribution::tick(TimePoint now) {
  ConfigActions actions;
  spreadStartupReads(now);
  for (const ConfigKey key : AllKeys) {
    Entry &it = entry(key);
    const Duration wait = Options.WatchWait + Options.ReadGrace;
    if (it.IsReading && now - it.IssuedAt > wait)
      fail(it, now);
    if (!it.IsReading && mayRead(key) && now >= it.NextRead)
      issueRead(key, now, actions);
  }
  if (!IsReady && now >= NextAsk)
    askPeers(now, actions);
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
  // The first read does not wait, so that start-up learns the value at once.
  const bool isWatch = it.HasAnswered && key != ConfigKey::Vms;
  actions.emplace_back(ReadKey{key, std::max(it.Version, it.Rejected),
                               isWatch ? Options.WatchWait : Duration(0)});
}

void ConfigDistribution::fail(Entry &it, TimePoint now) {
  it.IsReading = false;
  const unsigned doublings = std::min(it.Failures++, 16U);
  const Duration first =
      it.HasAnswered ? Options.FirstBackoff : Options.StartupBackoff;
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
    fail(it, now);
    return actions;
  }
  it.IsReading = false;
  it.HasAnswered = true;
  it.Failures = 0;
  const Duration spacing =
      key == ConfigKey::Vms ? Options.VmPollPeriod : Options.MinReadSpacing;
  it.NextRead = std::max(now, it.IssuedAt + spacing);
  if (const auto *value = std::get_if<ReadValue>(&outcome)) {
    it.IsStale = value->Version < it.Version;
    // A new version ends the watch early; the next watch follows at once.
    if (offer(key, value->Version, value->Value, actions) &&
        key != ConfigKey::Vms)
      it.NextRead = now;
  }
  checkReady(now);
  return actions;
}

bool ConfigDistribution::offer(ConfigKey key, std::uint64_t version,
                               const std::string &value,
                               ConfigActions &actions) {
  Entry &it = entry(key);
  if (version <= it.Version || version == it.Rejected)
    return false;
  state::Findings faults = Validator(key, value);
  if (!faults.empty()) {
    it.Rejected = std::max(it.Rejected, version);
    actions.emplace_back(ReportInvalid{key, version, std::move(faults)});
    return true;
  }
  it.Version = version;
  it.Value = std::make_shared<const std::string>(value);
  actions.emplace_back(ApplyValue{key, version, it.Value});
  push(key, actions);
  return true;
}

void ConfigDistribution::push(ConfigKey key, ConfigActions &actions) {
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

void ConfigDistribution::askPeers(TimePoint now, ConfigActions &actions) {
  NextAsk = now + Options.PullTimeout;
  if (Peers.empty())
    return;
  // A majority must answer, so a small fleet is asked completely. A large one
  // is asked in rounds: the number bounds the load of one starting daemon.
  std::vector<ListedVm> targets;
  constexpr std::size_t asked = 16;
  std::sample(Peers.begin(), Peers.end(), std::back_inserter(targets), asked,
              Random);
  for (const ListedVm &to : targets)
    actions.emplace_back(
        SendMessage{to.Id, to.Address, ConfigPull{versions()}});
}

void ConfigDistribution::checkReady(TimePoint now) {
  if (IsReady)
    return;
  const bool hasAll = std::ranges::all_of(
      Entries, [](const Entry &it) { return it.Version != 0; });
  const bool hasPlatform = std::ranges::all_of(
      Entries, [](const Entry &it) { return it.HasAnswered; });
  const bool hasMajority =
      ListedPeers == 0 || AnsweredPeers.size() * 2 > ListedPeers;
  const bool isOver = now - StartedAt >= Options.StartupWindow;
  IsReady = hasAll && ((hasPlatform && hasMajority) || isOver);
  if (IsReady)
    AnsweredPeers.clear();
}

ConfigActions ConfigDistribution::receive(const ListedVm &from,
                                          const protocol::FleetBody &body,
                                          TimePoint now) {
  ConfigActions actions;
  if (const auto *value = std::get_if<ConfigValue>(&body))
    offer(value->Key, value->Version, value->Value, actions);
  if (const auto *pull = std::get_if<ConfigPull>(&body))
    answerPull(from, pull->Versions, actions);
  if (const auto *digest = std::get_if<ConfigDigest>(&body)) {
    PullSince.reset();
    pullIfBehind(from, digest->Versions, now, actions);
    if (!IsReady && !isBehind(digest->Versions))
      AnsweredPeers.insert(from.Id);
  }
  checkReady(now);
  return actions;
}

ConfigActions ConfigDistribution::onDigest(const ListedVm &from,
                                           std::string_view digest,
                                           TimePoint now) {
  ConfigActions actions;
  if (const auto theirs = parseDigest(digest))
    pullIfBehind(from, *theirs, now, actions);
  return actions;
}

bool ConfigDistribution::isBehind(const ConfigVersionVector &theirs) const {
  for (std::size_t i = 0; i != ConfigKeyCount; ++i)
    if (theirs[i] > Entries[i].Version && theirs[i] != Entries[i].Rejected)
      return true;
  return false;
}

void ConfigDistribution::pullIfBehind(const ListedVm &from,
                                      const ConfigVersionVector &theirs,
                                      TimePoint now, ConfigActions &actions) {
  if (!isBehind(theirs))
    return;
  // One pull at a time: many peers announce the same version together.
  if (PullSince && now - *PullSince < Options.PullTimeout)
    return;
  PullSince = now;
  PullTarget = theirs;
  Pulls = 1;
  actions.emplace_back(
      SendMessage{from.Id, from.Address, ConfigPull{versions()}});
}

// A lost pull or answer would otherwise be repeated only at the next digest,
// about a second later, which leaves no room for a second loss within the 2 s
// in which a change must be in force.
void ConfigDistribution::retryPull(TimePoint now, ConfigActions &actions) {
  if (!PullSince || now - *PullSince < Options.PullRetry)
    return;
  if (!isBehind(PullTarget) || Pulls >= Options.MaxPulls || Peers.empty()) {
    PullSince.reset();
    return;
  }
  PullSince = now;
  ++Pulls;
  std::uniform_int_distribution<std::size_t> any(0, Peers.size() - 1);
  const ListedVm &to = Peers[any(Random)];
  actions.emplace_back(SendMessage{to.Id, to.Address, ConfigPull{versions()}});
}

void ConfigDistribution::answerPull(const ListedVm &to,
                                    const ConfigVersionVector &theirs,
                                    ConfigActions &actions) const {
  for (const ConfigKey key : AllKeys) {
    const auto i = static_cast<std::size_t>(key);
    const Entry &it = Entries[i];
    if (it.Value && it.Version > theirs[i])
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
  return Entries[static_cast<std::size_t>(key)].Rejected;
}

bool ConfigDistribution::isPlatformStale() const {
  return std::ranges::any_of(Entries,
                             [](const Entry &it) { return it.IsStale; });
}

} // namespace galenaflow::coordination
