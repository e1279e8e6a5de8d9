// Bounds on the leases of the owners so far.
#include "catkinseam/ownership/lease_history.h"

#include <algorithm>

namespace catkinseam {

namespace {

/// By how much the clocks of two nodes may differ over the time of a lease.
constexpr Milliseconds ClockMargin{100};

/// By how much they may differ over another time.
Milliseconds drift(Milliseconds Time) {
  constexpr int Divisor = 50;
  return Time / Divisor;
}

} // namespace

void LeaseHistory::onRecord(const LeaseRecord &Record, TimePoint ReadAt,
                            TimePoint AppendedAfter) {
  if (Record.m_epoch < m_epoch)
    return;
  // Owners of earlier versions increase the epoch by one.
  const bool Follows = Record.m_epoch == m_epoch ||
                       Record.m_epoch == m_epoch + 1 ||
                       Record.m_epoch == nextEpoch(m_epoch);
  if (m_epoch != 0 && !Follows)
    m_isGapped = true;
  m_epoch = Record.m_epoch;
  if (Record.m_term == Milliseconds::zero())
    return;
  // Its owner has accounted for the leases of all owners before it; this node
  // may know more of them.
  if (!m_newest || m_newest->m_record.m_epoch != Record.m_epoch) {
    const std::optional<EarlierLeases> Before = earlierLeases();
    m_beforeNewest = Before ? Before->latestEnd() : TimePoint::max();
  }
  m_isGapped = false;
  m_previous.reset();
  if (m_newest && m_newest->m_record.m_epoch == Record.m_epoch &&
      m_newest->m_record.m_number + 1 == Record.m_number)
    m_previous = m_newest;
  Entry Next{Record, TimePoint(), ReadAt, AppendedAfter};
  // An append that began long before or after an outage of the log may be read
  // at the end of it, together with the one before.
  if (m_previous) {
    constexpr Milliseconds Rounding{1};
    const Milliseconds Since = Record.m_sincePrevious;
    Next.m_begunBy = std::min<TimePoint>(ReadAt, m_previous->m_begunBy + Since +
                                                     drift(Since));
    if (m_previous->m_begunAfter != TimePoint())
      Next.m_begunAfter =
          m_previous->m_begunAfter + Since - drift(Since) - Rounding;
    // Appends follow one another.
    Next.m_begunAfter = std::max(Next.m_begunAfter, m_previous->m_durableAfter);
    Next.m_durableAfter = std::max(AppendedAfter, Next.m_begunAfter);
  }
  m_newest = Next;
}

void LeaseHistory::onRecordsMissed() {
  m_newest.reset();
  m_previous.reset();
  m_beforeNewest = TimePoint::max();
}

std::optional<EarlierLeases> LeaseHistory::earlierLeases() const {
  if (!m_newest || m_isGapped)
    return std::nullopt;
  const LeaseRecord &Newest = m_newest->m_record;
  const TimePoint BegunBy = m_newest->m_begunBy + ClockMargin;
  EarlierLeases Earlier;
  Earlier.m_end = std::max<TimePoint>(
      BegunBy + Newest.m_term,
      std::min<TimePoint>(BegunBy + Newest.m_earlierRemaining, m_beforeNewest));
  const auto Add = [&](const Entry &Known, TimePoint DurableAfter) {
    Earlier.m_extensions.push_back(
        {DurableAfter + Known.m_record.m_extensionDelay - ClockMargin,
         Known.m_begunBy + ClockMargin + Known.m_record.m_extendedTerm});
  };
  Add(*m_newest, m_newest->m_durableAfter);
  if (m_previous)
    Add(*m_previous, m_previous->m_durableAfter);
  else if (Newest.m_number > 0)
    // A record that this node has not read; it was begun before the newest.
    Add(*m_newest, TimePoint());
  for (const LeaseRecord::NamedWorker &Each : Newest.m_silent)
    Earlier.m_silent[Each.m_worker] = BegunBy + Each.m_remaining;
  for (const LeaseRecord::NamedWorker &Each : Newest.m_longer)
    Earlier.m_longer[Each.m_worker] = BegunBy + Each.m_remaining;
  return Earlier;
}

} // namespace catkinseam
