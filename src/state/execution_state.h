#ifndef GALENAFLOW_STATE_EXECUTION_STATE_H
#define GALENAFLOW_STATE_EXECUTION_STATE_H

#include <string_view>

namespace galenaflow::state {

/// What is known about the execution of a request on a backend server.
enum class ExecutionState {
  NotRun,  ///< certain: no backend server executed any part of it
  Ran,     ///< certain: it was executed
  Unknown, ///< it may or may not have been executed
};

/// "not_run", "ran" or "unknown".
constexpr std::string_view executionStateName(ExecutionState state) {
  switch (state) {
  case ExecutionState::NotRun:
    return "not_run";
  case ExecutionState::Ran:
    return "ran";
  case ExecutionState::Unknown:
    break;
  }
  return "unknown";
}

} // namespace galenaflow::state

#endif
