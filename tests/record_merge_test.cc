#include "coordination/record_merge.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace galenaflow::coordination;

namespace {

/// Slow reference that copies and sorts all records.
std::string mergeBySorting(const std::vector<std::string> &parts,
                           std::size_t limit) {
  std::vector<std::string> records;
  for (const std::string &part : parts)
    for (std::size_t at = 0; at + RecordBytes <= part.size(); at += RecordBytes)
      records.push_back(part.substr(at, RecordBytes));
  std::sort(records.rbegin(), records.rend());
  std::string merged;
  for (std::size_t i = 0; i != std::min(limit, records.size()); ++i)
    merged += records[i];
  return merged;
}

} // namespace

// Guards against a comparison of signed bytes, equal records that are merged
// into one, and an incomplete record at the end of a part that is returned.
TEST_CASE("records compare by unsigned bytes, and equal records are all kept") {
  const std::string low(RecordBytes, '\x01');
  const std::string high(RecordBytes, '\xff');
  const std::string first = low + high + "rest";
  const std::vector<std::string_view> parts{first, high};
  CHECK(mergeRecords(parts, 3) == high + high + low);
  CHECK(mergeRecords(parts, 1) == high);
  CHECK(mergeRecords(parts, 9) == high + high + low);
  CHECK(mergeRecords({}, 9).empty());
}

// Guards against records that the merge loses or puts in the wrong order.
TEST_CASE("a merge gives the same records as a full sort") {
  rc::check([](std::vector<std::string> parts, std::uint8_t limit) {
    // Repeating a part makes equal records and equal prefixes likely.
    for (std::string &part : parts) {
      std::string repeated;
      for (int i = 0; i != 8; ++i)
        repeated += part;
      part = repeated;
    }
    const std::vector<std::string_view> views(parts.begin(), parts.end());
    RC_ASSERT(mergeRecords(views, limit) == mergeBySorting(parts, limit));
  });
}
