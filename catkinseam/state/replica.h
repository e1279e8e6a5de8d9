// This entry's copy of the shared state: applies log pages, takes snapshots,
// installs copies, lets others wait for a condition.
//
//   Replica Copy(BootId);
//   Copy.applyPage(Page, Writer);
//   std::uint64_t Version = Copy.read([](const State &Now) {
//     return Now.config().version();
//   });
#ifndef CATKINSEAM_STATE_REPLICA_H
#define CATKINSEAM_STATE_REPLICA_H

#include "catkinseam/base/clock.h"
#include "catkinseam/platform/log_service.h"
#include "catkinseam/state/fold.h"
#include "catkinseam/state/log_writer.h"

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace catkinseam {

/// A whole copy of the state in bytes.
struct StateCopy {
  std::uint64_t m_nextOffset = 0;
  std::uint64_t m_configVersion = 0;
  std::uint64_t m_hash = 0;
  std::string m_bytes;

  template <class Archive> void serialize(Archive &Target) {
    Target(m_nextOffset, m_configVersion, m_hash, m_bytes);
  }
};

/// What reading a page led to.
enum class PageResult {
  Applied,
  /// Records before the page's first have expired; a snapshot is needed and
  /// the page did not complete one.
  NeedsSnapshot,
};

/// Thread-safe.
class Replica {
public:
  explicit Replica(LogWriter &Writer) : m_writer(Writer) {}

  /// Runs `Look` on the state under its lock; keep it short.
  template <class Function> auto read(Function &&Look) const {
    const std::lock_guard Lock(m_mutex);
    return Look(m_state);
  }

  /// Waits until `Holds` is true of the state, at most `Timeout` of real time.
  /// Returns whether it is.
  bool waitFor(const std::function<bool(const State &)> &Holds,
               Duration Timeout) const;

  /// Applies a page read from nextOffset() on (or, after NeedsSnapshot, from
  /// the page's first). Undecodable entries are skipped by every entry alike.
  PageResult applyPage(const LogPage &Page);

  /// Offset to read from next.
  std::uint64_t readFrom() const;

  std::uint64_t nextOffset() const;

  /// Returns a copy for a peer.
  StateCopy copy() const;

  /// Takes a copy in place of the state if it is ahead in offset and not
  /// behind in configuration. Returns whether it was taken. Error Invalid when
  /// the bytes do not match the hash.
  Result<bool> install(const StateCopy &Copy);

  /// Records of a snapshot that a mark of this writer asked for, once.
  std::vector<Record> takeSnapshotRecords();

  /// Snapshots in the log whose hash differed from this entry's own.
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
  State m_state;
  /// Set while records before the first kept one are missing.
  bool m_isRestoring = false;
  std::uint64_t m_restoreOffset = 0;
  std::map<std::string, PartialSnapshot> m_partialSnapshots;
  /// Hash of the state at each recent mark.
  std::map<std::string, std::uint64_t> m_markerHashes;
  std::vector<Record> m_snapshotRecords;
  std::uint64_t m_divergences = 0;
};

} // namespace catkinseam

#endif // CATKINSEAM_STATE_REPLICA_H
