// Batches records and retries each append until it has been applied.
#include "catkinseam/state/log_writer.h"

#include "catkinseam/base/codec.h"
#include "catkinseam/base/hash.h"

#include <algorithm>

namespace catkinseam {

namespace {

/// Estimated encoded size of a record without its payload.
constexpr std::size_t RecordOverheadBytes = 256;

std::size_t estimatedSize(const Record &Entry) {
  if (const auto *Part = std::get_if<SnapshotPartRecord>(&Entry))
    return Part->m_bytes.size() + RecordOverheadBytes;
  return RecordOverheadBytes;
}

/// Returns a duration between half of `Delay` and `Delay`, derived from a hash
/// so that writers retry at different times.
Duration jittered(Duration Delay, const std::string &BootId,
                  std::uint64_t Sequence, TimePoint Now) {
  const std::uint64_t Hash =
      hashPair(BootId, std::to_string(Sequence) + "/" +
                           std::to_string(Now.time_since_epoch().count()));
  return Delay / 2 + (Delay / 2) * (Hash % 1000) / 1000;
}

} // namespace

LogWriter::LogWriter(const Clock &Time, std::string BootId,
                     const Options &Limits)
    : m_clock(Time), m_bootId(std::move(BootId)), m_options(Limits) {}

bool LogWriter::isAppendOverdue(TimePoint Now) const {
  return !m_inFlight.empty() &&
         Now - m_batchStartedAt > m_options.m_openCircuitAfter;
}

bool LogWriter::submit(Record Entry, RecordCallback Callback) {
  const std::lock_guard Lock(m_mutex);
  if (isAppendOverdue(m_clock.now()) || m_queue.size() >= m_options.m_maxQueued)
    return false;
  m_queue.push_back({std::move(Entry), std::move(Callback)});
  return true;
}

bool LogWriter::isCircuitOpen() const {
  const std::lock_guard Lock(m_mutex);
  return isAppendOverdue(m_clock.now());
}

std::size_t LogWriter::queued() const {
  const std::lock_guard Lock(m_mutex);
  return m_queue.size() + m_inFlight.size();
}

std::optional<std::string> LogWriter::nextAppend() {
  const std::lock_guard Lock(m_mutex);
  const TimePoint Now = m_clock.now();
  if (m_inFlight.empty()) {
    if (m_queue.empty())
      return std::nullopt;
    startBatch(Now);
  } else if (Now < m_nextSend) {
    return std::nullopt;
  }
  m_nextSend = Now + jittered(m_retryDelay, m_bootId, m_sequence, Now);
  m_retryDelay = std::min(m_retryDelay * 2, m_options.m_maxRetryDelay);
  return m_inFlightBytes;
}

void LogWriter::startBatch(TimePoint Now) {
  RecordBatch Batch;
  Batch.m_writer = m_bootId;
  Batch.m_sequence = ++m_sequence;
  Batch.m_wallMs = m_clock.wallNow().time_since_epoch().count();
  std::size_t Bytes = 0;
  while (!m_queue.empty() &&
         Batch.m_records.size() < m_options.m_maxRecordsPerBatch &&
         Bytes < m_options.m_maxBytesPerBatch) {
    Bytes += estimatedSize(m_queue.front().m_record);
    Batch.m_records.push_back(m_queue.front().m_record);
    m_inFlight.push_back(std::move(m_queue.front()));
    m_queue.pop_front();
  }
  m_inFlightBytes = encode(Batch);
  m_batchStartedAt = Now;
  m_retryDelay = m_options.m_initialRetryDelay;
}

std::vector<LogWriter::Pending> LogWriter::takeInFlight() {
  std::vector<Pending> Ended;
  Ended.swap(m_inFlight);
  m_inFlightBytes.clear();
  return Ended;
}

void LogWriter::onApplied(std::uint64_t Sequence,
                          const std::vector<RecordOutcome> &Outcomes) {
  std::vector<Pending> Ended;
  {
    const std::lock_guard Lock(m_mutex);
    if (Sequence != m_sequence || m_inFlight.empty())
      return;
    Ended = takeInFlight();
  }
  for (std::size_t Index = 0; Index < Ended.size(); ++Index)
    if (Ended[Index].m_callback)
      Ended[Index].m_callback(Outcomes[Index]);
}

void LogWriter::onOutcomesUnavailable(std::uint64_t Sequence) {
  std::vector<Pending> Ended;
  {
    const std::lock_guard Lock(m_mutex);
    if (Sequence < m_sequence || m_inFlight.empty())
      return;
    Ended = takeInFlight();
  }
  for (const Pending &Each : Ended)
    if (Each.m_callback)
      Each.m_callback(
          Error{ErrorCode::OutcomeUnknown,
                "the record was applied but its outcome was not observed; "
                "query it by its id"});
}

} // namespace catkinseam
