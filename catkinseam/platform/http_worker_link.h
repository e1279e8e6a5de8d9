// HTTP client for orders to a worker: start, stop, throttle, status poll.
//
// The platform's calls name a worker by its id, which it may keep across a
// restart. A start, and a poll that extends leases or acknowledges ends, is
// therefore sent only on a connection on which the incarnation that it is for
// has replied to a status poll.
//
//   HttpWorkerLink Link(Loop, Address, WorkerId);
//   Link.start(Order, FencingToken, [](const OrderReply &Reply) { ... });
#ifndef CATKINSEAM_PLATFORM_HTTP_WORKER_LINK_H
#define CATKINSEAM_PLATFORM_HTTP_WORKER_LINK_H

#include "catkinseam/aio/async_http_client.h"
#include "catkinseam/scheduler/orders.h"

#include <functional>
#include <optional>
#include <string>

namespace catkinseam {

/// Not thread-safe.
class HttpWorkerLink final : public WorkerLink {
public:
  HttpWorkerLink(EventLoop &Loop, const Endpoint &Address, std::string Worker);

  void start(const StartOrder &Order, std::uint64_t FencingToken,
             std::function<void(const OrderReply &)> Done) override;
  void stop(const StopOrder &Order, std::uint64_t FencingToken,
            std::function<void(const OrderReply &)> Done) override;
  void throttle(const ThrottleOrder &Order, std::uint64_t FencingToken,
                std::function<void(const OrderReply &)> Done) override;
  void poll(const PollOrder &Order, std::uint64_t FencingToken,
            std::function<void(const PollReply &)> Done) override;

private:
  HttpCall makeCall(const char *Path, std::string Body,
                    Milliseconds Timeout) const;
  /// Restricts a call to the incarnation that started at `WorkerStartedMs`.
  static ProcessCheck checkFor(std::int64_t WorkerStartedMs,
                               std::uint64_t FencingToken);

  const std::string m_worker;
  /// Status polls are long polls that the worker may keep open for seconds, so
  /// they use a connection of their own.
  AsyncHttpClient m_orderClient;
  AsyncHttpClient m_statusPollClient;
};

} // namespace catkinseam

#endif // CATKINSEAM_PLATFORM_HTTP_WORKER_LINK_H
