#include "matrix/matrix_run.h"

#include <algorithm>
#include <fstream>
#include <iostream>
#include <map>
#include <random>

// fault-matrix MATRIX.json [--quick] [--cell STEP/FAULT] [--pairs N] [--seed S]
//              [--known_red FILE] [--docs FILE] [--out FILE]
//
// Runs the cells of the matrix that have a script, and prints a table of the
// results. --docs writes the documentation page of the matrix instead and runs
// no cell. The exit code is 1 if a cell failed that is not listed as
// [STEP/FAULT] in the file of known faults, or if no cell ran.

namespace galenaflow::matrix {
namespace {

using nlohmann::json;

struct Options {
  std::string Matrix;
  std::string Cell;
  std::string KnownRed;
  std::string Docs;
  std::string Out;
  std::uint64_t Seed = 1;
  std::size_t Pairs = 0;
  bool Quick = false;
};

Options parseOptions(int argc, char **argv) {
  Options options;
  for (int i = 1; i < argc; ++i) {
    const std::string arg = argv[i];
    const std::string value = i + 1 < argc ? argv[i + 1] : "";
    if (arg == "--quick") {
      options.Quick = true;
      continue;
    }
    if (!arg.starts_with("--")) {
      options.Matrix = arg;
      continue;
    }
    ++i;
    if (arg == "--cell")
      options.Cell = value;
    else if (arg == "--known_red")
      options.KnownRed = value;
    else if (arg == "--docs")
      options.Docs = value;
    else if (arg == "--out")
      options.Out = value;
    else if (arg == "--pairs")
      options.Pairs = std::stoul(value);
    else if (arg == "--seed")
      options.Seed = std::stoull(value);
  }
  return options;
}

std::string cellName(const json &cell) {
  return cell.at("step").get<std::string>() + "/" +
         cell.at("fault").get<std::string>();
}

/// Renders a table of all cells. A cell without a result in `results` has its
/// state in the matrix.
std::string renderTable(const json &matrix,
                        const std::map<std::string, std::string> &results) {
  std::string text = "| step |";
  std::string separator = "\n| --- |";
  for (const json &fault : matrix.at("faults")) {
    text += " " + fault.get<std::string>() + " |";
    separator += " --- |";
  }
  text += separator;
  std::string step;
  for (const json &cell : matrix.at("cells")) {
    if (cell.at("step") != step) {
      step = cell.at("step");
      text += "\n| " + step + " |";
    }
    const auto it = results.find(cellName(cell));
    const std::string state = it != results.end()       ? it->second
                              : cell.contains("inject") ? "script"
                              : cell.contains("reason") ? "-"
                                                        : "open";
    text += " " + state + " |";
  }
  return text + "\n";
}

std::string renderPage(const json &matrix) {
  std::string text =
      "# Fault matrix\n\nMade from `tests/matrix/matrix.json` by `make "
      "matrix`; "
      "do not edit. `script`: the cell runs; `-`: the\ncell cannot occur, see "
      "below; `open`: no script yet, so nothing is known about the cell.\n\n" +
      renderTable(matrix, {}) + "\n## Cells that cannot occur\n\n";
  for (const json &cell : matrix.at("cells"))
    if (cell.contains("reason"))
      text += "* " + cellName(cell) + ": " +
              cell.at("reason").get<std::string>() + ".\n";
  return text;
}

std::string readFile(const std::string &path) {
  std::ifstream in(path);
  return {std::istreambuf_iterator<char>(in), {}};
}

/// Maximum number of faults that are printed for one cell.
constexpr std::size_t MaxPrintedFaults = 10;

class Session {
public:
  explicit Session(Options options)
      : Settings(std::move(options)), Run(Settings.Seed),
        KnownRed(readFile(Settings.KnownRed)) {}

  void run(const std::string &name, const std::vector<json> &scripts) {
    std::cout << name << ": " << std::flush;
    const std::vector<std::string> faults = Run.runCell(scripts);
    const bool isKnownRed =
        KnownRed.find("[" + name + "]") != std::string::npos;
    const std::string result = faults.empty() ? "pass"
                               : isKnownRed   ? "known red"
                                              : "FAIL";
    Results[name] = result;
    Failed = Failed || result == "FAIL";
    std::cout << result << std::endl;
    for (std::size_t i = 0; i != std::min(faults.size(), MaxPrintedFaults); ++i)
      std::cout << "    " << faults[i] << std::endl;
  }

  void runCells(const json &matrix) {
    for (const json &cell : matrix.at("cells")) {
      if (!cell.contains("inject") ||
          (Settings.Quick && !cell.contains("quick")) ||
          (!Settings.Cell.empty() && Settings.Cell != cellName(cell)))
        continue;
      run(cellName(cell), {cell});
    }
  }

  void runPairs(const json &matrix) {
    std::vector<json> scripts;
    for (const json &cell : matrix.at("cells"))
      if (cell.contains("inject"))
        scripts.push_back(cell);
    std::mt19937_64 random(Settings.Seed);
    for (std::size_t i = 0; i != Settings.Pairs; ++i) {
      std::shuffle(scripts.begin(), scripts.end(), random);
      run(cellName(scripts[0]) + " + " + cellName(scripts[1]),
          {scripts[0], scripts[1]});
    }
  }

  std::map<std::string, std::string> Results;
  bool Failed = false;

private:
  Options Settings;
  MatrixRun Run;
  std::string KnownRed;
};

int runProgram(const Options &options) {
  const json matrix = json::parse(readFile(options.Matrix), nullptr, false);
  if (!matrix.is_object()) {
    std::cerr << "fault-matrix: expected a JSON object in " << options.Matrix
              << "\n";
    return 2;
  }
  if (!options.Docs.empty()) {
    std::ofstream(options.Docs) << renderPage(matrix);
    return 0;
  }
  std::cout << "seed " << options.Seed << std::endl;
  Session session(options);
  if (options.Pairs == 0)
    session.runCells(matrix);
  else
    session.runPairs(matrix);
  const std::string text = renderTable(matrix, session.Results);
  std::cout << text;
  if (!options.Out.empty())
    std::ofstream(options.Out) << text;
  return session.Failed || session.Results.empty() ? 1 : 0;
}

} // namespace
} // namespace galenaflow::matrix

int main(int argc, char **argv) {
  return galenaflow::matrix::runProgram(
      galenaflow::matrix::parseOptions(argc, argv));
}
