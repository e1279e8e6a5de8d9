// HTTP client whose failures tell whether the request may have reached the
// peer.
//
//   HttpConnection Connection(Peer);
//   ... Connection.connect(std::chrono::seconds(1)) ...
//   CallResult Exchange = Connection.call(Request, std::chrono::seconds(1));
//   if (!Exchange.m_response && Exchange.m_failure == CallFailure::NotSent) ...
#ifndef CATKINSEAM_NET_HTTP_CLIENT_H
#define CATKINSEAM_NET_HTTP_CLIENT_H

#include "catkinseam/base/clock.h"
#include "catkinseam/net/endpoint.h"
#include "catkinseam/net/http.h"

#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace catkinseam {

/// How far a call without a complete response got.
enum class CallFailure {
  None,      ///< There is a response.
  NotSent,   ///< No byte of the request left this process.
  TimedOut,  ///< Sent; no complete response within the timeout.
  Broken,    ///< Sent; connection closed or response truncated.
  Malformed, ///< Sent; the response is not valid HTTP.
};

/// A response, or the failure and a message that names the peer.
struct CallResult {
  std::optional<HttpResponse> m_response;
  CallFailure m_failure = CallFailure::None;
  std::string m_reason;
};

/// A connection that carries one request at a time and never reconnects by
/// itself. Not thread-safe.
class HttpConnection {
public:
  explicit HttpConnection(const Endpoint &Peer);
  ~HttpConnection();
  HttpConnection(HttpConnection &&) noexcept;
  HttpConnection &operator=(HttpConnection &&) noexcept;

  /// Opens the connection. Error Unavailable names the peer.
  Result<void> connect(Duration Timeout);

  /// Sends one request and reads the complete response. Closes the connection
  /// after any failure, so that a late response is never read as the response
  /// to another request.
  CallResult call(const HttpRequest &Request, Duration Timeout);

  /// Returns whether the connection is open, was not closed by the peer and has
  /// received no unsolicited bytes.
  bool isUsable() const;

  void close();

private:
  class Session;
  Endpoint m_peer;
  std::unique_ptr<Session> m_session;
};

/// Client with a pool of keep-alive connections to many peers. Thread-safe.
class HttpClient {
public:
  struct Options {
    Duration m_connectTimeout = std::chrono::milliseconds(500);
    std::size_t m_maxIdlePerPeer = 8;
  };

  HttpClient() = default;
  explicit HttpClient(const Options &Limits) : m_options(Limits) {}

  /// Sends `Request` to `Peer` on a pooled or new connection.
  CallResult call(const Endpoint &Peer, const HttpRequest &Request,
                  Duration Timeout);

private:
  std::optional<HttpConnection> takeIdle(const Endpoint &Peer);
  void returnIdle(const Endpoint &Peer, HttpConnection Connection);

  Options m_options;
  std::mutex m_mutex;
  /// Invariant: none of these connections has a request in progress.
  std::map<Endpoint, std::vector<HttpConnection>> m_idle;
};

} // namespace catkinseam

#endif // CATKINSEAM_NET_HTTP_CLIENT_H
