// The stand-in log.
#include "standin/log_store.h"

namespace standin {

using namespace catkinseam;

void LogStore::expire() {
  const TimePoint Oldest = m_clock.now() - m_retention;
  while (!m_times.empty() && m_times.front() < Oldest) {
    m_times.pop_front();
    m_entries.pop_front();
    ++m_first;
  }
}

std::uint64_t LogStore::append(const std::string &Bytes) {
  std::uint64_t Offset = 0;
  {
    const std::lock_guard Lock(m_mutex);
    expire();
    Offset = m_first + m_entries.size();
    m_entries.push_back(Bytes);
    m_times.push_back(m_clock.now());
    m_bytes += Bytes.size();
  }
  m_changed.notify_all();
  return Offset;
}

LogPage LogStore::read(std::uint64_t From, std::size_t Most, Duration Wait) {
  constexpr std::size_t MaxPageBytes = 4 * 1024 * 1024;
  std::unique_lock Lock(m_mutex);
  m_changed.wait_for(Lock, Wait,
                     [&] { return m_first + m_entries.size() > From; });
  expire();
  LogPage Page;
  Page.m_first = m_first;
  Page.m_end = m_first + m_entries.size();
  std::size_t Bytes = 0;
  for (std::uint64_t Offset = std::max(From, m_first);
       Offset < Page.m_end && Page.m_entries.size() < Most &&
       Bytes < MaxPageBytes;
       ++Offset) {
    Page.m_entries.push_back({Offset, m_entries[Offset - m_first]});
    Bytes += Page.m_entries.back().m_bytes.size();
  }
  return Page;
}

std::uint64_t LogStore::appends() const {
  const std::lock_guard Lock(m_mutex);
  return m_first + m_entries.size();
}

std::uint64_t LogStore::bytes() const {
  const std::lock_guard Lock(m_mutex);
  return m_bytes;
}

} // namespace standin
