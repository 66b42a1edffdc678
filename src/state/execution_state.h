#ifndef GALENAFLOW_STATE_EXECUTION_STATE_H
#define GALENAFLOW_STATE_EXECUTION_STATE_H

#include <string_view>

namespace galenaflow::state {

/// What is known about whether a request ran on a backend server.
enum class Ran {
  NotRun,  ///< certain: no backend server executed any part of it
  Ran,     ///< certain: it was executed
  Unknown, ///< it may or may not have been executed
};

/// "not_run", "ran" or "unknown".
constexpr std::string_view executionStateName(Ran ran) {
  switch (ran) {
  case Ran::NotRun:
    return "not_run";
  case Ran::Ran:
    return "ran";
  case Ran::Unknown:
    break;
  }
  return "unknown";
}

} // namespace galenaflow::state

#endif
