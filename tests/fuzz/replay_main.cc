// Runs a fuzz target over the files of the given folders without libFuzzer, so
// that every build, also with another compiler, checks the committed corpus.
#include "fuzz/fuzz.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>
#include <vector>

int main(int argc, char **argv) {
  std::vector<std::filesystem::path> files;
  for (int i = 1; i < argc; ++i)
    for (const auto &entry : std::filesystem::directory_iterator(argv[i]))
      files.push_back(entry.path());
  std::ranges::sort(files);
  for (const auto &path : files) {
    std::ifstream file(path, std::ios::binary);
    const std::string bytes{std::istreambuf_iterator<char>(file), {}};
    std::printf("%s\n", path.filename().c_str());
    std::fflush(stdout);
    LLVMFuzzerTestOneInput(reinterpret_cast<const std::uint8_t *>(bytes.data()),
                           bytes.size());
  }
  // An empty or missing corpus is a failure, since nothing was checked.
  return files.empty() ? 1 : 0;
}
