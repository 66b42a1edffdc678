// Input: one byte that selects the type of document, then its text. A parsed
// document must render to a text that parses and renders to the same text
// again. A rejected document must have findings.
#include "fuzz/fuzz.h"
#include "protocol/plan_documents.h"
#include "protocol/platform_api.h"
#include "protocol/topology_document.h"

using namespace galenaflow;

namespace {

template <typename Parse, typename Render>
void checkDocument(std::string_view text, Parse parse, Render render) {
  const auto value = parse(text);
  if (!value) {
    fuzz::require(!value.error().empty(), "a refusal has findings");
    return;
  }
  const std::string rendered = render(*value);
  const auto again = parse(rendered);
  fuzz::require(again.has_value(), "a rendered document parses");
  fuzz::require(render(*again) == rendered,
                "the document is unchanged by rendering");
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data,
                                      std::size_t size) {
  std::string_view text = fuzz::asText(data, size);
  switch (fuzz::takeByte(text)) {
  case 'c':
    checkDocument(
        text, [](std::string_view it) { return protocol::parseCustomers(it); },
        protocol::renderCustomers);
    break;
  case 'p':
    checkDocument(text, protocol::parsePlans, protocol::renderPlans);
    break;
  case 's':
    checkDocument(
        text,
        [](std::string_view it) { return protocol::parseTopology(it, 7); },
        protocol::renderTopology);
    break;
  case 'v':
    checkDocument(text, protocol::parseVmList, protocol::renderVmList);
    break;
  default:
    protocol::detectListKind(text);
  }
  return 0;
}
