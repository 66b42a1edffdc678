// Input: one byte that selects the document, then its text. What parses must
// render to a document that parses, and rendering must be a fixed point. What
// does not parse must state why.
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
  fuzz::require(render(*again) == rendered, "the document survives rendering");
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
