// Bounds how many log records a process writes.
//
//   LogBudget Budget({});
//   if (Budget.take(Clock.now())) write(Line);
//   const std::uint64_t Left = Budget.takeDropped();
//
// A bucket of records that fills at a steady rate. What finds it empty is
// counted, so that the log can say how much it lacks.
#ifndef CATKINSEAM_TELEMETRY_LOG_BUDGET_H
#define CATKINSEAM_TELEMETRY_LOG_BUDGET_H

#include "catkinseam/base/clock.h"

#include <algorithm>
#include <cstdint>
#include <utility>

namespace catkinseam {

/// Not thread-safe.
class LogRateLimiter {
public:
  struct Options {
    /// Records a second over a long time: twice those of the busiest second of
    /// an owner of 490 workers under load (1,475 measured).
    double m_recordsPerSecond = 3000.0;
    /// Records at once: twice those of its first second (3,145 measured).
    double m_burstRecords = 6000.0;
  };

  explicit LogRateLimiter(const Options &Values)
      : m_options(Values), m_tokens(Values.m_burstRecords) {}

  /// Whether one more record may be written.
  bool tryAcquire(TimePoint Now) {
    if (m_lastRefill != TimePoint()) {
      const double Seconds =
          std::chrono::duration<double>(Now - m_lastRefill).count();
      m_tokens = std::min(m_options.m_burstRecords,
                          m_tokens + std::max(0.0, Seconds) *
                                         m_options.m_recordsPerSecond);
    }
    m_lastRefill = Now;
    if (m_tokens < 1.0) {
      ++m_dropped;
      return false;
    }
    m_tokens -= 1.0;
    return true;
  }

  /// One record could not be written for another reason.
  void countDropped() { ++m_dropped; }

  /// Records dropped since the last call.
  std::uint64_t takeDropped() { return std::exchange(m_dropped, 0); }

private:
  const Options m_options;
  double m_tokens;
  TimePoint m_lastRefill;
  std::uint64_t m_dropped = 0;
};

} // namespace catkinseam

#endif // CATKINSEAM_TELEMETRY_LOG_BUDGET_H
