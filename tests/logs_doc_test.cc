#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <regex>
#include <set>
#include <sstream>

namespace {

namespace fs = std::filesystem;

std::string readFile(const fs::path &path) {
  std::ifstream file(path);
  REQUIRE(file);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

void collectMatches(std::set<std::string> &found, const std::string &text,
                    const std::regex &pattern) {
  for (std::sregex_iterator it(text.begin(), text.end(), pattern), end;
       it != end; ++it)
    found.insert((*it)[1]);
}

} // namespace

// Guards against documentation that lists removed log events or lacks new ones.
TEST_CASE("docs/logs.md lists exactly the log events of the sources") {
  const fs::path root = GALENAFLOW_SOURCE_DIR;
  std::set<std::string> logged;
  const std::regex call(R"re(log::(?:debug|info|warning|error)\(\s*"(\w+)")re");
  for (const char *folder : {"src/forwarding", "src/transport", "platform"})
    for (const auto &entry : fs::directory_iterator(root / folder))
      if (entry.path().extension() == ".cc")
        collectMatches(logged, readFile(entry.path()), call);
  // EntryService::logResult chooses among these at run time, so the pattern
  // does not find them.
  logged.insert({"request_answered", "request_partial", "request_failed"});
  std::set<std::string> listed;
  collectMatches(listed, readFile(root / "docs/logs.md"),
                 std::regex(R"re(\n\| `(\w+)`)re"));
  CHECK(listed == logged);
}
