// Workers: leases, heartbeats, incarnations and health.
#include "catkinseam/scheduler/scheduler.h"

#include "catkinseam/telemetry/log.h"

#include <algorithm>

namespace catkinseam {

namespace {

/// Minimum rate of a worker's clock relative to the local clock.
constexpr double MinClockRate = 0.98;
/// Safety margin added to the calculated end of a lease.
constexpr Milliseconds LeaseMargin{300};
/// Consecutive missed heartbeats after which a worker is unreachable.
constexpr std::uint32_t MissedHeartbeatLimit = 1;
/// Number of distinct jobs with consecutive failures that quarantines a worker.
constexpr std::size_t QuarantineFailedJobs = 2;
constexpr Milliseconds QuarantineTime{2500};
/// Interval at which stops of an unknown run are repeated.
constexpr Milliseconds UnknownRunStopInterval{1000};

} // namespace

PlannedWorker &Scheduler::workerRow(const std::string &Id) {
  std::unique_ptr<PlannedWorker> &Row = m_workers[Id];
  if (!Row) {
    Row = std::make_unique<PlannedWorker>();
    Row->m_report.m_id = Id;
    Row->m_leaseEnd = m_clock.now() + m_options.m_foreignLease;
  }
  return *Row;
}

const PlannedWorker *Scheduler::findWorker(const std::string &Id) const {
  const auto Found = m_workers.find(Id);
  return Found == m_workers.end() ? nullptr : Found->second.get();
}

void Scheduler::updateWorker(const WorkerReport &Report) {
  PlannedWorker &Worker = workerRow(Report.m_id);
  // A delayed registry entry of an earlier incarnation.
  if (Report.m_bornMs < Worker.m_report.m_bornMs)
    return;
  if (Report.m_bornMs > Worker.m_report.m_bornMs)
    beginIncarnation(Worker, Report.m_bornMs);
  if (Report.m_isDraining && !Worker.m_report.m_isDraining)
    logInfo("worker.draining",
            {{"worker", Report.m_id},
             {"remaining_ms", std::to_string(Report.m_remaining.count())}});
  Worker.m_report = Report;
  if (!Worker.m_isListed)
    logInfo("worker.listed", {{"worker", Report.m_id},
                              {"service", Report.m_service},
                              {"address", toString(Report.m_address)}});
  Worker.m_isListed = true;
}

void Scheduler::removeWorker(const std::string &Id) {
  const auto Found = m_workers.find(Id);
  if (Found == m_workers.end() || !Found->second->m_isListed)
    return;
  Found->second->m_isListed = false;
  logInfo("worker.unlisted", {{"worker", Id}});
}

void Scheduler::beginIncarnation(PlannedWorker &Worker, std::int64_t BornMs) {
  if (Worker.m_report.m_bornMs != 0) {
    logInfo("worker.new_life", {{"worker", Worker.m_report.m_id},
                                {"born", std::to_string(BornMs)}});
    discardRunsOf(Worker, "new_life");
    Worker.m_leaseEnd = m_clock.now();
  }
  Worker.m_report.m_bornMs = BornMs;
  Worker.m_hasAcceptedToken = false;
  Worker.m_isClockKnown = false;
  Worker.m_lastEnd = 0;
  Worker.m_storedEnd = 0;
  Worker.m_failedJobs.clear();
  Worker.m_consecutiveFailures = 0;
  Worker.m_hasSucceeded = false;
  Worker.m_quarantinedUntil = TimePoint();
}

void Scheduler::discardRunsOf(PlannedWorker &Worker, const char *Reason) {
  const std::vector<RunRef> Runs = Worker.m_runs;
  for (const RunRef &Each : Runs) {
    if (!findRun(*Each.m_task, Each.m_run))
      continue;
    logInfo("run.over", {{"task", toString(keyOf(*Each.m_task))},
                         {"run", std::to_string(Each.m_run)},
                         {"worker", Worker.m_report.m_id},
                         {"reason", Reason}});
    discardRun(*Each.m_task, Each.m_run, Duration::zero());
  }
}

void Scheduler::updateClock(PlannedWorker &Worker, Milliseconds Clock) {
  Worker.m_clock = Clock;
  Worker.m_clockReadAt = m_clock.now();
  Worker.m_isClockKnown = true;
}

void Scheduler::extendLeaseEnd(PlannedWorker &Worker, Milliseconds Expires) {
  const double Left = static_cast<double>((Expires - Worker.m_clock).count());
  const Milliseconds LocalLease(static_cast<std::int64_t>(Left / MinClockRate));
  Worker.m_leaseEnd = std::max<TimePoint>(
      Worker.m_leaseEnd, Worker.m_clockReadAt + LocalLease + LeaseMargin);
}

Milliseconds Scheduler::leaseExpiry(const PlannedWorker &Worker) const {
  const Milliseconds Since =
      toMilliseconds(m_clock.now() - Worker.m_clockReadAt);
  return Worker.m_clock + Since +
         (m_isStoreReachable ? m_options.m_lease : m_options.m_longLease);
}

std::optional<HoldOrder> Scheduler::nextHold(const std::string &Id) {
  PlannedWorker &Worker = workerRow(Id);
  if (!Worker.m_isListed && Worker.m_runs.empty())
    return std::nullopt;
  HoldOrder Order;
  Order.m_worker = Id;
  Order.m_observed = Worker.m_storedEnd;
  // Runs of an unreachable worker are discarded once its leases have expired,
  // so no lease is granted until it answers.
  if (!Worker.m_isClockKnown || !Worker.m_hasAcceptedToken ||
      !Worker.m_isReachable)
    return Order;
  Order.m_expires = leaseExpiry(Worker);
  extendLeaseEnd(Worker, *Order.m_expires);
  // Do not wait at the worker: unstored ends would make it reply at once.
  if (Worker.m_lastEnd > Worker.m_storedEnd)
    return Order;
  Order.m_wait = Worker.m_services > 0 ? m_options.m_serviceHeartbeatWait
                                       : m_options.m_heartbeatWait;
  return Order;
}

std::vector<std::string> Scheduler::workersToHold() const {
  std::vector<std::string> Ids;
  for (const auto &[Id, Worker] : m_workers)
    if (Worker->m_isListed || !Worker->m_runs.empty())
      Ids.push_back(Id);
  return Ids;
}

void Scheduler::onHold(const HoldOrder &Order, TimePoint SentAt,
                       const HoldReply &Reply) {
  PlannedWorker &Worker = workerRow(Order.m_worker);
  if (Reply.m_outcome != OrderOutcome::Done) {
    ++Worker.m_missedHeartbeats;
    if (Worker.m_isReachable &&
        Worker.m_missedHeartbeats >= MissedHeartbeatLimit) {
      Worker.m_isReachable = false;
      logWarn("worker.unreachable",
              {{"worker", Order.m_worker},
               {"outcome", orderOutcomeName(Reply.m_outcome)}});
    }
    return;
  }
  if (Reply.m_look.m_bornMs < Worker.m_report.m_bornMs)
    return;
  if (Reply.m_look.m_bornMs > Worker.m_report.m_bornMs)
    beginIncarnation(Worker, Reply.m_look.m_bornMs);
  if (!Worker.m_isReachable)
    logInfo("worker.reachable", {{"worker", Order.m_worker}});
  Worker.m_isReachable = true;
  Worker.m_missedHeartbeats = 0;
  updateClock(Worker, Reply.m_look.m_clock);
  applyStatus(Worker, SentAt, Reply.m_look);
  Worker.m_areTailsStale = true;
  if (!Worker.m_hasAcceptedToken)
    Worker.m_leaseEnd =
        std::min(Worker.m_leaseEnd, m_clock.now() + m_options.m_heldLease);
  Worker.m_hasAcceptedToken = true;
  m_interference.observe(Worker, m_clock.now());
  m_pacing.adjust(Worker, m_interference, m_clock.now());
}

void Scheduler::applyStatus(PlannedWorker &Worker, TimePoint SentAt,
                            const WorkerLook &Status) {
  for (const EndedRun &Each : Status.m_ended) {
    if (Each.m_number <= Worker.m_lastEnd)
      continue;
    Worker.m_lastEnd = Each.m_number;
    if (PlannedTask *Task = findTask(Each.m_task);
        Task && findRun(*Task, Each.m_run))
      applyRunEnd(*Task, Each.m_run, Each.m_end, Each.m_checkpoint);
  }
  if (Worker.m_lastEnd > Worker.m_storedEnd)
    m_unstoredEnds.push_back(
        {Worker.m_report.m_id, Worker.m_report.m_bornMs, Worker.m_lastEnd});
  applyActiveRuns(Worker, SentAt, Status);
}

void Scheduler::applyActiveRuns(PlannedWorker &Worker, TimePoint SentAt,
                                const WorkerLook &Status) {
  std::set<RunRef> Listed;
  for (const ActiveRun &Each : Status.m_active) {
    PlannedTask *Task = findTask(Each.m_task);
    PlannedRun *Run = Task ? findRun(*Task, Each.m_run) : nullptr;
    if (!Run || Run->m_worker != &Worker) {
      stopUnknownRun(Worker, Each);
      continue;
    }
    Listed.insert({Task, Each.m_run});
    // An earlier owner may have changed the pace.
    if (Run->m_phase == RunPhase::Adopted)
      Run->m_paceSent = UnknownPace;
    if (Run->m_phase == RunPhase::Starting ||
        Run->m_phase == RunPhase::Adopted) {
      Run->m_phase = RunPhase::Running;
      Run->m_confirmedAt = m_clock.now();
    }
    if (!Each.m_checkpoint.empty())
      Task->m_checkpoint = Each.m_checkpoint;
    if (Run->m_percent != Each.m_percent)
      Run->m_progressedAt = m_clock.now();
    Run->m_percent = Each.m_percent;
    Run->m_figure = Each.m_figure;
  }
  if (!Status.m_isWhole)
    return;
  const std::vector<RunRef> Runs = Worker.m_runs;
  for (const RunRef &Each : Runs) {
    if (Listed.contains(Each))
      continue;
    PlannedRun *Run = findRun(*Each.m_task, Each.m_run);
    if (!Run)
      continue;
    // The worker rejects starts of an earlier owner once it has seen this
    // owner's token, and starts of this run after an acknowledged stop.
    const bool IsOver =
        Run->m_phase == RunPhase::Adopted ||
        (Run->m_phase == RunPhase::Stopping && Run->m_isStopAnswered &&
         Run->m_stopAnsweredAt <= SentAt) ||
        (Run->m_phase == RunPhase::Running && Run->m_confirmedAt <= SentAt);
    if (!IsOver)
      continue;
    logInfo("run.over", {{"task", toString(keyOf(*Each.m_task))},
                         {"run", std::to_string(Each.m_run)},
                         {"worker", Worker.m_report.m_id},
                         {"reason", "not_listed"}});
    discardRun(*Each.m_task, Each.m_run, Duration::zero());
  }
}

void Scheduler::stopUnknownRun(PlannedWorker &Worker, const ActiveRun &Active) {
  const std::string Name = toString(Active.m_task) + "#" +
                           std::to_string(Active.m_run) + "@" +
                           Worker.m_report.m_id;
  TimePoint &SentAt = m_unknownRunStopSentAt[Name];
  if (SentAt != TimePoint() && m_clock.now() - SentAt < UnknownRunStopInterval)
    return;
  SentAt = m_clock.now();
  logInfo("run.foreign", {{"task", toString(Active.m_task)},
                          {"run", std::to_string(Active.m_run)},
                          {"worker", Worker.m_report.m_id}});
  m_unknownRunStops.push_back(
      {Worker.m_report.m_id, Active.m_task, Active.m_run});
}

void Scheduler::expireUnreachableWorkers() {
  const TimePoint Now = m_clock.now();
  std::vector<std::string> Gone;
  for (const auto &[Id, Worker] : m_workers) {
    if (!Worker->m_runs.empty() && !Worker->m_isReachable &&
        Worker->m_leaseEnd <= Now)
      discardRunsOf(*Worker, "lease_over");
    if (!Worker->m_isListed && Worker->m_runs.empty())
      Gone.push_back(Id);
  }
  for (const std::string &Each : Gone)
    m_workers.erase(Each);
}

void Scheduler::evacuateDrainingWorkers() {
  for (const auto &[Id, Worker] : m_workers) {
    if (!Worker->m_report.m_isDraining || !Worker->m_isReachable)
      continue;
    const std::vector<RunRef> Runs = Worker->m_runs;
    for (const RunRef &Each : Runs) {
      const StepSpec &Spec = *Each.m_task->m_step->m_spec;
      PlannedRun *Run = findRun(*Each.m_task, Each.m_run);
      const bool IsMovable = Spec.m_isService || Spec.m_savesCheckpoints;
      if (Run && IsMovable && Run->m_phase == RunPhase::Running)
        requestStop(*Each.m_task, *Run);
    }
  }
}

void Scheduler::recordFailure(PlannedWorker &Worker, const std::string &Job) {
  ++Worker.m_consecutiveFailures;
  Worker.m_failedJobs.insert(Job);
  if (Worker.m_failedJobs.size() < QuarantineFailedJobs)
    return;
  Worker.m_quarantinedUntil = m_clock.now() + QuarantineTime;
  logWarn("worker.shunned",
          {{"worker", Worker.m_report.m_id},
           {"failures", std::to_string(Worker.m_consecutiveFailures)}});
}

void Scheduler::recordSuccess(PlannedWorker &Worker) {
  Worker.m_consecutiveFailures = 0;
  Worker.m_failedJobs.clear();
  Worker.m_lastSuccessAt = m_clock.now();
  Worker.m_hasSucceeded = true;
}

} // namespace catkinseam
