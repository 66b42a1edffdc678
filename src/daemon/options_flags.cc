// The Abseil flags are defined in a separate source, so that a test program
// that uses Options without a command line does not register them. Every flag
// holds text: Abseil would exit at the first value of a wrong type, whereas an
// operator needs all faults at once.
#include "daemon/options.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <map>

namespace galenaflow::daemon {

/// The value of a flag; empty when the flag is not given.
struct FlagText {
  std::optional<std::string> Value;
};

// Abseil finds these two functions by their names.
// NOLINTNEXTLINE(readability-identifier-naming)
bool AbslParseFlag(absl::string_view text, FlagText *flag,
                   std::string * /*error*/) {
  flag->Value = std::string(text);
  return true;
}

// NOLINTNEXTLINE(readability-identifier-naming)
std::string AbslUnparseFlag(const FlagText &flag) {
  return flag.Value.value_or("");
}

} // namespace galenaflow::daemon

#define SECTION(title)
#define SETTING(flag, member, check, min, max, help)                           \
  ABSL_FLAG(galenaflow::daemon::FlagText, flag, {}, help);
#include "daemon/settings.def"
#undef SETTING

ABSL_FLAG(bool, check_settings, false,
          "Validate all settings, report every finding and exit: 0 when all "
          "are valid, otherwise 2.");
ABSL_FLAG(bool, print_settings_page, false, "Print docs/settings.md and exit.");

namespace galenaflow::daemon {

namespace {

std::optional<std::string> fromFlags(const std::string &name) {
  static const std::map<std::string, const absl::Flag<FlagText> *> Flags{
#define SETTING(flag, member, check, min, max, help) {#flag, &FLAGS_##flag},
#include "daemon/settings.def"
#undef SETTING
  };
  const auto it = Flags.find(name);
  return it == Flags.end() ? std::nullopt : absl::GetFlag(*it->second).Value;
}

std::optional<std::string> fromEnvironment(const std::string &name) {
  const char *value = std::getenv(name.c_str());
  return value ? std::optional<std::string>(value) : std::nullopt;
}

/// Handled here because Abseil's --help shows only the flags of the source file
/// with main().
bool isHelpRequested(int argc, char **argv) {
  return std::any_of(argv + 1, argv + argc, [](std::string_view argument) {
    return argument == "--help" || argument == "-help" || argument == "-h";
  });
}

} // namespace

Options parseCommandLine(int argc, char **argv, state::Findings &findings) {
  if (isHelpRequested(argc, argv)) {
    std::fputs(renderSettingsHelp().c_str(), stdout);
    std::exit(0);
  }
  absl::SetProgramUsageMessage(
      "Query tier daemon. Every flag can also be given as an environment "
      "variable, GALENAFLOW_ and the name of the flag in upper case.");
  const std::vector<char *> rest = absl::ParseCommandLine(argc, argv);
  if (absl::GetFlag(FLAGS_print_settings_page)) {
    std::fputs(renderSettingsPage().c_str(), stdout);
    std::exit(0);
  }
  for (std::size_t i = 1; i < rest.size(); ++i)
    findings.add(rest[i], "unexpected argument on the command line");
  Options options = loadOptions(fromFlags, fromEnvironment, findings);
  options.CheckSettings = absl::GetFlag(FLAGS_check_settings);
  return options;
}

} // namespace galenaflow::daemon
