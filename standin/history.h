// Event history that the stand-ins write and the checkers read, one event a
// line.
//
//   HistoryFile History("workers.history");
//   History.write("request_start", {Worker, RequestId});
#ifndef STANDIN_HISTORY_H
#define STANDIN_HISTORY_H

#include <cstdio>
#include <initializer_list>
#include <mutex>
#include <string>

namespace standin {

/// Appends lines "MICROSECONDS EVENT FIELD..." to a file. Fields must not
/// contain spaces; an empty field is written as "-". Thread-safe. Each line is
/// flushed, so the history of a killed process is complete up to the kill.
class HistoryFile {
public:
  /// Opens `Path` for appending. With an empty path, or if the file cannot be
  /// opened, write() does nothing.
  explicit HistoryFile(const std::string &Path);
  ~HistoryFile();
  HistoryFile(const HistoryFile &) = delete;
  HistoryFile &operator=(const HistoryFile &) = delete;

  /// Appends one event, stamped with the monotonic clock in microseconds.
  void write(const char *Event, std::initializer_list<std::string> Fields);

private:
  std::mutex m_mutex;
  std::FILE *m_file = nullptr;
};

} // namespace standin

#endif // STANDIN_HISTORY_H
