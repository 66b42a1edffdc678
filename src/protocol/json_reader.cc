// Objects are read field by field. Each read marks its field as known, so the
// fields that are unmarked at the end are unknown. nlohmann/json keeps the last
// of two equal names; a parser callback reports duplicates, because a limit
// that an operator wrote twice must not be dropped silently.
#include "protocol/json_reader.h"

#include <arpa/inet.h>
#include <charconv>
#include <cmath>
#include <nlohmann/json.hpp>
#include <vector>

namespace galenaflow::protocol {

using nlohmann::json;

namespace {

/// Reports names that occur twice in one object. Holds the names of each object
/// that the parser is inside.
class DuplicateNameDetector {
public:
  explicit DuplicateNameDetector(state::Findings &findings)
      : Errors(findings) {}

  bool onEvent(json::parse_event_t event, const json &parsed) {
    if (event == json::parse_event_t::object_start)
      OpenObjects.emplace_back();
    else if (event == json::parse_event_t::object_end)
      OpenObjects.pop_back();
    else if (event == json::parse_event_t::key)
      addName(parsed.get_ref<const std::string &>());
    return true;
  }

private:
  void addName(const std::string &name) {
    if (!OpenObjects.empty() && !OpenObjects.back().insert(name).second)
      Errors.add("", "the name \"" + name + "\" occurs twice in one object");
  }

  state::Findings &Errors;
  std::vector<std::set<std::string>> OpenObjects;
};

std::string syntaxErrorText(std::string_view text) {
  struct Position : nlohmann::json_sax<json> {
    std::size_t At = 0;
    bool null() override { return true; }
    bool boolean(bool /*value*/) override { return true; }
    bool number_integer(json::number_integer_t /*value*/) override {
      return true;
    }
    bool number_unsigned(json::number_unsigned_t /*value*/) override {
      return true;
    }
    bool number_float(json::number_float_t /*value*/,
                      const std::string & /*text*/) override {
      return true;
    }
    bool string(std::string & /*value*/) override { return true; }
    bool binary(json::binary_t & /*value*/) override { return true; }
    bool start_object(std::size_t /*size*/) override { return true; }
    bool key(std::string & /*value*/) override { return true; }
    bool end_object() override { return true; }
    bool start_array(std::size_t /*size*/) override { return true; }
    bool end_array() override { return true; }
    bool parse_error(std::size_t at, const std::string & /*token*/,
                     const json::exception & /*error*/) override {
      At = at;
      return false;
    }
  } position;
  json::sax_parse(text, &position);
  return "not valid JSON at byte " + std::to_string(position.At);
}

std::string numberText(double value) { return json(value).dump(); }

std::string rangeText(double min, double max) {
  return "must be a number from " + numberText(min) + " to " + numberText(max);
}

bool isNameCharacter(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') || c == '.' || c == '_' || c == '-';
}

bool isPort(std::string_view text) {
  unsigned port = 0;
  const char *end = text.data() + text.size();
  const auto [stop, ec] = std::from_chars(text.data(), end, port);
  return ec == std::errc() && stop == end && port >= 1 && port <= 65535;
}

} // namespace

bool isName(std::string_view text) {
  if (text.empty() || text.size() > 64)
    return false;
  for (const char c : text)
    if (!isNameCharacter(c))
      return false;
  return true;
}

bool isIpPort(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos || !isPort(text.substr(colon + 1)))
    return false;
  std::string host(text.substr(0, colon));
  unsigned char binary[sizeof(in6_addr)];
  if (host.size() >= 2 && host.front() == '[' && host.back() == ']')
    return inet_pton(AF_INET6, host.substr(1, host.size() - 2).c_str(),
                     binary) == 1;
  return inet_pton(AF_INET, host.c_str(), binary) == 1;
}

json parseJson(std::string_view text, state::Findings &findings) {
  DuplicateNameDetector names(findings);
  json value = json::parse(
      text,
      [&names](int /*depth*/, json::parse_event_t event, json &parsed) {
        return names.onEvent(event, parsed);
      },
      /*allow_exceptions=*/false);
  if (value.is_discarded())
    findings.add("", syntaxErrorText(text));
  return value;
}

std::string dumpJson(const json &value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string pointerTo(std::string_view place, std::string_view name) {
  std::string pointer(place);
  pointer += '/';
  for (const char c : name) {
    if (c == '~')
      pointer += "~0";
    else if (c == '/')
      pointer += "~1";
    else
      pointer += c;
  }
  return pointer;
}

std::string pointerTo(std::string_view place, std::size_t index) {
  return pointerTo(place, std::to_string(index));
}

ObjectReader::ObjectReader(const json &value, std::string place,
                           state::Findings &findings)
    : Value(value), Place(std::move(place)), Errors(findings) {
  if (!Value.is_object() && !Value.is_discarded())
    Errors.add(Place, "must be an object");
}

const json *ObjectReader::field(const char *name, Presence presence) {
  KnownFields.insert(name);
  if (!Value.is_object())
    return nullptr;
  const auto it = Value.find(name);
  if (it != Value.end())
    return &*it;
  if (presence == Presence::Required)
    report(name, "is missing");
  return nullptr;
}

std::optional<std::string> ObjectReader::text(const char *name,
                                              Presence presence) {
  const json *value = field(name, presence);
  if (!value)
    return std::nullopt;
  if (value->is_string())
    return value->get<std::string>();
  report(name, "must be a string");
  return std::nullopt;
}

std::optional<std::string> ObjectReader::name(const char *name,
                                              Presence presence) {
  std::optional<std::string> value = text(name, presence);
  if (!value || isName(*value))
    return value;
  report(name, "must be 1 to 64 characters of A-Z a-z 0-9 . _ -");
  return std::nullopt;
}

std::optional<double> ObjectReader::number(const char *name, double min,
                                           double max, Presence presence) {
  const json *value = field(name, presence);
  if (!value)
    return std::nullopt;
  if (value->is_number()) {
    const auto number = value->get<double>();
    if (std::isfinite(number) && number >= min && number <= max)
      return number;
  }
  report(name, rangeText(min, max));
  return std::nullopt;
}

std::optional<std::uint64_t> ObjectReader::integer(const char *name,
                                                   std::uint64_t min,
                                                   std::uint64_t max,
                                                   Presence presence) {
  const json *value = field(name, presence);
  if (!value)
    return std::nullopt;
  if (value->is_number_unsigned()) {
    const auto number = value->get<std::uint64_t>();
    if (number >= min && number <= max)
      return number;
  }
  report(name, "must be a whole number from " + std::to_string(min) + " to " +
                   std::to_string(max));
  return std::nullopt;
}

const json *ObjectReader::array(const char *name, Presence presence) {
  const json *value = field(name, presence);
  if (!value || value->is_array())
    return value;
  report(name, "must be an array");
  return nullptr;
}

const json *ObjectReader::object(const char *name, Presence presence) {
  const json *value = field(name, presence);
  if (!value || value->is_object())
    return value;
  report(name, "must be an object");
  return nullptr;
}

void ObjectReader::rejectUnknownFields() {
  if (!Value.is_object())
    return;
  for (const auto &[name, value] : Value.items())
    if (!KnownFields.contains(name))
      report(name, "unknown field");
}

std::string ObjectReader::placeOf(std::string_view name) const {
  return pointerTo(Place, name);
}

void ObjectReader::report(std::string_view name, std::string_view message) {
  Errors.add(placeOf(name), message);
}

} // namespace galenaflow::protocol
