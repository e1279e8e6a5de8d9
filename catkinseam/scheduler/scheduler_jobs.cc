// Jobs: life cycle of occurrences, steps, tasks and runs; stored progress.
#include "catkinseam/scheduler/scheduler.h"

#include "catkinseam/scheduler/crash_suspects.h"
#include "catkinseam/scheduler/failure_causes.h"
#include "catkinseam/telemetry/log.h"

#include <algorithm>

namespace catkinseam {

namespace {

/// Size limit of a task's list of workers to avoid.
constexpr std::size_t MaxAvoidedWorkers = 4;
/// Delay before a task is started again after its run has ended.
constexpr Milliseconds RestartDelay{0};

/// Length of the critical path: the largest sum of estimates along a chain of
/// dependent steps.
Milliseconds criticalPath(const JobSpec &Spec) {
  std::vector<Milliseconds> Ends;
  Milliseconds Longest{0};
  for (const StepSpec &Step : Spec.m_steps) {
    Milliseconds Begin{0};
    for (const std::uint32_t Earlier : Step.m_after)
      Begin = std::max(Begin, Ends[Earlier]);
    Ends.push_back(Begin + Step.m_estimate);
    Longest = std::max(Longest, Ends.back());
  }
  return Longest;
}

} // namespace

TaskKey Scheduler::keyOf(const TaskInfo &Task) {
  const OccurrenceInfo &Occurrence = *Task.m_step->m_occurrence;
  return {Occurrence.m_job->m_submission.m_id, Occurrence.m_number,
          Task.m_step->m_number, Task.m_index};
}

TaskInfo *Scheduler::findTask(const TaskKey &Key) {
  const auto Found = m_jobs.find(Key.m_job);
  if (Found == m_jobs.end())
    return nullptr;
  for (OccurrenceInfo &Each : Found->second->m_occurrences) {
    if (Each.m_number != Key.m_occurrence)
      continue;
    if (Key.m_step >= Each.m_steps.size())
      return nullptr;
    StepInfo &Step = Each.m_steps[Key.m_step];
    return Key.m_index < Step.m_tasks.size() ? &Step.m_tasks[Key.m_index]
                                             : nullptr;
  }
  return nullptr;
}

RunInfo *Scheduler::findRun(TaskInfo &Task, RunNumber Number) {
  for (RunInfo &Each : Task.m_runs)
    if (Each.m_number == Number)
      return &Each;
  return nullptr;
}

void Scheduler::addJob(const Submission &Job, const JobProgress *Recorded) {
  if (m_jobs.contains(Job.m_id))
    return;
  auto Made = std::make_unique<JobInfo>();
  JobInfo &Row = *Made;
  Row.m_submission = Job;
  Row.m_criticalPath = criticalPath(Job.m_spec);
  Row.m_value = m_valuation.add(Job.m_policy.m_queue, declaredWork(Job.m_spec));
  const auto CriticalPathMs = static_cast<double>(Row.m_criticalPath.count());
  Row.m_objectiveMs =
      Job.m_acceptedMs +
      static_cast<std::int64_t>(Job.m_policy.m_stretchFactor * CriticalPathMs) +
      Job.m_policy.m_slack.count();
  m_jobs.emplace(Job.m_id, std::move(Made));
  if (Recorded)
    Row.m_state = Recorded->m_state;
  if (isFinal(Row.m_state)) {
    Row.m_endedAt = m_clock.now();
    return;
  }
  ++m_liveJobs;
  if (Recorded) {
    Row.m_nextOccurrence = Recorded->m_firstOpenOccurrence;
    for (const OccurrenceRecord &Each : Recorded->m_occurrences)
      while (Row.m_nextOccurrence <= Each.m_number &&
             Row.m_nextOccurrence < occurrenceCount(Row))
        appendOccurrence(Row);
    restore(Row, *Recorded);
    returnToQueue(Row);
    logRestored(Row);
  }
  if (Job.m_spec.m_occurrences == 0 && Row.m_occurrences.empty())
    appendOccurrence(Row);
  for (OccurrenceInfo &Each : Row.m_occurrences)
    openOccurrence(Each);
}

std::uint32_t Scheduler::occurrenceCount(const JobInfo &Job) {
  return std::max(1U, Job.m_submission.m_spec.m_occurrences);
}

std::int64_t Scheduler::dueMs(const JobInfo &Job, std::uint32_t Number) {
  const JobSpec &Spec = Job.m_submission.m_spec;
  return Spec.m_occurrences == 0
             ? Job.m_submission.m_acceptedMs
             : Spec.m_firstDueMs + Number * Spec.m_interval.count();
}

OccurrenceInfo &Scheduler::appendOccurrence(JobInfo &Job) {
  OccurrenceInfo &Occurrence = Job.m_occurrences.emplace_back();
  Occurrence.m_job = &Job;
  Occurrence.m_number = Job.m_nextOccurrence++;
  Occurrence.m_dueMs = dueMs(Job, Occurrence.m_number);
  return Occurrence;
}

bool Scheduler::hasRoomForOccurrence(const JobInfo &Job) const {
  std::size_t Tasks = 0;
  for (const StepSpec &Step : Job.m_submission.m_spec.m_steps)
    Tasks += Step.m_count;
  return Job.m_runningOccurrenceCount == 0 ||
         (Job.m_runningOccurrenceCount + 1) * Tasks <=
             m_options.m_maxRunningTasksPerJob;
}

void Scheduler::openDueOccurrences() {
  const std::int64_t NowMs = m_clock.wallNow().time_since_epoch().count();
  for (const auto &[Id, Job] : m_jobs) {
    if (Job->m_submission.m_spec.m_occurrences == 0 || isFinal(Job->m_state))
      continue;
    // The tasks of an occurrence that is due wait in the tables until they run.
    while (Job->m_nextOccurrence < occurrenceCount(*Job) &&
           dueMs(*Job, Job->m_nextOccurrence) <= NowMs &&
           hasRoomForOccurrence(*Job))
      openOccurrence(appendOccurrence(*Job));
  }
}

void Scheduler::openOccurrence(OccurrenceInfo &Occurrence) {
  if (Occurrence.m_isOpen)
    return;
  Occurrence.m_isOpen = true;
  ++Occurrence.m_job->m_runningOccurrenceCount;
  if (Occurrence.m_steps.empty())
    createSteps(Occurrence);
  beginReadySteps(Occurrence);
}

void Scheduler::createSteps(OccurrenceInfo &Occurrence) {
  const JobSpec &Spec = Occurrence.m_job->m_submission.m_spec;
  Occurrence.m_steps.resize(Spec.m_steps.size());
  for (std::uint32_t At = 0; At < Spec.m_steps.size(); ++At) {
    StepInfo &Step = Occurrence.m_steps[At];
    Step.m_spec = &Spec.m_steps[At];
    Step.m_image = m_interference.acquireImage(Spec.m_steps[At].m_image);
    Step.m_occurrence = &Occurrence;
    Step.m_number = At;
  }
}

void Scheduler::beginReadySteps(OccurrenceInfo &Occurrence) {
  for (StepInfo &Step : Occurrence.m_steps) {
    if (Step.m_isStarted)
      continue;
    const bool IsReady =
        std::all_of(Step.m_spec->m_after.begin(), Step.m_spec->m_after.end(),
                    [&](std::uint32_t Earlier) {
                      const StepInfo &Other = Occurrence.m_steps[Earlier];
                      return Other.m_doneCount == Other.m_spec->m_count;
                    });
    if (IsReady)
      beginStep(Step);
  }
}

void Scheduler::beginStep(StepInfo &Step) {
  Step.m_isStarted = true;
  if (Step.m_spec->m_isSpeculative)
    m_speculativeSteps.insert(&Step);
  Step.m_tasks.resize(Step.m_spec->m_count);
  for (std::uint32_t At = 0; At < Step.m_tasks.size(); ++At) {
    TaskInfo &Task = Step.m_tasks[At];
    Task.m_step = &Step;
    Task.m_index = At;
    enqueueTask(Task, Duration::zero());
  }
}

void Scheduler::restore(JobInfo &Job, const JobProgress &Recorded) {
  m_jobsRestoredAt = m_clock.now();
  for (const OccurrenceRecord &Each : Recorded.m_occurrences) {
    const auto Found =
        std::find_if(Job.m_occurrences.begin(), Job.m_occurrences.end(),
                     [&](const OccurrenceInfo &Row) {
                       return Row.m_number == Each.m_number;
                     });
    if (Found == Job.m_occurrences.end())
      continue;
    OccurrenceInfo &Occurrence = *Found;
    Occurrence.m_isOpen = true;
    createSteps(Occurrence);
    const std::size_t Steps =
        std::min(Each.m_steps.size(), Occurrence.m_steps.size());
    for (std::size_t At = 0; At < Steps; ++At) {
      StepInfo &Step = Occurrence.m_steps[At];
      const std::vector<TaskRecord> &Tasks = Each.m_steps[At].m_tasks;
      if (Tasks.size() != Step.m_spec->m_count)
        continue;
      Step.m_isStarted = true;
      if (Step.m_spec->m_isSpeculative)
        m_speculativeSteps.insert(&Step);
      Step.m_tasks.resize(Tasks.size());
      for (std::uint32_t Index = 0; Index < Tasks.size(); ++Index) {
        Step.m_tasks[Index].m_step = &Step;
        Step.m_tasks[Index].m_index = Index;
      }
      for (std::uint32_t Index = 0; Index < Tasks.size(); ++Index)
        restoreTask(Step.m_tasks[Index], Tasks[Index]);
      if (Step.m_doneCount == Step.m_spec->m_count)
        ++Occurrence.m_doneStepCount;
    }
    if (Occurrence.m_doneStepCount < Occurrence.m_steps.size())
      ++Job.m_runningOccurrenceCount;
    beginReadySteps(Occurrence);
  }
}

void Scheduler::logRestored(const JobInfo &Job) const {
  std::uint32_t Done = 0;
  for (const OccurrenceInfo &Occurrence : Job.m_occurrences)
    for (const StepInfo &Step : Occurrence.m_steps)
      Done += Step.m_doneCount;
  logInfo("job.restored", {{"job", Job.m_submission.m_id},
                           {"done", std::to_string(Done)},
                           {"runs", std::to_string(Job.m_activeRunCount)},
                           {"counts", restoredCounts(Job)},
                           {"epoch", std::to_string(m_options.m_epoch)}});
}

void Scheduler::restoreTask(TaskInfo &Task, const TaskRecord &Recorded) {
  Task.m_isDone = Recorded.m_isDone;
  Task.m_failures = Recorded.m_failures;
  Task.m_lostWorkers = Recorded.m_lostWorkers;
  Task.m_crashedWorkers = Recorded.m_crashedWorkers;
  Task.m_wasSpared = Recorded.m_wasSpared;
  Task.m_restoredFailures = Recorded.m_failures;
  Task.m_restoredLostWorkers = Recorded.m_lostWorkers;
  Task.m_lastRun = Recorded.m_lastRun;
  Task.m_checkpoint = Recorded.m_checkpoint;
  if (Task.m_isDone || Task.m_failures > 0 || !Task.m_checkpoint.empty())
    Task.m_step->m_occurrence->m_job->m_hasBegun = true;
  if (Task.m_isDone) {
    ++Task.m_step->m_doneCount;
    return;
  }
  if (Task.m_lastRun > 0)
    Task.m_seenAt = m_clock.now();
  for (const RunRecord &Each : Recorded.m_runs) {
    WorkerInfo &Worker = workerRow(Each.m_worker);
    // The worker may have restarted since, and carry out the start even so.
    const bool HasRestarted =
        Worker.m_registration.m_startedMs > Each.m_workerStartedMs;
    if (HasRestarted && !Each.m_isBlamed)
      countRestart(Task, Each);
    if (Worker.m_registration.m_startedMs < Each.m_workerStartedMs)
      expectRegistration(Worker, Each.m_workerStartedMs);
    RunInfo &Run = addRun(Task, Each.m_run, Worker, RunPhase::Adopted);
    Run.m_workerStartedMs = Each.m_workerStartedMs;
    Run.m_wasListed = Recorded.m_areRunsListed;
    Run.m_isBlamed = HasRestarted || Each.m_isBlamed;
    if (HasRestarted && !Run.m_wasListed)
      extendLeaseForMisdirected(Worker, latestArrival(Worker));
  }
  Task.m_isGivenUp = isLossLimitReached(Task, true);
  if (Task.m_runs.empty())
    enqueueTask(Task, Duration::zero());
}

void Scheduler::countRestart(TaskInfo &Task, const RunRecord &Run) {
  if (Task.m_wasSpared) {
    ++Task.m_lostWorkers;
    noteCountedRun(Task, {.m_run = Run.m_run,
                          .m_worker = Run.m_worker,
                          .m_workerStartedMs = Run.m_workerStartedMs,
                          .m_cause = "new_life_at_takeover"});
  }
  logInfo("task.blamed",
          {{"task", toString(keyOf(Task))},
           {"run", std::to_string(Run.m_run)},
           {"worker", Run.m_worker},
           {"reason", "new_life_at_takeover"},
           {"spared", Task.m_wasSpared ? "0" : "1"},
           {"lost_workers", std::to_string(Task.m_lostWorkers)},
           {"crashed_workers", std::to_string(Task.m_crashedWorkers)}});
  Task.m_wasSpared = true;
  markDirty(*Task.m_step->m_occurrence->m_job);
}

void Scheduler::cancelJob(const std::string &Id) {
  const auto Found = m_jobs.find(Id);
  if (Found == m_jobs.end() || isFinal(Found->second->m_state))
    return;
  endJob(*Found->second, JobState::Cancelled, "cancelled");
}

void Scheduler::failJob(const std::string &Id) {
  const auto Found = m_jobs.find(Id);
  if (Found == m_jobs.end() || isFinal(Found->second->m_state))
    return;
  constexpr const char *Reason = "progress_rejected";
  logWarn("job.failed", {{"job", Id},
                         {"reason", Reason},
                         {"epoch", std::to_string(m_options.m_epoch)}});
  countFailedJob(Reason);
  endJob(*Found->second, JobState::Failed, Reason);
}

void Scheduler::countFailedJob(const char *Reason) const {
  if (m_options.m_onJobFailed)
    m_options.m_onJobFailed(Reason);
}

void Scheduler::returnToQueue(JobInfo &Job) {
  if (Job.m_state != JobState::InProgress || Job.m_hasBegun ||
      Job.m_activeRunCount > 0)
    return;
  Job.m_state = JobState::Queued;
  markDirty(Job);
}

void Scheduler::endJob(JobInfo &Job, JobState State, const char *Reason) {
  Job.m_state = State;
  Job.m_endedAt = m_clock.now();
  --m_liveJobs;
  for (OccurrenceInfo &Occurrence : Job.m_occurrences)
    for (StepInfo &Step : Occurrence.m_steps) {
      m_speculativeSteps.erase(&Step);
      for (TaskInfo &Task : Step.m_tasks) {
        dequeueTask(Task);
        stopAllRuns(Task);
      }
    }
  markDirty(Job);
  logInfo("job.ended", {{"job", Job.m_submission.m_id},
                        {"queue", Job.policy().m_queue},
                        {"state", std::to_string(static_cast<int>(State))},
                        {"reason", Reason}});
}

void Scheduler::failJobOf(const TaskInfo &Task, const char *Reason) {
  JobInfo &Job = *Task.m_step->m_occurrence->m_job;
  logWarn(
      "job.failed",
      {{"task", toString(keyOf(Task))},
       {"reason", Reason},
       {"epoch", std::to_string(m_options.m_epoch)},
       {"last_run", std::to_string(Task.m_lastRun)},
       {"failures", std::to_string(Task.m_failures)},
       {"max_attempts", std::to_string(Job.policy().m_maxAttempts)},
       {"lost_workers", std::to_string(Task.m_lostWorkers)},
       {"crashed_workers", std::to_string(Task.m_crashedWorkers)},
       {"restored_failures", std::to_string(Task.m_restoredFailures)},
       {"restored_lost_workers", std::to_string(Task.m_restoredLostWorkers)},
       {"counted", countedRuns(Task)}});
  countFailedJob(Reason);
  endJob(Job, JobState::Failed, Reason);
}

void Scheduler::markDirty(JobInfo &Job) {
  if (Job.m_isDirty)
    return;
  Job.m_isDirty = true;
  m_dirtyJobs.insert(Job.m_submission.m_id);
}

void Scheduler::enqueueTask(TaskInfo &Task, Duration Delay) {
  StepInfo &Step = *Task.m_step;
  if (Task.m_isWaiting || Task.m_isDone ||
      isFinal(Step.m_occurrence->m_job->m_state))
    return;
  Task.m_isWaiting = true;
  Step.m_retryAt = TimePoint();
  Task.m_earliestStart = m_clock.now() + Delay;
  Step.m_waitingTasks.push_back(&Task);
  m_stepQueue[keyOf(Step)] = &Step;
  if (isSuspect(Task))
    m_waitingSuspects.insert(&Task);
}

void Scheduler::dequeueTask(TaskInfo &Task) {
  if (!Task.m_isWaiting)
    return;
  Task.m_isWaiting = false;
  StepInfo &Step = *Task.m_step;
  std::erase(Step.m_waitingTasks, &Task);
  m_waitingSuspects.erase(&Task);
  if (Step.m_waitingTasks.empty())
    m_stepQueue.erase(keyOf(Step));
}

RunInfo &Scheduler::addRun(TaskInfo &Task, RunNumber Number, WorkerInfo &Worker,
                           RunPhase Phase) {
  RunInfo Run;
  Run.m_number = Number;
  Run.m_phase = Phase;
  Run.m_worker = &Worker;
  Run.m_workerStartedMs = Worker.m_registration.m_startedMs;
  Run.m_since = m_clock.now();
  Run.m_progressedAt = m_clock.now();
  Run.m_isOnTrial = isSuspect(Task);
  Worker.m_trials += Run.m_isOnTrial ? 1 : 0;
  Task.m_runs.push_back(Run);
  Worker.m_runs.push_back({&Task, Number});
  const StepSpec &Spec = *Task.m_step->m_spec;
  if (Spec.m_isFiller) {
    Worker.m_fillerProcessors += Spec.m_request.m_milliProcessors;
    ++Worker.m_fillers;
  }
  if (Spec.m_isService) {
    ++Worker.m_services;
    Worker.m_serviceProcessors += Spec.reservation().m_milliProcessors;
  }
  Worker.m_reserved += Spec.reservation();
  Worker.m_areLoadHeadroomsStale = true;
  ++Task.m_step->m_occurrence->m_job->m_activeRunCount;
  return Task.m_runs.back();
}

void Scheduler::removeRun(TaskInfo &Task, RunNumber Number) {
  RunInfo *Run = findRun(Task, Number);
  WorkerInfo &Worker = *Run->m_worker;
  const StepSpec &Spec = *Task.m_step->m_spec;
  if (Spec.m_isFiller) {
    Worker.m_fillerProcessors -= Spec.m_request.m_milliProcessors;
    --Worker.m_fillers;
    if (Run->m_measurement > 0)
      Worker.m_endedFillers.push_back(
          {Task.m_step->m_image, Run->m_measurement, m_clock.now()});
  }
  if (Spec.m_isService) {
    --Worker.m_services;
    Worker.m_serviceProcessors -= Spec.reservation().m_milliProcessors;
  }
  Worker.m_reserved -= Spec.reservation();
  if (Run->m_isOnTrial) {
    --Worker.m_trials;
    if (Run->m_phase != RunPhase::Recording)
      Worker.m_trialEndedAt = m_clock.now();
  }
  Worker.m_areLoadHeadroomsStale = true;
  std::erase(Worker.m_runs, RunRef{&Task, Number});
  Worker.m_runRemovedAt = m_clock.now();
  std::erase_if(Task.m_runs, [Number](const RunInfo &Each) {
    return Each.m_number == Number;
  });
  --Task.m_step->m_occurrence->m_job->m_activeRunCount;
}

void Scheduler::withdrawRun(TaskInfo &Task, RunNumber Number,
                            const char *Reason) {
  logInfo("run.withdrawn", {{"task", toString(keyOf(Task))},
                            {"run", std::to_string(Number)},
                            {"reason", Reason}});
  discardRun(Task, Number, Duration::zero());
}

void Scheduler::discardRun(TaskInfo &Task, RunNumber Number, Duration Delay) {
  removeRun(Task, Number);
  markDirty(*Task.m_step->m_occurrence->m_job);
  if (Task.m_avoidedWorkers.size() > MaxAvoidedWorkers)
    Task.m_avoidedWorkers.erase(Task.m_avoidedWorkers.begin());
  if (Task.m_step->m_spec->m_isGang)
    for (TaskInfo &Each : Task.m_step->m_tasks)
      stopAllRuns(Each);
  // Whatever becomes of the other runs of a completed task, it neither starts
  // again nor fails its job.
  if (!Task.m_runs.empty() || Task.m_isDone)
    return;
  JobInfo &Job = *Task.m_step->m_occurrence->m_job;
  if (hasExhaustedAttempts(Task) && !isFinal(Job.m_state))
    failJobOf(Task, "attempts_exhausted");
  else if (Task.m_isGivenUp && !isFinal(Job.m_state))
    failJobOf(Task, "workers_lost");
  else
    enqueueTask(Task, Delay);
  returnToQueue(Job);
}

bool Scheduler::hasExhaustedAttempts(const TaskInfo &Task) {
  return !Task.m_step->m_spec->m_isService &&
         Task.m_failures >=
             Task.m_step->m_occurrence->m_job->policy().m_maxAttempts;
}

void Scheduler::applyRunEnd(TaskInfo &Task, const EndedRun &Ended,
                            const WorkerInfo &Reporter) {
  const RunNumber Number = Ended.m_run;
  const RunEnd End = Ended.m_end;
  StepInfo &Step = *Task.m_step;
  JobInfo &Job = *Step.m_occurrence->m_job;
  RunInfo *Run = findRun(Task, Number);
  WorkerInfo &Worker = *Run->m_worker;
  const Duration RanFor = m_clock.now() - Run->m_since;
  Job.m_hasBegun = true;
  if (!Ended.m_checkpoint.empty())
    Task.m_checkpoint = Ended.m_checkpoint;
  if (End == RunEnd::Failed) {
    ++Task.m_failures;
    noteCountedRun(Task,
                   {.m_run = Number,
                    .m_worker = Reporter.m_registration.m_id,
                    .m_workerStartedMs = Reporter.m_registration.m_startedMs,
                    .m_sequence = Ended.m_sequence,
                    .m_cause = runEndName(End)});
  }
  logInfo("run.ended",
          {{"task", toString(keyOf(Task))},
           {"run", std::to_string(Number)},
           {"worker", Worker.m_registration.m_id},
           {"reported_by", Reporter.m_registration.m_id},
           {"born", std::to_string(Reporter.m_registration.m_startedMs)},
           {"sequence", std::to_string(Ended.m_sequence)},
           {"end", runEndName(End)},
           {"failures", std::to_string(Task.m_failures)},
           {"epoch", std::to_string(m_options.m_epoch)}});
  if (End == RunEnd::Done) {
    removeRun(Task, Number);
    recordSuccess(Worker);
    Step.m_completedDurations.push_back(RanFor);
    return completeTask(Task);
  }
  if (End == RunEnd::Failed) {
    clearSuspicion(Task);
    recordFailure(Worker, Job.m_submission.m_id, Run->m_since);
    Task.m_avoidedWorkers.push_back(Worker.m_registration.m_id);
  }
  discardRun(Task, Number, RestartDelay);
}

void Scheduler::logUnmatchedEnd(const EndedRun &Ended,
                                const WorkerInfo &Reporter) const {
  logInfo("run.end_unmatched",
          {{"task", toString(Ended.m_task)},
           {"run", std::to_string(Ended.m_run)},
           {"worker", Reporter.m_registration.m_id},
           {"born", std::to_string(Reporter.m_registration.m_startedMs)},
           {"sequence", std::to_string(Ended.m_sequence)},
           {"end", runEndName(Ended.m_end)},
           {"epoch", std::to_string(m_options.m_epoch)}});
}

void Scheduler::applyDiscardedSuccess(TaskInfo &Task, WorkerInfo &Worker,
                                      RunNumber Number) {
  // A service has to run on.
  if (Task.m_isDone || Task.m_step->m_spec->m_isService ||
      isFinal(Task.m_step->m_occurrence->m_job->m_state))
    return;
  logInfo("run.done_after_discard",
          {{"task", toString(keyOf(Task))},
           {"run", std::to_string(Number)},
           {"last_run", std::to_string(Task.m_lastRun)},
           {"worker", Worker.m_registration.m_id}});
  completeTask(Task);
}

void Scheduler::completeTask(TaskInfo &Task) {
  StepInfo &Step = *Task.m_step;
  OccurrenceInfo &Occurrence = *Step.m_occurrence;
  JobInfo &Job = *Occurrence.m_job;
  // A copy of the task or another gang member has already completed it.
  if (Task.m_isDone)
    return;
  markDirty(Job);
  if (Step.m_spec->m_isService) {
    // A service runs until it is cancelled, even if a run ends successfully.
    if (Task.m_runs.empty())
      enqueueTask(Task, RestartDelay);
    return;
  }
  std::vector<TaskInfo *> Completed;
  if (Step.m_spec->m_isGang)
    for (TaskInfo &Each : Step.m_tasks)
      Completed.push_back(&Each);
  else
    Completed.push_back(&Task);
  // Before any run is stopped: a planned run that is withdrawn puts its task
  // back into the queue unless the task is done.
  for (TaskInfo *Each : Completed)
    Each->m_isDone = true;
  for (TaskInfo *Each : Completed) {
    dequeueTask(*Each);
    stopAllRuns(*Each);
  }
  Step.m_doneCount += static_cast<std::uint32_t>(Completed.size());
  if (Step.m_doneCount < Step.m_spec->m_count || isFinal(Job.m_state))
    return;
  m_speculativeSteps.erase(&Step);
  ++Occurrence.m_doneStepCount;
  if (Occurrence.m_doneStepCount < Occurrence.m_steps.size())
    return beginReadySteps(Occurrence);
  --Job.m_runningOccurrenceCount;
  const bool IsLast =
      Job.m_nextOccurrence == occurrenceCount(Job) &&
      std::all_of(Job.m_occurrences.begin(), Job.m_occurrences.end(),
                  [](const OccurrenceInfo &Each) {
                    return Each.m_isOpen &&
                           Each.m_doneStepCount == Each.m_steps.size();
                  });
  if (IsLast)
    endJob(Job, JobState::Completed, "completed");
}

JobProgress Scheduler::progressOf(const JobInfo &Job) const {
  JobProgress Progress;
  Progress.m_state = Job.m_state;
  if (isFinal(Job.m_state))
    return Progress;
  Progress.m_firstOpenOccurrence =
      Job.m_occurrences.empty() ? 0 : Job.m_occurrences.front().m_number;
  for (const OccurrenceInfo &Occurrence : Job.m_occurrences) {
    if (!Occurrence.m_isOpen)
      continue;
    OccurrenceRecord &Record = Progress.m_occurrences.emplace_back();
    Record.m_number = Occurrence.m_number;
    for (const StepInfo &Step : Occurrence.m_steps) {
      StepRecord &StepTo = Record.m_steps.emplace_back();
      if (!Step.m_isStarted)
        continue;
      for (const TaskInfo &Task : Step.m_tasks) {
        TaskRecord &To = StepTo.m_tasks.emplace_back();
        To.m_isDone = Task.m_isDone;
        To.m_failures = Task.m_failures;
        To.m_lostWorkers = Task.m_lostWorkers;
        To.m_crashedWorkers = Task.m_crashedWorkers;
        To.m_wasSpared = Task.m_wasSpared;
        To.m_lastRun = Task.m_lastRun;
        if (Task.m_isDone)
          continue;
        To.m_checkpoint = Task.m_checkpoint;
        To.m_areRunsListed =
            std::all_of(Task.m_runs.begin(), Task.m_runs.end(),
                        [](const RunInfo &Run) { return Run.m_wasListed; });
        for (const RunInfo &Run : Task.m_runs)
          To.m_runs.push_back({Run.m_number, Run.m_worker->m_registration.m_id,
                               Run.m_workerStartedMs, Run.m_isBlamed});
      }
    }
  }
  return Progress;
}

void Scheduler::releaseImages(const JobInfo &Job) {
  for (const OccurrenceInfo &Occurrence : Job.m_occurrences)
    for (const StepInfo &Step : Occurrence.m_steps)
      m_interference.releaseImage(Step.m_image);
}

void Scheduler::forgetOldJobs(Decisions &Next) {
  const TimePoint Now = m_clock.now();
  for (auto Each = m_jobs.begin(); Each != m_jobs.end();) {
    const JobInfo &Job = *Each->second;
    if (isFinal(Job.m_state) && Job.m_activeRunCount == 0 && !Job.m_isDirty &&
        Now - Job.m_endedAt > m_options.m_jobRetention) {
      Next.m_expiredJobs.push_back(Each->first);
      releaseImages(Job);
      Each = m_jobs.erase(Each);
    } else {
      ++Each;
    }
  }
}

} // namespace catkinseam
