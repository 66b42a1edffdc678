#include "ctl/explain.h"

#include <absl/time/time.h>
#include <algorithm>
#include <array>
#include <set>
#include <sstream>

// The lines of several daemons are sorted by their timestamps. These come from
// the clocks of the VMs, which may differ by some milliseconds. Lines of one
// daemon keep their order, since the sort is stable.
//
// Complete answers and successful attempts are not logged for every request,
// and lines of one event are rate-limited, so the absence of a line proves
// little. The output therefore states what may be missing.

namespace galenaflow::ctl {

namespace {

/// The final events of a request, from its caller's point of view.
constexpr std::array<std::string_view, 6> FinalEvents = {
    "request_answered", "request_partial",       "request_failed",
    "request_refused",  "request_without_route", "caller_left"};

/// Events that change a daemon's view of one subject.
struct ViewEvents {
  std::string_view Subject;
  std::vector<std::string_view> Events;
};
const std::array<ViewEvents, 5> &viewEvents() {
  static const std::array<ViewEvents, 5> All = {
      ViewEvents{"routes", {"routes_in_force", "configuration_invalid"}},
      ViewEvents{
          "directory",
          {"directory_lost", "directory_regained", "directory_history_lost"}},
      ViewEvents{"relay", {"relay_in_use", "relay_lost"}},
      ViewEvents{"fleet", {"fleet_counted"}},
      ViewEvents{"evacuations", {"data_centre_evacuated", "evacuation_ended"}}};
  return All;
}

bool isFinal(const LogLine &line) {
  return std::find(FinalEvents.begin(), FinalEvents.end(), line.Event) !=
         FinalEvents.end();
}

std::string formatFields(const LogLine &line) {
  std::string text;
  for (const auto &[name, value] : line.Fields)
    if (name != "id")
      text.append(text.empty() ? "" : " ")
          .append(name)
          .append("=")
          .append(value.empty() ? "\"\"" : value);
  return text;
}

std::string describeAttempt(const LogLine &line) {
  std::string text = "attempt at replica " + line.field("replica") + " of " +
                     line.field("service") + ": " + line.field("end") +
                     " after " + line.field("elapsed_ms") + " ms";
  if (!line.field("reason").empty())
    text += ", " + line.field("reason");
  if (line.field("status") != "0")
    text += ", status " + line.field("status");
  if (line.field("running") != "0" || line.field("waiting") != "0")
    text += "; the replica reported " + line.field("running") +
            " running and " + line.field("waiting") + " waiting";
  if (line.field("awaited") == "false")
    text += " (no longer awaited)";
  return text;
}

std::string describeLine(const LogLine &line) {
  if (line.Event == "attempt_failed")
    return describeAttempt(line);
  if (line.Event == "delegation_refused")
    return "executor " + line.field("executor") + " refused it after " +
           line.field("elapsed_ms") + " ms; run by this daemon";
  if (line.Event == "delegation_silent")
    return "executor " + line.field("executor") + " has not answered for " +
           line.field("elapsed_ms") + " ms";
  if (line.Event == "request_withheld")
    return "not sent: " + line.field("cold") + " of " + line.field("replicas") +
           " replicas of " + line.field("service") +
           " are cold, and all daemons together may send " +
           line.field("max_per_second") +
           " requests a second to each; this daemon's share, of " +
           line.field("daemons") + " daemons, is used up";
  if (line.Event == "region_not_allowed")
    return "its route allows the regions " + line.field("allowed") + "; " +
           line.field("forbidden") + " of " + line.field("parts") +
           " services have no replica there, such as " + line.field("service") +
           "; this daemon is in region " +
           (line.field("region").empty() ? "unknown" : line.field("region"));
  if (line.Event == "caller_left")
    return "the caller closed its connection";
  return line.Event + " " + formatFields(line);
}

std::string outcomeOf(const LogLine &line) {
  const std::string &ran = line.field("ran");
  if (line.Event == "request_answered")
    return "answered completely";
  if (line.Event == "request_partial")
    return "partial answer; missing shards (service:replicas tried): " +
           line.field("missing");
  if (line.Event == "request_without_route")
    return "404: version " + line.field("version") +
           " of the routes has no route for it; it did not run";
  if (line.Event == "request_refused")
    return "refused (" + line.field("reason") + "); it did not run";
  if (line.Event == "caller_left")
    return "the caller disconnected before an answer; it may have run";
  std::string text = "failed: " + line.field("reason") + "; ";
  if (line.field("reason") == "evacuated")
    text = "rejected: all usable replicas of a needed service are in evacuated "
           "data centres; ";
  if (line.field("reason") == "region_not_allowed")
    return text + "it did not run, and is rejected until the route's regions "
                  "or the replicas change";
  if (ran == "not_run")
    return text + "it did not run and can be sent again";
  if (ran == "ran")
    return text + "it ran";
  return text + "it is unknown whether it ran";
}

void addViews(std::ostringstream &out, const std::vector<LogLine> &lines,
              const std::string &source, state::WallMillis at) {
  for (const ViewEvents &view : viewEvents()) {
    const LogLine *last = nullptr;
    for (const LogLine &line : lines)
      if (line.Source == source && line.At <= at &&
          std::find(view.Events.begin(), view.Events.end(), line.Event) !=
              view.Events.end())
        last = &line;
    out << "  " << view.Subject << ": ";
    if (last == nullptr)
      out << "no line in the given logs\n";
    else
      out << last->Event << " " << (at - last->At).count() << " ms before, "
          << formatFields(*last) << "\n";
  }
}

void addUnknowns(std::ostringstream &out,
                 const std::vector<LogLine> &requestLines,
                 const std::vector<LogLine> &all) {
  const auto end =
      std::find_if(requestLines.begin(), requestLines.end(), isFinal);
  if (end == requestLines.end())
    out << "  the outcome: complete answers are logged for one request in a "
           "hundred\n";
  else if (const std::string &executor = end->field("executor");
           !executor.empty())
    out << "  attempts are in the log of the executor " << executor
        << (std::any_of(
                requestLines.begin(), requestLines.end(),
                [&](const LogLine &line) { return line.Source != end->Source; })
                ? ", which is among the given logs\n"
                : "; the given logs contain no line of it\n");
  // The field left_out counts lines that were suppressed before its line.
  const state::WallMillis from = requestLines.front().At;
  for (const LogLine &line : all)
    if (!line.field("left_out").empty() && line.At >= from) {
      out << "  " << line.Source << " suppressed " << line.field("left_out")
          << " lines of " << line.Event << " before +"
          << (line.At - from).count()
          << " ms, possibly including some of this request\n";
      break;
    }
  out << "  successful attempts are not logged\n";
}

} // namespace

const std::string &LogLine::field(const std::string &name) const {
  static const std::string Empty;
  const auto it = Fields.find(name);
  return it == Fields.end() ? Empty : it->second;
}

std::optional<LogLine> parseLogLine(std::string_view text,
                                    const std::string &source) {
  const auto levelAt = text.find(" level=");
  if (levelAt == std::string_view::npos)
    return std::nullopt;
  const std::string_view head = text.substr(0, levelAt);
  const auto timeAt = head.rfind(' ') + 1; // npos + 1: the start
  absl::Time at;
  std::string error;
  if (!absl::ParseTime(absl::RFC3339_full, std::string(head.substr(timeAt)),
                       &at, &error))
    return std::nullopt;
  LogLine line;
  line.At = state::WallMillis(absl::ToUnixMillis(at));
  std::string_view name = head.substr(0, timeAt);
  while (!name.empty() && name.back() == ' ')
    name.remove_suffix(1);
  name.remove_prefix(name.empty() ? 0 : name.rfind(' ') + 1);
  line.Source = name.empty() ? source : std::string(name);
  std::string_view rest = text.substr(levelAt + 1);
  while (!rest.empty()) {
    const auto equals = rest.find('=');
    if (equals == std::string_view::npos)
      break;
    const std::string key(rest.substr(0, equals));
    rest.remove_prefix(equals + 1);
    std::string value;
    if (rest.starts_with('"')) {
      std::size_t i = 1;
      for (; i < rest.size() && rest[i] != '"'; ++i) {
        if (rest[i] == '\\' && i + 1 < rest.size())
          ++i;
        value += rest[i];
      }
      rest.remove_prefix(std::min(i + 1, rest.size()));
    } else {
      const auto space = std::min(rest.find(' '), rest.size());
      value = rest.substr(0, space);
      rest.remove_prefix(space);
    }
    while (rest.starts_with(' '))
      rest.remove_prefix(1);
    if (key == "event")
      line.Event = value;
    else if (key != "level")
      line.Fields[key] = value;
  }
  if (line.Event.empty())
    return std::nullopt;
  return line;
}

void parseLog(std::string_view text, const std::string &source,
              std::vector<LogLine> &lines) {
  while (!text.empty()) {
    const auto end = std::min(text.find('\n'), text.size());
    if (auto line = parseLogLine(text.substr(0, end), source))
      lines.push_back(std::move(*line));
    text.remove_prefix(std::min(end + 1, text.size()));
  }
}

std::optional<std::string> explainRequest(std::vector<LogLine> lines,
                                          const std::string &id) {
  std::stable_sort(
      lines.begin(), lines.end(),
      [](const LogLine &a, const LogLine &b) { return a.At < b.At; });
  std::vector<LogLine> requestLines;
  std::set<std::string> sources;
  for (const LogLine &line : lines)
    if (line.field("id") == id) {
      requestLines.push_back(line);
      sources.insert(line.Source);
    }
  if (requestLines.empty())
    return std::nullopt;
  const state::WallMillis start = requestLines.front().At;
  std::ostringstream out;
  out << "request " << id << ": " << requestLines.size() << " lines of "
      << sources.size() << " daemons\n\nwhat happened\n";
  for (const LogLine &line : requestLines)
    out << "  +" << (line.At - start).count() << " ms  " << line.Source << "  "
        << describeLine(line) << "\n";
  // Only the entry daemon logs a final event; an executor logs only attempts.
  const auto end =
      std::find_if(requestLines.rbegin(), requestLines.rend(), isFinal);
  if (end != requestLines.rend())
    out << "\noutcome\n  " << outcomeOf(*end) << "\n";
  for (const std::string &source : sources) {
    out << "\nview of " << source << " at the start of the request\n";
    addViews(out, lines, source, start);
  }
  out << "\nnot shown by these logs\n";
  addUnknowns(out, requestLines, lines);
  return out.str();
}

} // namespace galenaflow::ctl
