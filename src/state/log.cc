// Lines are built here and passed to spdlog as plain text, so that the quoting
// rules are in one place. The logger is created on first use and never
// destroyed, so that events can still be logged during exit.
#include "state/log.h"

#include <array>
#include <cerrno>
#include <charconv>
#include <memory>
#include <mutex>
#include <poll.h>
#include <spdlog/sinks/base_sink.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

namespace galenaflow::state::log {

namespace {

constexpr std::string_view PlainCharacters =
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._:/+-[]";

constexpr std::array<std::string_view, 5> LevelNames{"debug", "info", "warning",
                                                     "error", "off"};

spdlog::level::level_enum toSpdlog(Level level) {
  switch (level) {
  case Level::Debug:
    return spdlog::level::debug;
  case Level::Info:
    return spdlog::level::info;
  case Level::Warning:
    return spdlog::level::warn;
  case Level::Error:
    return spdlog::level::err;
  case Level::Off:
    break;
  }
  return spdlog::level::off;
}

std::uint64_t DroppedLines = 0;

/// Writes each line to standard output, or drops it when the write would block.
/// poll() reports a pipe as writable when PIPE_BUF bytes fit, and a write of up
/// to that size is atomic, so the sink never waits and never writes part of a
/// line.
class NonBlockingSink final : public spdlog::sinks::base_sink<std::mutex> {
protected:
  void sink_it_(const spdlog::details::log_msg &message) override {
    spdlog::memory_buf_t buf;
    formatter_->format(message, buf);
    if (buf.size() > MaxLineBytes) {
      buf.resize(MaxLineBytes);
      buf[MaxLineBytes - 1] = '\n';
    }
    pollfd query{STDOUT_FILENO, POLLOUT, 0};
    const bool isWritable =
        poll(&query, 1, 0) == 1 && (query.revents & POLLOUT) != 0;
    if (!isWritable || write(STDOUT_FILENO, buf.data(), buf.size()) < 0)
      ++DroppedLines;
  }
  void flush_() override {}

private:
  static constexpr std::size_t MaxLineBytes = 4096; // PIPE_BUF of Linux
};

/// The rate limit of non-blocking output. TimeSource is null while standard
/// error is used, which is not limited.
struct RateLimit {
  const Clock *TimeSource = nullptr;
  LogRateLimiter Limiter;
};
RateLimit &rateLimit() {
  static auto &instance = *new RateLimit;
  return instance;
}

constexpr const char *LinePattern = "%Y-%m-%dT%H:%M:%S.%eZ %v";

spdlog::logger &logger() {
  static spdlog::logger &instance = []() -> spdlog::logger & {
    auto sink = std::make_shared<spdlog::sinks::stderr_sink_mt>();
    auto *created = new spdlog::logger("galenaflow", std::move(sink));
    created->set_pattern(LinePattern, spdlog::pattern_time_type::utc);
    created->set_level(spdlog::level::info);
    created->flush_on(spdlog::level::info);
    return *created;
  }();
  return instance;
}

void appendEscaped(std::string &line, char c) {
  constexpr std::string_view hexDigits = "0123456789abcdef";
  const auto byte = static_cast<unsigned char>(c);
  if (c == '"' || c == '\\') {
    line += '\\';
    line += c;
  } else if (c == '\n') {
    line += "\\n";
  } else if (byte < 0x20 || byte == 0x7f) {
    line += "\\x";
    line += hexDigits[byte >> 4];
    line += hexDigits[byte & 15];
  } else {
    line += c;
  }
}

void appendValue(std::string &line, std::string_view value) {
  const bool isPlain =
      !value.empty() &&
      value.find_first_not_of(PlainCharacters) == std::string_view::npos;
  if (isPlain) {
    line += value;
    return;
  }
  line += '"';
  for (const char c : value)
    appendEscaped(line, c);
  line += '"';
}

void write(Level level, std::string_view event, Fields fields) {
  spdlog::logger &sink = logger();
  const auto severity = toSpdlog(level);
  if (!sink.should_log(severity))
    return;
  std::string line = formatLine(level, event, fields);
  if (rateLimit().TimeSource != nullptr) {
    const auto suppressedBefore =
        rateLimit().Limiter.admit(event, rateLimit().TimeSource->now());
    if (!suppressedBefore)
      return;
    if (*suppressedBefore != 0)
      line += " left_out=" + std::to_string(*suppressedBefore);
  }
  sink.log(severity, spdlog::string_view_t(line.data(), line.size()));
}

} // namespace

std::string Field::floatText(double value) {
  std::array<char, 32> buf{};
  const auto [end, ec] =
      std::to_chars(buf.data(), buf.data() + buf.size(), value);
  return ec == std::errc() ? std::string(buf.data(), end) : "nan";
}

std::optional<Level> parseLevel(std::string_view text) {
  for (std::size_t i = 0; i != LevelNames.size(); ++i)
    if (LevelNames[i] == text)
      return static_cast<Level>(i);
  return std::nullopt;
}

void setLevel(Level level) { logger().set_level(toSpdlog(level)); }

void useNonBlockingOutput(const Clock &clock, LogRateLimits limits) {
  rateLimit().TimeSource = &clock;
  rateLimit().Limiter = LogRateLimiter(limits);
  logger().sinks() = {std::make_shared<NonBlockingSink>()};
  logger().set_pattern(LinePattern, spdlog::pattern_time_type::utc);
}

std::uint64_t droppedLines() { return DroppedLines; }

std::string formatLine(Level level, std::string_view event, Fields fields) {
  std::string line = "level=";
  line += LevelNames[static_cast<std::size_t>(level)];
  line += " event=";
  appendValue(line, event);
  for (const Field &field : fields) {
    line += ' ';
    line += field.Key;
    line += '=';
    appendValue(line, field.Value);
  }
  return line;
}

void debug(std::string_view event, Fields fields) {
  write(Level::Debug, event, fields);
}

void info(std::string_view event, Fields fields) {
  write(Level::Info, event, fields);
}

void warning(std::string_view event, Fields fields) {
  write(Level::Warning, event, fields);
}

void error(std::string_view event, Fields fields) {
  write(Level::Error, event, fields);
}

} // namespace galenaflow::state::log
