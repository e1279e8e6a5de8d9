// One node's part in ownership: follows the jobs, campaigns when the owner is
// silent, and is the owner when it wins.
//
//   Candidate Mine(Host, Log, Jobs, Links, Entries, {.m_entry = "edge-1"});
//   Mine.start();
#ifndef CATKINSEAM_OWNERSHIP_CANDIDATE_H
#define CATKINSEAM_OWNERSHIP_CANDIDATE_H

#include "catkinseam/ledger/keyed_tail.h"
#include "catkinseam/ledger/ledger.h"
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
    std::string m_entry;
    /// Differs for each life of this process.
    std::string m_boot;
    /// What is known counts as up to date for so long after the last read.
    Milliseconds m_currency{1500};
    Milliseconds m_check{60};
    Milliseconds m_campaignTimeout{1500};
    Milliseconds m_campaignRetry{300};
    /// Records that come within this time are read in one call: each call has
    /// its price, and a customer who asks for a state hardly notices.
    Milliseconds m_followerGather{100};
    /// The owner must hear of new jobs sooner.
    Milliseconds m_ownerGather{12};
    Ownership::Options m_ownership;
    /// Its epoch, entry, boot and strength are filled in.
    Owner::Options m_owner;
  };

  Candidate(Runtime &Host, KeyedLog &Log, Ledger &Jobs, Owner::LinkMaker Links,
            Owner::EntryReader Entries, const Options &Values);
  ~Candidate();

  void start();

  /// Campaigns no more; an owner hands over first.
  void leave();

  /// The ledger holds what was stored a moment ago.
  bool isCurrent() const;

  /// The owner's work, or null while another node is the owner.
  const Owner *owner() const { return m_owner.get(); }

private:
  void onRecord(const StoredRecord &Record);
  void onRead();
  void check();
  void campaign();
  void onCampaignAnswer(const AppendReply &Reply);
  void judgeCampaign();
  void becomeOwner(std::uint64_t Epoch);
  void onDeposed();

  Runtime &m_host;
  KeyedLog &m_log;
  Ledger &m_jobs;
  const Owner::LinkMaker m_links;
  const Owner::EntryReader m_entries;
  const Options m_options;
  KeyedTail m_tail;
  Ownership m_ownership;
  std::unique_ptr<Owner> m_owner;
  Timer m_checkTimer;
  Timer m_retryTimer;
  Timer m_endTimer;
  /// The epoch that this node is trying to claim; zero for none.
  std::uint64_t m_claimed = 0;
  bool m_isLeaving = false;
  std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace catkinseam

#endif // CATKINSEAM_OWNERSHIP_CANDIDATE_H
