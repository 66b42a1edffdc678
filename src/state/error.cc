#include "state/error.h"

namespace galenaflow::state {

std::string_view errorCodeName(ErrorCode code) {
  switch (code) {
  case ErrorCode::InvalidArgument:
    return "invalid_argument";
  case ErrorCode::NotFound:
    return "not_found";
  case ErrorCode::Unauthenticated:
    return "unauthenticated";
  case ErrorCode::Forbidden:
    return "forbidden";
  case ErrorCode::OverLimit:
    return "over_limit";
  case ErrorCode::Overloaded:
    return "overloaded";
  case ErrorCode::Unavailable:
    return "unavailable";
  case ErrorCode::DeadlineExceeded:
    return "deadline_exceeded";
  case ErrorCode::Conflict:
    return "conflict";
  case ErrorCode::OutcomeUnknown:
    return "outcome_unknown";
  case ErrorCode::Cancelled:
    return "cancelled";
  case ErrorCode::Internal:
    return "internal";
  }
  return "internal";
}

tl::unexpected<Error> makeError(ErrorCode code, std::string text) {
  return tl::unexpected<Error>(Error{code, std::move(text)});
}

void Findings::add(std::string_view place, std::string_view message) {
  Items.push_back({std::string(place), std::string(message)});
}

std::string Findings::toText() const {
  std::string text;
  for (const Finding &finding : Items) {
    if (!text.empty())
      text += "; ";
    text += finding.Place + ": " + finding.Message;
  }
  return text;
}

} // namespace galenaflow::state
