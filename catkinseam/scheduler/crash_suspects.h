// Tasks that may crash the workers which start them.
//
//   for (const RunRef &Each : blamedRuns(Worker))
//     ++Each.m_task->m_lostWorkers;
//   if (isGivenUp(Task)) ... // fails the job
//
// When a worker is lost, any run that it had only just started may be the
// cause. The tasks of these runs become suspects. A suspect is started on
// trial: on a worker that starts nothing else meanwhile, so that the loss of
// this worker would point to the suspect alone. Surviving the trial clears the
// suspect. Where all workers start something all the time, one is reserved for
// the trial (trial_reservations.h).
//
// The loss of many workers at once has another cause, and so may the loss of a
// worker while the owner changed. Each task is spared once for such a loss,
// until it is cleared.
#ifndef CATKINSEAM_SCHEDULER_CRASH_SUSPECTS_H
#define CATKINSEAM_SCHEDULER_CRASH_SUSPECTS_H

#include "catkinseam/scheduler/tables.h"

#include <vector>

namespace catkinseam {

/// How long a run must be active for its task to count as harmless.
constexpr Milliseconds TrialTime{500};

/// Whether the worker is known to have been alive after the run had been active
/// for TrialTime, or since before the owner changed.
bool hasSurvivedTrial(const RunInfo &Run);

/// Whether the next run of the task has to start on trial.
bool isSuspect(const TaskInfo &Task);

/// Whether the task is not to be started again.
bool isGivenUp(const TaskInfo &Task);

/// Whether a suspect may start on this worker: no other run there is so young
/// that it could be the cause of a loss. Members of one gang share a trial, as
/// they are given up together.
bool allowsTrial(const TaskInfo &Task, const WorkerInfo &Worker);

/// When a trial may begin on this worker if nothing else starts there and it is
/// heard of; TimePoint::min() if one may begin now.
TimePoint trialTime(const WorkerInfo &Worker, TimePoint Now);

/// Whether the task may not start on this worker because of a run on trial, or
/// because the worker is reserved for the trial of another task.
bool isBarredByTrial(const TaskInfo &Task, const WorkerInfo &Worker);

/// The runs that may have caused the loss of their worker.
std::vector<RunRef> blamedRuns(const WorkerInfo &Worker);

} // namespace catkinseam

#endif // CATKINSEAM_SCHEDULER_CRASH_SUSPECTS_H
