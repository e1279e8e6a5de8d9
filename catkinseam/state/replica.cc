// Keeps one replica of the state up to date with the log.
#include "catkinseam/state/replica.h"

#include "catkinseam/base/codec.h"
#include "catkinseam/base/hash.h"

namespace catkinseam {

namespace {

constexpr std::size_t SnapshotPartBytes = 256 * 1024;
constexpr std::size_t MaxMarkerHashes = 8;

std::optional<RecordBatch> decodeBatch(const std::string &Bytes) {
  Outcome<RecordBatch> Batch =
      attempt([&] { return decode<RecordBatch>(Bytes); });
  if (!Batch)
    return std::nullopt;
  return std::move(Batch.value());
}

std::vector<Record> splitSnapshot(const std::string &Name,
                                  const std::string &Bytes,
                                  std::uint64_t NextOffset,
                                  std::uint64_t Hash) {
  const auto Parts = static_cast<std::uint32_t>(
      (Bytes.size() + SnapshotPartBytes - 1) / SnapshotPartBytes);
  std::vector<Record> Records;
  for (std::uint32_t Part = 0; Part < Parts; ++Part) {
    SnapshotPartRecord PartRecord;
    PartRecord.m_snapshotId = Name;
    PartRecord.m_nextOffset = NextOffset;
    PartRecord.m_part = Part;
    PartRecord.m_parts = Parts;
    PartRecord.m_hash = Hash;
    PartRecord.m_bytes =
        Bytes.substr(Part * SnapshotPartBytes, SnapshotPartBytes);
    Records.emplace_back(std::move(PartRecord));
  }
  return Records;
}

} // namespace

bool Replica::waitFor(
    const std::function<bool(const ReplicatedState &)> &Condition,
    Duration Timeout) const {
  std::unique_lock Lock(m_mutex);
  return m_changed.wait_for(Lock, Timeout, [&] { return Condition(m_state); });
}

std::uint64_t Replica::nextOffset() const {
  const std::lock_guard Lock(m_mutex);
  return m_state.nextOffset();
}

std::uint64_t Replica::nextReadOffset() const {
  const std::lock_guard Lock(m_mutex);
  return m_isRestoring ? m_restoreOffset : m_state.nextOffset();
}

PageResult Replica::applyPage(const LogPage &Page) {
  std::uint64_t OwnSequence = 0;
  {
    const std::lock_guard Lock(m_mutex);
    if (Page.m_first > m_state.nextOffset() && !m_isRestoring) {
      m_isRestoring = true;
      m_restoreOffset = Page.m_first;
    }
    if (m_isRestoring && !restoreFromSnapshot(Page))
      return PageResult::NeedsSnapshot;
    for (const LogEntry &Entry : Page.m_entries)
      if (Entry.m_offset >= m_state.nextOffset())
        applyEntry(Entry);
    const auto Own = m_state.writers().find(m_writer.bootId());
    if (Own != m_state.writers().end())
      OwnSequence = Own->second.m_sequence;
  }
  m_changed.notify_all();
  m_writer.onOutcomesUnavailable(OwnSequence);
  return PageResult::Applied;
}

void Replica::applyEntry(const LogEntry &Entry) {
  std::optional<RecordBatch> Batch = decodeBatch(Entry.m_bytes);
  // An entry that cannot be decoded still advances the offset.
  const BatchOutcome Result =
      m_state.apply(Entry.m_offset, Batch ? *Batch : RecordBatch{});
  if (!Batch || Result.m_isDuplicate)
    return;
  if (Batch->m_writer == m_writer.bootId())
    m_writer.onApplied(Batch->m_sequence, Result.m_outcomes);
  onSnapshotMarker(*Batch);
  for (const Record &Each : Batch->m_records)
    if (const auto *Part = std::get_if<SnapshotPartRecord>(&Each))
      checkSnapshotHash(*Part);
}

void Replica::onSnapshotMarker(const RecordBatch &Batch) {
  for (const Record &Each : Batch.m_records) {
    const auto *Marker = std::get_if<SnapshotMarkerRecord>(&Each);
    if (Marker == nullptr)
      continue;
    const std::string Bytes = encode(m_state);
    const std::uint64_t Hash = hashBytes(Bytes);
    m_markerHashes[Marker->m_snapshotId] = Hash;
    if (m_markerHashes.size() > MaxMarkerHashes)
      m_markerHashes.erase(m_markerHashes.begin());
    if (Batch.m_writer == m_writer.bootId())
      m_snapshotRecords = splitSnapshot(Marker->m_snapshotId, Bytes,
                                        m_state.nextOffset(), Hash);
  }
}

void Replica::checkSnapshotHash(const SnapshotPartRecord &Part) {
  const auto Own = m_markerHashes.find(Part.m_snapshotId);
  if (Part.m_part == 0 && Own != m_markerHashes.end() &&
      Own->second != Part.m_hash)
    ++m_divergences;
}

bool Replica::restoreFromSnapshot(const LogPage &Page) {
  for (const LogEntry &Entry : Page.m_entries) {
    m_restoreOffset = Entry.m_offset + 1;
    std::optional<RecordBatch> Batch = decodeBatch(Entry.m_bytes);
    if (!Batch)
      continue;
    for (const Record &Each : Batch->m_records) {
      const auto *Part = std::get_if<SnapshotPartRecord>(&Each);
      if (Part == nullptr)
        continue;
      PartialSnapshot &Partial = m_partialSnapshots[Part->m_snapshotId];
      Partial.m_parts[Part->m_part] = Part->m_bytes;
      if (Partial.m_parts.size() < Part->m_parts)
        continue;
      std::string Snapshot;
      for (const auto &[Number, Bytes] : Partial.m_parts)
        Snapshot += Bytes;
      m_partialSnapshots.erase(Part->m_snapshotId);
      // The snapshot is unusable if records after it have already expired.
      if (hashBytes(Snapshot) != Part->m_hash ||
          Part->m_nextOffset < Page.m_first)
        continue;
      Outcome<ReplicatedState> Decoded =
          attempt([&] { return decode<ReplicatedState>(Snapshot); });
      if (!Decoded)
        continue;
      m_state = std::move(Decoded.value());
      m_isRestoring = false;
      m_partialSnapshots.clear();
      return true;
    }
  }
  return false;
}

StateCopy Replica::copy() const {
  const std::lock_guard Lock(m_mutex);
  StateCopy Copy;
  Copy.m_nextOffset = m_state.nextOffset();
  Copy.m_configVersion = m_state.config().version();
  Copy.m_bytes = encode(m_state);
  Copy.m_hash = hashBytes(Copy.m_bytes);
  return Copy;
}

Result<bool> Replica::install(const StateCopy &Copy) {
  if (hashBytes(Copy.m_bytes) != Copy.m_hash)
    return makeError(ErrorCode::Invalid, "state copy does not match its hash");
  BOOST_LEAF_AUTO(Decoded, decode<ReplicatedState>(Copy.m_bytes));
  std::uint64_t OwnSequence = 0;
  {
    const std::lock_guard Lock(m_mutex);
    const bool IsAhead =
        Decoded.nextOffset() > m_state.nextOffset() &&
        Decoded.config().version() >= m_state.config().version();
    if (!IsAhead)
      return false;
    m_state = std::move(Decoded);
    m_isRestoring = false;
    m_partialSnapshots.clear();
    const auto Own = m_state.writers().find(m_writer.bootId());
    if (Own != m_state.writers().end())
      OwnSequence = Own->second.m_sequence;
  }
  m_changed.notify_all();
  m_writer.onOutcomesUnavailable(OwnSequence);
  return true;
}

std::vector<Record> Replica::takeSnapshotRecords() {
  const std::lock_guard Lock(m_mutex);
  return std::exchange(m_snapshotRecords, {});
}

std::uint64_t Replica::divergences() const {
  const std::lock_guard Lock(m_mutex);
  return m_divergences;
}

} // namespace catkinseam
