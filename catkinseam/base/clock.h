// The runtime's clock: the only source of time in the product.
//
//   ManualClock Clock;
//   Clock.advance(std::chrono::seconds(2));
//   if (Clock.now() >= Deadline) ...
//
// Tests hand a ManualClock to the systems under test, pause it and advance it.
#ifndef CATKINSEAM_BASE_CLOCK_H
#define CATKINSEAM_BASE_CLOCK_H

#include <atomic>
#include <chrono>

namespace catkinseam {

using Duration = std::chrono::nanoseconds;
using Milliseconds = std::chrono::milliseconds;

/// A time in seconds with fractions, as settings may give it.
using FractionalSeconds = std::chrono::duration<double>;

/// A point on the monotonic time line of one process.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// A point on the wall clock, for records and logs; never used for ordering.
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

/// The machine's clocks.
class SystemClock final : public Clock {
public:
  TimePoint now() const override;
  WallTime wallNow() const override;
};

/// The machine's clocks, where the monotonic one also counts the time that the
/// machine was suspended.
class SuspendAwareClock final : public Clock {
public:
  TimePoint now() const override;
  WallTime wallNow() const override;
};

/// A clock that stands still until told to advance. Thread-safe.
class ManualClock final : public Clock {
public:
  TimePoint now() const override;
  WallTime wallNow() const override;

  /// Moves both time lines forward by `Step`.
  void advance(Duration Step);

private:
  std::atomic<Duration::rep> m_elapsed{0};
};

/// Returns `Span` in whole milliseconds, rounded down.
inline Milliseconds toMilliseconds(Duration Span) {
  return std::chrono::duration_cast<Milliseconds>(Span);
}

inline Milliseconds toMilliseconds(FractionalSeconds Span) {
  return std::chrono::duration_cast<Milliseconds>(Span);
}

} // namespace catkinseam

#endif // CATKINSEAM_BASE_CLOCK_H
