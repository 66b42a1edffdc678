#ifndef GALENAFLOW_STATE_ERROR_H
#define GALENAFLOW_STATE_ERROR_H

#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

/// Errors are values: a code for programs and a text for people. The project
/// throws no exceptions of its own.
namespace galenaflow::state {

enum class ErrorCode {
  InvalidArgument,  ///< the input breaks its format or a documented limit
  NotFound,         ///< the named object does not exist
  Unauthenticated,  ///< the caller or peer did not prove its identity
  Forbidden,        ///< the plan does not allow the operation
  OverLimit,        ///< a limit of the plan is exhausted
  Overloaded,       ///< this process has no capacity within the deadline
  Unavailable,      ///< a required process or service does not respond
  DeadlineExceeded, ///< the deadline has passed
  Conflict,         ///< the request contradicts an earlier one
  OutcomeUnknown,   ///< the request may or may not have run
  Cancelled,        ///< the caller no longer waits for the answer
  Internal,         ///< a fault of this program
};

/// The code in snake_case, as written to logs and answers.
std::string_view errorCodeName(ErrorCode code);

struct Error {
  ErrorCode Code = ErrorCode::Internal;
  std::string Text;
};

template <typename T> using Result = tl::expected<T, Error>;

/// Shorthand for `tl::unexpected(Error{code, text})`.
tl::unexpected<Error> makeError(ErrorCode code, std::string text);

/// One fault of an input and its place: a JSON pointer ("/plans/0/weight"), a
/// flag ("--listen") or a header name.
struct Finding {
  std::string Place;
  std::string Message;

  bool operator==(const Finding &) const = default;
};

/// Collects all findings of one input, so that they are reported together.
class Findings {
public:
  void add(std::string_view place, std::string_view message);
  bool empty() const { return Items.empty(); }
  const std::vector<Finding> &items() const { return Items; }

  /// "place: message; place: message".
  std::string toText() const;

private:
  std::vector<Finding> Items;
};

} // namespace galenaflow::state

#endif
