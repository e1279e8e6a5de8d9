// Election timeout and delays of one node.
#include "catkinseam/ownership/ownership.h"

#include "catkinseam/base/hash.h"

#include <algorithm>

namespace catkinseam {

Ownership::Ownership(const Clock &Time, const Options &Values,
                     const std::string &NodeName)
    : m_clock(Time), m_options(Values),
      m_jitter(static_cast<Milliseconds::rep>(
          hashBytes(NodeName) %
          static_cast<std::uint64_t>(Values.m_maxJitter.count() + 1))),
      m_lastOwnerActivity(Time.now()) {}

void Ownership::onRead(TimePoint When, Duration Latency) {
  // After an outage of the log the owner has to append first: its silence
  // during the outage says nothing about it.
  const bool WasInterrupted =
      m_lastRead != TimePoint() &&
      When - m_lastRead > m_options.m_maxReadAge + 2 * Latency;
  if (WasInterrupted)
    m_lastOwnerActivity =
        std::max<TimePoint>(m_lastOwnerActivity, When + m_options.m_outageGrace);
  m_lastRead = When;
  m_logLatency = Latency;
}

void Ownership::onElectionFailed() {
  m_nextElection = m_clock.now() + m_options.m_electionBackoff;
}

void Ownership::onOwnerChanged() {
  m_isOwnerLeaving = false;
  m_lastOwnerActivity = m_clock.now();
}

Milliseconds Ownership::electionDelay() const {
  if (m_ownerProcessorShare)
    return m_options.m_processorShare < *m_ownerProcessorShare
               ? m_options.m_smallerShareDelay
               : Milliseconds(0);
  const double MissingShare =
      1.0 - std::min(1.0, m_options.m_processorShare /
                              m_options.m_fullProcessorShare);
  return toMilliseconds(m_options.m_firstElectionDelay * MissingShare);
}

bool Ownership::shouldStartElection() const {
  const TimePoint Now = m_clock.now();
  if (Now < m_nextElection ||
      Now - m_lastRead > m_options.m_maxReadAge + 2 * m_logLatency)
    return false;
  if (m_isOwnerLeaving)
    return Now - m_lastOwnerActivity >= m_jitter / 4 + electionDelay();
  // Only a read shows that the owner was silent until then.
  return m_lastRead - m_lastOwnerActivity >=
         m_options.m_ownerTimeout + m_jitter + electionDelay() +
             m_options.m_latencyMultiplier * m_logLatency;
}

} // namespace catkinseam
