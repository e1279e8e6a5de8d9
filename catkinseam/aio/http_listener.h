// Serves HTTP on one address without threads.
//
//   auto Front = HttpListener::open(Loop, Address, {}, [](const HttpRequest
//   &Request,
//                                            const HttpResponder &Respond) {
//     Respond(jsonResponse(200, "{}"));
//   });
//   if (Front->inProgress() == 0) ...  // no request left under way
#ifndef CATKINSEAM_AIO_HTTP_LISTENER_H
#define CATKINSEAM_AIO_HTTP_LISTENER_H

#include "catkinseam/aio/event_loop.h"
#include "catkinseam/net/endpoint.h"
#include "catkinseam/net/http.h"

#include <functional>
#include <memory>

namespace catkinseam {

/// Sends the answer of one request; may be kept and called later, once.
using HttpResponder = std::function<void(HttpResponse)>;
using AsyncHttpHandler =
    std::function<void(HttpRequest Request, HttpResponder Respond)>;

/// Not thread-safe.
class HttpListener {
public:
  struct Options {
    std::size_t m_maxConnections = 1500;
    std::uint32_t m_headerBytes = 16384;
    std::uint64_t m_bodyBytes = 262144;
    /// From a connection's first byte awaited to a whole request.
    Milliseconds m_idleTimeout{15000};
  };

  /// Error Unavailable names the address that cannot be listened on.
  static Result<std::unique_ptr<HttpListener>> open(EventLoop &Loop,
                                                    const Endpoint &Address,
                                                    const Options &Limits,
                                                    AsyncHttpHandler Handler);
  ~HttpListener();

  /// Limits of connections that come from now on.
  void setLimits(std::uint32_t HeaderBytes, std::uint64_t BodyBytes,
                 Milliseconds IdleTimeout);

  /// From now on each answer closes its connection.
  void closeAfterAnswers();

  /// Requests read and not answered.
  std::size_t inProgress() const;

private:
  class Session;
  struct Shared;

  explicit HttpListener(std::shared_ptr<Shared> State);
  static void accept(const std::shared_ptr<Shared> &State);

  std::shared_ptr<Shared> m_shared;
};

} // namespace catkinseam

#endif // CATKINSEAM_AIO_HTTP_LISTENER_H
