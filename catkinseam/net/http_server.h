// An HTTP listener on POCO Net with limits on everything a stranger sends.
//
//   HttpServer Server({.m_listen = Where, .m_maxConnections = 500},
//                     [](const HttpRequest &Request) { ... });
//   ...
//   Server.drain(std::chrono::seconds(5));
#ifndef CATKINSEAM_NET_HTTP_SERVER_H
#define CATKINSEAM_NET_HTTP_SERVER_H

#include "catkinseam/base/clock.h"
#include "catkinseam/net/endpoint.h"
#include "catkinseam/net/http.h"

#include <atomic>
#include <cstddef>
#include <memory>

namespace catkinseam {
class Ticker;
} // namespace catkinseam

namespace Poco {
class ThreadPool;
namespace Net {
class HTTPServer;
} // namespace Net
} // namespace Poco

namespace catkinseam {

/// Serves one endpoint; each kept connection holds a thread of the listener's
/// own pool, so that listeners cannot starve one another.
class HttpServer {
public:
  struct Options {
    Endpoint m_listen;
    /// Connections beyond this are answered 503 and closed.
    std::size_t m_maxConnections = 256;
    std::size_t m_maxHeaderBytes = 16 * 1024;
    std::size_t m_maxBodyBytes = 1024 * 1024;
    /// Longest silence while a request is being read, and longest time for
    /// the whole header of a new connection's first request, and for a body.
    Duration m_readTimeout = std::chrono::seconds(5);
    /// Longest idle time of a kept connection.
    Duration m_idleTimeout = std::chrono::seconds(60);
  };

  /// Binds and starts serving. Throws Poco::Exception when the endpoint can't
  /// be bound.
  HttpServer(const Options &Limits, HttpHandler Handler);

  /// Stops at once.
  ~HttpServer();

  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  /// From now on each answer closes its connection. Does not wait.
  void closeAfterAnswers();

  /// Stops accepting, lets every request in progress end, then returns.
  void stop();

  struct Shared;

private:
  std::shared_ptr<Shared> m_shared;
  std::unique_ptr<Poco::ThreadPool> m_threads;
  std::unique_ptr<Poco::Net::HTTPServer> m_server;
  /// Closes connections that take too long to send a header.
  std::unique_ptr<Ticker> m_reaper;
};

} // namespace catkinseam

#endif // CATKINSEAM_NET_HTTP_SERVER_H
