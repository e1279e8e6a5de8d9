// A node's part in electing the owner: follows the jobs topic, starts an
// election when the owner times out, and runs an Owner while it is elected.
//
//   Candidate Node(Host, Log, Jobs, Requests, MakeLink, ParseRegistration,
//                  {.m_node = "edge-1"});
//   Node.start();
#ifndef CATKINSEAM_OWNERSHIP_CANDIDATE_H
#define CATKINSEAM_OWNERSHIP_CANDIDATE_H

#include "catkinseam/ledger/keyed_log_reader.h"
#include "catkinseam/ledger/ledger.h"
#include "catkinseam/ownership/handover.h"
#include "catkinseam/ownership/lease_history.h"
#include "catkinseam/ownership/owner.h"
#include "catkinseam/ownership/ownership.h"

#include <functional>
#include <memory>
#include <string>

namespace catkinseam {

/// Not thread-safe.
class Candidate {
public:
  struct Options {
    std::string m_node;
    /// Unique for each incarnation of this process.
    std::string m_bootId;
    /// The ledger counts as up to date for this long after the last read.
    Milliseconds m_maxReadAge{1500};
    /// Maximum time that a read of the jobs topic waits for a record; bounds
    /// the delay until an owner's silence is noticed.
    Milliseconds m_readWait{150};
    /// Interval of the check whether an election is due.
    Milliseconds m_checkInterval{60};
    /// Timeout of the append that claims an epoch, and the delay before it is
    /// repeated.
    Milliseconds m_claimTimeout{1500};
    Milliseconds m_claimRetryDelay{300};
    /// Pause between reads, so that one call returns several records. Calls are
    /// costly, and customers who query a state hardly notice the delay.
    Milliseconds m_followerBatchingWindow{100};
    /// The same on nodes that would leave the election to stronger ones.
    Milliseconds m_weakFollowerBatchingWindow{500};
    /// The owner reads more often, to learn of new jobs sooner.
    Milliseconds m_ownerBatchingWindow{12};
    Ownership::Options m_ownership;
    /// Its node, boot id and processor share are ignored; the candidate sets
    /// them.
    Handover::Options m_handover;
    /// Address for other nodes, as HOST:PORT; empty if there is none.
    std::string m_peer;
    /// Its epoch, node, boot id, peer address, processor share and earlier
    /// leases are ignored; the candidate sets them.
    Owner::Options m_owner;
  };

  Candidate(Runtime &Host, KeyedLog &Log, Ledger &Jobs,
            const Evacuations &EvacuationRequests,
            Owner::WorkerLinkFactory MakeLink,
            Owner::WorkerRegistrationParser ParseRegistration,
            const Options &Values);
  ~Candidate();

  void start();

  /// Starts no more elections and, if this node is the owner, hands over
  /// ownership.
  void leave();

  /// Returns whether the ledger was up to date with the log within the last
  /// `Options::m_maxReadAge`.
  bool isCurrent() const;

  /// Returns how long ago the last read began that brought the ledger up to
  /// date with the log.
  Milliseconds ledgerAge() const {
    return toMilliseconds(m_host.now() - m_reader.coveredUntil());
  }

  /// See KeyedLogReader::hasCaughtUp().
  bool hasCaughtUp() const { return m_reader.hasCaughtUp(); }

  /// See KeyedLogReader::cover().
  void cover(std::function<void(bool IsCovered)> Done) {
    m_reader.cover(std::move(Done));
  }

  /// Returns the current latency of the log; zero if its reads fail.
  Duration logLatency() const {
    return isCurrent() ? m_reader.replyLatency() : Duration::zero();
  }

  /// Returns the owner role, or null while this node is not the owner.
  const Owner *owner() const { return m_owner.get(); }

private:
  void onRecord(const StoredRecord &Record);
  void onRead();
  void onLoaded(const std::set<std::string> &Keys);
  void onLogRegained();
  void check();
  /// Whether the next epoch may be claimed.
  bool mayClaim() const;
  void claimEpoch();
  void onClaimReply(const AppendReply &Reply);
  /// Repeats the claim after a delay, if the election is still justified then.
  void scheduleClaimRetry();
  void resolveElection();
  void becomeOwner(std::uint64_t Epoch);
  /// Sets how often this node reads the jobs topic while it is not the owner.
  void setFollowerWindow();
  void onHandoverRecord(const std::string &Value);
  void onOwnerEndRecord(const std::string &Value);
  void onOwnerEnded(bool WasOnThisNode);
  void onLeaseRecord(const std::string &Value);
  void handOver(const HandoverRecord &Request);
  void requestHandover();
  void onOwnershipLost();

  Runtime &m_host;
  KeyedLog &m_log;
  Ledger &m_jobs;
  const Evacuations &m_evacuations;
  const Owner::WorkerLinkFactory m_makeLink;
  const Owner::WorkerRegistrationParser m_parseRegistration;
  const Options m_options;
  KeyedLogReader m_reader;
  Ownership m_ownership;
  Handover m_handover;
  LeaseHistory m_leases;
  std::unique_ptr<Owner> m_owner;
  Timer m_checkTimer;
  Timer m_retryTimer;
  Timer m_endTimer;
  /// The epoch that this node claims in a running election; zero for none.
  std::uint64_t m_claimedEpoch = 0;
  bool m_isLeaving = false;
  std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace catkinseam

#endif // CATKINSEAM_OWNERSHIP_CANDIDATE_H
