#ifndef GALENAFLOW_STANDIN_SETTINGS_READER_H
#define GALENAFLOW_STANDIN_SETTINGS_READER_H

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

namespace galenaflow::standin {

/// Reads settings from a JSON object. `Fault` is empty as long as all values
/// have the expected types; `Used` counts the names that were found.
struct SettingsReader {
  const nlohmann::json &Changes;
  std::string Fault;
  std::size_t Used = 0;

  const nlohmann::json *find(const char *name) {
    const auto it = Changes.find(name);
    if (it == Changes.end())
      return nullptr;
    ++Used;
    return &*it;
  }
  void read(const char *name, double &value) {
    const nlohmann::json *item = find(name);
    if (item != nullptr && item->is_number())
      value = item->get<double>();
    else if (item != nullptr)
      Fault = std::string(name) + " must be a number";
  }
  void read(const char *name, std::uint32_t &value) {
    const nlohmann::json *item = find(name);
    if (item != nullptr && item->is_number_unsigned())
      value = item->get<std::uint32_t>();
    else if (item != nullptr)
      Fault = std::string(name) + " must be a non-negative integer";
  }
  void read(const char *name, bool &value) {
    const nlohmann::json *item = find(name);
    if (item != nullptr && item->is_boolean())
      value = item->get<bool>();
    else if (item != nullptr)
      Fault = std::string(name) + " must be true or false";
  }
  void read(const char *name, std::string &value) {
    const nlohmann::json *item = find(name);
    if (item != nullptr && item->is_string())
      value = item->get<std::string>();
    else if (item != nullptr)
      Fault = std::string(name) + " must be a string";
  }
};

} // namespace galenaflow::standin

#endif
