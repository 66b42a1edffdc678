#ifndef GALENAFLOW_COORDINATION_RECORD_MERGE_H
#define GALENAFLOW_COORDINATION_RECORD_MERGE_H

#include <cstddef>
#include <span>
#include <string>
#include <string_view>

namespace galenaflow::coordination {

/// Size of an opaque record in bytes.
constexpr std::size_t RecordBytes = 16;

/// The greatest `limit` records of all parts in descending byte order. Records
/// in a part have no order. Equal records all count. A remainder of a part that
/// is shorter than a record is ignored.
std::string mergeRecords(std::span<const std::string_view> parts,
                         std::size_t limit);

} // namespace galenaflow::coordination

#endif
