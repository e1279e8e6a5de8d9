// Campaigns, and what follows from winning or losing them.
#include "catkinseam/ownership/candidate.h"

#include "catkinseam/base/codec.h"
#include "catkinseam/telemetry/log.h"

namespace catkinseam {

Candidate::Candidate(Runtime &Host, KeyedLog &Log, Ledger &Jobs,
                     Owner::LinkMaker Links, Owner::EntryReader Entries,
                     const Options &Values)
    : m_host(Host), m_log(Log), m_jobs(Jobs), m_links(std::move(Links)),
      m_entries(std::move(Entries)), m_options(Values),
      m_tail(Host, Log,
             {.m_topic = LogTopic::Jobs, .m_gather = Values.m_followerGather},
             {[this](const StoredRecord &Each) { onRecord(Each); },
              [this] { onRead(); }, nullptr}),
      m_ownership(Host.clock(), Values.m_ownership, Values.m_entry),
      m_checkTimer(Host), m_retryTimer(Host), m_endTimer(Host) {}

Candidate::~Candidate() { *m_isAlive = false; }

void Candidate::start() {
  m_tail.start();
  check();
}

bool Candidate::isCurrent() const {
  return m_tail.isLoaded() &&
         m_host.now() - m_tail.lastRead() < m_options.m_currency;
}

void Candidate::onRecord(const StoredRecord &Record) {
  const std::uint64_t Epoch = m_jobs.owner().m_epoch;
  const bool IsOwners = m_jobs.apply(Record.m_offset, Record.m_record.m_key,
                                     Record.m_record.m_value);
  if (IsOwners)
    m_ownership.onOwnerActivity();
  const OwnerRecord &Now = m_jobs.owner();
  if (Now.m_epoch > Epoch) {
    logInfo("owner.seen",
            {{"epoch", std::to_string(Now.m_epoch)}, {"node", Now.m_entry}});
    m_ownership.onOwnerChanged();
    m_ownership.onOwnerStrength(Now.m_strength);
  }
  if (Now.m_isLeaving)
    m_ownership.onOwnerLeaving();
}

void Candidate::onRead() {
  m_ownership.onRead(m_tail.lastRead(), m_tail.latency());
  if (m_claimed != 0)
    judgeCampaign();
}

void Candidate::check() {
  if (!m_owner && m_claimed == 0 && !m_isLeaving && m_tail.isLoaded() &&
      m_ownership.shouldCampaign()) {
    m_claimed = m_jobs.owner().m_epoch + 1;
    campaign();
  }
  m_checkTimer.start(m_options.m_check, [this] { check(); });
}

void Candidate::campaign() {
  logInfo("owner.campaign", {{"epoch", std::to_string(m_claimed)}});
  const OwnerRecord Mine{m_claimed, m_options.m_entry, m_options.m_boot, false,
                         m_options.m_ownership.m_strength};
  m_log.append(LogTopic::Jobs, {{OwnerKey, encode(Mine)}},
               ProducerMark{OwnerProducer, m_claimed, 0},
               m_options.m_campaignTimeout,
               [this, IsAlive = m_isAlive](const AppendReply &Reply) {
                 if (*IsAlive)
                   onCampaignAnswer(Reply);
               });
}

void Candidate::onCampaignAnswer(const AppendReply &Reply) {
  if (m_claimed == 0)
    return;
  if (Reply.m_outcome == LogOutcome::Fenced ||
      Reply.m_outcome == LogOutcome::OutOfOrder) {
    logInfo("owner.campaign_lost", {{"epoch", std::to_string(m_claimed)}});
    m_claimed = 0;
    return m_ownership.onCampaignFailed();
  }
  // Whatever was answered, the record read back tells; without it, try again.
  if (Reply.m_outcome != LogOutcome::Done)
    m_retryTimer.start(m_options.m_campaignRetry, [this] {
      if (m_claimed != 0)
        campaign();
    });
}

void Candidate::judgeCampaign() {
  const OwnerRecord &Newest = m_jobs.owner();
  if (Newest.m_epoch < m_claimed)
    return;
  const std::uint64_t Claimed = m_claimed;
  m_claimed = 0;
  if (Newest.m_epoch == Claimed && Newest.m_boot == m_options.m_boot)
    return becomeOwner(Claimed);
  logInfo("owner.campaign_lost",
          {{"epoch", std::to_string(Claimed)}, {"to", Newest.m_entry}});
  m_ownership.onCampaignFailed();
}

void Candidate::becomeOwner(std::uint64_t Epoch) {
  m_tail.setGather(m_options.m_ownerGather);
  Owner::Options Values = m_options.m_owner;
  Values.m_epoch = Epoch;
  Values.m_entry = m_options.m_entry;
  Values.m_boot = m_options.m_boot;
  Values.m_strength = m_options.m_ownership.m_strength;
  m_owner = std::make_unique<Owner>(
      m_host, m_log, m_jobs, m_links, m_entries, Values,
      [this] { return isCurrent(); },
      [this] { m_endTimer.start(Duration::zero(), [this] { onDeposed(); }); });
  m_owner->start();
}

void Candidate::onDeposed() {
  m_owner.reset();
  m_tail.setGather(m_options.m_followerGather);
  m_ownership.onOwnerChanged();
  m_ownership.onCampaignFailed();
}

void Candidate::leave() {
  m_isLeaving = true;
  m_claimed = 0;
  if (m_owner)
    m_owner->leave([this] {
      m_endTimer.start(Duration::zero(), [this] { m_owner.reset(); });
    });
}

} // namespace catkinseam
