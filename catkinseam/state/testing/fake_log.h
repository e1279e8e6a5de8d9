// An in-memory log for tests that can lose, delay and duplicate appends.
//
//   FakeLog Log;
//   Log.append(Bytes, FakeLog::AppendEffect::Delayed);
//   Log.appendDelayed(0);
#ifndef CATKINSEAM_STATE_TESTING_FAKE_LOG_H
#define CATKINSEAM_STATE_TESTING_FAKE_LOG_H

#include "catkinseam/platform/log_service.h"

#include <algorithm>
#include <string>
#include <vector>

namespace catkinseam::testing {

class FakeLog {
public:
  enum class AppendEffect {
    Immediate,  ///< Appended at once.
    Lost,       ///< Never appended.
    Delayed,    ///< Appended on a later appendDelayed().
    Duplicated, ///< Appended at once and again on a later appendDelayed().
  };

  void append(const std::string &Bytes, AppendEffect Which) {
    if (Which == AppendEffect::Immediate || Which == AppendEffect::Duplicated)
      m_entries.push_back(Bytes);
    if (Which == AppendEffect::Delayed || Which == AppendEffect::Duplicated)
      m_delayed.push_back(Bytes);
  }

  /// Appends one of the delayed writes, chosen by `Which` modulo their number.
  void appendDelayed(std::size_t Which) {
    if (m_delayed.empty())
      return;
    const auto Chosen =
        m_delayed.begin() + static_cast<long>(Which % m_delayed.size());
    m_entries.push_back(*Chosen);
    m_delayed.erase(Chosen);
  }

  /// Expires all records before `Offset`.
  void expireBefore(std::uint64_t Offset) {
    m_first = std::max(m_first, std::min<std::uint64_t>(Offset, end()));
  }

  LogPage read(std::uint64_t From, std::size_t MaxEntries) const {
    LogPage Page;
    Page.m_first = m_first;
    Page.m_end = end();
    for (std::uint64_t Offset = std::max(From, m_first);
         Offset < end() && Page.m_entries.size() < MaxEntries; ++Offset)
      Page.m_entries.push_back({Offset, m_entries[Offset]});
    return Page;
  }

  /// All entries ever appended, including expired ones.
  const std::vector<std::string> &allEntries() const { return m_entries; }

  std::uint64_t end() const { return m_entries.size(); }
  std::uint64_t first() const { return m_first; }

private:
  /// All entries ever appended, so that offsets are indices.
  std::vector<std::string> m_entries;
  std::vector<std::string> m_delayed;
  std::uint64_t m_first = 0;
};

} // namespace catkinseam::testing

#endif // CATKINSEAM_STATE_TESTING_FAKE_LOG_H
