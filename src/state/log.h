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

/// Sets the lowest level that is logged. The default is Info.
void setLevel(Level level);

/// Switches to standard output and never blocks on its reader: a line that does
/// not fit into a full pipe is dropped and counted. The lines of each event are
/// limited by `limits`; the next line of the event states in `left_out` how
/// many were suppressed. `clock` must outlive the log.
void useNonBlockingOutput(const Clock &clock, LogRateLimits limits = {});

/// Number of lines dropped because they did not fit into a full pipe.
std::uint64_t droppedLines();

/// A key and its value as text.
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

/// The text of a line after the time stamp. Public for tests.
std::string formatLine(Level level, std::string_view event, Fields fields);

} // namespace galenaflow::state::log

#endif
