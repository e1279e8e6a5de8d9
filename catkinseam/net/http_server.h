// HTTP server based on POCO Net that limits everything clients send.
//
//   HttpServer Server({.m_listen = Address, .m_maxConnections = 500},
//                     [](const HttpRequest &Request) { ... });
//   ...
//   Server.stop();
#ifndef CATKINSEAM_NET_HTTP_SERVER_H
#define CATKINSEAM_NET_HTTP_SERVER_H

#include "catkinseam/base/clock.h"
#include "catkinseam/net/byte_budget.h"
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

/// Serves one endpoint. Each open connection occupies a thread of the server's
/// own pool, so that servers cannot starve one another.
class HttpServer {
public:
  static constexpr std::size_t DefaultUnfinishedBytes = 64 * 1024 * 1024;

  struct Options {
    Endpoint m_listen;
    /// Further connections get a 503 response and are closed.
    std::size_t m_maxConnections = 256;
    /// Also the limit on the chunk extensions and trailers of a body.
    std::size_t m_maxHeaderBytes = 16 * 1024;
    std::size_t m_maxBodyBytes = 1024 * 1024;
    /// Limits the bodies of unfinished requests together; servers of a process
    /// may share it. Without one, the server has a budget of its own.
    std::shared_ptr<ByteBudget> m_bodyBudget;
    /// Maximum time between reads of a request; also the maximum time to
    /// receive the complete first header of a connection, and a body with its
    /// chunk extensions and trailers.
    Duration m_readTimeout = std::chrono::seconds(5);
    /// Maximum idle time of a keep-alive connection.
    Duration m_idleTimeout = std::chrono::seconds(60);
    /// Maximum time to send a response.
    Duration m_writeTimeout = std::chrono::seconds(10);
  };

  /// Binds and starts serving. Throws Poco::Exception if the endpoint cannot
  /// be bound.
  HttpServer(const Options &Limits, HttpHandler Handler);

  /// Stops without waiting for requests to complete.
  ~HttpServer();

  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  /// Makes every later response close its connection. Does not wait.
  void closeAfterResponses();

  /// Stops accepting connections and waits for all requests in progress.
  void stop();

  struct Shared;

private:
  std::shared_ptr<Shared> m_shared;
  std::unique_ptr<Poco::ThreadPool> m_threads;
  std::unique_ptr<Poco::Net::HTTPServer> m_server;
  /// Periodically closes connections that are overdue.
  std::unique_ptr<Ticker> m_deadlineTicker;
};

} // namespace catkinseam

#endif // CATKINSEAM_NET_HTTP_SERVER_H
