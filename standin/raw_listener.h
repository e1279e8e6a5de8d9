// A server that violates HTTP: it resets connections, or answers before it has
// read the request.
//
//   auto Server = RawListener::open(
//       Loop, Address, {RawListener::Kind::Early, 0.3}, Handler);
#ifndef CATKINSEAM_STANDIN_RAW_LISTENER_H
#define CATKINSEAM_STANDIN_RAW_LISTENER_H

#include "catkinseam/aio/http_listener.h"

#include <memory>

namespace catkinseam {

/// Not thread-safe.
class RawListener {
public:
  enum class Kind {
    Reset, ///< Resets each connection when it has received something.
    Early  ///< Answers 429 to the head of each request, keeps the connection
           ///< and answers 400 to the body as if it were a request.
  };

  struct Options {
    Kind m_kind = Kind::Reset;
    /// Share of requests that Early refuses; the others are served.
    double m_share = 1.0;
  };

  /// Binds and listens. Returns Unavailable, naming the address, on failure.
  static Result<std::unique_ptr<RawListener>> open(EventLoop &Loop,
                                                   const Endpoint &Address,
                                                   const Options &Values,
                                                   AsyncHttpHandler Handler);
  /// Closes all connections.
  ~RawListener();

private:
  class Session;
  struct Shared;

  explicit RawListener(std::shared_ptr<Shared> State);
  static void accept(const std::shared_ptr<Shared> &State);

  std::shared_ptr<Shared> m_shared;
};

} // namespace catkinseam

#endif // CATKINSEAM_STANDIN_RAW_LISTENER_H
