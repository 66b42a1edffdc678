#include "matrix/invariants.h"

// The checks use only what callers, backend servers and operators can observe.

namespace galenaflow::matrix {

using nlohmann::json;

namespace {

constexpr std::size_t MaxPrintedBody = 200;

void checkAnswer(const Observation &observed, const Call &call,
                 const json &answer, std::vector<std::string> &faults) {
  const std::string id = answer.is_object() && answer.contains("error")
                             ? answer["error"].value("request_id", "")
                         : answer.is_object() ? answer.value("request_id", "")
                                              : "";
  if (id != call.RequestId)
    faults.push_back("own answer: request " + call.RequestId + " got " +
                     call.Body.substr(0, MaxPrintedBody));
  if (call.Status != 200)
    return;
  if (call.Kind == Operation::Search || call.Kind == Operation::Suggest) {
    const auto fault = support::findAnswerFault(
        answer, observed.Sharded, observed.Sharded.Shards, call.Text,
        call.Kind == Operation::Search ? SearchLimit : SuggestLimit);
    if (fault)
      faults.push_back("snapshot and coverage: " + *fault);
  }
  if (call.Kind == Operation::Read &&
      answer.at("record").value("id", "") != call.Text)
    faults.push_back("own answer: record of another id for " + call.Text);
}

void checkWrite(const Observation &observed, const Call &call,
                const json &answer, std::vector<std::string> &faults) {
  const std::size_t runs = support::countRuns(observed.Journal, call.Text);
  if (call.Status == 200 && runs == 0)
    faults.push_back("own answer: key " + call.Text + " did not run");
  const std::string ran = answer.is_object() && answer.contains("error")
                              ? answer["error"].value("ran", "")
                              : "";
  if (ran == "not_run" && runs != 0)
    faults.push_back("not run: key " + call.Text + " ran, answer " +
                     call.Body.substr(0, MaxPrintedBody));
}

void checkPlans(const Observation &observed, std::vector<std::string> &faults) {
  for (const auto &versions : observed.PlanVersions) {
    for (std::size_t i = 1; i < versions.size(); ++i)
      if (versions[i] < versions[i - 1])
        faults.push_back("configuration: a version was reverted");
    if (versions.empty() || versions.back() != observed.PublishedPlans)
      faults.push_back("configuration: an accepted version is not in force");
  }
}

} // namespace

std::vector<std::string> findFaults(const Observation &observed) {
  std::vector<std::string> faults;
  for (const Call &call : observed.Calls) {
    if (call.Status == 0)
      continue;
    const json answer = json::parse(call.Body, nullptr, false);
    checkAnswer(observed, call, answer, faults);
    if (call.Kind == Operation::Write)
      checkWrite(observed, call, answer, faults);
  }
  if (const auto fault = support::findJournalFault(observed.Journal))
    faults.push_back("at most once: " + *fault);
  checkPlans(observed, faults);
  return faults;
}

} // namespace galenaflow::matrix
