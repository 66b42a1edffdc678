#include "daemon/options.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <map>
#include <sstream>
#include <unistd.h>

using namespace galenaflow;
using namespace galenaflow::daemon;

namespace {

using Values = std::map<std::string, std::string>;

SettingLookup makeLookup(const Values &values) {
  return [&values](const std::string &name) -> std::optional<std::string> {
    const auto it = values.find(name);
    return it == values.end() ? std::nullopt : std::optional(it->second);
  };
}

/// A file that exists for the duration of a test.
struct KeyFile {
  std::string Path = "/tmp/galenaflow-options-test-" + std::to_string(getpid());
  explicit KeyFile(const std::string &text) { std::ofstream(Path) << text; }
  ~KeyFile() { std::remove(Path.c_str()); }
};

bool reports(const state::Findings &findings, const std::string &place) {
  return std::any_of(findings.items().begin(), findings.items().end(),
                     [&](const auto &item) { return item.Place == place; });
}

Values validFlags(const KeyFile &key) {
  return {{"vm_id", "vm-1"},
          {"vm_instance", "i-1"},
          {"data_centre", "sul-br-a"},
          {"platform", "127.0.0.1:7000"},
          {"advertise_peer", "127.0.0.1:8082"},
          {"peer_key", key.Path}};
}

state::Findings validate(const Values &flags) {
  state::Findings findings;
  validateOptions(loadOptions(makeLookup(flags), makeLookup({}), findings),
                  findings);
  return findings;
}

} // namespace

// Guards against an environment variable that overrides an explicit flag.
TEST_CASE("a flag takes precedence over the environment") {
  state::Findings findings;
  const Values flags{{"listen", "127.0.0.1:1"}};
  const Values environment{{"GALENAFLOW_LISTEN", "127.0.0.1:2"},
                           {"GALENAFLOW_SEED_PEERS", "127.0.0.1:3,[::1]:4"},
                           {"GALENAFLOW_HEDGE_PERCENT", "2.5"}};
  const Options options =
      loadOptions(makeLookup(flags), makeLookup(environment), findings);
  CHECK(findings.empty());
  CHECK(options.Listen == "127.0.0.1:1");
  CHECK(options.SeedPeers ==
        std::vector<std::string>{"127.0.0.1:3", "[::1]:4"});
  CHECK(options.HedgePercent == 2.5);
}

// Guards against invalid settings of which each start reports only the first.
TEST_CASE("all invalid settings are reported together, with their source") {
  state::Findings findings;
  const Values flags{
      {"heartbeat_ms", "fast"},           {"hedge_percent", "6"},
      {"lease_margin_ms", "5000"},        {"log_level", "loud"},
      {"tls_key", "/no/such/file"},       {"seed_peers", "host:1"},
      {"operator_listen", "0.0.0.0:8080"}};
  const Values environment{{"GALENAFLOW_MAX_CONNECTIONS", "-1"},
                           {"GALENAFLOW_SUSPICION_MS", "100"}};
  const Options options =
      loadOptions(makeLookup(flags), makeLookup(environment), findings);
  validateOptions(options, findings);
  for (const char *place :
       {"--heartbeat_ms", "GALENAFLOW_MAX_CONNECTIONS", "--vm_id",
        "--data_centre", "--retry_percent", "--lease_margin_ms", "--log_level",
        "--tls_key", "--seed_peers", "--operator_listen", "--peer_key",
        "--advertise_peer", "--suspicion_ms"}) {
    INFO(place);
    CHECK(reports(findings, place));
  }
}

// Guards against default values that fail the validation.
TEST_CASE("the default values and the required settings are valid") {
  const KeyFile key("0123456789abcdef");
  const Values flags = validFlags(key);
  const state::Findings findings = validate(flags);
  INFO(findings.toText());
  CHECK(findings.empty());
  Values withoutPlatform = flags;
  withoutPlatform.erase("platform");
  CHECK(reports(validate(withoutPlatform), "--platform"));
  Values ephemeralPorts = flags;
  for (const char *flag : {"listen", "operator_listen", "peer_listen"})
    ephemeralPorts[flag] = "127.0.0.1:0";
  CHECK(validate(ephemeralPorts).empty());
}

// Guards against a limit that refuses every body of legal size.
TEST_CASE("the memory for callers has room for the largest body") {
  const KeyFile key("0123456789abcdef");
  Values flags = validFlags(key);
  flags["max_body_bytes"] = "16777216";
  CHECK(reports(validate(flags), "--client_memory_bytes"));
  flags["memory_mb"] = "512";
  CHECK(validate(flags).empty());
  flags["client_memory_bytes"] = "67108864";
  CHECK(reports(validate(flags), "--client_memory_bytes"));
}

// Guards against a peer key that can be guessed.
TEST_CASE("a short peer key is rejected") {
  const KeyFile key("short");
  CHECK(reports(validate(validFlags(key)), "--peer_key"));
}

// Guards against a help text that omits settings, as Abseil's own one does.
TEST_CASE("the help lists every setting with its variable and meaning") {
  const std::string help = renderSettingsHelp();
  std::istringstream page(renderSettingsPage());
  int settings = 0;
  for (std::string line; std::getline(page, line);) {
    if (!line.starts_with("| `--"))
      continue;
    // | `--flag` | `VARIABLE` | default | meaning |
    std::vector<std::string> cells;
    std::istringstream row(line);
    for (std::string cell; std::getline(row, cell, '|');)
      cells.push_back(cell);
    REQUIRE(cells.size() >= 5);
    const auto stripCell = [](const std::string &cell, std::size_t quotes) {
      return cell.substr(1 + quotes, cell.size() - 2 - 2 * quotes);
    };
    INFO(line);
    CHECK(help.find("  " + stripCell(cells[1], 1) + "  (" +
                    stripCell(cells[2], 1)) != std::string::npos);
    CHECK(help.find(stripCell(cells[4], 0)) != std::string::npos);
    ++settings;
  }
  CHECK(settings > 20);
}

// Guards against a page of settings that is out of date.
TEST_CASE("docs/settings.md equals the generated page") {
  const auto tests = std::filesystem::path(__FILE__).parent_path();
  std::ifstream file(tests.parent_path() / "docs" / "settings.md");
  const std::string page(std::istreambuf_iterator<char>(file), {});
  CHECK(page == renderSettingsPage());
}
