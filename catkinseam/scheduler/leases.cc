// Leases granted under the stored lease records.
#include "catkinseam/scheduler/leases.h"

#include <cmath>

namespace catkinseam {

Milliseconds maxLocalLease(Milliseconds Lease) {
  return Milliseconds(static_cast<std::int64_t>(
      std::ceil(static_cast<double>(Lease.count()) / MinClockRate)));
}

LeaseRecord GrantedLeases::announce(TimePoint Now) {
  LeaseRecord Next;
  if (m_announcements > 0)
    Next.m_sincePrevious = std::chrono::ceil<Milliseconds>(Now - m_announcedAt);
  m_announcedAt = Now;
  Next.m_number = m_announcements++;
  // Leases granted under an earlier record may last longer.
  Next.m_term = std::max(m_options.m_term,
                         std::chrono::ceil<Milliseconds>(m_extendedEnd - Now));
  Next.m_extendedTerm = std::max(m_options.m_extendedTerm, Next.m_term);
  Next.m_extensionDelay = m_options.m_extensionDelay;
  return Next;
}

void GrantedLeases::onStored(TimePoint Now) {
  m_begunAt = m_announcedAt;
  m_storedAt = Now;
  m_isStored = true;
}

} // namespace catkinseam
