#ifndef GALENAFLOW_CTL_CHECK_H
#define GALENAFLOW_CTL_CHECK_H

#include "protocol/plan_documents.h"
#include "state/error.h"

#include <optional>
#include <string>
#include <string_view>

namespace galenaflow::ctl {

/// The result of `galenaflowctl check` for one document.
struct CheckReport {
  protocol::ListKind Kind = protocol::ListKind::Unknown;
  state::Findings Findings;
  std::size_t Entries = 0; ///< plans, customers or services, if valid
};

/// "customers", "plans", "services" or "unknown".
std::string_view listKindName(protocol::ListKind kind);

/// Checks a list. If the text of a plans document is given, a customers list is
/// checked against it; faults of the plans document itself are reported with
/// places that begin with "--plans".
CheckReport checkList(std::string_view text,
                      const std::optional<std::string> &plansText);

/// Renders the report as text, one finding per line, or as one JSON object.
std::string renderReport(const CheckReport &report, std::string_view file,
                         bool asJson);

} // namespace galenaflow::ctl

#endif
