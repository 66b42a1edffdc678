// The check uses the daemon's parsers, so that the daemon applies every list
// that passes here.
#include "ctl/check.h"

#include "protocol/topology_document.h"

#include <nlohmann/json.hpp>
#include <set>

namespace galenaflow::ctl {

using protocol::ListKind;

namespace {

/// Stores in `report` the number of entries of a valid list, or the findings.
template <typename T, typename Count>
void storeResult(const protocol::Parsed<T> &parsed, CheckReport &report,
                 const Count &count) {
  if (parsed)
    report.Entries = count(*parsed);
  else
    report.Findings = parsed.error();
}

std::size_t countCustomers(const protocol::CustomerMap &customers) {
  std::set<std::string_view> ids;
  for (const auto &[hash, customer] : customers)
    ids.insert(customer.Id);
  return ids.size();
}

void checkCustomers(std::string_view text,
                    const std::optional<std::string> &plansText,
                    CheckReport &report) {
  if (!plansText) {
    storeResult(protocol::parseCustomers(text), report, countCustomers);
    return;
  }
  const auto plans = protocol::parsePlans(*plansText);
  storeResult(protocol::parseCustomers(text, plans ? &*plans : nullptr), report,
              countCustomers);
  if (plans)
    return;
  for (const state::Finding &finding : plans.error().items())
    report.Findings.add("--plans " + finding.Place, finding.Message);
}

} // namespace

std::string_view listKindName(ListKind kind) {
  switch (kind) {
  case ListKind::Customers:
    return "customers";
  case ListKind::Plans:
    return "plans";
  case ListKind::Services:
    return "services";
  case ListKind::Unknown:
    break;
  }
  return "unknown";
}

CheckReport checkList(std::string_view text,
                      const std::optional<std::string> &plansText) {
  CheckReport report;
  report.Kind = protocol::detectListKind(text);
  switch (report.Kind) {
  case ListKind::Customers:
    checkCustomers(text, plansText, report);
    break;
  case ListKind::Plans:
    storeResult(protocol::parsePlans(text), report,
                [](const auto &plans) { return plans.size(); });
    break;
  case ListKind::Services:
    storeResult(protocol::parseTopology(text, 0), report,
                [](const auto &topology) { return topology.Services.size(); });
    break;
  case ListKind::Unknown:
    // Any of the parsers reports a syntax error with its position.
    report.Findings = protocol::parsePlans(text).error();
    report.Findings.add(
        "", R"(must be an object with "customers", "plans" or "services")");
    break;
  }
  return report;
}

std::string renderReport(const CheckReport &report, std::string_view file,
                         bool asJson) {
  const std::string kind(listKindName(report.Kind));
  const bool isValid = report.Findings.empty();
  if (asJson) {
    nlohmann::ordered_json value = {{"file", file},
                                    {"kind", kind},
                                    {"valid", isValid},
                                    {"entries", report.Entries},
                                    {"findings", nlohmann::json::array()}};
    for (const state::Finding &finding : report.Findings.items())
      value["findings"].push_back(
          {{"place", finding.Place}, {"message", finding.Message}});
    return value.dump(-1, ' ', false,
                      nlohmann::json::error_handler_t::replace) +
           "\n";
  }
  if (isValid)
    return std::string(file) + ": valid " + kind + " list, " +
           std::to_string(report.Entries) + " entries\n";
  std::string text;
  for (const state::Finding &finding : report.Findings.items())
    text += std::string(file) + ": " +
            (finding.Place.empty() ? "(document)" : finding.Place) + ": " +
            finding.Message + "\n";
  return text;
}

} // namespace galenaflow::ctl
