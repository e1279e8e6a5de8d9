// Clock and timers of one process.
//
//   Timer HeartbeatTimer(Loop);
//   HeartbeatTimer.start(Milliseconds(400), [] { ... });
//
//   ManualRuntime TestRuntime;     // in tests
//   TestRuntime.advance(Milliseconds(400));
#ifndef CATKINSEAM_BASE_RUNTIME_H
#define CATKINSEAM_BASE_RUNTIME_H

#include "catkinseam/base/clock.h"

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

namespace catkinseam {

/// A clock and a scheduler of callbacks. Not thread-safe: all calls come from
/// the thread that runs the callbacks.
class Runtime {
public:
  using TimerId = std::uint64_t;

  virtual ~Runtime() = default;
  virtual const Clock &clock() const = 0;

  /// Runs `Callback` once after `Delay`, never from within schedule().
  virtual TimerId schedule(Duration Delay, std::function<void()> Callback) = 0;

  /// Cancels a callback; does nothing if it has already run.
  virtual void cancel(TimerId Id) = 0;

  TimePoint now() const { return clock().now(); }

  /// Runs `Callback` after the current callback returns.
  void post(std::function<void()> Callback) {
    schedule(Duration::zero(), std::move(Callback));
  }
};

/// One-shot timer. Destroying or restarting it cancels the pending callback.
class Timer {
public:
  explicit Timer(Runtime &TimerRuntime) : m_runtime(TimerRuntime) {}
  Timer(const Timer &) = delete;
  Timer &operator=(const Timer &) = delete;
  ~Timer() { cancel(); }

  void start(Duration Delay, std::function<void()> Callback) {
    cancel();
    m_id = m_runtime.schedule(Delay, [this, Callback = std::move(Callback)] {
      m_id = 0;
      Callback();
    });
  }

  void cancel() {
    if (m_id != 0)
      m_runtime.cancel(m_id);
    m_id = 0;
  }

  bool isRunning() const { return m_id != 0; }

private:
  Runtime &m_runtime;
  /// Zero while no callback is pending.
  Runtime::TimerId m_id = 0;
};

/// A runtime whose time only changes when advance() is called, for tests.
class ManualRuntime final : public Runtime {
public:
  const Clock &clock() const override { return m_clock; }
  TimerId schedule(Duration Delay, std::function<void()> Callback) override;
  void cancel(TimerId Id) override;

  /// Advances the clock by `Step` and runs the callbacks that become due, in
  /// order of their due times.
  void advance(Duration Step);

private:
  ManualClock m_clock;
  TimerId m_lastId = 0;
  std::map<std::pair<TimePoint, TimerId>, std::function<void()>> m_callbacks;
  std::map<TimerId, TimePoint> m_dueTimes;
};

} // namespace catkinseam

#endif // CATKINSEAM_BASE_RUNTIME_H
