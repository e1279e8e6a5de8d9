// Keeps an entry's replica in step: log, snapshots, or a peer's copy.
//
//   LogFollower Follower({Clock, Log, Writer, Copy, Members, Peers}, {});
//   Follower.read();         // again and again, on one thread
//   Follower.append();       // again and again, on another
//   Follower.maintain();     // now and then
#ifndef CATKINSEAM_SERVER_LOG_FOLLOWER_H
#define CATKINSEAM_SERVER_LOG_FOLLOWER_H

#include "catkinseam/base/guarded.h"
#include "catkinseam/platform/log_service.h"
#include "catkinseam/server/peer_node.h"
#include "catkinseam/state/log_writer.h"
#include "catkinseam/state/replica.h"

#include <atomic>
#include <functional>
#include <mutex>
#include <string>

namespace catkinseam {

/// What the follower works with; all outlive it.
struct LogFollowerDependencies {
  const Clock &m_clock;
  LogService &m_logService;
  LogWriter &m_logWriter;
  Replica &m_replica;
  Guarded<Membership> &m_membership;
  PeerMessenger &m_peerMessenger;
  /// Called when the log has never held a record.
  std::function<void()> m_onNewInstallation;
};

/// Thread-safe.
class LogFollower {
public:
  struct Options {
    Duration m_timeout = std::chrono::seconds(1);
    /// How long the log keeps records; a snapshot is due every quarter of it.
    Milliseconds m_retention{24 * 3600 * 1000};
  };

  LogFollower(const LogFollowerDependencies &Deps, const Options &Opts);

  /// Reads one page, waiting briefly for it; without the log, takes a peer's
  /// copy when one is ahead.
  void read();

  /// Appends what waits.
  void append();

  /// Starts a snapshot when one is due and this entry is to make it.
  void maintainSnapshots();

  /// Whether the replica holds a whole state.
  bool hasState() const { return m_hasState; }

  /// Why reading the log last failed; empty when it did not.
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
  /// Offset at which this entry last asked for a snapshot.
  std::uint64_t m_snapshotMarkOffset = 0;
};

} // namespace catkinseam

#endif // CATKINSEAM_SERVER_LOG_FOLLOWER_H
