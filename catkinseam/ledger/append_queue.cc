// Groups of records, cut to the size of one append.
#include "catkinseam/ledger/append_queue.h"

namespace catkinseam {

namespace {

std::size_t appendBytesOf(const RecordGroup &Group) {
  std::size_t Bytes = 0;
  for (const KeyedRecord &Each : Group.m_records)
    Bytes += appendBytes(Each);
  return Bytes;
}

} // namespace

bool AppendQueue::next() {
  m_current.clear();
  std::size_t Total = 0;
  while (!m_waiting.empty()) {
    const std::size_t Bytes = appendBytesOf(m_waiting.front());
    if (!m_current.empty() && Total + Bytes > m_limits.m_maxTotalBytes)
      break;
    Total += Bytes;
    m_current.push_back(std::move(m_waiting.front()));
    m_waiting.pop_front();
  }
  return !m_current.empty();
}

bool AppendQueue::isWithinLimits() const {
  std::size_t Total = 0;
  for (const RecordGroup &Group : m_current)
    for (const KeyedRecord &Each : Group.m_records) {
      const std::size_t Bytes = appendBytes(Each);
      if (Bytes > m_limits.m_maxRecordBytes)
        return false;
      Total += Bytes;
    }
  return Total <= m_limits.m_maxTotalBytes;
}

bool AppendQueue::divide() {
  if (m_current.size() < 2)
    return false;
  const std::size_t Kept = m_current.size() / 2;
  while (m_current.size() > Kept) {
    m_waiting.push_front(std::move(m_current.back()));
    m_current.pop_back();
  }
  return true;
}

std::vector<KeyedRecord> AppendQueue::records() const {
  std::vector<KeyedRecord> Records;
  for (const RecordGroup &Group : m_current)
    Records.insert(Records.end(), Group.m_records.begin(),
                   Group.m_records.end());
  return Records;
}

} // namespace catkinseam
