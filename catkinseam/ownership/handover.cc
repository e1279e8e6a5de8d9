// Requests and conditions of hand-overs.
#include "catkinseam/ownership/handover.h"

#include "catkinseam/base/hash.h"

namespace catkinseam {

Handover::Handover(const Clock &Time, const Options &Values)
    : m_clock(Time), m_options(Values),
      m_jitter(Values.m_maxJitter *
               static_cast<std::int64_t>(hashBytes(Values.m_node) % 1024) /
               1024) {}

void Handover::onOwner(const OwnerRecord &Newest) {
  if (Newest.m_epoch != m_owner.m_epoch) {
    if (m_owner.m_epoch != 0 && isOwnerSlow())
      m_slowOwnerReplacedAt = m_clock.now();
    m_ownerSince = m_clock.now();
    m_claimedShare = Newest.m_processorShare;
    m_requestStoredAt.reset();
    m_nextRequest = TimePoint();
  }
  m_owner = Newest;
}

void Handover::onRecord(const HandoverRecord &Record) {
  if (Record.m_epoch < m_newest.m_epoch)
    return;
  m_newest = Record;
  if (Record.m_epoch == m_owner.m_epoch &&
      Record.m_bootId == m_options.m_bootId)
    m_requestStoredAt = m_requestStoredAt.value_or(m_clock.now());
}

void Handover::onState(bool IsCurrent, Duration LogLatency) {
  m_logLatency = LogLatency;
  if (!IsCurrent)
    m_currentSince.reset();
  else if (!m_currentSince)
    m_currentSince = m_clock.now();
}

bool Handover::isOwnerSlow() const {
  return m_owner.m_processorShare * m_options.m_minAdvantage <= m_claimedShare;
}

bool Handover::isFitter(double ProcessorShare) const {
  const Duration Term = m_clock.now() - m_ownerSince;
  const double Needed = ProcessorShare / m_options.m_minAdvantage;
  const bool DoesSlownessCount =
      !m_slowOwnerReplacedAt ||
      m_clock.now() - *m_slowOwnerReplacedAt >= m_options.m_slowOwnerInterval;
  return (m_claimedShare <= Needed && Term >= m_options.m_minTerm) ||
         (DoesSlownessCount && m_owner.m_processorShare <= Needed &&
          Term >= m_options.m_minTermOfSlowOwner);
}

bool Handover::shouldRequest() const {
  const TimePoint Now = m_clock.now();
  if (m_owner.m_epoch == 0 || m_owner.m_isResigning ||
      m_owner.m_bootId == m_options.m_bootId ||
      !isFitter(m_options.m_processorShare) || Now < m_nextRequest)
    return false;
  const bool IsSettled =
      m_currentSince &&
      Now - *m_currentSince >= m_options.m_settlingTime + m_jitter &&
      m_logLatency < m_options.m_slowLatency;
  const bool HasRival =
      m_newest.m_epoch == m_owner.m_epoch &&
      m_newest.m_bootId != m_options.m_bootId &&
      m_newest.m_processorShare >= m_options.m_processorShare &&
      Now - m_ownerSince < m_options.m_minTerm + 2 * m_options.m_patience;
  return IsSettled && !HasRival;
}

HandoverRecord Handover::request() {
  m_nextRequest = m_clock.now() + m_options.m_requestInterval;
  return {m_owner.m_epoch, m_options.m_node, m_options.m_bootId,
          m_options.m_processorShare, false};
}

bool Handover::shouldDisplace() const {
  return m_requestStoredAt && m_currentSince && !m_owner.m_isResigning &&
         m_logLatency < m_options.m_slowLatency &&
         isFitter(m_options.m_processorShare) &&
         m_clock.now() - *m_requestStoredAt >= m_options.m_patience;
}

bool Handover::shouldComply(const HandoverRecord &Request) const {
  return !Request.m_isGranted && Request.m_epoch == m_owner.m_epoch &&
         m_owner.m_bootId == m_options.m_bootId &&
         Request.m_bootId != m_options.m_bootId &&
         isFitter(Request.m_processorShare);
}

std::optional<std::string> Handover::successor(std::uint64_t Epoch) const {
  if (!m_newest.m_isGranted || m_newest.m_epoch != Epoch)
    return std::nullopt;
  return m_newest.m_node;
}

} // namespace catkinseam
