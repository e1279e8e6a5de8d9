// This entry's replica of the state: applies log pages, creates snapshots,
// restores from snapshots or a peer's copy, and lets callers wait for a
// condition.
//
//   Replica Copy(BootId);
//   Copy.applyPage(Page, Writer);
//   std::uint64_t Version = Copy.read([](const ReplicatedState &Now) {
//     return Now.config().version();
//   });
#ifndef CATKINSEAM_STATE_REPLICA_H
#define CATKINSEAM_STATE_REPLICA_H

#include "catkinseam/base/clock.h"
#include "catkinseam/platform/log_service.h"
#include "catkinseam/state/log_writer.h"
#include "catkinseam/state/replicated_state.h"

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace catkinseam {

/// A serialized copy of the whole state.
struct StateCopy {
  std::uint64_t m_nextOffset = 0;
  std::uint64_t m_configVersion = 0;
  std::uint64_t m_hash = 0;
  std::string m_bytes;

  template <class Archive> void serialize(Archive &Target) {
    Target(m_nextOffset, m_configVersion, m_hash, m_bytes);
  }
};

/// Result of applying a page.
enum class PageResult {
  Applied,
  /// Records that have not been applied have expired, and no complete snapshot
  /// has been read yet.
  NeedsSnapshot,
};

/// Thread-safe.
class Replica {
public:
  explicit Replica(LogWriter &Writer) : m_writer(Writer) {}

  /// Runs `Reader` on the state under the lock; `Reader` must be short.
  template <class Function> auto read(Function &&Reader) const {
    const std::lock_guard Lock(m_mutex);
    return Reader(m_state);
  }

  /// Waits until `Condition` is true of the state, for at most `Timeout` of
  /// real time. Returns whether it is true.
  bool waitFor(const std::function<bool(const ReplicatedState &)> &Condition,
               Duration Timeout) const;

  /// Applies a page read from nextReadOffset() on. Log entries that cannot be
  /// decoded are skipped; every entry skips the same ones.
  PageResult applyPage(const LogPage &Page);

  /// Log offset from which to read the next page. Differs from nextOffset()
  /// while a snapshot is being restored.
  std::uint64_t nextReadOffset() const;

  std::uint64_t nextOffset() const;

  /// Returns a copy of the state for a peer.
  StateCopy copy() const;

  /// Replaces the state by `Copy` if that has a higher next offset and not a
  /// lower configuration version. Returns whether it did. Fails with Invalid if
  /// the bytes do not match the hash or cannot be decoded.
  Result<bool> install(const StateCopy &Copy);

  /// Returns the records of the snapshot that this writer's latest marker
  /// requested, and clears them.
  std::vector<Record> takeSnapshotRecords();

  /// Number of snapshots in the log whose hash differs from this entry's own.
  std::uint64_t divergences() const;

private:
  void applyEntry(const LogEntry &Entry);
  void onSnapshotMarker(const RecordBatch &Batch);
  void checkSnapshotHash(const SnapshotPartRecord &Part);
  bool restoreFromSnapshot(const LogPage &Page);

  struct PartialSnapshot {
    std::map<std::uint32_t, std::string> m_parts;
  };

  LogWriter &m_writer;
  mutable std::mutex m_mutex;
  mutable std::condition_variable m_changed;
  ReplicatedState m_state;
  /// True while records that have not been applied have expired and no complete
  /// snapshot has been read.
  bool m_isRestoring = false;
  std::uint64_t m_restoreOffset = 0;
  std::map<std::string, PartialSnapshot> m_partialSnapshots;
  /// Hash of the state at each recent snapshot marker, by snapshot id.
  std::map<std::string, std::uint64_t> m_markerHashes;
  std::vector<Record> m_snapshotRecords;
  std::uint64_t m_divergences = 0;
};

} // namespace catkinseam

#endif // CATKINSEAM_STATE_REPLICA_H
