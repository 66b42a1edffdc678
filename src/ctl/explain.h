#ifndef GALENAFLOW_CTL_EXPLAIN_H
#define GALENAFLOW_CTL_EXPLAIN_H

#include "state/clock.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace galenaflow::ctl {

/// A parsed line of a daemon's log.
struct LogLine {
  std::string Source;      ///< name of the daemon, or the file when absent
  state::WallMillis At{0}; ///< since 1970, by the daemon's clock
  std::string Event;
  std::map<std::string, std::string> Fields; ///< other fields, without quotes

  /// Returns the value of the field, or an empty string when it is absent.
  const std::string &field(const std::string &name) const;
};

/// Parses a line. The word before the timestamp is the daemon's name; if there
/// is none, `source` is used. Returns nothing for text that is no log line.
std::optional<LogLine> parseLogLine(std::string_view text,
                                    const std::string &source);

/// Parses a log and appends its lines to `lines`.
void parseLog(std::string_view text, const std::string &source,
              std::vector<LogLine> &lines);

/// Describes the request `id`: its events with their times, its outcome, the
/// state that each daemon last logged before it and when, and what the logs do
/// not show. The lines may come from any number of daemons, in any order.
/// Returns nothing when no line has the id.
std::optional<std::string> explainRequest(std::vector<LogLine> lines,
                                          const std::string &id);

} // namespace galenaflow::ctl

#endif
