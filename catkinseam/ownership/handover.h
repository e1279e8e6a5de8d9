// Moves ownership to a fitter node while the owner still works: a small node
// that became the owner in a failure, or an owner that has become slow.
//
//   Handover Policy(Clock, {}, "edge-1");
//   Policy.onOwner(Newest);
//   if (Policy.shouldRequest()) append(Policy.request());
//
// A node that is fitter than the owner asks it in the jobs topic to hand over.
// The owner stops deciding, stores what is pending, and resigns in favour of
// that node. An owner that does not comply for some time is displaced: the node
// claims the next epoch, which fences the owner.
#ifndef CATKINSEAM_OWNERSHIP_HANDOVER_H
#define CATKINSEAM_OWNERSHIP_HANDOVER_H

#include "catkinseam/base/clock.h"
#include "catkinseam/ledger/records.h"

#include <optional>
#include <string>

namespace catkinseam {

/// One node's part in hand-overs. Not thread-safe.
class Handover {
public:
  struct Options {
    std::string m_node;
    /// Unique for each incarnation of this process.
    std::string m_bootId;
    /// Share of one processor available to this node.
    double m_processorShare = 1.0;
    /// A node is fitter than the owner if its share is at least this multiple
    /// of the owner's. Without a clear advantage ownership stays where it is.
    double m_minAdvantage = 1.5;
    /// No hand-over is requested until this time after the owner's claim.
    Milliseconds m_minTerm{1000};
    /// The same if the owner's node is as large and the owner is only slow.
    Milliseconds m_minTermOfSlowOwner{5000};
    /// After a slow owner was replaced, slowness counts again after this time:
    /// if the next one is slow too, the load is the cause and not the node.
    Milliseconds m_slowOwnerInterval{60000};
    /// A node requests a hand-over only if it has followed the log without a
    /// gap for this time.
    Milliseconds m_settlingTime{1000};
    /// Neither is it requested while the log takes at least this to answer. The
    /// latency may include most of the time that a read waits for a record.
    Milliseconds m_slowLatency{250};
    /// An owner that has not complied with a stored request after this time is
    /// displaced.
    Milliseconds m_patience{1500};
    /// Delay between requests of one node, and upper bound of a delay that
    /// differs from node to node.
    Milliseconds m_requestInterval{2000};
    Milliseconds m_maxJitter{300};
  };

  Handover(const Clock &Time, const Options &Values);

  /// Reports each record of the newest owner.
  void onOwner(const OwnerRecord &Newest);

  /// Reports a request or grant that was read from the log.
  void onRecord(const HandoverRecord &Record);

  /// Reports whether this node knows all that an owner needs, and the log's
  /// response time. Called at least every 100 ms.
  void onState(bool IsCurrent, Duration LogLatency);

  /// Whether this node should ask the owner to hand over.
  bool shouldRequest() const;

  /// The request to append; starts the interval until the next one.
  HandoverRecord request();

  /// Whether this node should claim the owner's epoch, as the owner has not
  /// complied with its request.
  bool shouldDisplace() const;

  /// Whether this node, as the owner, should comply with a request.
  bool shouldComply(const HandoverRecord &Request) const;

  /// The node to which the owner of this epoch hands over, if it has said so.
  std::optional<std::string> successor(std::uint64_t Epoch) const;

private:
  /// Whether the owner announces so much less than its share that a node of its
  /// size is fitter.
  bool isOwnerSlow() const;
  /// Whether a node of this share is fitter than the owner, at this time of the
  /// owner's term.
  bool isFitter(double ProcessorShare) const;

  const Clock &m_clock;
  const Options m_options;
  const Duration m_jitter;
  OwnerRecord m_owner;
  /// Share that the owner claimed with. Its later records say less while it is
  /// slow.
  double m_claimedShare = 0.0;
  TimePoint m_ownerSince;
  /// When an owner was last replaced that announced much less than its share.
  std::optional<TimePoint> m_slowOwnerReplacedAt;
  /// Since when this node has followed the log without a gap.
  std::optional<TimePoint> m_currentSince;
  Duration m_logLatency{0};
  TimePoint m_nextRequest;
  /// When this node's request to the current owner was read from the log.
  std::optional<TimePoint> m_requestStoredAt;
  /// The newest request or grant.
  HandoverRecord m_newest;
};

} // namespace catkinseam

#endif // CATKINSEAM_OWNERSHIP_HANDOVER_H
