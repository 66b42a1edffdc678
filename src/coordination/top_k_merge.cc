#include "coordination/top_k_merge.h"

#include <algorithm>
#include <cmath>
#include <unordered_set>

// A k-way merge: a binary heap holds the unread rest of each list that is not
// exhausted, with the best first hit on top. Only as many hits are read as the
// answer needs, and bodies are not copied, since hits are views.

namespace galenaflow::coordination {

bool hitBefore(const Hit &a, const Hit &b) {
  if (a.Score != b.Score)
    return a.Score > b.Score;
  return a.Id < b.Id;
}

bool hitsInOrder(std::span<const Hit> hits) {
  for (std::size_t i = 0; i < hits.size(); ++i) {
    if (!std::isfinite(hits[i].Score))
      return false;
    if (i > 0 && hitBefore(hits[i], hits[i - 1]))
      return false;
  }
  return true;
}

MergedHits mergeTopK(std::span<const std::span<const Hit>> lists,
                     std::size_t limit) {
  std::vector<std::span<const Hit>> heap;
  heap.reserve(lists.size());
  for (const auto &list : lists)
    if (!list.empty())
      heap.push_back(list);
  const auto after = [](const auto &a, const auto &b) {
    return hitBefore(b.front(), a.front());
  };
  std::make_heap(heap.begin(), heap.end(), after);

  MergedHits merged;
  std::unordered_set<std::string_view> seen;
  while (!heap.empty() && merged.Hits.size() < limit) {
    std::pop_heap(heap.begin(), heap.end(), after);
    std::span<const Hit> &list = heap.back();
    if (seen.insert(list.front().Id).second)
      merged.Hits.push_back(list.front());
    else
      ++merged.Duplicates;
    list = list.subspan(1);
    if (list.empty())
      heap.pop_back();
    else
      std::push_heap(heap.begin(), heap.end(), after);
  }
  return merged;
}

} // namespace galenaflow::coordination
