#ifndef GALENAFLOW_STATE_EVACUATION_H
#define GALENAFLOW_STATE_EVACUATION_H

#include <cstddef>
#include <functional>
#include <set>
#include <string>

namespace galenaflow::state {

/// Names of the data centres whose backend servers get no requests, as decided
/// by the operator.
using EvacuatedDataCentres = std::set<std::string, std::less<>>;

/// The begin or the end of the evacuation of one data centre.
struct EvacuationChange {
  std::string DataCentre;
  bool IsEvacuated = false;

  bool operator==(const EvacuationChange &) const = default;
};

/// Most data centres that can be evacuated at the same time. Each daemon sends
/// all of them in each reply about the directory, about once a second.
inline constexpr std::size_t MaxEvacuatedDataCentres = 64;

/// Longest name of a data centre that can be evacuated, in bytes.
inline constexpr std::size_t MaxDataCentreNameBytes = 255;

} // namespace galenaflow::state

#endif
