#ifndef GALENAFLOW_PROTOCOL_JSON_READER_H
#define GALENAFLOW_PROTOCOL_JSON_READER_H

#include "protocol/parsed.h"

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <set>
#include <string>

/// Strict reading of JSON objects. Used by the sources of this layer only.
namespace galenaflow::protocol {

/// Parses `text`. Reports a syntax error and names that occur twice in one
/// object. Returns a discarded value after a syntax error.
nlohmann::json parseJson(std::string_view text, state::Findings &findings);

/// Serialises a value without throwing. Invalid UTF-8 is replaced.
std::string dumpJson(const nlohmann::json &value);

/// Returns "PLACE/NAME", with NAME escaped as a JSON Pointer token.
std::string pointerTo(std::string_view place, std::string_view name);
std::string pointerTo(std::string_view place, std::size_t index);

/// Whether a field must be present.
enum class Presence { Required, Optional };

/// Reads the fields of one JSON object and collects all faults. The functions
/// that read a field return nothing when it is absent or invalid; a required
/// field that is absent is a fault.
class ObjectReader {
public:
  /// Adds a finding when `value` is not an object.
  ObjectReader(const nlohmann::json &value, std::string place,
               state::Findings &findings);

  std::optional<std::string> text(const char *name, Presence presence);

  /// A string that satisfies isName().
  std::optional<std::string> name(const char *name, Presence presence);
  std::optional<double> number(const char *name, double min, double max,
                               Presence presence);
  std::optional<std::uint64_t> integer(const char *name, std::uint64_t min,
                                       std::uint64_t max, Presence presence);

  /// These return null when the field is absent or of another type.
  const nlohmann::json *array(const char *name, Presence presence);
  const nlohmann::json *object(const char *name, Presence presence);

  /// Reports the fields that no call above has read.
  void rejectUnknownFields();

  std::string placeOf(std::string_view name) const;
  void report(std::string_view name, std::string_view message);

private:
  const nlohmann::json *field(const char *name, Presence presence);

  const nlohmann::json &Value;
  std::string Place;
  state::Findings &Errors;
  std::set<std::string, std::less<>> KnownFields;
};

} // namespace galenaflow::protocol

#endif
