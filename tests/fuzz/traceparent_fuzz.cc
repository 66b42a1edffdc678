// Input: the header. A parsed context must format to a header that parses to
// the same context; a header of version 00 must keep its ids.
#include "fuzz/fuzz.h"
#include "protocol/trace_context.h"

using namespace galenaflow;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data,
                                      std::size_t size) {
  const std::string_view header = fuzz::asText(data, size);
  const auto context = protocol::parseTraceparent(header);
  if (!context)
    return 0;
  const std::string text = protocol::formatTraceparent(*context);
  fuzz::require(protocol::parseTraceparent(text) == context,
                "the context is unchanged by formatting");
  constexpr std::size_t idsStart = 3;
  constexpr std::size_t idsLength = 49;
  fuzz::require(text.substr(idsStart, idsLength) ==
                    header.substr(idsStart, idsLength),
                "the ids are kept");
  return 0;
}
