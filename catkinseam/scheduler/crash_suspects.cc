// Which runs are blamed for the loss of a worker, and what follows for their
// tasks.
#include "catkinseam/scheduler/crash_suspects.h"

#include "catkinseam/scheduler/interference_model.h"

#include <algorithm>

namespace catkinseam {

namespace {

/// A task is given up after this many lost workers, a loss for which it was
/// spared included.
constexpr std::uint32_t MaxLosses = 5;
/// The limits while no other workers are lost: for workers that have certainly
/// crashed after they had begun the task, and for all, some of which may have
/// been partitioned.
constexpr std::uint32_t MaxCrashesAlone = 3;
constexpr std::uint32_t MaxLossesAlone = 4;
/// A run that its worker has survived for this time does not keep a trial off.
constexpr Milliseconds SettlingTime{200};

/// The worker has answered this owner before and does not now.
bool isLost(const WorkerInfo &Worker) {
  return Worker.m_hasAcceptedToken && !Worker.m_isReachable;
}

bool wasSent(const RunInfo &Run) { return Run.m_phase != RunPhase::Recording; }

bool isSameGang(const TaskInfo &One, const TaskInfo &Other) {
  return One.m_step == Other.m_step && One.m_step->m_spec->m_isGang;
}

/// Whether the run is too young for a trial beside it.
bool isUnsettled(const RunInfo &Run) {
  return Run.m_phase != RunPhase::Stopping &&
         (Run.m_confirmedAt == TimePoint() ||
          Run.m_worker->m_aliveUntil - Run.m_confirmedAt < SettlingTime);
}

bool isReservedForOther(const TaskInfo &Task, const WorkerInfo &Worker) {
  if (!Worker.m_trialStep)
    return false;
  return Worker.m_trialStep != Task.m_step ||
         !(Task.m_step->m_spec->m_isGang || isSuspect(Task));
}

} // namespace

bool hasSurvivedTrial(const RunInfo &Run) {
  return Run.m_hasOutlivedOwner ||
         (Run.m_confirmedAt != TimePoint() &&
          Run.m_worker->m_aliveUntil - Run.m_confirmedAt >= TrialTime);
}

bool isSuspect(const TaskInfo &Task) {
  return Task.m_lostWorkers > 0 ||
         std::any_of(Task.m_runs.begin(), Task.m_runs.end(),
                     [](const RunInfo &Each) {
                       return isLost(*Each.m_worker) && wasSent(Each) &&
                              !hasSurvivedTrial(Each);
                     });
}

bool hasArrived(const RunInfo &Run) {
  return Run.m_phase != RunPhase::Adopted && Run.m_confirmedAt != TimePoint();
}

bool mayPrecedeStart(const RunInfo &Run) {
  // Of an adopted run it is not known when the start was sent. A worker that
  // was heard from later and did not list the run had not received it by then.
  return !hasArrived(Run) &&
         (Run.m_phase == RunPhase::Adopted ||
          Run.m_silenceBeforeStart > MaxSilenceBeforeTrial ||
          Run.m_worker->m_aliveUntil > Run.m_startSentAt);
}

bool isLossLimitReached(const TaskInfo &Task, bool HaveOthersBeenLost) {
  if (Task.m_lostWorkers + (Task.m_wasSpared ? 1 : 0) >= MaxLosses)
    return true;
  return !HaveOthersBeenLost && (Task.m_crashedWorkers >= MaxCrashesAlone ||
                                 Task.m_lostWorkers >= MaxLossesAlone);
}

bool mayShareTrial(const TaskInfo &Task) {
  return Task.m_lostWorkers <= 1 && !Task.m_step->m_spec->m_isGang;
}

bool hasJoinableTrial(const WorkerInfo &Worker) {
  return Worker.m_trials > 0 &&
         std::all_of(Worker.m_runs.begin(), Worker.m_runs.end(),
                     [](const RunRef &Each) {
                       const RunInfo *Run = findReferencedRun(Each);
                       return !Run || !Run->m_isOnTrial ||
                              (Run->m_phase == RunPhase::Recording &&
                               mayShareTrial(*Each.m_task));
                     });
}

bool mayJoinTrial(const TaskInfo &Task, const WorkerInfo &Worker) {
  return Worker.m_trials > 0 && Worker.m_trials < Worker.m_maxTrials &&
         isSuspect(Task) && mayShareTrial(Task) && hasJoinableTrial(Worker);
}

bool allowsTrial(const TaskInfo &Task, const WorkerInfo &Worker,
                 TimePoint Now) {
  if (Now - Worker.m_aliveUntil > MaxSilenceBeforeTrial)
    return false;
  const bool MayJoin = mayJoinTrial(Task, Worker);
  return std::all_of(
      Worker.m_runs.begin(), Worker.m_runs.end(), [&](const RunRef &Each) {
        const RunInfo *Run = findReferencedRun(Each);
        return !Run || isSameGang(Task, *Each.m_task) || !isUnsettled(*Run) ||
               (MayJoin && Run->m_isOnTrial);
      });
}

TimePoint trialTime(const WorkerInfo &Worker, TimePoint Now) {
  TimePoint At = TimePoint::min();
  for (const RunRef &Each : Worker.m_runs) {
    const RunInfo *Run = findReferencedRun(Each);
    if (!Run || !isUnsettled(*Run))
      continue;
    const TimePoint Since =
        Run->m_confirmedAt == TimePoint() ? Now : Run->m_confirmedAt;
    At = std::max<TimePoint>(At, Since + SettlingTime);
  }
  return At;
}

bool isBarredByTrial(const TaskInfo &Task, const WorkerInfo &Worker) {
  if (mayJoinTrial(Task, Worker))
    return false;
  if (isReservedForOther(Task, Worker))
    return true;
  return Worker.m_trials > 0 &&
         std::any_of(Worker.m_runs.begin(), Worker.m_runs.end(),
                     [&](const RunRef &Each) {
                       const RunInfo *Run = findReferencedRun(Each);
                       return Run && Run->m_isOnTrial &&
                              !isSameGang(Task, *Each.m_task);
                     });
}

std::vector<RunRef> blamedRuns(const WorkerInfo &Worker) {
  std::vector<RunRef> Blamed;
  for (const RunRef &Each : Worker.m_runs) {
    const RunInfo *Run = findReferencedRun(Each);
    if (!Run || !wasSent(*Run) || Run->m_isBlamed || hasSurvivedTrial(*Run))
      continue;
    if (Worker.m_trials == 0 || Run->m_isOnTrial)
      Blamed.push_back(Each);
  }
  return Blamed;
}

} // namespace catkinseam
