// Keeps an entry's replica up to date from the log, or from a peer's copy of
// the state, and requests snapshots.
//
//   LogFollower Follower(Deps, {});
//   Follower.read();              // in a loop, on one thread
//   Follower.append();            // in a loop, on another thread
//   Follower.maintainSnapshots(); // periodically
#ifndef CATKINSEAM_SERVER_LOG_FOLLOWER_H
#define CATKINSEAM_SERVER_LOG_FOLLOWER_H

#include "catkinseam/base/guarded.h"
#include "catkinseam/platform/log_service.h"
#include "catkinseam/server/peer_messenger.h"
#include "catkinseam/state/log_writer.h"
#include "catkinseam/state/replica.h"

#include <atomic>
#include <functional>
#include <mutex>
#include <string>

namespace catkinseam {

/// Dependencies of LogFollower; all must outlive it.
struct LogFollowerDependencies {
  const Clock &m_clock;
  LogService &m_logService;
  LogWriter &m_logWriter;
  Replica &m_replica;
  Guarded<Membership> &m_membership;
  PeerMessenger &m_peerMessenger;
  /// Called on each read while the log has never contained a record.
  std::function<void()> m_onNewInstallation;
};

/// Thread-safe.
class LogFollower {
public:
  struct Options {
    Duration m_timeout = std::chrono::seconds(1);
    /// How long the log retains records; a snapshot is due every quarter of it.
    Milliseconds m_retention{24 * 3600 * 1000};
  };

  LogFollower(const LogFollowerDependencies &Deps, const Options &Opts);

  /// Reads and applies one page of the log, waiting briefly for new records. If
  /// the log is unavailable or lacks a needed snapshot, copies the state of a
  /// peer that is ahead.
  void read();

  /// Appends queued records until the writer has none to append or an append
  /// fails.
  void append();

  /// Requests a snapshot if one is due and this entry is responsible for it,
  /// and queues snapshot records that are ready for the log.
  void maintainSnapshots();

  /// Returns whether the replica has a complete state.
  bool hasState() const { return m_hasState; }

  /// Returns the error of the last log read; empty if it succeeded.
  std::string lastReadError() const;

private:
  void catchUpFromPeers();
  bool copyStateFromPeer();
  bool isSnapshotDue();

  const LogFollowerDependencies m_deps;
  const Options m_options;
  std::atomic<bool> m_hasState{false};
  std::atomic<std::uint64_t> m_firstLogOffset{0};
  mutable std::mutex m_mutex;
  std::string m_readError;
  TimePoint m_lastCopyAttempt;
  /// Offset at which this entry last requested a snapshot.
  std::uint64_t m_snapshotMarkOffset = 0;
};

} // namespace catkinseam

#endif // CATKINSEAM_SERVER_LOG_FOLLOWER_H
