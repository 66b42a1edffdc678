#ifndef GALENAFLOW_STATE_LOG_H
#define GALENAFLOW_STATE_LOG_H

#include "state/log_rate_limiter.h"

#include <concepts>
#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>

/// One key=value line per event on standard error:
/// `2026-01-05T10:00:00.123Z level=info event=replica_ejected replica=a1`.
/// Values with characters other than letters, digits and `._:/+-[]` are quoted,
/// and control characters in them are escaped, so an event is always one line.
namespace galenaflow::state::log {

enum class Level { Debug, Info, Warning, Error, Off };

/// "debug", "info", "warning", "error" or "off".
std::optional<Level> parseLevel(std::string_view text);

/// Events below the level are dropped. The default is Info.
void setLevel(Level level);

/// Writes to standard output from now on, without ever waiting for its reader:
/// a line that a full pipe has no room for is dropped and counted. The lines of
/// each kind of event are bounded by `limits`; the next line of the kind says
/// how many were left out. `clock` must outlive the log.
void useNonBlockingOutput(const Clock &clock, LogRateLimits limits = {});

/// Lines that a full pipe had no room for.
std::uint64_t droppedLines();

/// One key with its value as text.
struct Field {
  std::string_view Key;
  std::string Value;

  Field(std::string_view key, std::string_view value)
      : Key(key), Value(value) {}
  Field(std::string_view key, const std::string &value)
      : Key(key), Value(value) {}
  Field(std::string_view key, const char *value) : Key(key), Value(value) {}
  Field(std::string_view key, bool value)
      : Key(key), Value(value ? "true" : "false") {}
  template <typename T>
  requires((std::integral<T> || std::floating_point<T>)&&!std::same_as<T, bool>)
      Field(std::string_view key, T value)
      : Key(key), Value(numberText(value)) {}

private:
  template <typename T> static std::string numberText(T value) {
    if constexpr (std::floating_point<T>)
      return floatText(value);
    else
      return std::to_string(value);
  }
  static std::string floatText(double value);
};

using Fields = std::initializer_list<Field>;

void debug(std::string_view event, Fields fields = {});
void info(std::string_view event, Fields fields = {});
void warning(std::string_view event, Fields fields = {});
void error(std::string_view event, Fields fields = {});

/// The text after the time stamp. For tests.
std::string formatLine(Level level, std::string_view event, Fields fields);

} // namespace galenaflow::state::log

#endif
