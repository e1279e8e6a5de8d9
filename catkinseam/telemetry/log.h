// Structured log records: one line of key=value pairs each.
//
//   startLogging("info");
//   logInfo("worker.leaving", {{"worker", Name}, {"slots", "8"}});
#ifndef CATKINSEAM_TELEMETRY_LOG_H
#define CATKINSEAM_TELEMETRY_LOG_H

#include <initializer_list>
#include <string>
#include <utility>

namespace catkinseam {

using LogField = std::pair<const char *, std::string>;

enum class LogStream { StandardError, StandardOutput };

/// Writes records of `Level` ("debug", "info", "warn", "error") and above to
/// `Stream`. Call once, before the first record.
void startLogging(const std::string &Level,
                  LogStream Stream = LogStream::StandardError);

/// Sets the lowest level that is written.
void setLogLevel(const std::string &Level);

/// Writes a complete line if the descriptor accepts it without blocking.
/// Returns false when nothing was written. Lines over 4,096 bytes are
/// truncated.
bool writeNonBlocking(int Descriptor, const std::string &Line);

/// Writes one record, or drops it when the rate limit is exceeded or the reader
/// does not keep up; a log.dropped record then reports the number of dropped
/// records. `Event` is a dotted event name. Thread-safe.
void logDebug(const char *Event, std::initializer_list<LogField> Fields);
void logInfo(const char *Event, std::initializer_list<LogField> Fields);
void logWarn(const char *Event, std::initializer_list<LogField> Fields);
void logError(const char *Event, std::initializer_list<LogField> Fields);

/// Returns the record's text, for example: event=entry.ready port="8080".
std::string formatRecord(const char *Event,
                         std::initializer_list<LogField> Fields);

} // namespace catkinseam

#endif // CATKINSEAM_TELEMETRY_LOG_H
