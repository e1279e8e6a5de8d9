// History that stand-ins write and checkers read: one event a line.
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

/// Appends lines "MICROSECONDS EVENT FIELD...". Fields hold no blanks; an
/// empty one is written as "-". Thread-safe; each line is flushed, so that a
/// killed process leaves what it did.
class HistoryFile {
public:
  /// An empty path writes nothing.
  explicit HistoryFile(const std::string &Path);
  ~HistoryFile();
  HistoryFile(const HistoryFile &) = delete;
  HistoryFile &operator=(const HistoryFile &) = delete;

  void write(const char *Event, std::initializer_list<std::string> Fields);

private:
  std::mutex m_mutex;
  std::FILE *m_file = nullptr;
};

} // namespace standin

#endif // STANDIN_HISTORY_H
