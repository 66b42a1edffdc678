#include <catch2/catch.hpp>
#include <fstream>
#include <regex>
#include <set>
#include <sstream>

namespace {

std::string readFile(const std::string &path) {
  std::ifstream file(std::string(GALENAFLOW_SOURCE_DIR) + "/" + path);
  REQUIRE(file);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

std::set<std::string> matches(const std::string &text,
                              const std::regex &pattern) {
  std::set<std::string> found;
  for (std::sregex_iterator it(text.begin(), text.end(), pattern), end;
       it != end; ++it)
    found.insert((*it)[1]);
  return found;
}

} // namespace

// Guards against a build that works on development machines but not on those of
// the platform.
TEST_CASE("the deploy file lists only packages that the setup script "
          "installs") {
  const std::string deploy = readFile("deploy/system.toml");
  const auto start = deploy.find("packages = [");
  REQUIRE(start != std::string::npos);
  const auto listed = matches(deploy.substr(start, deploy.find(']') - start),
                              std::regex("\"([^\"]+)\""));
  const std::string setup = readFile("tools/setup.sh");
  const auto open = setup.find("packages=(");
  REQUIRE(open != std::string::npos);
  const auto installed = matches(setup.substr(open, setup.find(')') - open),
                                 std::regex("([a-z][a-z0-9+.-]+)"));
  CHECK(listed.size() > 10);
  for (const std::string &package : listed) {
    INFO(package);
    CHECK(installed.contains(package));
  }
}
