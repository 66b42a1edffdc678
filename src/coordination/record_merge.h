#ifndef GALENAFLOW_COORDINATION_RECORD_MERGE_H
#define GALENAFLOW_COORDINATION_RECORD_MERGE_H

#include <cstddef>
#include <span>
#include <string>
#include <string_view>

namespace galenaflow::coordination {

/// Size of an opaque record in bytes.
constexpr std::size_t RecordBytes = 16;

/// The greatest `limit` records of all parts, in descending byte order. The
/// records of a part are in no particular order. Equal records are not
/// deduplicated. An incomplete record at the end of a part is ignored.
std::string mergeRecords(std::span<const std::string_view> parts,
                         std::size_t limit);

} // namespace galenaflow::coordination

#endif
