#ifndef GALENAFLOW_STATE_DISTINCT_COUNT_H
#define GALENAFLOW_STATE_DISTINCT_COUNT_H

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace galenaflow::state {

/// Counts distinct names that are reported in several places, each as often as
/// it likes. Exact below MaxValues; beyond that an estimate, within 2.2 % of
/// the truth in two of three cases.
class DistinctCount {
public:
  /// 8 KB. More than the 1,300 daemons of the size to design for.
  static constexpr std::size_t MaxValues = 2048;

  void add(std::string_view name);

  std::uint32_t count() const;

  /// For messages: ascending, without repetition.
  std::span<const std::uint32_t> values() const { return Values; }

  /// From the values of one or several counters, in any order. A name that
  /// several of them have counted counts once.
  static DistinctCount fromValues(std::vector<std::uint32_t> values);

  bool operator==(const DistinctCount &) const = default;

private:
  void normalize();

  std::vector<std::uint32_t> Values;
};

} // namespace galenaflow::state

#endif
