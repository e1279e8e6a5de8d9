// Lost workers: what becomes of their runs, and which tasks are blamed.
#include "catkinseam/scheduler/scheduler.h"

#include "catkinseam/scheduler/crash_suspects.h"
#include "catkinseam/scheduler/failure_causes.h"
#include "catkinseam/telemetry/log.h"

#include <algorithm>

namespace catkinseam {

namespace {

/// The loss of more workers than this and than one in MassLossDivisor, all
/// within MassLossWindow before or after, has another cause than one task.
constexpr std::size_t MinMassLoss = 3;
constexpr std::size_t MassLossDivisor = 10;
constexpr Milliseconds MassLossWindow{250};
/// How long losses are remembered. Leases of all earlier ones have expired.
constexpr Milliseconds LossMemory{30000};

const char *startOutcomeName(const RunInfo &Run) {
  if (Run.m_phase == RunPhase::Adopted)
    return "adopted";
  return Run.m_confirmedAt == TimePoint() ? "unanswered" : "confirmed";
}

} // namespace

void Scheduler::expireUnreachableWorkers() {
  const TimePoint Now = m_clock.now();
  std::vector<std::string> Gone;
  for (const auto &[Id, Worker] : m_workers) {
    if (!Worker->m_runs.empty() && !Worker->m_isReachable &&
        Worker->latestLeaseEnd() <= Now)
      loseRunsOf(*Worker, Loss::Unknown, "lease_over");
    // A run whose removal is not stored yet counts for the next owner.
    if (!Worker->m_isListed && Worker->m_runs.empty() &&
        Worker->m_runRemovedAt < m_storedDecisionsAt)
      Gone.push_back(Id);
  }
  for (const std::string &Each : Gone) {
    const WorkerInfo &Worker = workerRow(Each);
    if (Worker.m_registration.m_startedMs != 0)
      m_erasedWorkers[Each] = {Worker.m_registration.m_startedMs,
                               Worker.m_restarts};
    m_workers.erase(Each);
  }
}

void Scheduler::loseRunsOf(WorkerInfo &Worker, Loss Cause, const char *Reason) {
  if (Worker.m_isReachable)
    recordLoss(Worker);
  clearSurvivors(Worker);
  forgetOldLosses();
  blame(Worker, isMassLoss(Worker.m_lostAt) ? Loss::Mass : Cause, Reason);
  const std::vector<RunRef> Runs = Worker.m_runs;
  for (const RunRef &Each : Runs) {
    RunInfo *Run = findRun(*Each.m_task, Each.m_run);
    if (!Run)
      continue;
    if (Cause == Loss::Restart && mayReachNextIncarnation(*Run)) {
      doubtStart(*Run);
      continue;
    }
    logInfo(
        "run.over",
        {{"task", toString(keyOf(*Each.m_task))},
         {"run", std::to_string(Each.m_run)},
         {"worker", Worker.m_registration.m_id},
         {"reason", Reason},
         {"silent_ms", std::to_string(silence(Worker).count())},
         {"heard", Worker.m_hasAcceptedToken ? "true" : "false"},
         {"epoch", std::to_string(m_options.m_epoch)},
         {"lost_workers", std::to_string(Each.m_task->m_lostWorkers)},
         {"crashed_workers", std::to_string(Each.m_task->m_crashedWorkers)}});
    discardRun(*Each.m_task, Each.m_run, Duration::zero());
  }
}

Milliseconds Scheduler::silence(const WorkerInfo &Worker) const {
  return toMilliseconds(m_clock.now() -
                        std::max(Worker.m_aliveUntil, m_runsRestoredAt));
}

void Scheduler::clearSurvivors(const WorkerInfo &Worker) {
  for (const RunRef &Each : Worker.m_runs)
    if (const RunInfo *Run = findRun(*Each.m_task, Each.m_run);
        Run && hasSurvivedTrial(*Run))
      clearSuspicion(*Each.m_task);
}

bool Scheduler::mayReachNextIncarnation(const RunInfo &Run) {
  return Run.m_phase != RunPhase::Recording && !Run.m_wasListed;
}

void Scheduler::doubtStart(RunInfo &Run) {
  if (Run.m_phase == RunPhase::Stopping) {
    Run.m_isStopAnswered = false;
    Run.m_stopSentAt = TimePoint();
    return;
  }
  // The next status poll carries this owner's token, which resolves it.
  if (Run.m_phase == RunPhase::Adopted)
    return;
  Run.m_phase = RunPhase::Starting;
  Run.m_confirmedAt = TimePoint();
  Run.m_isStartInDoubt = true;
  Run.m_startDoubtedAt = m_clock.now();
}

void Scheduler::onLinkReplaced(const std::string &Id) {
  for (const RunRef &Each : workerRow(Id).m_runs) {
    RunInfo *Run = findRun(*Each.m_task, Each.m_run);
    Run->m_isCpuRatePending = false;
    if (Run->m_phase == RunPhase::Starting && !Run->m_isStartInDoubt)
      doubtStart(*Run);
  }
}

void Scheduler::forgetOldLosses() {
  while (!m_losses.empty() &&
         m_clock.now() - m_losses.front().m_at > LossMemory)
    m_losses.pop_front();
}

void Scheduler::recordLoss(WorkerInfo &Worker) {
  Worker.m_lostAt = m_clock.now();
  forgetOldLosses();
  WorkerLoss &Loss = m_losses.emplace_back();
  Loss.m_at = m_clock.now();
  for (const RunRef &Each : blamedRuns(Worker))
    Loss.m_jobs.insert(keyOf(*Each.m_task).m_job);
}

bool Scheduler::isMassLoss(TimePoint LostAt) const {
  const auto Losses = static_cast<std::size_t>(std::count_if(
      m_losses.begin(), m_losses.end(), [LostAt](const WorkerLoss &Each) {
        return std::chrono::abs(Each.m_at - LostAt) <= MassLossWindow;
      }));
  return Losses > std::max(MinMassLoss, m_workers.size() / MassLossDivisor);
}

bool Scheduler::haveOthersBeenLost(const JobInfo &Job) const {
  if (m_jobsRestoredAt && m_clock.now() - *m_jobsRestoredAt <= LossMemory)
    return true;
  return std::any_of(m_losses.begin(), m_losses.end(),
                     [&](const WorkerLoss &Each) {
                       return !Each.m_jobs.contains(Job.m_submission.m_id);
                     });
}

void Scheduler::logBlamed(const TaskInfo &Task, const RunInfo &Run,
                          const char *Reason) const {
  const auto Count = [](Duration Time) {
    return std::to_string(toMilliseconds(Time).count());
  };
  const WorkerInfo &Worker = *Run.m_worker;
  const bool IsAdopted = Run.m_phase == RunPhase::Adopted;
  logInfo("task.blamed",
          {{"task", toString(keyOf(Task))},
           {"run", std::to_string(Run.m_number)},
           {"worker", Worker.m_registration.m_id},
           {"reason", Reason},
           {"start", startOutcomeName(Run)},
           {"silent_ms", IsAdopted ? "" : Count(Run.m_silenceBeforeStart)},
           {"heard_ms",
            IsAdopted ? "" : Count(Worker.m_aliveUntil - Run.m_startSentAt)},
           {"on_trial", Run.m_isOnTrial ? "1" : "0"},
           {"recent_losses", std::to_string(m_losses.size())},
           {"spared", Task.m_wasSpared ? "1" : "0"},
           {"lost_workers", std::to_string(Task.m_lostWorkers)},
           {"crashed_workers", std::to_string(Task.m_crashedWorkers)}});
}

void Scheduler::blame(const WorkerInfo &Worker, Loss Cause,
                      const char *Reason) {
  // A worker that drains may leave at any time.
  const bool IsCrash = (Cause == Loss::Restart || Cause == Loss::Replacement) &&
                       !Worker.m_registration.m_isDraining;
  const char *LoggedReason = Cause == Loss::Mass ? "mass_loss" : Reason;
  for (const RunRef &Each : blamedRuns(Worker)) {
    TaskInfo &Task = *Each.m_task;
    // The age of an adopted run is unknown. Tasks that crash their workers may
    // do so all at once, and again after each restart.
    RunInfo &Run = *findRun(Task, Each.m_run);
    Run.m_isBlamed = true;
    Task.m_avoidedWorkers.push_back(Worker.m_registration.m_id);
    const bool IsDoubtful = Cause == Loss::Mass || mayPrecedeStart(Run);
    JobInfo &Job = *Task.m_step->m_occurrence->m_job;
    markDirty(Job);
    if (IsDoubtful && !Task.m_wasSpared) {
      Task.m_wasSpared = true;
    } else {
      ++Task.m_lostWorkers;
      // Which of the tasks has crashed it is not known.
      if (IsCrash && hasArrived(Run) && !Run.m_isTrialShared)
        ++Task.m_crashedWorkers;
      noteCountedRun(Task,
                     {.m_run = Run.m_number,
                      .m_worker = Worker.m_registration.m_id,
                      .m_workerStartedMs = Worker.m_registration.m_startedMs,
                      .m_cause = LoggedReason});
    }
    logBlamed(Task, Run, LoggedReason);
    if (!isLossLimitReached(Task, haveOthersBeenLost(Job)))
      continue;
    Task.m_isGivenUp = true;
    logWarn("task.given_up",
            {{"task", toString(keyOf(Task))},
             {"lost_workers", std::to_string(Task.m_lostWorkers)},
             {"crashed_workers", std::to_string(Task.m_crashedWorkers)}});
  }
}

void Scheduler::clearSuspicion(TaskInfo &Task) {
  if (Task.m_lostWorkers == 0 && !Task.m_wasSpared)
    return;
  logInfo("task.cleared",
          {{"task", toString(keyOf(Task))},
           {"lost_workers", std::to_string(Task.m_lostWorkers)},
           {"crashed_workers", std::to_string(Task.m_crashedWorkers)}});
  Task.m_lostWorkers = 0;
  Task.m_crashedWorkers = 0;
  Task.m_wasSpared = false;
  Task.m_isGivenUp = false;
  Task.m_restoredLostWorkers = 0;
  std::erase_if(Task.m_countedRuns,
                [](const CountedRun &Each) { return Each.m_sequence == 0; });
  markDirty(*Task.m_step->m_occurrence->m_job);
}

Scheduler::Absences Scheduler::absences() const {
  Absences Found;
  const auto Check = [&](const TaskInfo &Task) {
    const bool IsRunning = std::any_of(
        Task.m_runs.begin(), Task.m_runs.end(), [](const RunInfo &Run) {
          return Run.m_isListed && Run.m_worker->m_isReachable;
        });
    // A task that has not run yet is waiting, not away.
    if (IsRunning || Task.m_isDone || Task.m_seenAt == TimePoint())
      return;
    ++Found.m_tasks;
    Found.m_longest = std::max(Found.m_longest, m_clock.now() - Task.m_seenAt);
  };
  for (const auto &[Id, Job] : m_jobs) {
    if (isFinal(Job->m_state))
      continue;
    for (const OccurrenceInfo &Occurrence : Job->m_occurrences)
      for (const StepInfo &Step : Occurrence.m_steps)
        if (Step.m_spec->m_isService)
          for (const TaskInfo &Each : Step.m_tasks)
            Check(Each);
  }
  return Found;
}

} // namespace catkinseam
