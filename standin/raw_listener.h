// A server that violates HTTP: it resets connections, or answers before it has
// read the request.
//
//   auto Server = RawListener::open(Loop, Address, RawListener::Kind::Early);
#ifndef CATKINSEAM_STANDIN_RAW_LISTENER_H
#define CATKINSEAM_STANDIN_RAW_LISTENER_H

#include "catkinseam/aio/event_loop.h"
#include "catkinseam/base/error.h"
#include "catkinseam/net/endpoint.h"

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

  /// Binds and listens. Returns Unavailable, naming the address, on failure.
  static Result<std::unique_ptr<RawListener>>
  open(EventLoop &Loop, const Endpoint &Address, Kind How);
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
