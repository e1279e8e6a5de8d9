// A thread that calls a function periodically until stopped.
//
//   Ticker Heartbeat(std::chrono::milliseconds(100), [&] { send(); });
//   Heartbeat.wake();   // run it now
#ifndef CATKINSEAM_BASE_TICKER_H
#define CATKINSEAM_BASE_TICKER_H

#include "catkinseam/base/clock.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace catkinseam {

/// Runs `Work` on its own thread: once at the start, then `Interval` of real
/// time after each run. Used where the product does I/O; code under test is
/// called directly. wake() is thread-safe.
class Ticker {
public:
  Ticker(Duration Interval, std::function<void()> Work);

  /// Calls stop().
  ~Ticker();

  /// Runs the work now or, if it is running, once more right after.
  void wake();

  /// Waits for a run in progress and ends the thread. Idempotent.
  void stop();

private:
  void run();

  const Duration m_interval;
  const std::function<void()> m_work;
  std::mutex m_mutex;
  std::condition_variable m_condition;
  bool m_isWakeRequested = false;
  bool m_isStopping = false;
  std::thread m_thread;
};

} // namespace catkinseam

#endif // CATKINSEAM_BASE_TICKER_H
