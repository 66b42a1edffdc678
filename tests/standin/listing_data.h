#ifndef GALENAFLOW_STANDIN_LISTING_DATA_H
#define GALENAFLOW_STANDIN_LISTING_DATA_H

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// The index that the stand-ins serve. It is a pure function of the service,
/// the snapshot and the listing, so a test can compute the complete answer to
/// any query without a request to a replica.
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
  std::uint32_t Listings = 1000; ///< number of possible listings
  std::uint32_t ShardCount = 1;  ///< shards of the snapshot's layout

  /// Whether the snapshot has the listing. Each snapshot lacks a different set
  /// of about one listing in 16, so that an answer mixed from two snapshots
  /// differs from the answers of both.
  bool contains(std::uint32_t listing) const;

  /// Returns the one shard that has the listing.
  std::uint32_t shardOf(std::uint32_t listing) const;

  /// Returns the id of a listing, for example "archivio-000123".
  std::string idOf(std::uint32_t listing) const;

  /// Returns the listings of a shard in ascending order.
  std::vector<std::uint32_t> listingsInShard(std::uint32_t shard) const;

  /// Whether a listing matches a query; about half of the listings do.
  bool matches(std::string_view query, std::uint32_t listing) const;

  /// Returns the score of a listing for a query, in [0, 1) with six decimal
  /// digits.
  double scoreOf(std::string_view query, std::uint32_t listing) const;

  /// Returns the best `limit` of the `listings` that match the query, by
  /// descending score, then by id.
  std::vector<ListingHit> bestHits(std::string_view query,
                                   const std::vector<std::uint32_t> &listings,
                                   std::size_t limit) const;

  /// Returns the hits of a query over the given shards.
  std::vector<ListingHit> expectedHits(std::string_view query,
                                       const std::vector<std::uint32_t> &shards,
                                       std::size_t limit) const;

  /// Returns the hits of a query over all shards.
  std::vector<ListingHit> expectedHits(std::string_view query,
                                       std::size_t limit) const;
};

/// Returns a seeded hash that is the same in every process.
std::uint64_t stableHash(std::string_view text, std::uint64_t seed);

} // namespace galenaflow::standin

#endif
