// Error code names in API responses.
#include "catkinseam/base/error.h"

namespace catkinseam {

const char *errorCodeName(ErrorCode Code) {
  switch (Code) {
  case ErrorCode::Invalid:
    return "invalid";
  case ErrorCode::Unauthorized:
    return "unauthorized";
  case ErrorCode::NotFound:
    return "not_found";
  case ErrorCode::Conflict:
    return "conflict";
  case ErrorCode::TooLarge:
    return "too_large";
  case ErrorCode::Unavailable:
    return "unavailable";
  case ErrorCode::OutcomeUnknown:
    return "outcome_unknown";
  case ErrorCode::Internal:
    return "internal";
  }
  return "internal";
}

} // namespace catkinseam
