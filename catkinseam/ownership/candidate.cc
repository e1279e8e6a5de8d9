// Elections and their outcomes.
#include "catkinseam/ownership/candidate.h"

#include "catkinseam/base/codec.h"
#include "catkinseam/telemetry/log.h"

namespace catkinseam {

namespace {

Handover::Options handoverOptions(const Candidate::Options &Values) {
  Handover::Options Opts = Values.m_handover;
  Opts.m_node = Values.m_node;
  Opts.m_bootId = Values.m_bootId;
  Opts.m_processorShare = Values.m_ownership.m_processorShare;
  return Opts;
}

} // namespace

Candidate::Candidate(Runtime &Host, KeyedLog &Log, Ledger &Jobs,
                     const Evacuations &EvacuationRequests,
                     Owner::WorkerLinkFactory MakeLink,
                     Owner::WorkerRegistrationParser ParseRegistration,
                     const Options &Values)
    : m_host(Host), m_log(Log), m_jobs(Jobs), m_evacuations(EvacuationRequests),
      m_makeLink(std::move(MakeLink)),
      m_parseRegistration(std::move(ParseRegistration)), m_options(Values),
      m_reader(Host, Log,
               {.m_topic = LogTopic::Jobs,
                .m_wait = Values.m_readWait,
                .m_batchingWindow = Values.m_followerBatchingWindow},
               {[this](const StoredRecord &Each) { onRecord(Each); },
                [this] { onRead(); },
                [this](const std::set<std::string> &Keys) { onLoaded(Keys); },
                [this] { onLogRegained(); }}),
      m_ownership(Host.clock(), Values.m_ownership, Values.m_node),
      m_handover(Host.clock(), handoverOptions(Values)), m_checkTimer(Host),
      m_retryTimer(Host), m_endTimer(Host) {}

Candidate::~Candidate() { *m_isAlive = false; }

void Candidate::start() {
  m_reader.start();
  check();
}

bool Candidate::isCurrent() const {
  return m_reader.hasCaughtUp() &&
         m_host.now() - m_reader.caughtUpAt() < m_options.m_maxReadAge;
}

void Candidate::onRecord(const StoredRecord &Record) {
  const std::uint64_t PreviousEpoch = m_jobs.owner().m_epoch;
  const bool IsOwnerRecord = m_jobs.apply(
      Record.m_offset, Record.m_record.m_key, Record.m_record.m_value);
  if (IsOwnerRecord)
    m_ownership.onOwnerActivity();
  const OwnerRecord &Newest = m_jobs.owner();
  if (Record.m_record.m_key == OwnerKey)
    m_handover.onOwner(Newest);
  if (Record.m_record.m_key == HandoverKey && Record.m_record.m_value)
    onHandoverRecord(*Record.m_record.m_value);
  if (Record.m_record.m_key == LeasesKey && Record.m_record.m_value)
    onLeaseRecord(*Record.m_record.m_value);
  if (Record.m_record.m_key == OwnerEndKey && Record.m_record.m_value)
    onOwnerEndRecord(*Record.m_record.m_value);
  if (Newest.m_epoch > PreviousEpoch) {
    logInfo("owner.seen", {{"epoch", std::to_string(Newest.m_epoch)},
                           {"node", Newest.m_node}});
    m_ownership.onOwnerChanged();
    m_ownership.onOwnerProcessorShare(Newest.m_processorShare);
    if (!m_owner)
      setFollowerWindow();
  }
  if (Newest.m_isResigning)
    m_ownership.onOwnerLeaving(m_handover.successor(Newest.m_epoch));
}

void Candidate::onHandoverRecord(const std::string &Value) {
  auto Read = attempt([&] { return decode<HandoverRecord>(Value); });
  if (!Read) {
    logWarn("owner.handover_unreadable", {{"fault", Read.error().m_message}});
    return;
  }
  m_handover.onRecord(Read.value());
  if (m_owner && m_owner->hasTakenOver() && !m_owner->isLeaving() &&
      m_handover.shouldComply(Read.value()))
    handOver(Read.value());
}

void Candidate::onLeaseRecord(const std::string &Value) {
  auto Read = attempt([&] { return decode<LeaseRecord>(Value); });
  if (!Read) {
    logWarn("owner.leases_unreadable", {{"fault", Read.error().m_message}});
    return;
  }
  if (m_reader.isLoading())
    m_leases.onRecordsMissed();
  m_leases.onRecord(Read.value(), m_host.now(),
                    m_reader.isLoading() ? TimePoint()
                                         : m_reader.coveredUntil());
  m_ownership.onLeaseTimes(m_leases.areTimesKnown());
}

void Candidate::handOver(const HandoverRecord &Request) {
  logInfo("owner.hands_over",
          {{"epoch", std::to_string(Request.m_epoch)},
           {"to", Request.m_node},
           {"its_share", std::to_string(Request.m_processorShare)},
           {"share", std::to_string(m_jobs.owner().m_processorShare)}});
  HandoverRecord Granted = Request;
  Granted.m_isGranted = true;
  m_owner->leave(Granted, [this] {
    m_endTimer.start(Duration::zero(), [this] {
      m_owner.reset();
      setFollowerWindow();
    });
  });
}

void Candidate::requestHandover() {
  const HandoverRecord Request = m_handover.request();
  logInfo("owner.handover_requested",
          {{"epoch", std::to_string(Request.m_epoch)},
           {"owner", m_jobs.owner().m_node},
           {"owner_share", std::to_string(m_jobs.owner().m_processorShare)},
           {"share", std::to_string(Request.m_processorShare)}});
  m_log.append(LogTopic::Jobs, {{HandoverKey, encode(Request)}}, std::nullopt,
               m_options.m_claimTimeout, [](const AppendReply &) {
                 // The record read back from the log counts.
               });
}

void Candidate::onRead() {
  m_ownership.onRead(m_reader.caughtUpAt(), m_reader.replyLatency());
  if (m_claimedEpoch != 0)
    resolveElection();
  if (m_owner)
    m_owner->onLedgerRead();
  // A new owner waits until the ledger covers the time of its fence.
  const bool IsTakingOver = m_owner && !m_owner->hasTakenOver();
  m_reader.setWait(IsTakingOver ? Milliseconds(0) : m_options.m_readWait);
}

void Candidate::onLoaded(const std::set<std::string> &Keys) {
  // Deletions that this node has not read are not among the newest records.
  m_jobs.retainOnly(Keys);
  // This node was the owner before it was restarted, so there is none.
  const OwnerRecord &Newest = m_jobs.owner();
  if (Newest.m_node != m_options.m_node ||
      Newest.m_bootId == m_options.m_bootId)
    return;
  onOwnerEnded(true);
  // Others know the leases of that owner better.
  m_log.append(
      LogTopic::Jobs,
      {{OwnerEndKey, encode(OwnerEndRecord{Newest.m_epoch, Newest.m_bootId})}},
      std::nullopt, m_options.m_claimTimeout, [](const AppendReply &) {
        // Without the record, the owner times out.
      });
}

void Candidate::onOwnerEndRecord(const std::string &Value) {
  auto Read = attempt([&] { return decode<OwnerEndRecord>(Value); });
  if (!Read) {
    logWarn("owner.end_unreadable", {{"fault", Read.error().m_message}});
    return;
  }
  const OwnerRecord &Newest = m_jobs.owner();
  if (Read.value().m_epoch != Newest.m_epoch ||
      Read.value().m_bootId != Newest.m_bootId)
    return;
  logInfo("owner.found_ended",
          {{"epoch", std::to_string(Newest.m_epoch)}, {"node", Newest.m_node}});
  onOwnerEnded(Newest.m_node == m_options.m_node);
}

void Candidate::onOwnerEnded(bool WasOnThisNode) {
  m_ownership.onOwnerEnded(WasOnThisNode);
  // The nodes differ by less than the interval of the check.
  m_checkTimer.start(m_ownership.leavingDelay(), [this] { check(); });
}

void Candidate::onLogRegained() {
  if (m_owner)
    m_owner->onLogRegained();
}

bool Candidate::mayClaim() const {
  return m_ownership.shouldStartElection() || m_handover.shouldDisplace();
}

void Candidate::check() {
  // A successor that does not know the evacuations could start nothing.
  m_handover.onState(isCurrent() && m_evacuations.areCurrent(),
                     m_reader.replyLatency());
  if (!m_owner && m_claimedEpoch == 0 && !m_isLeaving && m_reader.isLoaded()) {
    if (mayClaim()) {
      m_claimedEpoch = nextEpoch(m_jobs.owner().m_epoch);
      claimEpoch();
    } else if (m_handover.shouldRequest()) {
      requestHandover();
    }
  }
  m_checkTimer.start(m_options.m_checkInterval, [this] { check(); });
}

void Candidate::claimEpoch() {
  logInfo("owner.campaign", {{"epoch", std::to_string(m_claimedEpoch)}});
  const OwnerRecord Claim{m_claimedEpoch,
                          m_options.m_node,
                          m_options.m_bootId,
                          false,
                          m_options.m_ownership.m_processorShare,
                          m_options.m_peer};
  LeaseRecord Leases;
  Leases.m_epoch = m_claimedEpoch;
  m_log.append(
      LogTopic::Jobs, {{OwnerKey, encode(Claim)}, {LeasesKey, encode(Leases)}},
      AppendId{OwnerProducer, m_claimedEpoch, 0}, m_options.m_claimTimeout,
      [this, IsAlive = m_isAlive](const AppendReply &Reply) {
        if (*IsAlive)
          onClaimReply(Reply);
      });
}

void Candidate::onClaimReply(const AppendReply &Reply) {
  if (m_claimedEpoch == 0)
    return;
  if (Reply.m_outcome == LogOutcome::Fenced ||
      Reply.m_outcome == LogOutcome::OutOfOrder) {
    logInfo("owner.campaign_lost", {{"epoch", std::to_string(m_claimedEpoch)}});
    m_claimedEpoch = 0;
    return m_ownership.onElectionFailed();
  }
  // The outcome is decided by the record read back from the log, whatever the
  // reply was.
  if (Reply.m_outcome != LogOutcome::Done)
    scheduleClaimRetry();
}

void Candidate::scheduleClaimRetry() {
  m_retryTimer.start(m_options.m_claimRetryDelay, [this] {
    if (m_claimedEpoch == 0)
      return;
    // The owner may have been active since the last attempt, in which case the
    // claim must not be repeated. An earlier attempt may still be carried out,
    // so the election stays open.
    if (mayClaim())
      claimEpoch();
    else
      scheduleClaimRetry();
  });
}

void Candidate::resolveElection() {
  const OwnerRecord &Newest = m_jobs.owner();
  if (Newest.m_epoch < m_claimedEpoch)
    return;
  const std::uint64_t Claimed = m_claimedEpoch;
  m_claimedEpoch = 0;
  if (Newest.m_epoch == Claimed && Newest.m_bootId == m_options.m_bootId)
    return becomeOwner(Claimed);
  logInfo("owner.campaign_lost",
          {{"epoch", std::to_string(Claimed)}, {"to", Newest.m_node}});
  m_ownership.onElectionFailed();
}

void Candidate::becomeOwner(std::uint64_t Epoch) {
  m_reader.setBatchingWindow(m_options.m_ownerBatchingWindow);
  Owner::Options Values = m_options.m_owner;
  Values.m_epoch = Epoch;
  Values.m_node = m_options.m_node;
  Values.m_bootId = m_options.m_bootId;
  Values.m_peer = m_options.m_peer;
  Values.m_processorShare = m_options.m_ownership.m_processorShare;
  Values.m_earlierLeases = m_leases.earlierLeases();
  // There was no owner before.
  if (Epoch == 1)
    Values.m_earlierLeases = EarlierLeases{
        .m_end = m_host.now(), .m_extensions = {}, .m_silent = {}};
  m_owner = std::make_unique<Owner>(
      m_host, m_log, m_jobs, m_evacuations, m_makeLink, m_parseRegistration,
      Values, [this] { return isCurrent(); },
      [this] { return m_reader.coveredUntil(); },
      [this] {
        m_endTimer.start(Duration::zero(), [this] { onOwnershipLost(); });
      });
  m_owner->start();
}

void Candidate::setFollowerWindow() {
  const bool IsWeak =
      m_options.m_ownership.m_processorShare < m_jobs.owner().m_processorShare;
  m_reader.setBatchingWindow(IsWeak ? m_options.m_weakFollowerBatchingWindow
                                    : m_options.m_followerBatchingWindow);
}

void Candidate::onOwnershipLost() {
  m_owner.reset();
  setFollowerWindow();
  m_ownership.onOwnerChanged();
  m_ownership.onElectionFailed();
}

void Candidate::leave() {
  m_isLeaving = true;
  m_claimedEpoch = 0;
  if (m_owner)
    m_owner->leave(std::nullopt, [this] {
      m_endTimer.start(Duration::zero(), [this] { m_owner.reset(); });
    });
}

} // namespace catkinseam
