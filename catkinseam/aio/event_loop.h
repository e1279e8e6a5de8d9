// Runtime implementation that runs sockets and timers on one thread.
//
//   EventLoop Loop;
//   Loop.run();
#ifndef CATKINSEAM_AIO_EVENT_LOOP_H
#define CATKINSEAM_AIO_EVENT_LOOP_H

#include "catkinseam/base/runtime.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <unordered_map>

namespace catkinseam {

/// Not thread-safe. All handlers run on the thread that calls run().
class EventLoop final : public Runtime {
public:
  EventLoop();

  const Clock &clock() const override { return m_clock; }
  TimerId schedule(Duration Delay, std::function<void()> Callback) override;
  void cancel(TimerId Id) override;

  /// Blocks and runs handlers until stop() is called.
  void run();
  void stop() { m_context.stop(); }

  boost::asio::io_context &context() { return m_context; }

private:
  boost::asio::io_context m_context;
  SuspendAwareClock m_clock;
  TimerId m_lastId = 0;
  std::unordered_map<TimerId, std::unique_ptr<boost::asio::steady_timer>>
      m_timers;
};

} // namespace catkinseam

#endif // CATKINSEAM_AIO_EVENT_LOOP_H
