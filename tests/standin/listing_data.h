#ifndef GALENAFLOW_STANDIN_LISTING_DATA_H
#define GALENAFLOW_STANDIN_LISTING_DATA_H

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// The index that the stand-ins serve. All of it is a function of the service,
/// the snapshot and the listing, so that a test can compute the complete answer
/// to any query without asking a replica.
namespace galenaflow::standin {

/// One listing as a hit of a query.
struct ListingHit {
  std::string Id;
  double Score = 0;

  bool operator==(const ListingHit &) const = default;
};

/// An index of one service at one snapshot.
struct ListingIndex {
  std::string Service;
  std::uint64_t Snapshot = 0;
  std::uint32_t Listings = 1000; ///< numbers of possible listings
  std::uint32_t ShardCount = 1;  ///< shards of the snapshot's layout

  /// About one listing in 16 is absent from a snapshot, another one in each,
  /// so that an answer mixed from two snapshots differs from both.
  bool contains(std::uint32_t listing) const;

  /// The only shard that holds the listing.
  std::uint32_t shardOf(std::uint32_t listing) const;

  /// The id of a listing, for example "archivio-000123".
  std::string idOf(std::uint32_t listing) const;

  /// The listings of a shard in ascending order.
  std::vector<std::uint32_t> listingsOf(std::uint32_t shard) const;

  /// Whether a query finds a listing; about half of the listings match.
  bool matches(std::string_view query, std::uint32_t listing) const;

  /// Score in [0, 1) with six decimal digits.
  double scoreOf(std::string_view query, std::uint32_t listing) const;

  /// The best `limit` of `listings`, by descending score, then by id.
  std::vector<ListingHit> topOf(std::string_view query,
                                const std::vector<std::uint32_t> &listings,
                                std::size_t limit) const;

  /// The answer to a query over the given shards.
  std::vector<ListingHit> expectedHits(std::string_view query,
                                       const std::vector<std::uint32_t> &shards,
                                       std::size_t limit) const;

  /// The answer to a query over all shards.
  std::vector<ListingHit> expectedHits(std::string_view query,
                                       std::size_t limit) const;
};

/// A seeded hash that is the same in every process.
std::uint64_t stableHash(std::string_view text, std::uint64_t seed);

} // namespace galenaflow::standin

#endif
