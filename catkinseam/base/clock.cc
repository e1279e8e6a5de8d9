// The operating system's clocks and the manually advanced clock for tests.
#include "catkinseam/base/clock.h"

#include <ctime>

namespace catkinseam {

TimePoint SystemClock::now() const {
  return std::chrono::time_point_cast<Duration>(
      std::chrono::steady_clock::now());
}

WallTime SystemClock::wallNow() const {
  return std::chrono::time_point_cast<Milliseconds>(
      std::chrono::system_clock::now());
}

TimePoint SuspendAwareClock::now() const {
  timespec Time{};
  clock_gettime(CLOCK_BOOTTIME, &Time);
  return TimePoint(std::chrono::seconds(Time.tv_sec) +
                   std::chrono::nanoseconds(Time.tv_nsec));
}

WallTime SuspendAwareClock::wallNow() const { return SystemClock().wallNow(); }

TimePoint ManualClock::now() const {
  // Starts at one hour so that tests can use times before the start.
  return TimePoint(std::chrono::hours(1) + Duration(m_elapsed.load()));
}

WallTime ManualClock::wallNow() const {
  return WallTime(std::chrono::hours(1) +
                  toMilliseconds(Duration(m_elapsed.load())));
}

void ManualClock::advance(Duration Step) { m_elapsed += Step.count(); }

} // namespace catkinseam
