// HTTP calls whose failures say whether the request can have reached the peer.
//
//   HttpConnection Connection(Where);
//   CallResult Answer = Connection.call(Request, std::chrono::seconds(1));
//   if (!Answer.m_response && Answer.m_failure == CallFailure::NotSent) ...
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

/// How far a call that brought no whole answer got.
enum class CallFailure {
  None,      ///< There is an answer.
  NotSent,   ///< No byte of the request left this process.
  TimedOut,  ///< Sent; no whole answer within the time given.
  Broken,    ///< Sent; the connection ended or the answer was cut short.
  Malformed, ///< Sent; the answer is not valid HTTP.
};

struct CallResult {
  std::optional<HttpResponse> m_response;
  CallFailure m_failure = CallFailure::None;
  std::string m_reason;
};

/// One connection that carries one request at a time and is never reopened
/// behind its owner's back. Not thread-safe.
class HttpConnection {
public:
  explicit HttpConnection(const Endpoint &Peer);
  ~HttpConnection();
  HttpConnection(HttpConnection &&) noexcept;
  HttpConnection &operator=(HttpConnection &&) noexcept;

  /// Opens the connection. Error Unavailable names the peer.
  Result<void> connect(Duration Timeout);

  /// Sends one request and reads the whole answer. After any failure the
  /// connection is closed, so a late answer can reach nobody.
  CallResult call(const HttpRequest &Request, Duration Timeout);

  /// Returns whether the connection is open and has neither ended nor
  /// received bytes that nobody asked for.
  bool isUsable() const;

  void close();

private:
  class Session;
  Endpoint m_peer;
  std::unique_ptr<Session> m_session;
};

/// Kept connections to many peers. Thread-safe.
class HttpClient {
public:
  struct Options {
    Duration m_connectTimeout = std::chrono::milliseconds(500);
    std::size_t m_maxIdlePerPeer = 8;
  };

  HttpClient() = default;
  explicit HttpClient(const Options &Limits) : m_options(Limits) {}

  /// Sends `Request` to `Peer` on a kept or new connection.
  CallResult call(const Endpoint &Peer, const HttpRequest &Request,
                  Duration Timeout);

private:
  std::optional<HttpConnection> takeIdle(const Endpoint &Peer);
  void keepIdle(const Endpoint &Peer, HttpConnection Connection);

  Options m_options;
  std::mutex m_mutex;
  /// Invariant: each connection in here has no request in progress.
  std::map<Endpoint, std::vector<HttpConnection>> m_idle;
};

} // namespace catkinseam

#endif // CATKINSEAM_NET_HTTP_CLIENT_H
