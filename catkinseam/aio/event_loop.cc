// The event loop, on Boost.Asio.
#include "catkinseam/aio/event_loop.h"

#include <boost/asio/executor_work_guard.hpp>

namespace catkinseam {

namespace {

constexpr int ThreadsOfContext = 1;

} // namespace

EventLoop::EventLoop() : m_context(ThreadsOfContext) {}

void EventLoop::run() {
  auto Guard = boost::asio::make_work_guard(m_context);
  m_context.run();
}

Runtime::TimerId EventLoop::schedule(Duration Delay,
                                     std::function<void()> Call) {
  const TimerId Id = ++m_lastId;
  auto Made = std::make_unique<boost::asio::steady_timer>(m_context, Delay);
  Made->async_wait([this, Id, Call = std::move(Call)](
                       const boost::system::error_code &Fault) {
    // A cancelled timer may have expired already; its entry is gone then.
    if (Fault || m_timers.erase(Id) == 0)
      return;
    Call();
  });
  m_timers.emplace(Id, std::move(Made));
  return Id;
}

void EventLoop::cancel(TimerId Id) { m_timers.erase(Id); }

} // namespace catkinseam
