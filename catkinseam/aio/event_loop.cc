// Event loop implementation on Boost.Asio.
#include "catkinseam/aio/event_loop.h"

#include <boost/asio/executor_work_guard.hpp>

namespace catkinseam {

namespace {

/// One thread runs the event loop.
constexpr int ConcurrencyHint = 1;

} // namespace

EventLoop::EventLoop() : m_context(ConcurrencyHint) {}

void EventLoop::run() {
  auto Guard = boost::asio::make_work_guard(m_context);
  m_context.run();
}

Runtime::TimerId EventLoop::schedule(Duration Delay,
                                     std::function<void()> Callback) {
  const TimerId Id = ++m_lastId;
  auto NewTimer = std::make_unique<boost::asio::steady_timer>(m_context, Delay);
  NewTimer->async_wait([this, Id, Callback = std::move(Callback)](
                           const boost::system::error_code &Ec) {
    // A timer may be cancelled after it has expired but before its handler
    // runs; its entry has then been erased.
    if (Ec || m_timers.erase(Id) == 0)
      return;
    Callback();
  });
  m_timers.emplace(Id, std::move(NewTimer));
  return Id;
}

void EventLoop::cancel(TimerId Id) { m_timers.erase(Id); }

} // namespace catkinseam
