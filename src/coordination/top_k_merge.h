#ifndef GALENAFLOW_COORDINATION_TOP_K_MERGE_H
#define GALENAFLOW_COORDINATION_TOP_K_MERGE_H

#include "coordination/sub_request.h"

#include <span>

namespace galenaflow::coordination {

/// Order of hits in an answer: descending score, then ascending id.
bool hitBefore(const Hit &a, const Hit &b);

/// Whether all scores are finite and the hits are ordered by hitBefore().
bool hitsInOrder(std::span<const Hit> hits);

struct MergedHits {
  std::vector<Hit> Hits;        ///< views into the merged lists' bodies
  std::uint32_t Duplicates = 0; ///< hits removed because of an equal id
};

/// Merges lists that are ordered by hitBefore() into the first `limit` hits
/// with distinct ids. Of hits with the same id, the first is kept.
MergedHits mergeTopK(std::span<const std::span<const Hit>> lists,
                     std::size_t limit);

} // namespace galenaflow::coordination

#endif
