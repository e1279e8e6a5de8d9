// Interface to the platform's append-only log.
//
//   std::unique_ptr<LogService> Log = makeHttpLog(Server);
//   Result<LogPage> Page = Log->read(Offset, 1000, Wait, Timeout);
//
// Appends are not idempotent, and a response may be lost after the append took
// effect; callers determine the outcome by reading the log.
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
  /// Oldest retained offset.
  std::uint64_t m_first = 0;
  /// Offset of the next append.
  std::uint64_t m_end = 0;
  std::vector<LogEntry> m_entries;
};

/// Client of one stream. Thread-safe.
class LogService {
public:
  virtual ~LogService() = default;

  /// Returns up to `MaxEntries` entries, starting at offset `From`, and waits
  /// up to `Wait` for the first. Returns Unavailable when the log does not
  /// respond within `Wait` plus `Timeout`.
  virtual Result<LogPage> read(std::uint64_t From, std::size_t MaxEntries,
                               Duration Wait, Duration Timeout) = 0;

  /// Appends one entry and returns its offset. Returns Unavailable when the
  /// entry was not sent, and OutcomeUnknown when the append may have taken
  /// effect or may still do so.
  virtual Result<std::uint64_t> append(const std::string &Bytes,
                                       Duration Timeout) = 0;
};

/// Creates an HTTP client that uses GET and POST /streams/catkinseam/records.
std::unique_ptr<LogService> makeHttpLog(const Endpoint &Server);

} // namespace catkinseam

#endif // CATKINSEAM_PLATFORM_LOG_SERVICE_H
