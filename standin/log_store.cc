// Implementation of the in-memory log.
#include "standin/log_store.h"

namespace standin {

using namespace catkinseam;

void LogStore::removeExpired() {
  const TimePoint RetentionStart = m_clock.now() - m_retention;
  while (!m_appendTimes.empty() && m_appendTimes.front() < RetentionStart) {
    m_appendTimes.pop_front();
    m_entries.pop_front();
    ++m_firstOffset;
  }
}

std::uint64_t LogStore::append(const std::string &Bytes) {
  std::uint64_t Offset = 0;
  {
    const std::lock_guard Lock(m_mutex);
    removeExpired();
    Offset = m_firstOffset + m_entries.size();
    m_entries.push_back(Bytes);
    m_appendTimes.push_back(m_clock.now());
    m_appendedBytes += Bytes.size();
  }
  m_entryAppended.notify_all();
  return Offset;
}

LogPage LogStore::read(std::uint64_t From, std::size_t MaxEntries,
                       Duration Timeout) {
  constexpr std::size_t MaxPageBytes = 4 * 1024 * 1024;
  std::unique_lock Lock(m_mutex);
  m_entryAppended.wait_for(
      Lock, Timeout, [&] { return m_firstOffset + m_entries.size() > From; });
  removeExpired();
  LogPage Page;
  Page.m_first = m_firstOffset;
  Page.m_end = m_firstOffset + m_entries.size();
  std::size_t Bytes = 0;
  for (std::uint64_t Offset = std::max(From, m_firstOffset);
       Offset < Page.m_end && Page.m_entries.size() < MaxEntries &&
       Bytes < MaxPageBytes;
       ++Offset) {
    Page.m_entries.push_back({Offset, m_entries[Offset - m_firstOffset]});
    Bytes += Page.m_entries.back().m_bytes.size();
  }
  return Page;
}

std::uint64_t LogStore::appendCount() const {
  const std::lock_guard Lock(m_mutex);
  return m_firstOffset + m_entries.size();
}

std::uint64_t LogStore::appendedBytes() const {
  const std::lock_guard Lock(m_mutex);
  return m_appendedBytes;
}

} // namespace standin
