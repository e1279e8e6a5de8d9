// Election timeout and delays of one node.
#include "catkinseam/ownership/ownership.h"

#include "catkinseam/base/hash.h"

#include <algorithm>
#include <cmath>

namespace catkinseam {

Ownership::Ownership(const Clock &Time, const Options &Values,
                     const std::string &NodeName)
    : m_clock(Time), m_options(Values), m_nodeName(NodeName),
      m_jitterFraction(static_cast<double>(hashBytes(NodeName) % 1024) /
                       1024.0),
      m_lastOwnerActivity(Time.now()) {}

void Ownership::onRead(TimePoint When, Duration Latency) {
  // After an outage of the log the owner has to append first: its silence
  // during the outage says nothing about it.
  const bool WasInterrupted =
      m_lastRead != TimePoint() &&
      When - m_lastRead > m_options.m_maxReadAge + 2 * Latency;
  if (WasInterrupted)
    m_lastOwnerActivity = std::max<TimePoint>(m_lastOwnerActivity,
                                              When + m_options.m_outageGrace);
  m_lastRead = When;
  m_logLatency = Latency;
}

void Ownership::onOwnerActivity() {
  const Duration Interval = m_clock.now() - m_lastOwnerActivity;
  const double Remembered =
      std::exp(-std::chrono::duration<double>(Interval) /
               std::chrono::duration<double>(m_options.m_intervalMemory));
  m_longestInterval = std::max(Interval, std::chrono::duration_cast<Duration>(
                                             m_longestInterval * Remembered));
  m_lastOwnerActivity = m_clock.now();
}

void Ownership::onOwnerLeaving(const std::optional<std::string> &Successor) {
  m_isOwnerLeaving = true;
  m_leavingDelay = jitter() / 4 + electionDelay();
  if (Successor)
    m_leavingDelay = *Successor == m_nodeName
                         ? Duration::zero()
                         : m_leavingDelay + m_options.m_successorGrace;
}

void Ownership::onOwnerEnded(bool WasOnThisNode) {
  m_isOwnerLeaving = true;
  // Unlike silence, this needs no grace after an outage of the log.
  m_lastOwnerActivity = m_clock.now();
  m_leavingDelay =
      jitter() / 4 + (WasOnThisNode && m_isNewcomer
                          ? shareDelay() + m_options.m_restartedOwnerDelay
                          : electionDelay());
}

void Ownership::onElectionFailed() {
  m_nextElection = m_clock.now() + m_options.m_electionBackoff;
}

void Ownership::onOwnerChanged() {
  m_isOwnerLeaving = false;
  m_lastOwnerActivity = m_clock.now();
  m_longestInterval = Duration::zero();
}

Duration Ownership::electionDelay() const {
  return shareDelay() +
         (m_isNewcomer ? m_options.m_newcomerDelay : Milliseconds(0));
}

Duration Ownership::shareDelay() const {
  if (m_ownerProcessorShare)
    return m_options.m_processorShare < *m_ownerProcessorShare
               ? scaledToLatency(m_options.m_smallerShareDelay)
               : Duration::zero();
  const double MissingShare =
      1.0 - std::min(1.0, m_options.m_processorShare /
                              m_options.m_fullProcessorShare);
  return toMilliseconds(m_options.m_firstElectionDelay * MissingShare);
}

Duration Ownership::scaledToLatency(Duration Delay) const {
  return std::max<Duration>(Delay,
                            m_options.m_jitterLatencyMultiplier * m_logLatency);
}

Duration Ownership::jitter() const {
  return std::chrono::duration_cast<Duration>(
      m_jitterFraction * scaledToLatency(m_options.m_maxJitter));
}

bool Ownership::shouldStartElection() const {
  const TimePoint Now = m_clock.now();
  if (Now < m_nextElection ||
      Now - m_lastRead > m_options.m_maxReadAge + 2 * m_logLatency)
    return false;
  if (m_isOwnerLeaving)
    return Now - m_lastOwnerActivity >= m_leavingDelay;
  const Duration Timeout = std::max<Duration>(
      m_options.m_ownerTimeout + m_options.m_latencyMultiplier * m_logLatency,
      std::min<Duration>(m_options.m_intervalMultiplier * m_longestInterval,
                         m_options.m_maxIntervalTimeout));
  // Only a read shows that the owner was silent until then.
  return m_lastRead - m_lastOwnerActivity >=
         Timeout + jitter() + electionDelay();
}

} // namespace catkinseam
