// HTTP message types shared by server, client and handlers.
//
//   HttpResponse Response = jsonResponse(200, "{\"ready\":true}");
//   const std::string *Kind = Request.header("Catkinseam-Kind");
#ifndef CATKINSEAM_NET_HTTP_H
#define CATKINSEAM_NET_HTTP_H

#include "catkinseam/base/error.h"

#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace catkinseam {

/// Header fields in the order in which they were sent.
using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

/// Returns the value of the first field `Name` (case-insensitive), or null.
const std::string *findHeader(const HttpHeaders &Headers,
                              const std::string &Name);

struct HttpRequest {
  std::string m_method = "GET";
  std::string m_path = "/";
  /// The part of the URI after "?", still percent-encoded.
  std::string m_query;
  HttpHeaders m_headers;
  std::string m_body;

  const std::string *header(const std::string &Name) const {
    return findHeader(m_headers, Name);
  }

  /// Returns the decoded value of a query parameter, or `Fallback`.
  std::string queryValue(const std::string &Name,
                         const std::string &Fallback = "") const;
};

struct HttpResponse {
  int m_status = 200;
  HttpHeaders m_headers;
  std::string m_body;

  const std::string *header(const std::string &Name) const {
    return findHeader(m_headers, Name);
  }
};

/// Handles one request. Called concurrently from several threads.
using HttpHandler = std::function<HttpResponse(const HttpRequest &)>;

/// Returns an application/json response.
HttpResponse jsonResponse(int Status, std::string Body);

/// Returns an application/problem+json response whose status follows from the
/// error's code.
HttpResponse problemResponse(const Error &Failure);

/// Returns the HTTP status of an error code.
int httpStatusOf(ErrorCode Code);

/// Returns the error code of an HTTP error status.
ErrorCode errorCodeOf(int HttpStatus);

} // namespace catkinseam

#endif // CATKINSEAM_NET_HTTP_H
