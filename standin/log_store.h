// In-memory append-only log with retention and the faults of the real one.
//
//   LogStore Log({.m_retention = std::chrono::seconds(30)});
//   Log.append(Bytes);
#ifndef STANDIN_LOG_STORE_H
#define STANDIN_LOG_STORE_H

#include "catkinseam/base/clock.h"
#include "catkinseam/platform/log_service.h"

#include <condition_variable>
#include <deque>
#include <mutex>

namespace standin {

/// Thread-safe.
class LogStore {
public:
  explicit LogStore(catkinseam::Duration Retention) : m_retention(Retention) {}

  std::uint64_t append(const std::string &Bytes);

  /// Returns entries from `From` on, waiting for the first.
  catkinseam::LogPage read(std::uint64_t From, std::size_t Most,
                           catkinseam::Duration Wait);

  std::uint64_t appends() const;
  std::uint64_t bytes() const;

private:
  void expire();

  const catkinseam::Duration m_retention;
  catkinseam::SystemClock m_clock;
  mutable std::mutex m_mutex;
  std::condition_variable m_changed;
  std::deque<std::string> m_entries;
  std::deque<catkinseam::TimePoint> m_times;
  std::uint64_t m_first = 0;
  std::uint64_t m_bytes = 0;
};

} // namespace standin

#endif // STANDIN_LOG_STORE_H
