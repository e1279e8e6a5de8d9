// Workers: leases, status polls, incarnations and health.
#include "catkinseam/scheduler/scheduler.h"

#include "catkinseam/scheduler/crash_suspects.h"
#include "catkinseam/telemetry/log.h"

#include <algorithm>
#include <utility>

namespace catkinseam {

namespace {

/// Consecutive missed status polls after which a worker is unreachable.
constexpr std::uint32_t MissedPollLimit = 1;
/// A worker is quarantined once runs of this many distinct jobs have failed on
/// it since its last success.
constexpr std::size_t QuarantineFailedJobs = 2;
constexpr Milliseconds QuarantineTime{2500};
/// Interval at which stops of an unknown run are repeated.
constexpr Milliseconds UnknownRunStopInterval{1000};

} // namespace

WorkerInfo &Scheduler::workerRow(const std::string &Id) {
  std::unique_ptr<WorkerInfo> &Row = m_workers[Id];
  if (!Row) {
    Row = std::make_unique<WorkerInfo>();
    Row->m_registration.m_id = Id;
    if (const auto Found = m_erasedWorkers.find(Id);
        Found != m_erasedWorkers.end()) {
      Row->m_registration.m_startedMs = Found->second.m_startedMs;
      Row->m_restarts = Found->second.m_restarts;
      m_erasedWorkers.erase(Found);
    }
    Row->m_leaseEnd = m_earlierLeases
                          ? m_earlierLeases->endOn(Id)
                          : m_clock.now() + m_options.m_takeoverLease;
    if (m_earlierLeases)
      Row->m_misdirectedLeaseEnd = m_earlierLeases->longerEndOn(Id);
    Row->m_isLeaseEarlier =
        m_earlierLeases && !m_earlierLeases->m_silent.contains(Id);
  }
  return *Row;
}

const WorkerInfo *Scheduler::findWorker(const std::string &Id) const {
  const auto Found = m_workers.find(Id);
  return Found == m_workers.end() ? nullptr : Found->second.get();
}

void Scheduler::updateWorker(const WorkerRegistration &Registration) {
  WorkerInfo &Worker = workerRow(Registration.m_id);
  // A delayed registration of an earlier incarnation.
  if (Registration.m_startedMs < Worker.m_registration.m_startedMs)
    return;
  if (Registration.m_startedMs > Worker.m_registration.m_startedMs)
    beginIncarnation(Worker, Registration.m_startedMs);
  if (Registration.m_isDraining && !Worker.m_registration.m_isDraining)
    logInfo(
        "worker.draining",
        {{"worker", Registration.m_id},
         {"remaining_ms", std::to_string(Registration.m_remaining.count())}});
  // Whatever answers at another address has not answered as this incarnation.
  const bool IsAddressKnown = Worker.m_registration.m_address.m_port != 0;
  if (IsAddressKnown &&
      Registration.m_address != Worker.m_registration.m_address)
    Worker.m_hasAcceptedToken = false;
  Worker.m_registration = Registration;
  Worker.m_isEvacuated =
      m_evacuatedDataCentres.contains(Registration.m_dataCentre);
  if (Registration.m_coldFor > Milliseconds::zero())
    Worker.m_coldUntil = m_clock.now() + Registration.m_coldFor;
  if (!Worker.m_isListed)
    logInfo("worker.listed", {{"worker", Registration.m_id},
                              {"service", Registration.m_service},
                              {"address", toString(Registration.m_address)}});
  Worker.m_isListed = true;
}

void Scheduler::setEvacuatedDataCentres(
    const std::set<std::string> &DataCentres) {
  if (DataCentres == m_evacuatedDataCentres)
    return;
  m_evacuatedDataCentres = DataCentres;
  for (const auto &[Id, Worker] : m_workers)
    Worker->m_isEvacuated =
        DataCentres.contains(Worker->m_registration.m_dataCentre);
}

void Scheduler::removeWorker(const std::string &Id) {
  const auto Found = m_workers.find(Id);
  if (Found == m_workers.end() || !Found->second->m_isListed)
    return;
  Found->second->m_isListed = false;
  logInfo("worker.unlisted", {{"worker", Id}});
}

void Scheduler::beginIncarnation(WorkerInfo &Worker, std::int64_t StartedMs) {
  if (Worker.m_registration.m_startedMs != 0) {
    if (Worker.m_restarts + 1 < TokensPerOwner)
      ++Worker.m_restarts;
    Worker.m_rejectsFormerOrders = false;
    logInfo(
        "worker.new_life",
        {{"worker", Worker.m_registration.m_id},
         {"born", std::to_string(StartedMs)},
         {"token", std::to_string(fencingToken(Worker.m_registration.m_id))}});
    loseRunsOf(Worker, Loss::Restart, "new_life");
    // What the earlier incarnation ran has ended with it. Runs that are left
    // may be in the new one.
    Worker.m_isLeaseEarlier = false;
    Worker.m_leaseEnd = m_clock.now();
    Worker.m_misdirectedLeaseEnd = TimePoint();
    Worker.m_needsLeaseRecord = false;
    if (!Worker.m_runs.empty())
      extendLeaseForMisdirected(Worker, latestArrival(Worker));
  }
  releaseUnknownRuns(Worker);
  expectRegistration(Worker, StartedMs);
  Worker.m_hasAcceptedToken = false;
  Worker.m_isClockKnown = false;
  Worker.m_lastObservedEnd = 0;
  Worker.m_lastStoredEnd = 0;
  Worker.m_failedJobs.clear();
  Worker.m_consecutiveFailures = 0;
  Worker.m_hasSucceeded = false;
  Worker.m_quarantinedUntil = TimePoint();
}

void Scheduler::expectRegistration(WorkerInfo &Worker, std::int64_t StartedMs) {
  WorkerRegistration Expected;
  Expected.m_id = Worker.m_registration.m_id;
  Expected.m_startedMs = StartedMs;
  // Without a service the worker is offered to no task.
  Worker.m_registration = std::move(Expected);
}

bool Scheduler::onOrderReply(WorkerInfo &Worker, std::int64_t WorkerStartedMs,
                             const OrderReply &Reply) {
  if (WorkerStartedMs != 0 &&
      WorkerStartedMs != Worker.m_registration.m_startedMs)
    return false;
  // A lower clock is that of the next incarnation under the same id, or of a
  // late reply. Neither says that this incarnation is alive.
  if (Reply.m_clock &&
      (!Worker.m_isClockKnown || *Reply.m_clock >= Worker.m_clock))
    updateClock(Worker, *Reply.m_clock);
  return true;
}

void Scheduler::updateClock(WorkerInfo &Worker, Milliseconds Clock) {
  Worker.m_clock = Clock;
  Worker.m_clockReadAt = m_clock.now();
  Worker.m_isClockKnown = true;
  Worker.m_aliveUntil = m_clock.now();
}

std::uint64_t Scheduler::fencingToken(const std::string &Id) const {
  const WorkerInfo *Worker = findWorker(Id);
  return m_options.m_epoch + (Worker ? Worker->m_restarts : 0);
}

std::optional<PollOrder> Scheduler::nextPoll(const std::string &Id) {
  WorkerInfo &Worker = workerRow(Id);
  if (!Worker.m_isListed && Worker.m_runs.empty())
    return std::nullopt;
  PollOrder Order;
  Order.m_worker = Id;
  Order.m_fencingToken = m_options.m_epoch + Worker.m_restarts;
  // After a missed poll the worker may have restarted, and its numbers of ends
  // begin anew.
  Order.m_acknowledgedEnd = Worker.m_isReachable ? Worker.m_lastStoredEnd : 0;
  if (Order.m_acknowledgedEnd > 0)
    Order.m_workerStartedMs = Worker.m_registration.m_startedMs;
  // Runs of an unreachable worker are discarded once its leases have expired,
  // so no lease is granted until it answers.
  if (!Worker.m_isClockKnown || !Worker.m_hasAcceptedToken ||
      !Worker.m_isReachable)
    return Order;
  const Milliseconds Expires = leaseExpiry(Worker);
  // Soon after the worker or this owner may be granted leases again.
  constexpr Milliseconds LeaseRetryInterval{100};
  if (!isLeaseLeft(Worker, Expires)) {
    Order.m_maxWait = LeaseRetryInterval;
    return Order;
  }
  Order.m_workerStartedMs = Worker.m_registration.m_startedMs;
  Order.m_expires = Expires;
  extendLeaseEnd(Worker, Expires);
  // Do not wait at the worker: unstored ends would make it reply at once, and a
  // start in doubt, stopped or not, is resolved by the reply.
  if (Worker.m_lastObservedEnd > Worker.m_lastStoredEnd ||
      hasStartInDoubt(Worker))
    return Order;
  Order.m_maxWait = Worker.m_services > 0 ? m_options.m_servicePollWait
                                          : m_options.m_pollWait;
  // A stop that bars an unlisted run is answered soon, and the poll after that
  // resolves the run.
  constexpr Milliseconds StopReplyWait{50};
  if (hasUnlistedStop(Worker))
    Order.m_maxWait = std::min(Order.m_maxWait, StopReplyWait);
  // The replies decide on the extension of leases.
  if (isExtensionNear())
    Order.m_maxWait = std::min(Order.m_maxWait, m_options.m_outagePollWait);
  if (Worker.m_trialStep || Worker.m_trials > 0)
    Order.m_maxWait = std::min(Order.m_maxWait, trialPollWait(Worker));
  return Order;
}

Milliseconds Scheduler::trialPollWait(const WorkerInfo &Worker) const {
  const TimePoint Now = m_clock.now();
  const TimePoint Soon = Now + MaxSilenceBeforeTrial;
  TimePoint At = TimePoint::max();
  if (Worker.m_trialStep)
    At = std::max<TimePoint>(Soon, trialTime(Worker, Now));
  for (const RunRef &Each : Worker.m_runs) {
    const RunInfo *Run = findReferencedRun(Each);
    if (Run && Run->m_isOnTrial)
      At = std::min<TimePoint>(
          At, hasArrived(*Run) ? Run->m_confirmedAt + TrialTime : Soon);
  }
  return std::chrono::ceil<Milliseconds>(
      std::max<Duration>(Duration::zero(), At - Now));
}

bool Scheduler::hasStartInDoubt(const WorkerInfo &Worker) {
  return std::any_of(
      Worker.m_runs.begin(), Worker.m_runs.end(), [](const RunRef &Each) {
        const RunInfo *Run = findReferencedRun(Each);
        return Run && (Run->m_isStartInDoubt ||
                       (Run->m_phase == RunPhase::Stopping &&
                        Run->m_isStopAnswered && !Run->m_isListed));
      });
}

bool Scheduler::hasUnlistedStop(const WorkerInfo &Worker) {
  return std::any_of(
      Worker.m_runs.begin(), Worker.m_runs.end(), [](const RunRef &Each) {
        const RunInfo *Run = findReferencedRun(Each);
        return Run && Run->m_phase == RunPhase::Stopping && !Run->m_isListed;
      });
}

std::vector<std::string> Scheduler::workersToPoll() const {
  std::vector<std::string> Ids;
  for (const auto &[Id, Worker] : m_workers)
    if (Worker->m_isListed || !Worker->m_runs.empty())
      Ids.push_back(Id);
  return Ids;
}

void Scheduler::onPoll(const PollOrder &Order, TimePoint SentAt,
                       const PollReply &Reply) {
  WorkerInfo &Worker = workerRow(Order.m_worker);
  onOrderEnded(Worker, Order.m_workerStartedMs, Reply.m_outcome);
  if (Reply.m_outcome != OrderOutcome::Done) {
    ++Worker.m_missedPolls;
    if (Worker.m_isReachable && Worker.m_missedPolls >= MissedPollLimit) {
      Worker.m_isReachable = false;
      recordLoss(Worker);
      // A call that fails before the worker was due to reply has lost its
      // connection; one that times out says nothing about the time before, nor
      // does one that did not reach this incarnation.
      if (Reply.m_outcome != OrderOutcome::NotSent &&
          Reply.m_outcome != OrderOutcome::OtherIncarnation &&
          m_clock.now() - SentAt < Order.m_maxWait)
        Worker.m_aliveUntil = m_clock.now();
      logWarn("worker.unreachable",
              {{"worker", Order.m_worker},
               {"outcome", orderOutcomeName(Reply.m_outcome)}});
    }
    // Another incarnation at an address where this one has answered before.
    if (Reply.m_outcome == OrderOutcome::OtherIncarnation &&
        Worker.m_hasAcceptedToken) {
      loseRunsOf(Worker, Loss::Replacement, "replaced");
      Worker.m_leaseEnd = m_clock.now();
      Worker.m_misdirectedLeaseEnd = TimePoint();
      Worker.m_needsLeaseRecord = false;
    }
    return;
  }
  if (Reply.m_snapshot.m_startedMs < Worker.m_registration.m_startedMs)
    return;
  if (Reply.m_snapshot.m_startedMs > Worker.m_registration.m_startedMs)
    beginIncarnation(Worker, Reply.m_snapshot.m_startedMs);
  if (Order.m_fencingToken == fencingToken(Order.m_worker))
    rejectFormerOrders(Worker);
  if (!Worker.m_isReachable)
    logInfo("worker.reachable", {{"worker", Order.m_worker}});
  Worker.m_isReachable = true;
  Worker.m_missedPolls = 0;
  Worker.m_answeredPollSentAt = SentAt;
  updateClock(Worker, Reply.m_snapshot.m_clock);
  applyStatus(Worker, SentAt, Reply.m_snapshot);
  Worker.m_areLoadHeadroomsStale = true;
  if (!Worker.m_hasAcceptedToken)
    onTokenAccepted(Worker);
  m_interference.observe(Worker, m_clock.now());
  m_throttle.adjust(Worker, m_interference, m_clock.now());
}

void Scheduler::applyStatus(WorkerInfo &Worker, TimePoint SentAt,
                            const WorkerSnapshot &Status) {
  for (const EndedRun &Each : Status.m_ended) {
    if (Each.m_sequence <= Worker.m_lastObservedEnd)
      continue;
    Worker.m_lastObservedEnd = Each.m_sequence;
    TaskInfo *Task = findTask(Each.m_task);
    if (!Task)
      continue;
    // Another owner may have started a run of the same number on this worker.
    const RunInfo *Run = findRun(*Task, Each.m_run);
    if (Run && Run->m_worker == &Worker)
      applyRunEnd(*Task, Each, Worker);
    else if (Each.m_end == RunEnd::Done)
      applyDiscardedSuccess(*Task, Worker, Each.m_run);
    else if (Each.m_end == RunEnd::Failed)
      logUnmatchedEnd(Each, Worker);
  }
  if (Worker.m_lastObservedEnd > Worker.m_lastStoredEnd)
    m_unstoredEnds.push_back({Worker.m_registration.m_id,
                              Worker.m_registration.m_startedMs,
                              Worker.m_lastObservedEnd});
  applyActiveRuns(Worker, SentAt, Status);
}

void Scheduler::applyActiveRuns(WorkerInfo &Worker, TimePoint SentAt,
                                const WorkerSnapshot &Status) {
  std::set<RunRef> Listed;
  releaseUnknownRuns(Worker);
  for (const ActiveRun &Each : Status.m_active) {
    TaskInfo *Task = findTask(Each.m_task);
    RunInfo *Run = Task ? findRun(*Task, Each.m_run) : nullptr;
    if (!Run || Run->m_worker != &Worker) {
      reserveForUnknownRun(Worker, Each.m_task);
      stopUnknownRun(Worker, Each);
      continue;
    }
    Listed.insert({Task, Each.m_run});
    Task->m_step->m_occurrence->m_job->m_hasBegun = true;
    Task->m_seenAt = m_clock.now();
    // An earlier owner may have changed the CPU rate.
    if (Run->m_phase == RunPhase::Adopted) {
      Run->m_confirmedCpuRatePercent = UnknownCpuRate;
      Run->m_hasOutlivedOwner = true;
    }
    if (Run->m_phase == RunPhase::Starting ||
        Run->m_phase == RunPhase::Adopted) {
      Run->m_phase = RunPhase::Running;
      Run->m_confirmedAt = m_clock.now();
    }
    Run->m_isStartInDoubt = false;
    Run->m_isListed = true;
    noteListing(*Task, *Run);
    if (std::exchange(Run->m_isBlamed, false))
      markDirty(*Task->m_step->m_occurrence->m_job);
    if (hasSurvivedTrial(*Run))
      clearSuspicion(*Task);
    if (!Each.m_checkpoint.empty())
      Task->m_checkpoint = Each.m_checkpoint;
    if (Run->m_percent != Each.m_percent)
      Run->m_progressedAt = m_clock.now();
    Run->m_percent = Each.m_percent;
    Run->m_measurement = Each.m_measurement;
  }
  if (!Status.m_isComplete)
    return;
  const std::vector<RunRef> Runs = Worker.m_runs;
  for (const RunRef &Each : Runs) {
    if (Listed.contains(Each))
      continue;
    RunInfo *Run = findRun(*Each.m_task, Each.m_run);
    if (!Run)
      continue;
    // The start may still arrive, also that of an earlier owner: not every
    // worker checks tokens. A stop prevents it.
    if (Run->m_phase == RunPhase::Adopted ||
        (Run->m_isStartInDoubt && Run->m_startDoubtedAt <= SentAt)) {
      requestStop(*Each.m_task, *Run);
      continue;
    }
    const bool IsOver =
        (Run->m_phase == RunPhase::Stopping && Run->m_isStopAnswered &&
         Run->m_stopAnsweredAt <= SentAt) ||
        (Run->m_phase == RunPhase::Running && Run->m_confirmedAt <= SentAt);
    if (!IsOver)
      continue;
    logInfo("run.over", {{"task", toString(keyOf(*Each.m_task))},
                         {"run", std::to_string(Each.m_run)},
                         {"worker", Worker.m_registration.m_id},
                         {"reason", "not_listed"}});
    discardRun(*Each.m_task, Each.m_run, Duration::zero());
  }
}

void Scheduler::noteListing(TaskInfo &Task, RunInfo &Run) {
  const std::int64_t StartedMs = Run.m_worker->m_registration.m_startedMs;
  const bool IsMisdirected = Run.m_workerStartedMs != StartedMs;
  if (Run.m_wasListed && !IsMisdirected)
    return;
  // Its lease may be longer than others. A successor that finds the earlier
  // incarnation in the record waits for that.
  if (IsMisdirected && m_clock.now() < Run.m_worker->m_misdirectedLeaseEnd)
    return;
  Run.m_workerStartedMs = StartedMs;
  Run.m_wasListed = true;
  // A successor that does not know it waits longer if the worker restarts and
  // is lost, which matters for tasks that last.
  if (IsMisdirected || Task.m_step->m_spec->m_isService)
    markDirty(*Task.m_step->m_occurrence->m_job);
}

void Scheduler::stopUnknownRun(WorkerInfo &Worker, const ActiveRun &Active) {
  const std::string Name = toString(Active.m_task) + "#" +
                           std::to_string(Active.m_run) + "@" +
                           Worker.m_registration.m_id;
  TimePoint &SentAt = m_unknownRunStopSentAt[Name];
  if (SentAt != TimePoint() && m_clock.now() - SentAt < UnknownRunStopInterval)
    return;
  SentAt = m_clock.now();
  logInfo("run.foreign", {{"task", toString(Active.m_task)},
                          {"run", std::to_string(Active.m_run)},
                          {"worker", Worker.m_registration.m_id}});
  m_unknownRunStops.push_back({Worker.m_registration.m_id, Active.m_task,
                               Active.m_run,
                               Worker.m_registration.m_startedMs});
}

void Scheduler::reserveForUnknownRun(WorkerInfo &Worker,
                                     const TaskKey &Task) const {
  const auto Job = m_jobs.find(Task.m_job);
  if (Job == m_jobs.end() ||
      Task.m_step >= Job->second->m_submission.m_spec.m_steps.size()) {
    Worker.m_hasRunOfUnknownSize = true;
    return;
  }
  const Resources Held =
      Job->second->m_submission.m_spec.m_steps[Task.m_step].reservation();
  Worker.m_reservedByUnknownRuns += Held;
  Worker.m_reserved += Held;
}

void Scheduler::releaseUnknownRuns(WorkerInfo &Worker) {
  Worker.m_reserved -= Worker.m_reservedByUnknownRuns;
  Worker.m_reservedByUnknownRuns = {};
  Worker.m_hasRunOfUnknownSize = false;
}

void Scheduler::moveRunsOffDrainingWorkers() {
  for (const auto &[Id, Worker] : m_workers) {
    if (!Worker->m_registration.m_isDraining || !Worker->m_isReachable)
      continue;
    const std::vector<RunRef> Runs = Worker->m_runs;
    for (const RunRef &Each : Runs) {
      const StepSpec &Spec = *Each.m_task->m_step->m_spec;
      RunInfo *Run = findRun(*Each.m_task, Each.m_run);
      const bool IsMovable = Spec.m_isService || Spec.m_savesCheckpoints;
      if (Run && IsMovable && Run->m_phase == RunPhase::Running)
        requestStop(*Each.m_task, *Run);
    }
  }
}

void Scheduler::recordFailure(WorkerInfo &Worker, const std::string &Job,
                              TimePoint StartedAt) {
  ++Worker.m_consecutiveFailures;
  Worker.m_failedJobs.insert(Job);
  // No run starts during a quarantine, so this one did before. Renewing the
  // quarantine for such runs could leave no worker to other tasks.
  if (StartedAt < Worker.m_quarantinedUntil ||
      Worker.m_failedJobs.size() < QuarantineFailedJobs)
    return;
  Worker.m_quarantinedUntil = m_clock.now() + QuarantineTime;
  logWarn("worker.shunned",
          {{"worker", Worker.m_registration.m_id},
           {"failures", std::to_string(Worker.m_consecutiveFailures)}});
}

void Scheduler::recordSuccess(WorkerInfo &Worker) {
  Worker.m_consecutiveFailures = 0;
  Worker.m_failedJobs.clear();
  Worker.m_lastSuccessAt = m_clock.now();
  Worker.m_hasSucceeded = true;
}

} // namespace catkinseam
