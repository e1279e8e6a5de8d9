// Implementation of the event history file.
#include "standin/history.h"

#include "catkinseam/base/clock.h"

namespace standin {

HistoryFile::HistoryFile(const std::string &Path) {
  if (!Path.empty())
    m_file = std::fopen(Path.c_str(), "ae");
}

HistoryFile::~HistoryFile() {
  if (m_file != nullptr)
    std::fclose(m_file);
}

void HistoryFile::write(const char *Event,
                        std::initializer_list<std::string> Fields) {
  if (m_file == nullptr)
    return;
  // All processes on a machine share the monotonic clock, so the histories of
  // several processes can be merged by time.
  const auto Micros = std::chrono::duration_cast<std::chrono::microseconds>(
      catkinseam::SystemClock().now().time_since_epoch());
  std::string Line = std::to_string(Micros.count()) + " " + Event;
  for (const std::string &Field : Fields)
    Line += " " + (Field.empty() ? "-" : Field);
  Line += "\n";
  const std::lock_guard Lock(m_mutex);
  std::fwrite(Line.data(), 1, Line.size(), m_file);
  std::fflush(m_file);
}

} // namespace standin
