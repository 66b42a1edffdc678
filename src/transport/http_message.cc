#include "transport/http_message.h"

#include <algorithm>

namespace galenaflow::transport {

namespace {

char lower(char c) {
  return c >= 'A' && c <= 'Z' ? static_cast<char>(c + ('a' - 'A')) : c;
}

std::string_view trim(std::string_view s) {
  while (!s.empty() && (s.front() == ' ' || s.front() == '\t'))
    s.remove_prefix(1);
  while (!s.empty() && (s.back() == ' ' || s.back() == '\t'))
    s.remove_suffix(1);
  return s;
}

} // namespace

bool equalIgnoringCase(std::string_view a, std::string_view b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](char x, char y) { return lower(x) == lower(y); });
}

bool listContains(std::string_view value, std::string_view token) {
  while (!value.empty()) {
    const auto comma = std::min(value.find(','), value.size());
    if (equalIgnoringCase(trim(value.substr(0, comma)), token))
      return true;
    value.remove_prefix(std::min(comma + 1, value.size()));
  }
  return false;
}

void HttpHeaders::add(std::string_view name, std::string_view value) {
  Items.emplace_back(name, value);
}

std::optional<std::string_view> HttpHeaders::find(std::string_view name) const {
  for (const auto &[key, value] : Items)
    if (equalIgnoringCase(key, name))
      return value;
  return std::nullopt;
}

HttpResponse jsonResponse(int status, std::string body) {
  HttpResponse response;
  response.Status = status;
  response.Headers.add("content-type", "application/json");
  response.Body = std::move(body);
  return response;
}

} // namespace galenaflow::transport
