// HTTP client for orders to one incarnation of a worker: start, stop, throttle,
// status poll.
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

  const std::string m_worker;
  /// Status polls are long polls that the worker may keep open for seconds, so
  /// they use a connection of their own.
  AsyncHttpClient m_orderClient;
  AsyncHttpClient m_statusPollClient;
};

} // namespace catkinseam

#endif // CATKINSEAM_PLATFORM_HTTP_WORKER_LINK_H
