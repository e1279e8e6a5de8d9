// The platform's append-only log, as the product sees it.
//
//   std::unique_ptr<LogService> Log = makeHttpLog(Where);
//   Result<LogPage> Page = Log->read(Offset, 1000, Wait, Timeout);
//
// Appends are not idempotent at the service, and an answer may be lost after
// the write took effect; callers learn outcomes by reading.
#ifndef CATKINSEAM_PLATFORM_LOG_SERVICE_H
#define CATKINSEAM_PLATFORM_LOG_SERVICE_H

#include "catkinseam/base/clock.h"
#include "catkinseam/base/error.h"
#include "catkinseam/net/endpoint.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace catkinseam {

struct LogEntry {
  std::uint64_t m_offset = 0;
  std::string m_bytes;
};

struct LogPage {
  /// Oldest offset still kept.
  std::uint64_t m_first = 0;
  /// Offset that the next append will get.
  std::uint64_t m_end = 0;
  std::vector<LogEntry> m_entries;
};

/// Access to one stream. Thread-safe.
class LogService {
public:
  virtual ~LogService() = default;

  /// Returns up to `MaxEntries` entries from `From` on, waiting up to `Wait`
  /// for the first. Error Unavailable when the log does not answer within
  /// `Timeout` beyond the wait.
  virtual Result<LogPage> read(std::uint64_t From, std::size_t MaxEntries,
                               Duration Wait, Duration Timeout) = 0;

  /// Appends one entry and returns its offset. On Error Unavailable it was not
  /// sent; on OutcomeUnknown it may take effect, now or later.
  virtual Result<std::uint64_t> append(const std::string &Bytes,
                                       Duration Timeout) = 0;
};

/// The log over HTTP: GET and POST /streams/catkinseam/records.
std::unique_ptr<LogService> makeHttpLog(const Endpoint &Where);

} // namespace catkinseam

#endif // CATKINSEAM_PLATFORM_LOG_SERVICE_H
