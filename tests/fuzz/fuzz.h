#ifndef GALENAFLOW_TESTS_FUZZ_FUZZ_H
#define GALENAFLOW_TESTS_FUZZ_FUZZ_H

#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <string_view>

/// The entry point of each fuzz target. libFuzzer requires this name.
// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data,
                                      std::size_t size);

namespace galenaflow::fuzz {

/// Aborts the program if a property does not hold, so that libFuzzer stores the
/// input.
inline void require(bool holds, const char *property) {
  if (holds)
    return;
  std::fprintf(stderr, "property violated: %s\n", property);
  std::abort();
}

inline std::string_view asText(const std::uint8_t *data, std::size_t size) {
  return {reinterpret_cast<const char *>(data), size};
}

/// Removes and returns the first byte; 0 when the input is empty.
inline std::uint8_t takeByte(std::string_view &input) {
  if (input.empty())
    return 0;
  const auto byte = static_cast<std::uint8_t>(input.front());
  input.remove_prefix(1);
  return byte;
}

/// Removes and returns two bytes, high byte first.
inline std::uint16_t takeNumber(std::string_view &input) {
  const std::uint8_t high = takeByte(input);
  return static_cast<std::uint16_t>(high << 8 | takeByte(input));
}

/// Removes the first line and its line end, and returns it without the line
/// end.
inline std::string_view takeLine(std::string_view &input) {
  const std::size_t end = input.find('\n');
  const std::string_view line = input.substr(0, end);
  input.remove_prefix(end == std::string_view::npos ? input.size() : end + 1);
  return line;
}

} // namespace galenaflow::fuzz

#endif
