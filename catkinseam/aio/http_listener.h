// Asynchronous HTTP server on one address.
//
//   auto Server = HttpListener::open(
//       Loop, Address, {}, [](HttpRequest Request, HttpResponder Respond) {
//         Respond(jsonResponse(200, "{}"));
//       });
//   // No request is waiting for its response:
//   if (Server.value()->requestsInProgress() == 0) ...
#ifndef CATKINSEAM_AIO_HTTP_LISTENER_H
#define CATKINSEAM_AIO_HTTP_LISTENER_H

#include "catkinseam/aio/event_loop.h"
#include "catkinseam/aio/request_memory.h"
#include "catkinseam/net/endpoint.h"
#include "catkinseam/net/http.h"

#include <functional>
#include <memory>

namespace catkinseam {

/// Sends the response to one request. May be stored and called later; only the
/// first call has an effect.
using HttpResponder = std::function<void(HttpResponse)>;
using AsyncHttpHandler =
    std::function<void(HttpRequest Request, HttpResponder Respond)>;

/// Not thread-safe.
class HttpListener {
public:
  struct Options {
    /// At this number the connection that has waited longest for its client
    /// makes room for a new one.
    std::size_t m_maxConnections = 1500;
    std::uint32_t m_headerBytes = 16384;
    std::uint64_t m_bodyBytes = 262144;
    /// Maximum time from the start of reading to the complete request, and for
    /// the client to take the response.
    Milliseconds m_idleTimeout{15000};
    /// For requests and responses; may be shared with other listeners. Without
    /// one, each listener has its own.
    std::shared_ptr<RequestMemory> m_budget = nullptr;
  };

  /// Binds and listens. Returns Unavailable, naming the address, on failure.
  static Result<std::unique_ptr<HttpListener>> open(EventLoop &Loop,
                                                    const Endpoint &Address,
                                                    const Options &Limits,
                                                    AsyncHttpHandler Handler);
  /// Closes all connections. Requests in progress get no response.
  ~HttpListener();

  /// Sets the limits that apply to requests read from now on. Sizes are in
  /// bytes.
  void setLimits(std::uint32_t HeaderBytes, std::uint64_t BodyBytes,
                 Milliseconds IdleTimeout);

  /// Closes each connection after its next response.
  void closeAfterResponses();

  /// Number of requests received and not yet answered.
  std::size_t requestsInProgress() const;

private:
  class Session;
  struct Shared;

  explicit HttpListener(std::shared_ptr<Shared> State);
  static void accept(const std::shared_ptr<Shared> &State);

  std::shared_ptr<Shared> m_shared;
};

} // namespace catkinseam

#endif // CATKINSEAM_AIO_HTTP_LISTENER_H
