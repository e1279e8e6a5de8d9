// Clock interface and its implementations; the product's only source of time.
//
//   ManualClock Clock;
//   Clock.advance(std::chrono::seconds(2));
//   if (Clock.now() >= Deadline) ...
//
// Tests pass a ManualClock to the code under test and advance it explicitly.
#ifndef CATKINSEAM_BASE_CLOCK_H
#define CATKINSEAM_BASE_CLOCK_H

#include <atomic>
#include <chrono>

namespace catkinseam {

using Duration = std::chrono::nanoseconds;
using Milliseconds = std::chrono::milliseconds;

/// A duration in seconds, possibly fractional, as settings may specify it.
using FractionalSeconds = std::chrono::duration<double>;

/// A monotonic time; only comparable within one process.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// A wall-clock time, for records and logs; never used for ordering.
using WallTime =
    std::chrono::time_point<std::chrono::system_clock, Milliseconds>;

/// Source of time. Thread-safe.
class Clock {
public:
  virtual ~Clock() = default;

  /// Returns the monotonic time of this process.
  virtual TimePoint now() const = 0;

  /// Returns the wall time in milliseconds since the Unix epoch.
  virtual WallTime wallNow() const = 0;
};

/// The operating system's clocks.
class SystemClock final : public Clock {
public:
  TimePoint now() const override;
  WallTime wallNow() const override;
};

/// The operating system's clocks; the monotonic one also advances while the
/// machine is suspended.
class SuspendAwareClock final : public Clock {
public:
  TimePoint now() const override;
  WallTime wallNow() const override;
};

/// A clock that only changes when advance() is called. Thread-safe.
class ManualClock final : public Clock {
public:
  TimePoint now() const override;
  WallTime wallNow() const override;

  /// Advances the monotonic and the wall clock by `Step`.
  void advance(Duration Step);

private:
  std::atomic<Duration::rep> m_elapsed{0};
};

/// Returns `Span` in whole milliseconds, truncated toward zero.
inline Milliseconds toMilliseconds(Duration Span) {
  return std::chrono::duration_cast<Milliseconds>(Span);
}

inline Milliseconds toMilliseconds(FractionalSeconds Span) {
  return std::chrono::duration_cast<Milliseconds>(Span);
}

} // namespace catkinseam

#endif // CATKINSEAM_BASE_CLOCK_H
