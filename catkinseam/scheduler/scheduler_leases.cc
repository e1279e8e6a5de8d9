// Leases: what may be granted, what earlier owners have granted, and the
// records of both.
#include "catkinseam/scheduler/scheduler.h"

#include "catkinseam/telemetry/log.h"

#include <algorithm>
#include <utility>

namespace catkinseam {

namespace {

/// Safety margin added to the calculated end of a lease.
constexpr Milliseconds LeaseMargin{300};

Milliseconds remaining(TimePoint End, TimePoint Now) {
  return std::chrono::ceil<Milliseconds>(
      std::max<Duration>(Duration::zero(), End - Now));
}

} // namespace

void Scheduler::extendLeaseEnd(WorkerInfo &Worker, Milliseconds Expires) {
  const Milliseconds LocalLease = maxLocalLease(Expires - Worker.m_clock);
  Worker.m_leaseEnd = std::max<TimePoint>(
      Worker.m_leaseEnd, Worker.m_clockReadAt + LocalLease + LeaseMargin);
}

TimePoint Scheduler::latestArrival(const WorkerInfo &Worker) const {
  return Worker.m_rejectsFormerOrders
             ? m_clock.now()
             : m_clock.now() + m_options.m_maxOrderDelay;
}

void Scheduler::extendLeaseForMisdirected(WorkerInfo &Worker, TimePoint Last) {
  Worker.m_misdirectedLeaseEnd = std::max<TimePoint>(
      Worker.m_misdirectedLeaseEnd, Last + m_options.m_previousOwnerLease);
  logInfo(
      "worker.longer_lease",
      {{"worker", Worker.m_registration.m_id},
       {"born", std::to_string(Worker.m_registration.m_startedMs)},
       {"end_ms",
        std::to_string(
            remaining(Worker.m_misdirectedLeaseEnd, m_clock.now()).count())}});
  Worker.m_needsLeaseRecord = m_options.m_announcesLeases;
  Worker.m_isInNextLeaseRecord = false;
}

void Scheduler::rejectFormerOrders(WorkerInfo &Worker) {
  if (std::exchange(Worker.m_rejectsFormerOrders, true))
    return;
  Worker.m_misdirectedLeaseEnd =
      std::min<TimePoint>(Worker.m_misdirectedLeaseEnd,
                          m_clock.now() + m_options.m_previousOwnerLease);
}

void Scheduler::onOrderEnded(WorkerInfo &Worker, std::int64_t WorkerStartedMs,
                             OrderOutcome Outcome) {
  const bool IsForEarlier = WorkerStartedMs != 0 &&
                            WorkerStartedMs < Worker.m_registration.m_startedMs;
  const bool MayHaveArrived = Outcome != OrderOutcome::NotSent &&
                              Outcome != OrderOutcome::OtherIncarnation &&
                              Outcome != OrderOutcome::Fenced;
  if (IsForEarlier && MayHaveArrived)
    extendLeaseForMisdirected(Worker, Outcome == OrderOutcome::Unknown
                                          ? latestArrival(Worker)
                                          : m_clock.now());
}

Milliseconds Scheduler::leaseExpiry(const WorkerInfo &Worker) const {
  const Milliseconds Since =
      toMilliseconds(m_clock.now() - Worker.m_clockReadAt);
  const Milliseconds Expires =
      Worker.m_clock + Since +
      (m_isStoreReachable ? m_options.m_lease : m_options.m_storeOutageLease);
  if (!m_options.m_announcesLeases)
    return Expires;
  if (!m_grantedLeases.mayGrant() || Worker.m_isNamed || Worker.m_isNamedNext)
    return Milliseconds(0);
  // The inverse of extendLeaseEnd().
  const Milliseconds LocalLease = toMilliseconds(
      m_grantedLeases.end() - LeaseMargin - Worker.m_clockReadAt);
  return std::min(Expires,
                  Worker.m_clock + Milliseconds(static_cast<std::int64_t>(
                                       static_cast<double>(LocalLease.count()) *
                                       MinClockRate)));
}

bool Scheduler::mayStartRuns() const {
  constexpr Milliseconds MinLease{1000};
  return !m_options.m_announcesLeases ||
         (m_grantedLeases.mayGrant() &&
          m_clock.now() + MinLease < m_grantedLeases.end());
}

bool Scheduler::isLeaseLeft(const WorkerInfo &Worker,
                            Milliseconds Expires) const {
  return Expires >
         Worker.m_clock + toMilliseconds(m_clock.now() - Worker.m_clockReadAt);
}

// --- Leases of earlier owners.

void Scheduler::onRunsRestored() {
  m_runsRestoredAt = m_clock.now();
  for (const auto &[Id, Worker] : m_workers) {
    Worker->m_hadEarlierRuns = !Worker->m_runs.empty();
    m_earlierWorkers += Worker->m_hadEarlierRuns ? 1 : 0;
  }
  const TimePoint Now = m_clock.now();
  logInfo(
      "owner.leases_awaited",
      {{"epoch", std::to_string(m_options.m_epoch)},
       {"workers", std::to_string(m_earlierWorkers)},
       {"known", m_earlierLeases ? "true" : "false"},
       {"silent",
        std::to_string(m_earlierLeases ? m_earlierLeases->m_silent.size() : 0)},
       {"end_ms",
        std::to_string((m_earlierLeases ? remaining(m_earlierLeases->m_end, Now)
                                        : m_options.m_takeoverLease)
                           .count())},
       {"extended_ms",
        std::to_string((m_earlierLeases
                            ? remaining(m_earlierLeases->latestEnd(), Now)
                            : m_options.m_takeoverLease)
                           .count())}});
  ruleOutExtensions();
}

void Scheduler::onTokenAccepted(WorkerInfo &Worker) {
  Worker.m_leaseEnd = std::min(Worker.m_leaseEnd,
                               m_clock.now() + m_options.m_previousOwnerLease);
  Worker.m_isLeaseEarlier = false;
  Worker.m_hasAcceptedToken = true;
  // An incarnation that has not listed a run says nothing about the one that
  // the last owner may still reach.
  if (!Worker.m_hadEarlierRuns || !hasListedRun(Worker))
    return;
  Worker.m_hadEarlierRuns = false;
  ++m_acceptedWorkers;
  ruleOutExtensions();
}

bool Scheduler::hasListedRun(const WorkerInfo &Worker) {
  return std::any_of(
      Worker.m_runs.begin(), Worker.m_runs.end(), [](const RunRef &Each) {
        const RunInfo *Run = findReferencedRun(Each);
        return Run && Run->m_isListed &&
               !isFinal(Each.m_task->m_step->m_occurrence->m_job->m_state);
      });
}

void Scheduler::ruleOutExtensions() {
  // More than half of the workers have to answer the last owner for one.
  if (!m_earlierLeases || m_areExtensionsSettled ||
      2 * m_acceptedWorkers < m_earlierWorkers)
    return;
  m_areExtensionsSettled = true;
  m_earlierLeases->ruleOutExtensionsAfter(m_clock.now());
  const TimePoint End = m_earlierLeases->latestEnd();
  for (const auto &[Id, Worker] : m_workers)
    if (Worker->m_isLeaseEarlier)
      Worker->m_leaseEnd = End;
  logInfo("owner.extension_ruled_out",
          {{"epoch", std::to_string(m_options.m_epoch)},
           {"accepted", std::to_string(m_acceptedWorkers)},
           {"workers", std::to_string(m_earlierWorkers)},
           {"left", std::to_string(m_earlierLeases->m_extensions.size())},
           {"end_ms", std::to_string(remaining(End, m_clock.now()).count())}});
}

// --- Leases of this owner.

LeaseRecord Scheduler::announceLeases() {
  const TimePoint Now = m_clock.now();
  LeaseRecord Next = m_grantedLeases.announce(Now);
  Next.m_epoch = m_options.m_epoch;
  const TimePoint EarlierEnd =
      m_earlierLeases ? m_earlierLeases->latestEnd()
                      : m_runsRestoredAt + m_options.m_takeoverLease;
  Next.m_earlierRemaining = remaining(EarlierEnd, Now);
  for (const auto &[Id, Worker] : m_workers) {
    Worker->m_isInNextLeaseRecord = Worker->m_needsLeaseRecord;
    const Milliseconds Remaining = remaining(Worker->latestLeaseEnd(), Now);
    Worker->m_isNamedNext =
        !Worker->m_runs.empty() && !Worker->m_isReachable &&
        silence(*Worker) >= m_options.m_silenceBeforeNaming &&
        Next.m_silent.size() < m_options.m_maxNamedWorkers;
    if (Worker->m_isNamedNext) {
      Next.m_silent.push_back({Id, Remaining});
      continue;
    }
    // Leases by misdirected orders may exceed what this record announces.
    if (Worker->m_misdirectedLeaseEnd <= Now ||
        Remaining <= std::max(Next.m_term, Next.m_earlierRemaining))
      continue;
    if (Next.m_longer.size() < m_options.m_maxNamedWorkers)
      Next.m_longer.push_back({Id, Remaining});
    else
      Next.m_earlierRemaining = Remaining;
  }
  return Next;
}

void Scheduler::onLeasesStored() {
  m_grantedLeases.onStored(m_clock.now());
  for (const auto &[Id, Worker] : m_workers) {
    Worker->m_isNamed = Worker->m_isNamedNext;
    if (Worker->m_isInNextLeaseRecord)
      Worker->m_needsLeaseRecord = false;
  }
}

bool Scheduler::needsLeaseRecord() const {
  if (!m_grantedLeases.mayGrant())
    return true;
  return std::any_of(m_workers.begin(), m_workers.end(), [](const auto &Each) {
    return Each.second->m_isReachable && Each.second->m_isNamedNext;
  });
}

bool Scheduler::isExtensionNear() const {
  return m_grantedLeases.mayGrant() && m_clock.now() + m_options.m_pollWait >=
                                           m_grantedLeases.extensionFrom();
}

void Scheduler::updateLeaseExtension() {
  const TimePoint From = m_grantedLeases.extensionFrom();
  if (!m_grantedLeases.mayGrant() || m_grantedLeases.isExtended() ||
      m_clock.now() < From)
    return;
  // A successor that reads the log finds runs on no other workers than these.
  std::size_t Workers = 0;
  std::size_t Answered = 0;
  for (const auto &[Id, Worker] : m_workers) {
    Workers +=
        !Worker->m_runs.empty() || Worker->m_runRemovedAt >= m_storedDecisionsAt
            ? 1
            : 0;
    Answered += Worker->m_isReachable && Worker->m_answeredPollSentAt >= From &&
                        hasListedRun(*Worker)
                    ? 1
                    : 0;
  }
  if (2 * Answered <= Workers)
    return;
  m_grantedLeases.extend();
  logWarn("owner.leases_extended",
          {{"epoch", std::to_string(m_options.m_epoch)},
           {"answered", std::to_string(Answered)},
           {"workers", std::to_string(Workers)},
           {"end_ms",
            std::to_string(
                remaining(m_grantedLeases.end(), m_clock.now()).count())}});
}

} // namespace catkinseam
