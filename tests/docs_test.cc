#include "protocol/caller_api.h"
#include "protocol/plan_documents.h"
#include "state/execution_state.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>

using namespace galenaflow;
using nlohmann::json;

namespace {

std::string readPage(const char *name) {
  const auto tests = std::filesystem::path(__FILE__).parent_path();
  std::ifstream file(tests.parent_path() / "docs" / name);
  REQUIRE(file);
  return {std::istreambuf_iterator<char>(file), {}};
}

/// Returns the fenced JSON blocks of a page.
std::vector<std::string> jsonBlocks(const std::string &page) {
  const std::string fence = "```json\n";
  std::vector<std::string> blocks;
  for (std::size_t at = page.find(fence); at != std::string::npos;
       at = page.find(fence, at)) {
    at += fence.size();
    blocks.push_back(page.substr(at, page.find("```", at) - at));
  }
  return blocks;
}

/// Returns the rows, without their last cells, of the table with this header
/// line.
std::vector<std::string> tableRows(const std::string &page,
                                   const std::string &header) {
  std::istringstream lines(page);
  std::string line;
  while (std::getline(lines, line) && line != header) {
  }
  std::getline(lines, line); // the delimiter row
  std::vector<std::string> rows;
  while (std::getline(lines, line) && line.starts_with('|'))
    rows.push_back(line.substr(0, line.rfind('|', line.size() - 2)));
  return rows;
}

/// Returns the words in backquotes between `start` and the next full stop.
std::set<std::string> wordsAfter(const std::string &page,
                                 const std::string &start) {
  std::size_t at = page.find(start);
  REQUIRE(at != std::string::npos);
  const std::size_t end = page.find('.', at);
  std::set<std::string> words;
  while ((at = page.find('`', at)) < end) {
    const std::size_t close = page.find('`', at + 1);
    words.insert(page.substr(at + 1, close - at - 1));
    at = close + 1;
  }
  return words;
}

/// Returns the names of all enumerators. Values after the last enumerator have
/// the name of an existing one, so an enumerator that is added later is
/// included.
template <typename Enum, typename Name> auto namesOf(Name name) {
  constexpr int maxEnumerators = 64;
  std::set<std::string> names;
  for (int i = 0; i != maxEnumerators; ++i)
    names.insert(std::string(name(static_cast<Enum>(i))));
  return names;
}

json plansExample() {
  return json::parse(jsonBlocks(readPage("lists.md")).at(0));
}

bool isValid(const json &plans) {
  return protocol::parsePlans(plans.dump()).has_value();
}

/// Checks that the parser enforces every bound and requirement of an object
/// schema, on the object at `place` in the example.
void checkSchema(const json &schema, const std::string &place) {
  const json::json_pointer pointer(place);
  for (const auto &[name, rule] : schema["properties"].items()) {
    INFO(place << " " << name);
    for (const auto &[bound, step] : {std::pair("minimum", -1), {"maximum", 1}})
      if (rule.contains(bound)) {
        json plans = plansExample();
        plans[pointer][name] = rule[bound];
        CHECK(isValid(plans));
        const bool isInteger = rule["type"] == "integer";
        plans[pointer][name] =
            isInteger ? json(rule[bound].get<int>() + step)
                      : json(rule[bound].get<double>() + step * 1e-4);
        CHECK_FALSE(isValid(plans));
      }
    for (const json &value : rule.value("enum", json::array())) {
      json plans = plansExample();
      plans[pointer][name] = value;
      CHECK(isValid(plans));
    }
    json plans = plansExample();
    plans[pointer].erase(name);
    const json &required = schema["required"];
    const bool isRequired =
        std::find(required.begin(), required.end(), name) != required.end();
    CHECK(isValid(plans) == !isRequired);
  }
}

} // namespace

// Guards against examples that the daemons refuse when an operator copies them.
TEST_CASE("the examples of the lists page are valid") {
  const auto blocks = jsonBlocks(readPage("lists.md"));
  REQUIRE(blocks.size() == 2);
  const auto plans = protocol::parsePlans(blocks[0]);
  REQUIRE(plans);
  CHECK(protocol::parseCustomers(blocks[1], &*plans));
  for (const std::string &block : jsonBlocks(readPage("http-api.md")))
    CHECK(json::accept(block));
}

// Guards against schemas whose bounds differ from those of the parser.
TEST_CASE("the plans schema agrees with the parser") {
  const json schema = json::parse(readPage("plans.schema.json"));
  checkSchema(schema["$defs"]["plan"], "/plans/0");
  checkSchema(schema["$defs"]["limits"], "/plans/0/operations/search");
  const json customers = json::parse(readPage("customers.schema.json"));
  CHECK(customers["$defs"]["customer"]["required"].size() == 3);
}

// Guards against codes that a caller receives and that are not documented, and
// against documented codes that do not exist.
TEST_CASE("the API page lists exactly the codes that answers contain") {
  const std::string page = readPage("http-api.md");
  const auto codes =
      namesOf<protocol::CallerErrorCode>([](protocol::CallerErrorCode code) {
        return "| `" + std::string(protocol::callerErrorName(code)) + "` | " +
               std::to_string(protocol::httpStatus(code)) + " ";
      });
  const auto rows = tableRows(page, "| code | status | meaning |");
  CHECK(std::set(rows.begin(), rows.end()) == codes);
  CHECK(rows.size() == codes.size());

  const auto ran = namesOf<state::ExecutionState>([](state::ExecutionState it) {
    return "| `" + std::string(state::executionStateName(it)) + "` ";
  });
  const auto values = tableRows(page, "| value | meaning |");
  CHECK(std::set(values.begin(), values.end()) == ran);

  CHECK(wordsAfter(page, "included, with its reason:") ==
        namesOf<protocol::MissingReason>(protocol::missingReasonName));
}
