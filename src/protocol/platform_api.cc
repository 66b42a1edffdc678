// The VM list is produced by the platform and not by the operator, so unknown
// fields are accepted. A VM that is listed twice would be counted twice in
// every share and majority, so a duplicate makes the list invalid.
#include "protocol/platform_api.h"

#include "protocol/json_reader.h"

#include <charconv>
#include <nlohmann/json.hpp>

namespace galenaflow::protocol {

using nlohmann::json;
using state::Findings;

namespace {

constexpr std::size_t MaxInstanceBytes = 128;

std::string readInstance(ObjectReader &reader) {
  auto text = reader.text("instance", Presence::Required);
  if (text && (text->empty() || text->size() > MaxInstanceBytes))
    reader.report("instance", "must be 1 to 128 bytes");
  return text.value_or("");
}

VmRole readRole(ObjectReader &reader) {
  const auto text = reader.text("role", Presence::Required);
  if (text && *text != "entry" && *text != "backend")
    reader.report("role", R"(must be "entry" or "backend")");
  return text == "backend" ? VmRole::Backend : VmRole::Entry;
}

VmState readState(ObjectReader &reader) {
  const auto text = reader.text("state", Presence::Required);
  if (text && *text != "live" && *text != "leaving")
    reader.report("state", R"(must be "live" or "leaving")");
  return text == "leaving" ? VmState::Leaving : VmState::Live;
}

std::string readAddress(ObjectReader &reader, const char *name,
                        Presence presence) {
  auto text = reader.text(name, presence);
  if (text && !isIpPort(*text) &&
      (presence == Presence::Required || !text->empty()))
    reader.report(name, "must be IP:PORT");
  return text.value_or("");
}

Vm readVm(const json &value, const std::string &place, Findings &findings) {
  ObjectReader reader(value, place, findings);
  Vm vm;
  vm.Id = reader.name("id", Presence::Required).value_or("");
  vm.Instance = readInstance(reader);
  vm.Role = readRole(reader);
  vm.Address = readAddress(reader, "address", Presence::Required);
  vm.OperatorAddress =
      readAddress(reader, "operator_address", Presence::Optional);
  vm.DataCentre = reader.name("data_centre", Presence::Required).value_or("");
  vm.State = readState(reader);
  return vm;
}

json vmToJson(const Vm &vm) {
  json value = {{"id", vm.Id},
                {"instance", vm.Instance},
                {"role", vm.Role == VmRole::Entry ? "entry" : "backend"},
                {"address", vm.Address},
                {"data_centre", vm.DataCentre},
                {"state", vm.State == VmState::Live ? "live" : "leaving"}};
  if (!vm.OperatorAddress.empty())
    value["operator_address"] = vm.OperatorAddress;
  return value;
}

} // namespace

Parsed<VmList> parseVmList(std::string_view text) {
  Findings findings;
  const json document = parseJson(text, findings);
  ObjectReader reader(document, "", findings);
  VmList list;
  list.Version =
      reader.integer("version", 0, UINT64_MAX, Presence::Required).value_or(0);
  const json *items = reader.array("vms", Presence::Required);
  std::set<std::string> ids;
  for (std::size_t i = 0; items && i != items->size(); ++i) {
    const std::string place = pointerTo("/vms", i);
    Vm vm = readVm((*items)[i], place, findings);
    if (!vm.Id.empty() && !ids.insert(vm.Id).second)
      findings.add(pointerTo(place, "id"), "another VM has this id");
    list.Vms.push_back(std::move(vm));
  }
  if (!findings.empty())
    return tl::unexpected(std::move(findings));
  return list;
}

std::string renderVmList(const VmList &list) {
  json vms = json::array();
  for (const Vm &vm : list.Vms)
    vms.push_back(vmToJson(vm));
  return dumpJson({{"version", list.Version}, {"vms", std::move(vms)}});
}

std::string valuePath(std::string_view key) {
  return "/v1/values/" + std::string(key);
}

std::string watchPath(std::string_view key, std::uint64_t after,
                      std::chrono::milliseconds wait) {
  return valuePath(key) + "?after=" + std::to_string(after) +
         "&wait_ms=" + std::to_string(wait.count());
}

std::optional<std::uint64_t> parseVersion(std::string_view header) {
  std::uint64_t version = 0;
  const char *end = header.data() + header.size();
  const auto [stop, ec] = std::from_chars(header.data(), end, version);
  if (ec != std::errc() || stop != end)
    return std::nullopt;
  return version;
}

} // namespace galenaflow::protocol
