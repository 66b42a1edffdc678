#include "support/process.h"

#include <catch2/catch.hpp>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <unistd.h>

using namespace galenaflow;
using namespace std::chrono_literals;

// The program itself: its variables, its signals and its exit codes.

namespace {

constexpr auto TestLimit = 10s;

struct Folder {
  std::filesystem::path Path =
      std::filesystem::temp_directory_path() /
      ("galenaflow-program-" + std::to_string(getpid()));
  Folder() { std::filesystem::create_directories(Path); }
  ~Folder() { std::filesystem::remove_all(Path); }

  std::string write(const std::string &name, const std::string &text) const {
    std::ofstream(Path / name) << text;
    return (Path / name).string();
  }
  /// Settings of a machine whose store cannot be reached.
  std::string writeSettings() const {
    return write("node.yaml",
                 "node_name: front-1\nzone: z1\nlisten:\n  front: \"" +
                     support::reserveAddress() + "\"\n  ready: \"" +
                     support::reserveAddress() +
                     "\"\nbounds:\n  grace_s: 3\n  retry_ratio: 0.2\n"
                     "  retry_slack: 56\n  budget_window_s: 10\n"
                     "platform:\n  address: \"" +
                     support::reserveAddress() + "\"\n");
  }
};

/// Sets variables of the program, and clears them at the end.
struct Variables {
  explicit Variables(const std::string &settings) {
    setenv("GALENAFLOW_BOOT", settings.c_str(), 1);
  }
  ~Variables() {
    for (const char *name :
         {"GALENAFLOW_BOOT", "GALENAFLOW_PEER_KEY", "GALENAFLOW_LOG_LEVEL"})
      unsetenv(name);
  }
};

bool waitFor(support::Process &process, std::string_view part) {
  return process
      .waitForLine(
          [part](std::string_view line) {
            return line.find(part) != std::string_view::npos;
          },
          TestLimit)
      .has_value();
}

} // namespace

// Guards against a process that a reload ends: without a handler, SIGHUP kills.
TEST_CASE("SIGHUP checks the settings again and ends nothing, SIGTERM stops") {
  const Folder folder;
  const std::string settings = folder.writeSettings();
  const Variables variables(settings);
  support::Process process("galenaflow-platform", {});
  REQUIRE(waitFor(process, "event=started node=front-1"));
  process.signal(SIGHUP);
  CHECK(waitFor(process, "event=settings_reloaded valid=true"));
  folder.write("node.yaml", "node_name: front-1\n");
  process.signal(SIGHUP);
  CHECK(waitFor(process, "event=settings_reloaded valid=false"));
  CHECK(waitFor(process, "event=setting_invalid place=listen.front"));
  CHECK(process.isRunning());
  process.terminate();
  CHECK(process.wait(TestLimit) == 0);
  CHECK(waitFor(process, "event=stopped open_requests=0 cut_short=false"));
}

TEST_CASE("faults of the settings are all reported, and nothing is started") {
  const Folder folder;
  const Variables variables(folder.write("node.yaml", "zone: z1\n"));
  support::Process process("galenaflow-platform", {});
  CHECK(process.wait(TestLimit) == 2);
  CHECK(waitFor(process, "place=node_name"));
  CHECK(waitFor(process, "place=platform.address"));
}

TEST_CASE("wrong variables are faults") {
  const Folder folder;
  const Variables variables(folder.writeSettings());
  std::string place = "GALENAFLOW_PEER_KEY";
  SECTION("no such settings file") {
    setenv("GALENAFLOW_BOOT", "/nowhere/node.yaml", 1);
    place = "/nowhere/node.yaml";
  }
  SECTION("no such key file") {
    setenv("GALENAFLOW_PEER_KEY", "/nowhere/key", 1);
  }
  SECTION("a short key") {
    setenv("GALENAFLOW_PEER_KEY", folder.write("key", "short").c_str(), 1);
  }
  SECTION("an unknown log level") {
    setenv("GALENAFLOW_LOG_LEVEL", "loud", 1);
    place = "GALENAFLOW_LOG_LEVEL";
  }
  support::Process process("galenaflow-platform", {});
  CHECK(process.wait(TestLimit) == 2);
  CHECK(waitFor(process, "place=" + place));
}
