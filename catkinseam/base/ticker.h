// A thread that calls a function again and again until stopped.
//
//   Ticker Beat("heartbeat", std::chrono::milliseconds(100), [&] { send(); });
//   Beat.wake();   // run it now
#ifndef CATKINSEAM_BASE_TICKER_H
#define CATKINSEAM_BASE_TICKER_H

#include "catkinseam/base/clock.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace catkinseam {

/// Runs `Work` on a thread of its own, `Interval` of real time apart. The edges
/// of the product use it; systems under test are called directly.
class Ticker {
public:
  Ticker(Duration Interval, std::function<void()> Work);

  /// Stops and joins.
  ~Ticker();

  /// Runs the work as soon as possible.
  void wake();

  /// Stops after the work in progress. Idempotent.
  void stop();

private:
  void run();

  const Duration m_interval;
  const std::function<void()> m_work;
  std::mutex m_mutex;
  std::condition_variable m_changed;
  bool m_isWoken = false;
  bool m_isStopping = false;
  std::thread m_thread;
};

} // namespace catkinseam

#endif // CATKINSEAM_BASE_TICKER_H
