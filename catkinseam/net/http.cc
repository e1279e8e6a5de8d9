// Helper functions for HTTP messages.
#include "catkinseam/net/http.h"

#include <Poco/JSON/Object.h>
#include <Poco/String.h>
#include <Poco/URI.h>
#include <sstream>

namespace catkinseam {

const std::string *findHeader(const HttpHeaders &Headers,
                              const std::string &Name) {
  for (const auto &[Key, Value] : Headers)
    if (Poco::icompare(Key, Name) == 0)
      return &Value;
  return nullptr;
}

std::string HttpRequest::queryValue(const std::string &Name,
                                    const std::string &Fallback) const {
  Poco::URI Uri;
  Uri.setRawQuery(m_query);
  for (const auto &[Key, Value] : Uri.getQueryParameters())
    if (Key == Name)
      return Value;
  return Fallback;
}

HttpResponse jsonResponse(int Status, std::string Body) {
  HttpResponse Response;
  Response.m_status = Status;
  Response.m_headers.emplace_back("Content-Type", "application/json");
  Response.m_body = std::move(Body);
  return Response;
}

int httpStatusOf(ErrorCode Code) {
  switch (Code) {
  case ErrorCode::Invalid:
    return 400;
  case ErrorCode::Unauthorized:
    return 401;
  case ErrorCode::NotFound:
    return 404;
  case ErrorCode::Conflict:
    return 409;
  case ErrorCode::TooLarge:
    return 413;
  case ErrorCode::Unavailable:
  case ErrorCode::OutcomeUnknown:
    return 503;
  case ErrorCode::Internal:
    return 500;
  }
  return 500;
}

ErrorCode errorCodeOf(int HttpStatus) {
  switch (HttpStatus) {
  case 401:
    return ErrorCode::Unauthorized;
  case 404:
    return ErrorCode::NotFound;
  case 409:
    return ErrorCode::Conflict;
  case 413:
    return ErrorCode::TooLarge;
  case 503:
    return ErrorCode::Unavailable;
  default:
    return HttpStatus < 500 ? ErrorCode::Invalid : ErrorCode::Internal;
  }
}

HttpResponse problemResponse(const Error &Failure) {
  const int Status = httpStatusOf(Failure.m_code);
  Poco::JSON::Object Problem;
  Problem.set("type", std::string("urn:catkinseam:problem:") +
                          errorCodeName(Failure.m_code));
  Problem.set("title", errorCodeName(Failure.m_code));
  Problem.set("status", Status);
  Problem.set("detail", Failure.m_message);
  std::ostringstream Text;
  Problem.stringify(Text);
  HttpResponse Response;
  Response.m_status = Status;
  Response.m_headers.emplace_back("Content-Type", "application/problem+json");
  if (Status == 503)
    Response.m_headers.emplace_back("Retry-After", "1");
  Response.m_body = Text.str();
  return Response;
}

} // namespace catkinseam
