#ifndef GALENAFLOW_STATE_DISTINCT_COUNT_H
#define GALENAFLOW_STATE_DISTINCT_COUNT_H

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace galenaflow::state {

/// Counts distinct names. A name that is added several times, or to several
/// counters that are merged by fromValues(), counts once. The count is exact
/// below MaxValues; above it, it is an estimate, which is within 2.2 % of the
/// true number in two of three cases.
class DistinctCount {
public:
  /// Hashes that are kept (8 KB). The system is designed for up to 1,300
  /// daemons, which are thus counted exactly.
  static constexpr std::size_t MaxValues = 2048;

  void add(std::string_view name);

  std::uint32_t count() const;

  /// The hashes that are kept, for messages: ascending, without duplicates.
  std::span<const std::uint32_t> values() const { return Values; }

  /// Makes a counter from the values() of one or several counters, in any
  /// order. A name that is in several of them counts once.
  static DistinctCount fromValues(std::vector<std::uint32_t> values);

  bool operator==(const DistinctCount &) const = default;

private:
  void normalize();

  std::vector<std::uint32_t> Values;
};

} // namespace galenaflow::state

#endif
