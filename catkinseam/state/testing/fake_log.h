// A log in memory whose answers may be lost and whose writes may take effect
// late, for tests.
//
//   FakeLog Log;
//   Log.append(Bytes, FakeLog::Fate::Late);
//   Log.takeEffect(0);
#ifndef CATKINSEAM_STATE_TESTING_FAKE_LOG_H
#define CATKINSEAM_STATE_TESTING_FAKE_LOG_H

#include "catkinseam/platform/log_service.h"

#include <algorithm>
#include <string>
#include <vector>

namespace catkinseam::testing {

class FakeLog {
public:
  enum class Fate {
    Done,  ///< Takes effect now.
    Lost,  ///< Never takes effect.
    Late,  ///< Takes effect when the test says so.
    Twice, ///< Takes effect now and again later.
  };

  void append(const std::string &Bytes, Fate Which) {
    if (Which == Fate::Done || Which == Fate::Twice)
      m_entries.push_back(Bytes);
    if (Which == Fate::Late || Which == Fate::Twice)
      m_delayed.push_back(Bytes);
  }

  /// Lets one of the late writes take effect.
  void takeEffect(std::size_t Which) {
    if (m_delayed.empty())
      return;
    const auto Place =
        m_delayed.begin() + static_cast<long>(Which % m_delayed.size());
    m_entries.push_back(*Place);
    m_delayed.erase(Place);
  }

  /// Drops every record before `Offset`.
  void expireBefore(std::uint64_t Offset) {
    m_first = std::max(m_first, std::min<std::uint64_t>(Offset, end()));
  }

  LogPage read(std::uint64_t From, std::size_t Most) const {
    LogPage Page;
    Page.m_first = m_first;
    Page.m_end = end();
    for (std::uint64_t Offset = std::max(From, m_first);
         Offset < end() && Page.m_entries.size() < Most; ++Offset)
      Page.m_entries.push_back({Offset, m_entries[Offset]});
    return Page;
  }

  /// Every entry ever appended, expired ones included.
  const std::vector<std::string> &everything() const { return m_entries; }

  std::uint64_t end() const { return m_entries.size(); }
  std::uint64_t first() const { return m_first; }

private:
  /// All entries ever, so that offsets are indices.
  std::vector<std::string> m_entries;
  std::vector<std::string> m_delayed;
  std::uint64_t m_first = 0;
};

} // namespace catkinseam::testing

#endif // CATKINSEAM_STATE_TESTING_FAKE_LOG_H
