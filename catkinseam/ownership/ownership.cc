// The owner's silence, seen by one entry.
#include "catkinseam/ownership/ownership.h"

#include "catkinseam/base/hash.h"

#include <algorithm>

namespace catkinseam {

Ownership::Ownership(const Clock &Time, const Options &Values,
                     const std::string &Entry)
    : m_clock(Time), m_options(Values),
      m_offset(static_cast<Milliseconds::rep>(
          hashBytes(Entry) %
          static_cast<std::uint64_t>(Values.m_spread.count() + 1))),
      m_lastActivity(Time.now()) {}

void Ownership::onCampaignFailed() {
  m_notBefore = m_clock.now() + m_options.m_pause;
}

void Ownership::onOwnerChanged() {
  m_isLeaving = false;
  m_lastActivity = m_clock.now();
}

Milliseconds Ownership::handicap() const {
  if (m_ownerStrength)
    return m_options.m_strength < *m_ownerStrength ? m_options.m_weakerWait
                                                   : Milliseconds(0);
  const double Lacking =
      1.0 - std::min(1.0, m_options.m_strength / m_options.m_strongEntry);
  return toMilliseconds(m_options.m_firstWait * Lacking);
}

bool Ownership::shouldCampaign() const {
  const TimePoint Now = m_clock.now();
  if (Now < m_notBefore ||
      Now - m_lastRead > m_options.m_freshness + 2 * m_latency)
    return false;
  if (m_isLeaving)
    return Now - m_lastActivity >= m_offset / 4 + handicap();
  return Now - m_lastActivity >= m_options.m_silence + m_offset + handicap() +
                                     m_options.m_latencies * m_latency;
}

} // namespace catkinseam
