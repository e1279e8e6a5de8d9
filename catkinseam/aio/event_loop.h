// The runtime of a real process: one thread that runs sockets and timers.
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

class EventLoop final : public Runtime {
public:
  EventLoop();

  const Clock &clock() const override { return m_clock; }
  TimerId schedule(Duration Delay, std::function<void()> Call) override;
  void cancel(TimerId Id) override;

  /// Runs handlers until stop() is called.
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
