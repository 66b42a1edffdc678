#include "coordination/record_merge.h"

#include <algorithm>
#include <vector>

// Records are not moved; only views of them are sorted. Most records cost one
// comparison, since few reach the answer.

namespace galenaflow::coordination {

std::string mergeRecords(std::span<const std::string_view> parts,
                         std::size_t limit) {
  std::vector<std::string_view> records;
  for (std::string_view part : parts)
    for (; part.size() >= RecordBytes; part.remove_prefix(RecordBytes))
      records.push_back(part.substr(0, RecordBytes));
  const std::size_t n = std::min(limit, records.size());
  std::partial_sort(records.begin(),
                    records.begin() + static_cast<std::ptrdiff_t>(n),
                    records.end(), std::greater<>());
  std::string merged;
  merged.reserve(n * RecordBytes);
  for (std::size_t i = 0; i != n; ++i)
    merged += records[i];
  return merged;
}

} // namespace galenaflow::coordination
