// In-memory append-only log with time-based retention.
//
//   LogStore Log(std::chrono::seconds(30));
//   Log.append(Bytes);
#ifndef STANDIN_LOG_STORE_H
#define STANDIN_LOG_STORE_H

#include "catkinseam/base/clock.h"
#include "catkinseam/platform/log_service.h"

#include <condition_variable>
#include <deque>
#include <mutex>

namespace standin {

/// Log of byte records at consecutive offsets from 0. Records older than
/// `Retention` are removed. Thread-safe.
class LogStore {
public:
  explicit LogStore(catkinseam::Duration Retention) : m_retention(Retention) {}

  /// Appends a record and returns its offset.
  std::uint64_t append(const std::string &Bytes);

  /// Returns up to `MaxEntries` entries and about 4 MiB from offset `From` on.
  /// Waits up to `Timeout` for the first one.
  catkinseam::LogPage read(std::uint64_t From, std::size_t MaxEntries,
                           catkinseam::Duration Timeout);

  /// Number of records appended so far, including removed ones.
  std::uint64_t appendCount() const;
  /// Bytes appended so far, including removed records.
  std::uint64_t appendedBytes() const;

private:
  void removeExpired();

  const catkinseam::Duration m_retention;
  catkinseam::SystemClock m_clock;
  mutable std::mutex m_mutex;
  std::condition_variable m_entryAppended;
  std::deque<std::string> m_entries;
  std::deque<catkinseam::TimePoint> m_appendTimes;
  /// Offset of m_entries.front().
  std::uint64_t m_firstOffset = 0;
  std::uint64_t m_appendedBytes = 0;
};

} // namespace standin

#endif // STANDIN_LOG_STORE_H
