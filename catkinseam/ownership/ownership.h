// Decides when a node starts an election to become the owner, the only
// scheduler.
//
//   Ownership Election(Clock, {}, "edge-1");
//   Election.onOwnerActivity();
//   if (Election.shouldStartElection()) ...
//
// The owner's records in the jobs topic serve as its heartbeat. A node
// starts an election when none has arrived within a timeout, provided that its
// own reads of the topic succeed. The log resolves conflicts: the first record
// that claims an epoch wins, and a claimed epoch fences the appends of all
// lower epochs.
#ifndef CATKINSEAM_OWNERSHIP_OWNERSHIP_H
#define CATKINSEAM_OWNERSHIP_OWNERSHIP_H

#include "catkinseam/base/clock.h"
#include "catkinseam/ledger/records.h"

#include <optional>
#include <string>

namespace catkinseam {

class Ownership {
public:
  struct Options {
    /// Time without a record from the owner after which a node starts an
    /// election.
    Milliseconds m_ownerTimeout{600};
    /// The timeout is at least this multiple of the longest recent interval
    /// between records of the owner, up to m_maxIntervalTimeout.
    int m_intervalMultiplier = 3;
    Milliseconds m_maxIntervalTimeout{3000};
    /// Time constant with which the longest interval is forgotten.
    Milliseconds m_intervalMemory{10000};
    /// A delay derived from the node's name is added to the timeout, so that
    /// hundreds of nodes do not append claims at the same time. Its upper bound
    /// is this, or a multiple of the log's latency if that is longer.
    Milliseconds m_maxJitter{200};
    int m_jitterLatencyMultiplier = 20;
    /// This many times the log's latency is added to the timeout as well.
    int m_latencyMultiplier = 6;
    /// A node starts no election when its last read of the topic is older than
    /// this plus twice the log's latency, since it may have missed records.
    Milliseconds m_maxReadAge{700};
    /// Share of one processor available to this node.
    double m_processorShare = 1.0;
    /// Added when the last owner had a larger processor share, so that nodes of
    /// that size start their election first. The same multiple of the log's
    /// latency applies.
    Milliseconds m_smallerShareDelay{200};
    /// Added before the first owner: in full at a processor share of zero,
    /// decreasing linearly to none at `m_fullProcessorShare`.
    Milliseconds m_firstElectionDelay{1000};
    double m_fullProcessorShare = 0.5;
    /// Added to the timeout after an outage of the log: the owner's append may
    /// be waiting for a reply that was lost.
    Milliseconds m_outageGrace{1200};
    /// When the owner hands over to another node, how long that node is given
    /// to claim the next epoch.
    Milliseconds m_successorGrace{700};
    /// Added while this node does not know when the owner last announced its
    /// leases, as it would have to wait longer for them to be over.
    Milliseconds m_newcomerDelay{600};
    /// The same on the node whose last process was the owner, if it finds that
    /// process ended.
    Milliseconds m_restartedOwnerDelay{200};
    /// Pause after a lost election.
    Milliseconds m_electionBackoff{500};
  };

  Ownership(const Clock &Time, const Options &Values,
            const std::string &NodeName);

  /// Reports that the jobs topic was read up to its end as of `When`. `Latency`
  /// is the log's current response time.
  void onRead(TimePoint When, Duration Latency);

  /// Reports a record that only an owner writes.
  void onOwnerActivity();

  /// Reports the processor share of the newest owner.
  void onOwnerProcessorShare(double ProcessorShare) {
    m_ownerProcessorShare = ProcessorShare;
  }

  /// Reports that the newest owner has announced its departure, and the node to
  /// which it hands over, if it has named one.
  void onOwnerLeaving(const std::optional<std::string> &Successor);

  /// Reports that the process that was the newest owner has ended, and whether
  /// it ran on this node.
  void onOwnerEnded(bool WasOnThisNode);

  /// How long this node waits after the owner has left or ended.
  Duration leavingDelay() const { return m_leavingDelay; }

  /// Reports whether this node knows when the owner last announced its leases.
  void onLeaseTimes(bool AreKnown) { m_isNewcomer = !AreKnown; }

  /// Reports that another node claimed the epoch or this node lost ownership;
  /// starts the backoff.
  void onElectionFailed();

  /// Restarts the timeout for a new owner.
  void onOwnerChanged();

  bool shouldStartElection() const;

private:
  /// Returns the additional delay of nodes that are less fit to be the owner.
  Duration electionDelay() const;
  /// Returns its part that depends on the processor share.
  Duration shareDelay() const;
  /// Returns a delay between nodes, longer while the log is slow.
  Duration scaledToLatency(Duration Delay) const;
  /// Returns the additional delay that differs from node to node.
  Duration jitter() const;

  const Clock &m_clock;
  const Options m_options;
  const std::string m_nodeName;
  /// From 0 to 1.
  const double m_jitterFraction;
  TimePoint m_lastRead;
  Duration m_logLatency{0};
  TimePoint m_lastOwnerActivity;
  /// Longest recent interval between records of the current owner.
  Duration m_longestInterval{0};
  TimePoint m_nextElection;
  bool m_isOwnerLeaving = false;
  bool m_isNewcomer = false;
  /// While the owner is leaving: added to the delays of this node.
  Duration m_leavingDelay{0};
  /// Not set before the first owner.
  std::optional<double> m_ownerProcessorShare;
};

} // namespace catkinseam

#endif // CATKINSEAM_OWNERSHIP_OWNERSHIP_H
