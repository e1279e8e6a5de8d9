// Decisions: placement of waiting tasks, stops and CPU rates of runs.
#include "catkinseam/scheduler/scheduler.h"

#include "catkinseam/scheduler/crash_suspects.h"
#include "catkinseam/scheduler/work_order.h"
#include "catkinseam/telemetry/log.h"

#include <algorithm>

namespace catkinseam {

const char *orderOutcomeName(OrderOutcome Outcome) {
  switch (Outcome) {
  case OrderOutcome::Done:
    return "done";
  case OrderOutcome::Fenced:
    return "fenced";
  case OrderOutcome::StaleRun:
    return "old_run";
  case OrderOutcome::LeaseExpired:
    return "late";
  case OrderOutcome::InsufficientResources:
    return "no_room";
  case OrderOutcome::OtherIncarnation:
    return "other_life";
  case OrderOutcome::Refused:
    return "refused";
  case OrderOutcome::Invalid:
    return "invalid";
  case OrderOutcome::NotSent:
    return "not_sent";
  case OrderOutcome::Unknown:
    return "unknown";
  }
  return "unknown";
}

namespace {

/// Retry interval of a stop that was not acknowledged.
constexpr Milliseconds UnansweredStopRetry{400};
/// Retry interval of a stop that was acknowledged but whose run has not ended.
constexpr Milliseconds AnsweredStopRetry{2000};
/// A filler throttled to this CPU rate (percent) or below for MoveAfter is
/// moved, unless it would lose more than MaxLostWorkPercent of its work.
constexpr int MaxMovedCpuRatePercent = 30;
constexpr Milliseconds MoveAfter{700};
/// Minimum CPU rate, in percent, that the target worker must allow.
constexpr int MinMoveTargetCpuRatePercent = 80;
constexpr std::int64_t MaxLostWorkPercent = 30;
/// Interval at which a better worker is sought for a run.
constexpr Milliseconds MoveRetryInterval{250};
/// Limits moves per task: each one loses about a second of work.
constexpr std::uint32_t MaxMoves = 2;
/// A task is copied if it has run StragglerFactor times as long as the longest
/// of at least MinStragglerSamples completed tasks of its step.
constexpr int StragglerFactor = 2;
constexpr std::size_t MinStragglerSamples = 2;
/// Retry interval of a step that could not be placed: a failed search costs as
/// much as a successful one, which adds up with many waiting steps.
constexpr Milliseconds PlacementRetryInterval{40};
/// Interval at which the suspended share of filler work is updated.
constexpr Milliseconds SuspendedShareInterval{200};
/// Maximum interval between calls of decide().
constexpr Milliseconds MaxDecideInterval{250};

} // namespace

Scheduler::Scheduler(const Clock &Time, const Options &Values)
    : m_clock(Time), m_options(Values), m_throttle({}), m_interference({}),
      m_reservations({.m_max = Values.m_maxReservations}),
      m_trialReservations({}), m_grantedLeases(Values.m_leases),
      m_storedDecisionsAt(Time.now()) {}

Scheduler::~Scheduler() = default;

Scheduler::StepKey Scheduler::keyOf(const StepInfo &Step) {
  return {Step.m_occurrence->m_job->m_submission.m_id,
          Step.m_occurrence->m_number, Step.m_number};
}

Decisions Scheduler::decide() {
  Decisions Next;
  Next.m_decidedAt = m_clock.now();
  openDueOccurrences();
  if (mayStartRuns()) {
    placeWaitingTasks(Next);
    placeCopies(Next);
  }
  for (const std::string &Id : m_dirtyJobs) {
    const auto Found = m_jobs.find(Id);
    if (Found == m_jobs.end())
      continue;
    Found->second->m_isDirty = false;
    Next.m_progress.emplace_back(Id, progressOf(*Found->second));
  }
  m_dirtyJobs.clear();
  Next.m_observedEnds = std::move(m_unstoredEnds);
  m_unstoredEnds.clear();
  forgetOldJobs(Next);
  return Next;
}

const std::vector<WorkerInfo *> &
Scheduler::availableWorkers(const std::string &Service) {
  return m_availableByService[Service];
}

void Scheduler::listAvailableWorkers() {
  m_availableByService.clear();
  if (!m_arePlacementInputsCurrent || !mayStartRuns())
    return;
  for (const auto &[Id, Row] : m_workers)
    if (isAvailable(*Row, m_clock.now()))
      m_availableByService[Row->m_registration.m_service].push_back(Row.get());
}

void Scheduler::placeWaitingTasks(Decisions &Next) {
  listAvailableWorkers();
  reserveForTrials();
  const TimePoint Now = m_clock.now();
  const WallTime WallNow = m_clock.wallNow();
  std::vector<StepInfo *> Queued;
  Queued.reserve(m_stepQueue.size());
  for (const auto &[Key, Step] : m_stepQueue)
    Queued.push_back(Step);
  m_reservations.beginRound();
  m_overloadedSteps = 0;
  for (const auto &[Rank, Step] : inWorkOrder(Queued, Now, WallNow)) {
    m_overloadedSteps += Rank.m_remainingWorkPerValue > 0.0;
    const bool MayReserve = !Rank.m_isDeferred && !Rank.m_isExpired;
    if (Step->m_retryAt > Now) {
      if (MayReserve)
        reserveFor(*Step);
      continue;
    }
    if (Step->m_spec->m_isGang) {
      placeGang(*Step, Next);
      continue;
    }
    if (!placeStep(*Step, Next) && MayReserve)
      reserveFor(*Step);
  }
  placeSharedTrials(Next);
}

bool Scheduler::placeStep(StepInfo &Step, Decisions &Next) {
  const TimePoint Now = m_clock.now();
  const std::vector<TaskInfo *> Waiting = Step.m_waitingTasks;
  bool HasFailed = false;
  for (TaskInfo *Task : Waiting) {
    if (Task->m_earliestStart > Now)
      continue;
    // Tasks of one step differ only in that suspects need a trial.
    if (HasFailed && isSuspect(*Task))
      continue;
    if (placeTask(*Task, Next))
      continue;
    // Jobs past their objective do not preempt others.
    if (!hasMissedObjective(Step, m_clock.wallNow()))
      preemptFor(*Task);
    Step.m_retryAt = Now + PlacementRetryInterval;
    HasFailed = true;
    if (!isSuspect(*Task))
      break;
  }
  return !HasFailed;
}

void Scheduler::reserveFor(const StepInfo &Step) {
  if (Step.m_waitingTasks.empty() || Step.m_spec->m_isGang)
    return;
  const std::string &Service = Step.m_occurrence->m_job->policy().m_service;
  m_reservations.reserve(*Step.m_waitingTasks.front(),
                         availableWorkers(Service), m_clock.now());
}

void Scheduler::preemptFor(const TaskInfo &Task) {
  const JobInfo &Job = *Task.m_step->m_occurrence->m_job;
  if (Task.m_step->m_spec->m_isFiller)
    return;
  const std::vector<RunRef> Victims = chooseVictims(
      Task, availableWorkers(Job.policy().m_service), m_clock.now());
  for (const RunRef &Each : Victims) {
    RunInfo *Run = findRun(*Each.m_task, Each.m_run);
    logInfo("run.preempted",
            {{"task", toString(keyOf(*Each.m_task))},
             {"run", std::to_string(Each.m_run)},
             {"worker", Run->m_worker->m_registration.m_id},
             {"for", toString(keyOf(Task))},
             {"priority", std::to_string(Job.policy().m_priority)}});
    requestStop(*Each.m_task, *Run);
  }
}

bool Scheduler::placeTask(TaskInfo &Task, Decisions &Next) {
  const std::string &Service =
      Task.m_step->m_occurrence->m_job->policy().m_service;
  const Placement Chosen =
      chooseWorker(Task, availableWorkers(Service), m_interference,
                   m_reservations, m_clock.now());
  if (!Chosen.m_worker) {
    if (isSuspect(Task))
      logTrialAwaited(Task);
    return false;
  }
  dequeueTask(Task);
  ++Task.m_lastRun;
  RunInfo &Run =
      addRun(Task, Task.m_lastRun, *Chosen.m_worker, RunPhase::Recording);
  if (Task.m_step->m_spec->m_isFiller) {
    Run.m_cpuRatePercent = Chosen.m_cpuRatePercent;
    // A filler that starts below the full CPU rate counts as throttled from its
    // start.
    Run.m_throttledSince = m_clock.now();
  }
  Next.m_starts.push_back({keyOf(Task), Task.m_lastRun});
  JobInfo &Job = *Task.m_step->m_occurrence->m_job;
  if (Job.m_state == JobState::Queued)
    Job.m_state = JobState::InProgress;
  markDirty(Job);
  return true;
}

bool Scheduler::needsCopy(const TaskInfo &Task) const {
  // The copy may fail too; both failures must stay within the attempt limit.
  const std::uint32_t MaxAttempts =
      Task.m_step->m_occurrence->m_job->policy().m_maxAttempts;
  if (Task.m_isDone || Task.m_runs.size() != 1 ||
      Task.m_failures + 2 > MaxAttempts)
    return false;
  // Each copy of a task that crashes its workers would cost another worker.
  if (Task.m_lostWorkers > 0)
    return false;
  const RunInfo &Run = Task.m_runs.front();
  if (!Run.m_worker->m_isReachable)
    return true;
  const StepInfo &Step = *Task.m_step;
  if (Run.m_phase != RunPhase::Running ||
      Step.m_completedDurations.size() < MinStragglerSamples)
    return false;
  const Duration Longest = *std::max_element(Step.m_completedDurations.begin(),
                                             Step.m_completedDurations.end());
  return m_clock.now() - Run.m_since > StragglerFactor * Longest;
}

void Scheduler::placeCopies(Decisions &Next) {
  for (StepInfo *Step : m_speculativeSteps) {
    if (Step->m_retryAt > m_clock.now())
      continue;
    for (TaskInfo &Task : Step->m_tasks) {
      if (!needsCopy(Task))
        continue;
      if (!placeTask(Task, Next)) {
        Step->m_retryAt = m_clock.now() + PlacementRetryInterval;
        // Others may not need a trial.
        if (isSuspect(Task))
          continue;
        break;
      }
      logInfo("run.copied", {{"task", toString(keyOf(Task))},
                             {"run", std::to_string(Task.m_lastRun)}});
    }
  }
}

bool Scheduler::placeGang(StepInfo &Step, Decisions &Next) {
  // All members are placed under one run number, or none.
  if (Step.m_waitingTasks.size() != Step.m_tasks.size())
    return false;
  const std::size_t Begin = Next.m_starts.size();
  RunNumber Last = 0;
  for (TaskInfo &Each : Step.m_tasks) {
    if (!Each.m_runs.empty() || Each.m_earliestStart > m_clock.now())
      return false;
    Last = std::max(Last, Each.m_lastRun);
  }
  // Any member's checkpoint is valid for all; all must start from the same one.
  const auto Saved = std::find_if(
      Step.m_tasks.begin(), Step.m_tasks.end(),
      [](const TaskInfo &Each) { return !Each.m_checkpoint.empty(); });
  const std::string Checkpoint =
      Saved == Step.m_tasks.end() ? std::string() : Saved->m_checkpoint;
  for (TaskInfo &Each : Step.m_tasks) {
    Each.m_lastRun = Last;
    Each.m_checkpoint = Checkpoint;
  }
  // Suspects first: fewer workers are open to them.
  std::vector<TaskInfo *> Members;
  for (TaskInfo &Each : Step.m_tasks)
    Members.push_back(&Each);
  std::stable_partition(Members.begin(), Members.end(),
                        [](const TaskInfo *Each) { return isSuspect(*Each); });
  std::size_t Placed = 0;
  while (Placed < Members.size() && placeTask(*Members[Placed], Next))
    ++Placed;
  if (Placed == Members.size())
    return true;
  Next.m_starts.resize(Begin);
  Members.resize(Placed);
  for (TaskInfo *Each : Members) {
    removeRun(*Each, Each->m_lastRun);
    enqueueTask(*Each, Duration::zero());
  }
  return false;
}

std::vector<StartOrder> Scheduler::release(const Decisions &Stored,
                                           bool AreStale) {
  m_storedDecisionsAt = Stored.m_decidedAt;
  for (const Decisions::ObservedEnd &Each : Stored.m_observedEnds) {
    const auto Found = m_workers.find(Each.m_worker);
    if (Found == m_workers.end() ||
        Found->second->m_registration.m_startedMs != Each.m_startedMs)
      continue;
    WorkerInfo &Worker = *Found->second;
    Worker.m_lastStoredEnd = std::max(Worker.m_lastStoredEnd, Each.m_sequence);
  }
  withdrawInvalidStarts(Stored, AreStale);
  std::vector<StartOrder> Starts;
  for (const Decisions::PlannedStart &Each : Stored.m_starts) {
    TaskInfo *Task = findTask(Each.m_task);
    RunInfo *Run = Task ? findRun(*Task, Each.m_run) : nullptr;
    if (!Run || Run->m_phase != RunPhase::Recording)
      continue;
    WorkerInfo &Worker = *Run->m_worker;
    Run->m_phase = RunPhase::Starting;
    Run->m_since = m_clock.now();
    Run->m_startSentAt = m_clock.now();
    Run->m_silenceBeforeStart = m_clock.now() - Worker.m_aliveUntil;
    StartOrder Order{
        .m_worker = Worker.m_registration.m_id,
        .m_task = Each.m_task,
        .m_run = Each.m_run,
        .m_payload =
            Task->m_step->m_occurrence->m_job->m_submission.m_spec.m_payload,
        .m_checkpoint = Task->m_checkpoint,
        .m_expires = leaseExpiry(Worker),
        .m_workerStartedMs = Worker.m_registration.m_startedMs};
    extendLeaseEnd(Worker, Order.m_expires);
    Starts.push_back(std::move(Order));
  }
  return Starts;
}

void Scheduler::withdrawInvalidStarts(const Decisions &Stored, bool AreStale) {
  // Backwards, so that the most urgent starts get what is left of a worker
  // whose capacity has shrunk.
  for (auto Each = Stored.m_starts.rbegin(); Each != Stored.m_starts.rend();
       ++Each) {
    TaskInfo *Task = findTask(Each->m_task);
    RunInfo *Run = Task ? findRun(*Task, Each->m_run) : nullptr;
    if (!Run || Run->m_phase != RunPhase::Recording)
      continue;
    const WorkerInfo &Worker = *Run->m_worker;
    if (AreStale)
      withdrawRun(*Task, Each->m_run, "decision_stale");
    else if (!isAvailable(Worker, m_clock.now()))
      withdrawRun(*Task, Each->m_run, "worker_unavailable");
    else if (!isLeaseLeft(Worker, leaseExpiry(Worker)))
      withdrawRun(*Task, Each->m_run, "no_lease");
    else if (!Worker.m_reserved.fitsIn(Worker.m_registration.m_capacity))
      withdrawRun(*Task, Each->m_run, "capacity_reduced");
  }
}

void Scheduler::requestStop(TaskInfo &Task, RunInfo &Run) {
  if (Run.m_phase == RunPhase::Stopping)
    return;
  if (Run.m_phase == RunPhase::Recording)
    return withdrawRun(Task, Run.m_number, "stop_requested");
  Run.m_phase = RunPhase::Stopping;
  Run.m_isStartInDoubt = false;
  Run.m_since = m_clock.now();
  Run.m_stopSentAt = TimePoint();
  Run.m_isStopAnswered = false;
}

void Scheduler::stopAllRuns(TaskInfo &Task) {
  std::vector<RunNumber> Numbers;
  for (const RunInfo &Each : Task.m_runs)
    Numbers.push_back(Each.m_number);
  for (const RunNumber Each : Numbers)
    if (RunInfo *Run = findRun(Task, Each))
      requestStop(Task, *Run);
}

ImmediateOrders Scheduler::control() {
  updateLeaseExtension();
  expireUnreachableWorkers();
  endTrials();
  moveRunsOffDrainingWorkers();
  listAvailableWorkers();
  updateSuspendedShare();
  moveThrottledFillers();
  ImmediateOrders Next;
  Next.m_stops = std::move(m_unknownRunStops);
  m_unknownRunStops.clear();
  for (const auto &[Id, Worker] : m_workers) {
    if (!Worker->m_hasAcceptedToken)
      continue;
    for (const RunRef &Ref : Worker->m_runs) {
      RunInfo *Run = findRun(*Ref.m_task, Ref.m_run);
      if (Run && Run->m_phase == RunPhase::Stopping)
        collectStop(*Worker, Ref, *Run, Next);
      else if (Run && Run->m_phase == RunPhase::Running)
        collectThrottle(*Worker, Ref, *Run, Next);
    }
  }
  return Next;
}

void Scheduler::updateSuspendedShare() {
  if (m_clock.now() - m_suspendedShareUpdatedAt < SuspendedShareInterval)
    return;
  m_suspendedShareUpdatedAt = m_clock.now();
  const Summary Stats = summarize();
  const std::int64_t Requested =
      Stats.m_fillerRequest + Stats.m_waitingFillerRequest;
  m_interference.updateSuspendedShare(
      Requested == 0 ? 0.0
                     : 1.0 - static_cast<double>(Stats.m_fillerGranted) /
                                 static_cast<double>(Requested));
}

void Scheduler::moveThrottledFillers() {
  const TimePoint Now = m_clock.now();
  for (const auto &[Id, Worker] : m_workers) {
    if (Worker->m_fillers == 0 || Worker->m_services == 0)
      continue;
    const std::vector<RunRef> Runs = Worker->m_runs;
    for (const RunRef &Ref : Runs) {
      RunInfo *Run = findRun(*Ref.m_task, Ref.m_run);
      const StepSpec &Spec = *Ref.m_task->m_step->m_spec;
      if (!Run || !Spec.m_isFiller || Run->m_phase != RunPhase::Running ||
          Now - Run->m_moveAttemptedAt < MoveRetryInterval)
        continue;
      const bool IsThrottled =
          Run->m_cpuRatePercent <= MaxMovedCpuRatePercent &&
          Now - Run->m_throttledSince >= MoveAfter;
      if (!IsThrottled && !isStarved(Spec, *Run, Now))
        continue;
      Run->m_moveAttemptedAt = Now;
      if ((!Spec.m_savesCheckpoints && Run->m_percent > MaxLostWorkPercent) ||
          Ref.m_task->m_moveCount >= MaxMoves)
        continue;
      const std::string &Service =
          Ref.m_task->m_step->m_occurrence->m_job->policy().m_service;
      const Placement Target =
          chooseWorker(*Ref.m_task, availableWorkers(Service), m_interference,
                       m_reservations, Now);
      if (!Target.m_worker ||
          Target.m_cpuRatePercent < MinMoveTargetCpuRatePercent)
        continue;
      logInfo("run.moved", {{"task", toString(keyOf(*Ref.m_task))},
                            {"run", std::to_string(Ref.m_run)},
                            {"worker", Id},
                            {"pace", std::to_string(Run->m_cpuRatePercent)}});
      ++Ref.m_task->m_moveCount;
      requestStop(*Ref.m_task, *Run);
    }
  }
}

void Scheduler::collectStop(const WorkerInfo &Worker, const RunRef &Ref,
                            RunInfo &Run, ImmediateOrders &Next) const {
  const Duration RetryInterval =
      Run.m_isStopAnswered ? AnsweredStopRetry : UnansweredStopRetry;
  if (m_clock.now() - Run.m_stopSentAt < RetryInterval)
    return;
  Run.m_stopSentAt = m_clock.now();
  Next.m_stops.push_back({Worker.m_registration.m_id, keyOf(*Ref.m_task),
                          Ref.m_run, Worker.m_registration.m_startedMs});
}

void Scheduler::collectThrottle(const WorkerInfo &Worker, const RunRef &Ref,
                                RunInfo &Run, ImmediateOrders &Next) const {
  if (!Ref.m_task->m_step->m_spec->m_isFiller || Run.m_isCpuRatePending ||
      Run.m_confirmedCpuRatePercent == Run.m_cpuRatePercent)
    return;
  Run.m_isCpuRatePending = true;
  Next.m_throttles.push_back({Worker.m_registration.m_id, keyOf(*Ref.m_task),
                              Ref.m_run, Run.m_cpuRatePercent});
}

void Scheduler::onStart(const StartOrder &Order, const OrderReply &Reply) {
  WorkerInfo &Worker = workerRow(Order.m_worker);
  onOrderReply(Worker, Order.m_workerStartedMs, Reply);
  onOrderEnded(Worker, Order.m_workerStartedMs, Reply.m_outcome);
  if (Reply.m_outcome != OrderOutcome::Done)
    logInfo("run.not_started",
            {{"task", toString(Order.m_task)},
             {"run", std::to_string(Order.m_run)},
             {"worker", Order.m_worker},
             {"born", std::to_string(Order.m_workerStartedMs)},
             {"outcome", orderOutcomeName(Reply.m_outcome)}});
  TaskInfo *Task = findTask(Order.m_task);
  RunInfo *Run = Task ? findRun(*Task, Order.m_run) : nullptr;
  if (!Run)
    return;
  constexpr Milliseconds InsufficientResourcesBackoff{150};
  constexpr Milliseconds RefusalBackoff{1000};
  switch (Reply.m_outcome) {
  case OrderOutcome::Done:
    Task->m_step->m_occurrence->m_job->m_hasBegun = true;
    if (Run->m_phase == RunPhase::Starting) {
      Run->m_phase = RunPhase::Running;
      Run->m_confirmedAt = m_clock.now();
    }
    return;
  case OrderOutcome::Unknown:
    // The next status poll shows whether the worker runs it.
    if (Run->m_phase == RunPhase::Starting) {
      Run->m_isStartInDoubt = true;
      Run->m_startDoubtedAt = m_clock.now();
    }
    return;
  case OrderOutcome::StaleRun:
  case OrderOutcome::LeaseExpired:
  case OrderOutcome::Fenced:
    break;
  case OrderOutcome::OtherIncarnation:
  case OrderOutcome::InsufficientResources:
    Worker.m_backoffUntil = m_clock.now() + InsufficientResourcesBackoff;
    break;
  case OrderOutcome::Refused:
  case OrderOutcome::Invalid:
  case OrderOutcome::NotSent:
    Worker.m_backoffUntil = m_clock.now() + RefusalBackoff;
    Task->m_avoidedWorkers.push_back(Order.m_worker);
    break;
  }
  if (Run->m_phase == RunPhase::Starting || Run->m_phase == RunPhase::Stopping)
    discardRun(*Task, Order.m_run, Duration::zero());
  if (Reply.m_workerStartedMs > Worker.m_registration.m_startedMs)
    beginIncarnation(Worker, Reply.m_workerStartedMs);
}

void Scheduler::onStop(const StopOrder &Order, const OrderReply &Reply) {
  WorkerInfo &Worker = workerRow(Order.m_worker);
  if (!onOrderReply(Worker, Order.m_workerStartedMs, Reply))
    return;
  TaskInfo *Task = findTask(Order.m_task);
  RunInfo *Run = Task ? findRun(*Task, Order.m_run) : nullptr;
  if (!Run || Run->m_phase != RunPhase::Stopping)
    return;
  if (Reply.m_outcome == OrderOutcome::Done) {
    // A stop is repeated. The first acknowledgement already bars the run.
    if (!Run->m_isStopAnswered)
      Run->m_stopAnsweredAt = m_clock.now();
    Run->m_isStopAnswered = true;
  } else if (Reply.m_outcome == OrderOutcome::OtherIncarnation) {
    discardRun(*Task, Order.m_run, Duration::zero());
  }
}

void Scheduler::onThrottle(const ThrottleOrder &Order,
                           const OrderReply &Reply) {
  TaskInfo *Task = findTask(Order.m_task);
  RunInfo *Run = Task ? findRun(*Task, Order.m_run) : nullptr;
  if (!Run)
    return;
  Run->m_isCpuRatePending = false;
  if (Reply.m_outcome == OrderOutcome::Done)
    Run->m_confirmedCpuRatePercent = Order.m_cpuRatePercent;
}

TimePoint Scheduler::nextWake() const {
  return m_clock.now() + MaxDecideInterval;
}

Scheduler::Summary Scheduler::summarize() const {
  Summary Stats;
  Stats.m_liveJobs = m_liveJobs;
  Stats.m_reservations = m_reservations.count();
  Stats.m_overloadedSteps = m_overloadedSteps;
  for (const auto &[Key, Step] : m_stepQueue) {
    Stats.m_waitingTasks += Step->m_waitingTasks.size();
    if (Step->m_spec->m_isService)
      Stats.m_waitingServices += Step->m_waitingTasks.size();
    if (Step->m_spec->m_isFiller) {
      Stats.m_waitingFillers += Step->m_waitingTasks.size();
      Stats.m_waitingFillerRequest +=
          Step->m_spec->m_request.m_milliProcessors *
          static_cast<std::int64_t>(Step->m_waitingTasks.size());
    }
  }
  for (const auto &[Id, Worker] : m_workers) {
    if (isAvailable(*Worker, m_clock.now())) {
      ++Stats.m_availableWorkers;
      const std::int64_t Free = std::max<std::int64_t>(
          0, Worker->m_registration.m_capacity.m_milliProcessors -
                 Worker->m_reserved.m_milliProcessors);
      Stats.m_freeProcessors += Free;
      Stats.m_mostFreeProcessors = std::max(Stats.m_mostFreeProcessors, Free);
    }
    for (const RunRef &Each : Worker->m_runs) {
      const RunInfo *Run = findReferencedRun(Each);
      const StepSpec &Spec = *Each.m_task->m_step->m_spec;
      ++Stats.m_runs;
      Stats.m_stopping += Run->m_phase == RunPhase::Stopping;
      Stats.m_servicesOverTarget += tailLatencyRatio(Each) > 1.0;
      if (!Spec.m_isFiller)
        continue;
      ++Stats.m_fillers;
      Stats.m_throttledFillers += Run->m_cpuRatePercent < 100;
      Stats.m_fillerRequest += Spec.m_request.m_milliProcessors;
      Stats.m_fillerGranted +=
          Spec.m_request.m_milliProcessors * Run->m_cpuRatePercent / 100;
    }
  }
  return Stats;
}

Scheduler::DataCentreRuns
Scheduler::runsIn(const std::string &DataCentre) const {
  DataCentreRuns Found;
  for (const auto &[Id, Worker] : m_workers) {
    if (Worker->m_registration.m_dataCentre != DataCentre)
      continue;
    Found.m_runs += Worker->m_runs.size();
    Found.m_services += Worker->m_services;
  }
  return Found;
}

} // namespace catkinseam
