#include "standin/listing_data.h"

#include <algorithm>
#include <cstdio>

// The hash is FNV-1a with a final mix. std::hash is not used, because its
// values may differ between the process that serves a response and the process
// that checks it.

namespace galenaflow::standin {

namespace {

std::uint64_t mix(std::uint64_t x) {
  x ^= x >> 30;
  x *= 0xbf58476d1ce4e5b9ULL;
  x ^= x >> 27;
  x *= 0x94d049bb133111ebULL;
  return x ^ (x >> 31);
}

constexpr std::uint64_t AbsenceSeed = 0x5eedULL;
constexpr std::uint64_t ShardSeed = 0x54a4dULL;
constexpr std::uint64_t MatchSeed = 0x3a7c4ULL;
constexpr std::uint64_t ScoreSeed = 0x5c04eULL;
constexpr std::uint64_t ScoreSteps = 1'000'000;

} // namespace

std::uint64_t stableHash(std::string_view text, std::uint64_t seed) {
  std::uint64_t x = 0xcbf29ce484222325ULL ^ mix(seed + 1);
  for (const char c : text) {
    x ^= static_cast<unsigned char>(c);
    x *= 0x100000001b3ULL;
  }
  return mix(x);
}

bool ListingIndex::contains(std::uint32_t listing) const {
  return mix(stableHash(Service, AbsenceSeed + Snapshot) + listing) % 16 != 0;
}

std::uint32_t ListingIndex::shardOf(std::uint32_t listing) const {
  const std::uint64_t x = mix(stableHash(Service, ShardSeed) + listing);
  return static_cast<std::uint32_t>(x % ShardCount);
}

std::string ListingIndex::idOf(std::uint32_t listing) const {
  char buf[16];
  std::snprintf(buf, sizeof(buf), "-%06u", listing);
  return Service + buf;
}

std::vector<std::uint32_t>
ListingIndex::listingsInShard(std::uint32_t shard) const {
  std::vector<std::uint32_t> found;
  for (std::uint32_t i = 0; i != Listings; ++i)
    if (shardOf(i) == shard && contains(i))
      found.push_back(i);
  return found;
}

bool ListingIndex::matches(std::string_view query,
                           std::uint32_t listing) const {
  return mix(stableHash(query, MatchSeed) + listing) % 2 == 0;
}

double ListingIndex::scoreOf(std::string_view query,
                             std::uint32_t listing) const {
  const std::uint64_t x =
      mix(stableHash(query, ScoreSeed + Snapshot) + listing);
  return static_cast<double>(x % ScoreSteps) / static_cast<double>(ScoreSteps);
}

std::vector<ListingHit>
ListingIndex::bestHits(std::string_view query,
                       const std::vector<std::uint32_t> &listings,
                       std::size_t limit) const {
  const std::uint64_t matchSeed = stableHash(query, MatchSeed);
  const std::uint64_t scoreSeed = stableHash(query, ScoreSeed + Snapshot);
  std::vector<std::pair<std::uint64_t, std::uint32_t>> scored;
  for (const std::uint32_t i : listings)
    if (mix(matchSeed + i) % 2 == 0)
      scored.emplace_back(mix(scoreSeed + i) % ScoreSteps, i);
  std::sort(scored.begin(), scored.end(), [](const auto &a, const auto &b) {
    return a.first != b.first ? a.first > b.first : a.second < b.second;
  });
  scored.resize(std::min(limit, scored.size()));
  std::vector<ListingHit> hits;
  hits.reserve(scored.size());
  for (const auto &[steps, i] : scored)
    hits.push_back({idOf(i), static_cast<double>(steps) /
                                 static_cast<double>(ScoreSteps)});
  return hits;
}

std::vector<ListingHit>
ListingIndex::expectedHits(std::string_view query,
                           const std::vector<std::uint32_t> &shards,
                           std::size_t limit) const {
  std::vector<std::uint32_t> listings;
  for (std::uint32_t i = 0; i != Listings; ++i)
    if (contains(i) &&
        std::find(shards.begin(), shards.end(), shardOf(i)) != shards.end())
      listings.push_back(i);
  return bestHits(query, listings, limit);
}

std::vector<ListingHit> ListingIndex::expectedHits(std::string_view query,
                                                   std::size_t limit) const {
  std::vector<std::uint32_t> shards(ShardCount);
  for (std::uint32_t i = 0; i != ShardCount; ++i)
    shards[i] = i;
  return expectedHits(query, shards, limit);
}

} // namespace galenaflow::standin
