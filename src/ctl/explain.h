#ifndef GALENAFLOW_CTL_EXPLAIN_H
#define GALENAFLOW_CTL_EXPLAIN_H

#include "state/clock.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace galenaflow::ctl {

/// A line of a daemon's log.
struct LogLine {
  std::string Source;      ///< the daemon, or the file it was read from
  state::WallMillis At{0}; ///< since 1970, by the daemon's clock
  std::string Event;
  std::map<std::string, std::string> Fields; ///< the others, without quotes

  /// The field, or an empty text.
  const std::string &field(const std::string &name) const;
};

/// Reads a line. What stands before the time names the daemon; without it,
/// `source` does. Nothing for other text.
std::optional<LogLine> parseLogLine(std::string_view text,
                                    const std::string &source);

/// Adds all lines of a log.
void parseLog(std::string_view text, const std::string &source,
              std::vector<LogLine> &lines);

/// The story of the request `id`: what was done and when, its outcome, what the
/// daemons believed at that time and since when, and what the logs cannot tell.
/// The lines may be of any number of daemons and in any order. Nothing when no
/// line names the id.
std::optional<std::string> explainRequest(std::vector<LogLine> lines,
                                          const std::string &id);

} // namespace galenaflow::ctl

#endif
