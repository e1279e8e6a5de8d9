// The runtime of one process: its clock and its timers.
//
//   Timer Beat(Loop);
//   Beat.start(Milliseconds(400), [] { ... });
//
//   ManualRuntime Paused;          // in tests
//   Paused.advance(Milliseconds(400));
#ifndef CATKINSEAM_BASE_RUNTIME_H
#define CATKINSEAM_BASE_RUNTIME_H

#include "catkinseam/base/clock.h"

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

namespace catkinseam {

/// Not thread-safe: all calls come from the thread that runs the handlers.
class Runtime {
public:
  using TimerId = std::uint64_t;

  virtual ~Runtime() = default;
  virtual const Clock &clock() const = 0;

  /// Runs `Call` once after `Delay`, never from within schedule().
  virtual TimerId schedule(Duration Delay, std::function<void()> Call) = 0;

  /// The call will not run; one that has run is let be.
  virtual void cancel(TimerId Id) = 0;

  TimePoint now() const { return clock().now(); }

  /// Runs `Call` after the current handler.
  void post(std::function<void()> Call) {
    schedule(Duration::zero(), std::move(Call));
  }
};

/// Calls back once, later. Destroying or restarting it cancels the call.
class Timer {
public:
  explicit Timer(Runtime &Host) : m_host(Host) {}
  Timer(const Timer &) = delete;
  Timer &operator=(const Timer &) = delete;
  ~Timer() { cancel(); }

  void start(Duration Delay, std::function<void()> Call) {
    cancel();
    m_id = m_host.schedule(Delay, [this, Call = std::move(Call)] {
      m_id = 0;
      Call();
    });
  }

  void cancel() {
    if (m_id != 0)
      m_host.cancel(m_id);
    m_id = 0;
  }

  bool isRunning() const { return m_id != 0; }

private:
  Runtime &m_host;
  /// Zero while no call is due.
  Runtime::TimerId m_id = 0;
};

/// A runtime whose time moves only when told to.
class ManualRuntime final : public Runtime {
public:
  const Clock &clock() const override { return m_clock; }
  TimerId schedule(Duration Delay, std::function<void()> Call) override;
  void cancel(TimerId Id) override;

  /// Moves time forward and runs all that comes due, in order.
  void advance(Duration Step);

private:
  ManualClock m_clock;
  TimerId m_lastId = 0;
  std::map<std::pair<TimePoint, TimerId>, std::function<void()>> m_due;
  std::map<TimerId, TimePoint> m_times;
};

} // namespace catkinseam

#endif // CATKINSEAM_BASE_RUNTIME_H
