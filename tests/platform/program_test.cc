#include "support/process.h"

#include <catch2/catch.hpp>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <unistd.h>

using namespace galenaflow;
using namespace std::chrono_literals;

// Runs the program as a process and checks its environment variables, signals
// and exit codes.

namespace {

constexpr auto TestLimit = 10s;

struct TemporaryDirectory {
  std::filesystem::path Path =
      std::filesystem::temp_directory_path() /
      ("galenaflow-program-" + std::to_string(getpid()));
  TemporaryDirectory() { std::filesystem::create_directories(Path); }
  ~TemporaryDirectory() { std::filesystem::remove_all(Path); }

  std::string write(const std::string &name, const std::string &text) const {
    std::ofstream(Path / name) << text;
    return (Path / name).string();
  }
  /// Writes settings with a store address at which nothing listens.
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

/// Sets the path of the settings in the environment; the destructor unsets all
/// variables of the program.
struct ScopedEnvironment {
  explicit ScopedEnvironment(const std::string &settings) {
    setenv("GALENAFLOW_BOOT", settings.c_str(), 1);
  }
  ~ScopedEnvironment() {
    for (const char *name :
         {"GALENAFLOW_BOOT", "GALENAFLOW_PEER_KEY", "GALENAFLOW_LOG_LEVEL",
          "GALENAFLOW_CLIENT_MEMORY_BYTES"})
      unsetenv(name);
  }
};

bool waitForOutput(support::Process &process, std::string_view part) {
  return process
      .waitForLine(
          [part](std::string_view line) {
            return line.find(part) != std::string_view::npos;
          },
          TestLimit)
      .has_value();
}

} // namespace

// Guards against a reload that ends the process: without a handler, SIGHUP
// kills it.
TEST_CASE("SIGHUP checks the settings again without a stop, and SIGTERM stops "
          "the program") {
  const TemporaryDirectory directory;
  const std::string settings = directory.writeSettings();
  const ScopedEnvironment environment(settings);
  support::Process process("galenaflow-platform", {});
  REQUIRE(waitForOutput(process, "event=started node=front-1"));
  process.signal(SIGHUP);
  CHECK(waitForOutput(process, "event=settings_reloaded valid=true"));
  directory.write("node.yaml", "node_name: front-1\n");
  process.signal(SIGHUP);
  CHECK(waitForOutput(process, "event=settings_reloaded valid=false"));
  CHECK(waitForOutput(process, "event=setting_invalid place=listen.front"));
  CHECK(process.isRunning());
  process.terminate();
  CHECK(process.wait(TestLimit) == 0);
  CHECK(
      waitForOutput(process, "event=stopped open_requests=0 cut_short=false"));
}

TEST_CASE("all faults of the settings are reported, and the program exits") {
  const TemporaryDirectory directory;
  const ScopedEnvironment environment(
      directory.write("node.yaml", "zone: z1\n"));
  support::Process process("galenaflow-platform", {});
  CHECK(process.wait(TestLimit) == 2);
  CHECK(waitForOutput(process, "place=node_name"));
  CHECK(waitForOutput(process, "place=platform.address"));
}

TEST_CASE(
    "an invalid environment variable is reported, and the program exits") {
  const TemporaryDirectory directory;
  const ScopedEnvironment environment(directory.writeSettings());
  std::string place = "GALENAFLOW_PEER_KEY";
  SECTION("no such settings file") {
    setenv("GALENAFLOW_BOOT", "/nowhere/node.yaml", 1);
    place = "/nowhere/node.yaml";
  }
  SECTION("no such key file") {
    setenv("GALENAFLOW_PEER_KEY", "/nowhere/key", 1);
  }
  SECTION("a short key") {
    setenv("GALENAFLOW_PEER_KEY", directory.write("key", "short").c_str(), 1);
  }
  SECTION("too little memory for one body") {
    setenv("GALENAFLOW_CLIENT_MEMORY_BYTES", "1000", 1);
    place = "GALENAFLOW_CLIENT_MEMORY_BYTES";
  }
  SECTION("an unknown log level") {
    setenv("GALENAFLOW_LOG_LEVEL", "loud", 1);
    place = "GALENAFLOW_LOG_LEVEL";
  }
  support::Process process("galenaflow-platform", {});
  CHECK(process.wait(TestLimit) == 2);
  CHECK(waitForOutput(process, "place=" + place));
}
