#ifndef GALENAFLOW_COORDINATION_STRING_MAP_H
#define GALENAFLOW_COORDINATION_STRING_MAP_H

#include <string>
#include <string_view>
#include <unordered_map>

namespace galenaflow::coordination {

/// Hashes strings and views alike, which allows a lookup by string_view.
struct StringHash {
  using is_transparent = void;
  std::size_t operator()(std::string_view s) const {
    return std::hash<std::string_view>{}(s);
  }
};

/// A hash map with string keys that finds by string_view, without a temporary
/// string.
template <typename T>
using StringMap =
    std::unordered_map<std::string, T, StringHash, std::equal_to<>>;

} // namespace galenaflow::coordination

#endif
